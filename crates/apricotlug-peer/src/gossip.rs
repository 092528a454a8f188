//! State machine of the gossip protocol: membership and replicated data, driven by messages and
//! points in time.

use std::{net::SocketAddr, time::Duration};

use apricotlug_model::MonoTime;
use rand::{Rng, RngExt};

pub use crate::membership::{ExchangeKind, Target};
use crate::{Exchange, MemberRecord, Membership, ReplicatedData, membership::PERIOD};

/// Delay before a push, so that changes that follow closely go out in the same message.
const PUSH_DELAY: Duration = Duration::from_millis(20);
/// Minimum time between a push and the next push of a bundle, a withdrawal or a record.
const DATA_PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between a push and the next push that carries member changes alone.
const MEMBER_PUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of messages of one session.
const MAX_ROUNDS: u8 = 6;

/// Gossip state of one instance. Uses neither clock nor I/O.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Known members and their states.
    pub membership: Membership,
    /// Bundle, withdrawn keys and records.
    pub data: ReplicatedData,
    next_tick: MonoTime,
    next_push: Option<MonoTime>,
    last_push: MonoTime,
}

impl Gossip {
    /// Returns the state of an instance that knows no other member.
    #[must_use]
    pub fn new(record: MemberRecord, seeds: Vec<SocketAddr>, now: MonoTime) -> Self {
        Self {
            membership: Membership::new(record, seeds, now),
            data: ReplicatedData::default(),
            next_tick: now,
            next_push: None,
            last_push: MonoTime::default(),
        }
    }

    /// Returns the time at which [`Self::poll`] is due.
    #[must_use]
    pub fn poll_at(&self) -> MonoTime {
        self.next_push
            .map_or(self.next_tick, |push| push.min(self.next_tick))
    }

    /// Runs the work that is due, and returns the peers to contact now.
    pub fn poll(&mut self, now: MonoTime, rng: &mut impl Rng) -> Vec<Target> {
        let mut targets = Vec::new();
        if self.next_tick.is_past(now) {
            self.membership.set_progress(self.data.progress());
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
        targets.sort_unstable_by_key(|target| (target.addr, target.kind));
        targets.dedup_by_key(|target| target.addr);
        targets
    }

    /// Returns the message that opens a session with a peer.
    pub fn request(&mut self, target: &Target, now: MonoTime) -> Exchange {
        let mut msg = Exchange::default();
        self.membership.set_progress(self.data.progress());
        self.membership.fill_request(&mut msg, target, now);
        msg.data = self.data.digest();
        if target.kind == ExchangeKind::Push {
            self.data.fill_push(&mut msg);
        }
        msg
    }

    /// Merges a message and returns the reply to it.
    pub fn answer(&mut self, msg: &Exchange, now: MonoTime) -> Exchange {
        let mut reply = Exchange {
            round: msg.round.saturating_add(1),
            ..Exchange::default()
        };
        self.data.handle(msg, &mut reply, now);
        self.membership.set_progress(self.data.progress());
        self.membership.handle(msg, &mut reply, now);
        self.schedule_push(now);
        reply
    }

    /// Merges the reply to a request and returns the next message of the session; `None` where the
    /// session is complete.
    pub fn follow_up(&mut self, reply: &Exchange, now: MonoTime) -> Option<Exchange> {
        let next = self.answer(reply, now);
        (next.has_content() && next.round < MAX_ROUNDS).then_some(next)
    }

    /// Records that a call to a peer failed.
    pub fn call_failed(&mut self, target: &Target) {
        if let Some(id) = target.id {
            self.membership.call_failed(id);
        }
    }

    fn schedule_push(&mut self, now: MonoTime) {
        let has_members = self.membership.take_change();
        let interval = match self.data.take_change() {
            true => DATA_PUSH_INTERVAL,
            false if has_members => MEMBER_PUSH_INTERVAL,
            false => return,
        };
        let push = now.after(PUSH_DELAY).max(self.last_push.after(interval));
        let planned = self.next_push.unwrap_or(MonoTime::MAX);
        self.next_push = Some(push.min(planned));
    }
}
