//! Membership: who is there, in which state, as seen from this instance.
//!
//! Records (address, run, announced state) spread on change and are compared by a hash per data
//! centre. Pulses (heartbeat, load, progress) circulate within a data centre only; across data
//! centres one counter per data centre tells whether anybody there is alive. Silence makes a
//! member suspect in the local view at once; only members of the same data centre declare it
//! dead, and the member refutes that by a higher version.

mod digest;
mod entry;
mod liveness;
mod merge;
mod name_conflict;
mod select;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use apricotlug_model::MonoTime;

use crate::{MemberRecord, NameHash, Progress, State};

pub(crate) use digest::{MAX_DIGEST_ENTRIES, MAX_MEMBERS_PER_MESSAGE, MAX_WANTS};
pub use entry::{Talk, Target};
use {
    entry::{Beat, Entry},
    name_conflict::Rival,
};

/// Time between two rounds of gossip.
pub(crate) const PERIOD: Duration = Duration::from_millis(500);
/// Silence after which a member of the same data centre is suspect.
const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Silence after which it is suspect where a call to it has failed as well.
const SUSPECT_AFTER_FAILED_CALL: Duration = Duration::from_millis(1500);
/// Silence after which all members of another data centre are suspect.
const SITE_SUSPECT_AFTER: Duration = Duration::from_secs(6);
/// Silence after which all members of another data centre count as dead in the view.
const SITE_DEAD_AFTER: Duration = Duration::from_secs(60);
/// Time without any message after which this instance takes itself to be cut off.
const ISOLATED_AFTER: Duration = Duration::from_millis(1500);
/// Gap between two ticks after which this process takes itself to have been paused.
const PAUSE_GAP: Duration = Duration::from_secs(2);
/// Time for which a death is part of digests and of the view.
const DEATH_SPREADS_FOR: Duration = Duration::from_secs(60);
/// Time for which a dead member is remembered, so that stale gossip doesn't bring it back.
const DEATH_KEPT_FOR: Duration = Duration::from_secs(24 * 60 * 60);
/// Most members that are remembered, dead ones included.
const MAX_MEMBERS: usize = 8192;
/// Most dead members that are remembered.
const MAX_DEAD: usize = 2048;
/// Most data centres that are remembered.
const MAX_DATA_CENTRES: usize = 1024;

/// Table of members with the rules by which it changes. Holds neither clock nor I/O.
#[derive(Clone, Debug)]
pub struct Membership {
    me: NameHash,
    home: NameHash,
    announced: State,
    entries: BTreeMap<NameHash, Entry>,
    beats: BTreeMap<NameHash, Beat>,
    hot: BTreeMap<NameHash, u8>,
    rival: Option<Rival>,
    seeds: BTreeSet<SocketAddr>,
    listed: BTreeSet<SocketAddr>,
    last_tick: MonoTime,
    last_heard: MonoTime,
    cursor: usize,
    has_changed: bool,
    changes: u64,
}

impl Membership {
    /// Returns a table that holds this instance alone.
    #[must_use]
    pub fn new(record: MemberRecord, seeds: Vec<SocketAddr>, now: MonoTime) -> Self {
        let me = NameHash::of(&record.id.name);
        let entry = Entry::new(record, now);
        let home = entry.data_centre;
        Self {
            me,
            home,
            announced: entry.record.state,
            entries: BTreeMap::from([(me, entry)]),
            beats: BTreeMap::from([(home, Beat::new(now))]),
            hot: BTreeMap::new(),
            rival: None,
            seeds: seeds.into_iter().collect(),
            listed: BTreeSet::new(),
            last_tick: now,
            last_heard: now,
            cursor: 0,
            has_changed: true,
            changes: 0,
        }
    }

    /// Returns the hash of this instance's name.
    #[must_use]
    pub fn me(&self) -> NameHash {
        self.me
    }

    /// Returns the hash of the name of this instance's data centre.
    #[must_use]
    pub fn home(&self) -> NameHash {
        self.home
    }

    /// Returns the record of a member.
    #[must_use]
    pub fn record(&self, id: NameHash) -> Option<&Arc<MemberRecord>> {
        self.entries.get(&id).map(|entry| &entry.record)
    }

