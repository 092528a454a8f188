//! Membership and news together, driven by messages and points in time.

use std::time::Duration;

use apricotlug_model::MonoTime;
use rand::{Rng, RngExt};

pub use crate::membership::{Talk, Target};
use crate::{Exchange, MemberRecord, Membership, NameHash, News, State, membership::PERIOD};

/// Delay before news is pushed, within which further news joins in.
const PUSH_DELAY: Duration = Duration::from_millis(20);
/// Least time from a push to the next one of a bundle, a withdrawal or a record.
const NEWS_INTERVAL: Duration = Duration::from_millis(100);
/// Least time from a push to the next one of members' changes alone.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Most messages of one conversation.
const MAX_ROUNDS: u8 = 6;

/// State of one instance's gossip. Holds neither clock nor I/O.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Who is there.
    pub membership: Membership,
    /// Bundle, withdrawn keys and records.
    pub news: News,
    next_tick: MonoTime,
    next_push: Option<MonoTime>,
    last_push: MonoTime,
}

impl Gossip {
    /// Returns the state of an instance that knows of nobody else.
    #[must_use]
    pub fn new(record: MemberRecord, seeds: Vec<std::net::SocketAddr>, now: MonoTime) -> Self {
        Self {
            membership: Membership::new(record, seeds, now),
            news: News::default(),
            next_tick: now,
            next_push: None,
            last_push: MonoTime::default(),
        }
    }

    /// Returns the point at which [`Self::poll`] is due.
    #[must_use]
    pub fn poll_at(&self) -> MonoTime {
        self.next_push
            .map_or(self.next_tick, |push| push.min(self.next_tick))
    }

    /// Does what is due, and returns whom to call now.
    pub fn poll(&mut self, now: MonoTime, rng: &mut impl Rng) -> Vec<Target> {
        let mut targets = Vec::new();
        if self.next_tick.is_past(now) {
            self.membership.set_progress(self.news.progress());
            self.membership.tick(now);
            targets.extend(self.membership.targets(now, rng));
            let jitter = rng.random_range(0.9..1.1);
            self.next_tick = now.after(PERIOD.mul_f64(jitter));
        }
        self.schedule_push(now);
        if self.next_push.take_if(|push| push.is_past(now)).is_some() {
            self.last_push = now;
            targets.extend(self.membership.push_targets(now, rng));
        }
        targets.sort_unstable_by_key(|target| (target.addr, target.talk));
        targets.dedup_by_key(|target| target.addr);
        targets
    }

    /// Returns the message that opens a conversation.
    pub fn request(&mut self, target: &Target, now: MonoTime) -> Exchange {
        let mut msg = Exchange::default();
        self.membership.set_progress(self.news.progress());
        self.membership.fill_request(&mut msg, target, now);
        msg.news = self.news.digest();
        if target.talk == Talk::Push {
            self.news.fill_push(&mut msg);
        }
        msg
    }

    /// Merges a message and returns the reply to it.
    pub fn answer(&mut self, msg: &Exchange, now: MonoTime) -> Exchange {
        let mut reply = Exchange {
            round: msg.round.saturating_add(1),
            ..Exchange::default()
        };
        self.news.handle(msg, &mut reply, now);
        self.membership.set_progress(self.news.progress());
        self.membership.handle(msg, &mut reply, now);
        self.schedule_push(now);
        reply
    }

    /// Merges the reply to a request and returns the next message of the conversation, if any.
    pub fn follow_up(&mut self, reply: &Exchange, now: MonoTime) -> Option<Exchange> {
        let next = self.answer(reply, now);
        (next.has_content() && next.round < MAX_ROUNDS).then_some(next)
    }

    /// Notes that a call failed.
    pub fn call_failed(&mut self, target: &Target) {
        if let Some(id) = target.id {
            self.membership.call_failed(id);
        }
    }

    /// Returns the state of a member as seen from here.
    #[must_use]
    pub fn state_of(&self, name: &str, now: MonoTime) -> Option<State> {
        self.membership.state(NameHash::of(name), now)
    }

    fn schedule_push(&mut self, now: MonoTime) {
        let has_members = self.membership.take_change();
        let interval = match self.news.take_change() {
            true => NEWS_INTERVAL,
            false if has_members => MEMBERS_INTERVAL,
            false => return,
        };
        let push = now.after(PUSH_DELAY).max(self.last_push.after(interval));
        let planned = self.next_push.unwrap_or(MonoTime::MAX);
        self.next_push = Some(push.min(planned));
    }
}
