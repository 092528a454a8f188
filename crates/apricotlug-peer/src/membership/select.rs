//! Choice of the peers to call.

use std::{net::SocketAddr, time::Duration};

use apricotlug_model::MonoTime;
use rand::{Rng, RngExt};

use super::{Membership, Talk, Target, entry::Entry};
use crate::{NameHash, State};

/// Silence after which a member of the same data centre is called itself, before it is suspect.
const PROBE_AFTER: Duration = Duration::from_millis(1750);
/// Calls to other data centres that the members of one data centre make in a period, together.
const REMOTE_CALLS_PER_PERIOD: usize = 2;
/// The same, where there is news to push.
const REMOTE_CALLS_PER_PUSH: usize = 4;
/// Calls within the data centre where there is news to push.
const LOCAL_CALLS_PER_PUSH: usize = 3;
/// One local call in this many goes to a suspect or dead member, so that partitions heal.
const LOCAL_HEAL_ONE_IN: u32 = 8;
/// One remote call in this many goes to a silent data centre.
const REMOTE_HEAL_ONE_IN: u32 = 4;
/// One period in this many also calls a seed that is no live member.
const SEED_ONE_IN: u32 = 16;

impl Membership {
    /// Returns whom to call in this period.
    pub fn targets(&self, now: MonoTime, rng: &mut impl Rng) -> Vec<Target> {
        let mut targets = Vec::new();
        let is_healing = rng.random_ratio(1, LOCAL_HEAL_ONE_IN);
        targets.extend(self.local_target(is_healing, now, rng));
        if self.has_remote_turn(REMOTE_CALLS_PER_PERIOD, now, rng) {
            targets.extend(self.remote_target(now, rng));
        }
        if self.is_isolated(now) || rng.random_ratio(1, SEED_ONE_IN) {
            targets.extend(self.seed_target(now, rng));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns whom to call at once where there is news.
    pub fn push_targets(&self, now: MonoTime, rng: &mut impl Rng) -> Vec<Target> {
        let mut targets = Vec::new();
        let locals = self.others().filter(|(_, e)| e.data_centre == self.home);
        let live = locals.filter(|(id, entry)| self.state_of(*id, entry, now) < State::Suspect);
        let mut live: Vec<_> = live.collect();
        while targets.len() < LOCAL_CALLS_PER_PUSH && !live.is_empty() {
            let (id, entry) = live.swap_remove(rng.random_range(0..live.len()));
            targets.push(target(id, entry));
        }
        if self.has_remote_turn(REMOTE_CALLS_PER_PUSH, now, rng) {
            targets.extend(self.remote_target(now, rng));
        }
        for target in &mut targets {
            target.talk = Talk::Push;
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the target of a member, for a call to it alone.
    #[must_use]
    pub fn target(&self, id: NameHash) -> Option<Target> {
        let entry = self.entries.get(&id)?;
        Some(target(id, entry))
    }

    /// Tells whether a member stands in this instance's data centre.
    #[must_use]
    pub fn is_local(&self, id: NameHash) -> bool {
        let entry = self.entries.get(&id);
        entry.is_some_and(|entry| entry.data_centre == self.home)
    }

    fn local_target(&self, is_healing: bool, now: MonoTime, rng: &mut impl Rng) -> Option<Target> {
        let locals = self.others().filter(|(_, e)| e.data_centre == self.home);
        let (live, silent): (Vec<_>, Vec<_>) =
            locals.partition(|(id, entry)| self.state_of(*id, entry, now) < State::Suspect);
        let stalest = live
            .iter()
            .max_by_key(|(_, entry)| now.since(entry.advanced_at));
        if let Some((id, entry)) = stalest
            && now.since(entry.advanced_at) > PROBE_AFTER
            && !is_healing
        {
            return Some(target(*id, entry));
        }
        let choice = if silent.is_empty() || (!is_healing && !live.is_empty()) {
            live
        } else {
            silent
        };
        // Of two, the one that has been silent for longer: it keeps the longest silence short.
        let pair = [pick(&choice, rng)?, pick(&choice, rng)?];
        let (id, entry) = pair.into_iter().min_by_key(|(_, e)| e.advanced_at)?;
        Some(target(*id, entry))
    }

    /// Draws whether this instance is among those of its data centre that call others now.
    fn has_remote_turn(&self, calls: usize, now: MonoTime, rng: &mut impl Rng) -> bool {
        let locals = self.entries.iter().filter(|(id, entry)| {
            entry.data_centre == self.home && self.state_of(**id, entry, now) < State::Suspect
        });
        rng.random_range(0..locals.count().max(1)) < calls
    }

    fn remote_target(&self, now: MonoTime, rng: &mut impl Rng) -> Option<Target> {
        let remotes = self.beats.keys().copied().filter(|id| *id != self.home);
        let (live, silent): (Vec<NameHash>, Vec<NameHash>) =
            remotes.partition(|id| self.site_silence(*id, now) < State::Suspect);
        let is_healing = live.is_empty() || rng.random_ratio(1, REMOTE_HEAL_ONE_IN);
        let sites = if is_healing && !silent.is_empty() {
            silent
        } else {
            live
        };
        let site = pick(&sites, rng)?;
        let members = self
            .others()
            .filter(|(_, e)| e.data_centre == *site && !e.is_dead());
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
        let seeds: Vec<SocketAddr> = self.seeds.union(&self.listed).copied().collect();
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|addr| !is_live(addr)).collect();
        pick(&seeds, rng).map(|addr| Target {
            id: None,
            addr: *addr,
            talk: Talk::Full,
        })
    }

    fn others(&self) -> impl Iterator<Item = (NameHash, &Entry)> {
        let entries = self.entries.iter().map(|(id, entry)| (*id, entry));
        entries.filter(|(id, _)| *id != self.me)
    }
}

fn target(id: NameHash, entry: &Entry) -> Target {
    Target {
        id: Some(id),
        addr: entry.record.addresses.peer,
        talk: Talk::Full,
    }
}

fn pick<'a, T>(choice: &'a [T], rng: &mut impl Rng) -> Option<&'a T> {
    if choice.is_empty() {
        return None;
    }
    choice.get(rng.random_range(0..choice.len()))
}