    /// Returns the number of remembered members, dead ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether nobody is remembered; never the case, as this instance is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Replaces the addresses from the platform's list.
    pub fn set_listed(&mut self, addrs: Vec<SocketAddr>) {
        self.listed = addrs.into_iter().collect();
    }

    /// Sets the load of this instance, in thousandths.
    pub fn set_load(&mut self, load: u16) {
        self.own_mut().load = load;
    }

    /// Sets what this instance holds.
    pub fn set_progress(&mut self, progress: Progress) {
        self.own_mut().progress = progress;
    }

    /// Announces a state of this instance. A state that was passed does not come back.
    pub fn announce(&mut self, state: State, now: MonoTime) {
        if state > self.announced {
            self.announced = state;
            self.raise_version(now);
        }
    }

    /// Notes that a call to a member failed.
    pub fn call_failed(&mut self, id: NameHash) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.has_failed_call = true;
        }
    }

    /// Notes that a message came in from anybody.
    pub fn heard(&mut self, now: MonoTime) {
        self.last_heard = now;
    }

    /// Tells whether nobody has been heard of for a while.
    #[must_use]
    pub fn is_isolated(&self, now: MonoTime) -> bool {
        now.since(self.last_heard) > ISOLATED_AFTER
    }

    /// Returns the number of changes of records so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Tells, once, whether a record has changed that others should hear of soon.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Advances this instance's own heartbeat and draws the conclusions from silence.
    pub fn tick(&mut self, now: MonoTime) {
        self.excuse_pause(now);
        let own = self.own_mut();
        own.heartbeat = own.heartbeat.wrapping_add(1);
        own.advanced_at = now;
        self.settle_rival(now);
        self.declare_dead(now);
        self.raise_beat(now);
        self.forget(now);
    }

    /// Shifts the points of the last signs of life where this process itself did not run.
    fn excuse_pause(&mut self, now: MonoTime) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap <= PAUSE_GAP {
            return;
        }
        for entry in self.entries.values_mut() {
            entry.advanced_at = entry.advanced_at.after(gap).min(now);
        }
        for beat in self.beats.values_mut() {
            beat.advanced_at = beat.advanced_at.after(gap).min(now);
        }
    }

    fn declare_dead(&mut self, now: MonoTime) {
        if self.is_isolated(now) {
            return;
        }
        let is_overdue = |(_, entry): &(&NameHash, &Entry)| {
            let is_local = entry.data_centre == self.home;
            let silence = now.since(entry.advanced_at);
            is_local && !entry.is_dead() && silence > entry.lifetime()
        };
        let overdue: Vec<NameHash> = self
            .entries
            .iter()
            .filter(is_overdue)
            .map(|e| *e.0)
            .collect();
        for id in overdue {
            let mut record = MemberRecord::clone(&self.entries[&id].record);
            record.state = State::Dead;
            self.install(id, record, true, now);
        }
    }

    fn forget(&mut self, now: MonoTime) {
        let me = self.me;
        self.entries.retain(|id, entry| {
            let is_over = entry.is_dead() && now.since(entry.changed_at) > DEATH_KEPT_FOR;
            *id == me || !is_over
        });
        let dead = self
            .entries
            .values()
            .filter(|entry| entry.is_dead())
            .count();
        for _ in MAX_DEAD..dead {
            let oldest = self
                .entries
                .iter()
                .filter(|(id, entry)| **id != me && entry.is_dead());
            if let Some(id) = oldest
                .min_by_key(|(_, entry)| entry.changed_at)
                .map(|e| *e.0)
            {
                self.entries.remove(&id);
            }
        }
        let entries = &self.entries;
        let home = self.home;
        self.beats.retain(|id, beat| {
            let is_silent = now.since(beat.advanced_at) > DEATH_KEPT_FOR;
            *id == home || !is_silent || entries.values().any(|e| e.data_centre == *id)
        });
    }

    fn own(&self) -> &Entry {
        &self.entries[&self.me]
    }

    fn own_mut(&mut self) -> &mut Entry {
        self.entries
            .get_mut(&self.me)
            .expect("own entry is never removed")
    }
}
