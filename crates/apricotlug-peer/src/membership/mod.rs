//! Membership: the known members and their states, as seen by this instance.
//!
//! Records (address, run, announced state) are gossiped when they change and compared by one hash
//! per data centre. Pulses (heartbeat, load, progress) are exchanged within a data centre only;
//! across data centres, one beat counter per data centre shows whether any of its members is alive.
//! A member whose heartbeats are missing becomes suspect in the local view only; members of the
//! same data centre declare it dead, which the member refutes by a higher record version.

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
pub use entry::{ExchangeKind, Target};
use {
    entry::{Beat, Entry},
    name_conflict::ConflictingRun,
};

/// Time between two rounds of gossip.
pub(crate) const PERIOD: Duration = Duration::from_millis(500);
/// Time without heartbeat after which a member of the same data centre is suspect.
const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Time without heartbeat after which such a member is suspect if a call to it has failed as well.
const SUSPECT_AFTER_FAILED_CALL: Duration = Duration::from_millis(1500);
/// Time without a new beat after which all members of another data centre are suspect.
const DATA_CENTRE_SUSPECT_AFTER: Duration = Duration::from_secs(6);
/// Time without a new beat after which all members of another data centre are shown as dead.
const DATA_CENTRE_DEAD_AFTER: Duration = Duration::from_secs(60);
/// Time without any message after which this instance considers itself isolated.
const ISOLATED_AFTER: Duration = Duration::from_millis(1500);
/// Gap between two ticks above which this process is assumed to have been paused.
const PAUSE_GAP: Duration = Duration::from_secs(2);
/// Time for which digests and the view include a dead member.
const TOMBSTONE_GOSSIP_PERIOD: Duration = Duration::from_secs(60);
/// Time for which the record of a dead member is kept, so that stale gossip does not revive it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum number of members in the table, dead ones included.
const MAX_MEMBERS: usize = 8192;
/// Maximum number of dead members in the table.
const MAX_TOMBSTONES: usize = 2048;
/// Maximum number of data centres with a beat counter.
const MAX_DATA_CENTRES: usize = 1024;

/// Table of members and the rules that update it. Uses neither clock nor I/O.
#[derive(Clone, Debug)]
pub struct Membership {
    own_id: NameHash,
    own_data_centre: NameHash,
    announced: State,
    entries: BTreeMap<NameHash, Entry>,
    beats: BTreeMap<NameHash, Beat>,
    pending_broadcasts: BTreeMap<NameHash, u8>,
    conflicting_run: Option<ConflictingRun>,
    seeds: BTreeSet<SocketAddr>,
    platform_addresses: BTreeSet<SocketAddr>,
    last_tick: MonoTime,
    last_message_at: MonoTime,
    cursor: usize,
    has_changed: bool,
    changes: u64,
}

impl Membership {
    /// Returns a table that contains only this instance.
    #[must_use]
    pub fn new(record: MemberRecord, seeds: Vec<SocketAddr>, now: MonoTime) -> Self {
        let own_id = NameHash::of(&record.id.name);
        let entry = Entry::new(record, now);
        let own_data_centre = entry.data_centre;
        Self {
            own_id,
            own_data_centre,
            announced: entry.record.state,
            entries: BTreeMap::from([(own_id, entry)]),
            beats: BTreeMap::from([(own_data_centre, Beat::new(now))]),
            pending_broadcasts: BTreeMap::new(),
            conflicting_run: None,
            seeds: seeds.into_iter().collect(),
            platform_addresses: BTreeSet::new(),
            last_tick: now,
            last_message_at: now,
            cursor: 0,
            has_changed: true,
            changes: 0,
        }
    }

    /// Returns the hash of this instance's name.
    #[must_use]
    pub fn own_id(&self) -> NameHash {
        self.own_id
    }

    /// Returns the hash of the name of this instance's data centre.
    #[must_use]
    pub fn own_data_centre(&self) -> NameHash {
        self.own_data_centre
    }

