//! Selection of the peers to contact.

use std::{net::SocketAddr, time::Duration};

use apricotlug_model::MonoTime;
use rand::{Rng, RngExt};

use super::{ExchangeKind, Membership, Target, entry::Entry};
use crate::{NameHash, State};

/// Time without heartbeat after which a member of the same data centre is contacted directly,
/// before it becomes suspect.
const PROBE_AFTER: Duration = Duration::from_millis(1750);
/// Mean number of calls to other data centres that all members of one data centre together make
/// per gossip period.
const REMOTE_CALLS_PER_PERIOD: usize = 2;
/// Mean number of such calls when a change is pushed.
const REMOTE_CALLS_PER_PUSH: usize = 4;
/// Number of calls within the data centre when a change is pushed.
const LOCAL_CALLS_PER_PUSH: usize = 3;
/// One local call in this many goes to a suspect or dead member, so that partitions heal.
const LOCAL_HEAL_ONE_IN: u32 = 8;
/// One remote call in this many goes to a data centre whose beat counter has stopped.
const REMOTE_HEAL_ONE_IN: u32 = 4;
/// One gossip period in this many also contacts a seed that is not a live member.
const SEED_ONE_IN: u32 = 16;

impl Membership {
    /// Returns the peers to contact in this gossip period.
    pub fn targets(&self, now: MonoTime, rng: &mut impl Rng) -> Vec<Target> {
        let mut targets = Vec::new();
        let is_heal_attempt = rng.random_ratio(1, LOCAL_HEAL_ONE_IN);
        targets.extend(self.local_target(is_heal_attempt, now, rng));
        if self.draw_remote_call(REMOTE_CALLS_PER_PERIOD, now, rng) {
            targets.extend(self.remote_target(now, rng));
        }
        if self.is_isolated(now) || rng.random_ratio(1, SEED_ONE_IN) {
            targets.extend(self.seed_target(now, rng));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the peers to which a change is pushed.
    pub fn push_targets(&self, now: MonoTime, rng: &mut impl Rng) -> Vec<Target> {
        let mut targets = Vec::new();
        let locals = self
            .others()
            .filter(|(_, e)| e.data_centre == self.own_data_centre);
        let live = locals.filter(|(id, entry)| self.state_of(*id, entry, now) < State::Suspect);
        let mut live: Vec<_> = live.collect();
        while targets.len() < LOCAL_CALLS_PER_PUSH && !live.is_empty() {
            let (id, entry) = live.swap_remove(rng.random_range(0..live.len()));
            targets.push(target(id, entry));
        }
        if self.draw_remote_call(REMOTE_CALLS_PER_PUSH, now, rng) {
            targets.extend(self.remote_target(now, rng));
        }
        for target in &mut targets {
            target.kind = ExchangeKind::Push;
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the target for a direct call to a member; `None` if the member is unknown.
    #[must_use]
    pub fn target(&self, id: NameHash) -> Option<Target> {
        let entry = self.entries.get(&id)?;
        Some(target(id, entry))
    }

    /// Returns whether a known member belongs to this instance's data centre.
    #[must_use]
    pub fn is_local(&self, id: NameHash) -> bool {
        let entry = self.entries.get(&id);
        entry.is_some_and(|entry| entry.data_centre == self.own_data_centre)
    }

    fn local_target(
        &self,
        is_heal_attempt: bool,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Option<Target> {
        let locals = self
            .others()
            .filter(|(_, e)| e.data_centre == self.own_data_centre);
        let (live, unresponsive): (Vec<_>, Vec<_>) =
            locals.partition(|(id, entry)| self.state_of(*id, entry, now) < State::Suspect);
        let longest_silent = live
            .iter()
            .max_by_key(|(_, entry)| now.since(entry.advanced_at));
        if let Some((id, entry)) = longest_silent
            && now.since(entry.advanced_at) > PROBE_AFTER
            && !is_heal_attempt
        {
            return Some(target(*id, entry));
        }
        let candidates = if unresponsive.is_empty() || (!is_heal_attempt && !live.is_empty()) {
            live
        } else {
            unresponsive
        };
        // Of two random picks, the one with the older heartbeat is contacted, which keeps the
        // longest time without heartbeat short.
        let pair = [pick(&candidates, rng)?, pick(&candidates, rng)?];
        let (id, entry) = pair.into_iter().min_by_key(|(_, e)| e.advanced_at)?;
        Some(target(*id, entry))
    }

    /// Decides at random whether this instance calls another data centre now, so that its whole
    /// data centre makes `calls` such calls on average.
    fn draw_remote_call(&self, calls: usize, now: MonoTime, rng: &mut impl Rng) -> bool {
        let locals = self.entries.iter().filter(|(id, entry)| {
            entry.data_centre == self.own_data_centre
                && self.state_of(**id, entry, now) < State::Suspect
        });
        rng.random_range(0..locals.count().max(1)) < calls
    }

    fn remote_target(&self, now: MonoTime, rng: &mut impl Rng) -> Option<Target> {
        let remotes = self
            .beats
            .keys()
            .copied()
            .filter(|id| *id != self.own_data_centre);
        let (live, unresponsive): (Vec<NameHash>, Vec<NameHash>) =
            remotes.partition(|id| self.data_centre_state(*id, now) < State::Suspect);
        let is_heal_attempt = live.is_empty() || rng.random_ratio(1, REMOTE_HEAL_ONE_IN);
        let data_centres = if is_heal_attempt && !unresponsive.is_empty() {
            unresponsive
        } else {
            live
        };
        let data_centre = pick(&data_centres, rng)?;
        let members = self
            .others()
            .filter(|(_, e)| e.data_centre == *data_centre && !e.is_dead());
        let members: Vec<_> = members.collect();
        pick(&members, rng).map(|(id, entry)| target(*id, entry))
    }

    fn seed_target(&self, now: MonoTime, rng: &mut impl Rng) -> Option<Target> {
        let is_live = |addr: &SocketAddr| {
            let mut entries = self.entries.iter();
            entries.any(|(id, entry)| {
                entry.record.addresses.peer == *addr
                    && self.state_of(*id, entry, now) < State::Suspect
            })
        };
        let seeds: Vec<SocketAddr> = self
            .seeds
            .union(&self.platform_addresses)
            .copied()
            .collect();
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|addr| !is_live(addr)).collect();
        pick(&seeds, rng).map(|addr| Target {
            id: None,
            addr: *addr,
            kind: ExchangeKind::Full,
        })
    }

    fn others(&self) -> impl Iterator<Item = (NameHash, &Entry)> {
        let entries = self.entries.iter().map(|(id, entry)| (*id, entry));
        entries.filter(|(id, _)| *id != self.own_id)
    }
}

fn target(id: NameHash, entry: &Entry) -> Target {
    Target {
        id: Some(id),
        addr: entry.record.addresses.peer,
        kind: ExchangeKind::Full,
    }
}

fn pick<'a, T>(candidates: &'a [T], rng: &mut impl Rng) -> Option<&'a T> {
    if candidates.is_empty() {
        return None;
    }
    candidates.get(rng.random_range(0..candidates.len()))
}