    /// Returns the newest known record of a member; `None` if the member is unknown.
    #[must_use]
    pub fn record(&self, id: NameHash) -> Option<&Arc<MemberRecord>> {
        self.entries.get(&id).map(|entry| &entry.record)
    }

    /// Returns the number of members in the table, dead ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty; always false, as it contains this instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Replaces the addresses from the platform's list.
    pub fn set_platform_addresses(&mut self, addrs: Vec<SocketAddr>) {
        self.platform_addresses = addrs.into_iter().collect();
    }

    /// Sets the load of this instance, in thousandths of its capacity.
    pub fn set_load(&mut self, load: u16) {
        self.own_mut().load = load;
    }

    /// Sets the versions of the replicated data that this instance holds.
    pub fn set_progress(&mut self, progress: Progress) {
        self.own_mut().progress = progress;
    }

    /// Announces a state of this instance. Has no effect unless it is later than the announced one.
    pub fn announce(&mut self, state: State, now: MonoTime) {
        if state > self.announced {
            self.announced = state;
            self.raise_version(now);
        }
    }

    /// Records that a call to a member failed, which shortens the time until it is suspect.
    pub fn call_failed(&mut self, id: NameHash) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.has_failed_call = true;
        }
    }

    /// Records that a message arrived from another instance.
    pub fn note_message(&mut self, now: MonoTime) {
        self.last_message_at = now;
    }

    /// Returns whether no message has arrived within the isolation time.
    #[must_use]
    pub fn is_isolated(&self, now: MonoTime) -> bool {
        now.since(self.last_message_at) > ISOLATED_AFTER
    }

    /// Returns the number of record changes so far.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns whether a record has changed that must be pushed soon, and resets the flag.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Advances the own heartbeat, declares members dead whose heartbeats are missing, and evicts
    /// expired entries.
    pub fn tick(&mut self, now: MonoTime) {
        self.compensate_pause(now);
        let own = self.own_mut();
        own.heartbeat = own.heartbeat.wrapping_add(1);
        own.advanced_at = now;
        self.settle_name_conflict(now);
        self.declare_dead(now);
        self.advance_beat(now);
        self.evict(now);
    }

    /// Shifts the times of the last heartbeats by a pause of this process, so that the pause does
    /// not count as silence of the others.
    fn compensate_pause(&mut self, now: MonoTime) {
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
            let is_local = entry.data_centre == self.own_data_centre;
            let elapsed = now.since(entry.advanced_at);
            is_local && !entry.is_dead() && elapsed > entry.dead_after()
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

    fn evict(&mut self, now: MonoTime) {
        let own_id = self.own_id;
        self.entries.retain(|id, entry| {
            let is_over = entry.is_dead() && now.since(entry.changed_at) > TOMBSTONE_RETENTION;
            *id == own_id || !is_over
        });
        let dead = self
            .entries
            .values()
            .filter(|entry| entry.is_dead())
            .count();
        for _ in MAX_TOMBSTONES..dead {
            let oldest = self
                .entries
                .iter()
                .filter(|(id, entry)| **id != own_id && entry.is_dead());
            if let Some(id) = oldest
                .min_by_key(|(_, entry)| entry.changed_at)
                .map(|e| *e.0)
            {
                self.entries.remove(&id);
            }
        }
        let entries = &self.entries;
        let own_data_centre = self.own_data_centre;
        self.beats.retain(|id, beat| {
            let is_stale = now.since(beat.advanced_at) > TOMBSTONE_RETENTION;
            *id == own_data_centre || !is_stale || entries.values().any(|e| e.data_centre == *id)
        });
    }

    fn own(&self) -> &Entry {
        &self.entries[&self.own_id]
    }

    fn own_mut(&mut self) -> &mut Entry {
        self.entries
            .get_mut(&self.own_id)
            .expect("own entry is never removed")
    }
}
