//! Merge of records: the highest rank wins, whatever the order of messages.

use apricotlug_model::MonoTime;

use super::{MAX_DATA_CENTRES, MAX_MEMBERS, Membership, SUSPECT_AFTER, entry::Beat, entry::Entry};
use crate::{MemberRecord, NameHash, State};

/// Messages that a changed record is part of, beyond the logarithm of the number of members.
const EXTRA_REPEATS: u32 = 2;

/// Most records that spread at once; where the whole fleet starts, anti-entropy does the rest.
const MAX_RUMOURS: usize = 64;

impl Membership {
    /// Merges a record. Returns whether this instance's own copy is newer, so that it is to be
    /// sent back. A rumour is spread further; what anti-entropy brings is not.
    pub(super) fn merge(&mut self, record: MemberRecord, is_rumour: bool, now: MonoTime) -> bool {
        let id = NameHash::of(&record.id.name);
        if id == self.me {
            return self.merge_own(record, now);
        }
        let Some(entry) = self.entries.get(&id) else {
            if self.entries.len() < MAX_MEMBERS {
                self.install(id, record, is_rumour, now);
            }
            return false;
        };
        if record.rank() <= entry.record.rank() {
            return record.rank() < entry.record.rank();
        }
        if !self.contradicts(entry, &record, now) {
            self.install(id, record, is_rumour, now);
        }
        false
    }

    /// Tells whether a declaration of death contradicts fresh signs of life.
    fn contradicts(&self, entry: &Entry, record: &MemberRecord, now: MonoTime) -> bool {
        let is_same_version = (record.run(), record.version) == (entry.run, entry.record.version);
        let is_fresh = now.since(entry.advanced_at) < SUSPECT_AFTER;
        let is_local = entry.data_centre == self.home;
        record.state == State::Dead && is_same_version && is_local && is_fresh
    }

    /// Merges a record that carries this instance's own name.
    fn merge_own(&mut self, record: MemberRecord, now: MonoTime) -> bool {
        let own = &self.own().record;
        if record.rank() <= own.rank() {
            return record.rank() < own.rank();
        }
        let is_same_run = record.id == own.id && record.generation == own.generation;
        if !is_same_run {
            self.meet_rival(record, now);
            return false;
        }
        let mut refuted = MemberRecord::clone(own);
        refuted.version = record.version;
        self.replace_own(refuted, now);
        self.raise_version(now);
        true
    }

    /// Raises the version of this instance's own record.
    pub(super) fn raise_version(&mut self, now: MonoTime) {
        let mut record = MemberRecord::clone(&self.own().record);
        record.version = record.version.saturating_add(1);
        record.state = self.announced;
        self.replace_own(record, now);
    }

    pub(super) fn replace_own(&mut self, record: MemberRecord, now: MonoTime) {
        let old = self.own();
        let (heartbeat, load, progress) = (old.heartbeat, old.load, old.progress);
        let mut entry = Entry::new(record, now);
        entry.heartbeat = heartbeat;
        entry.load = load;
        entry.progress = progress;
        self.entries.insert(self.me, entry);
        self.changes += 1;
        self.spread(self.me);
    }

    /// Puts a record into the table, and has it spread where it is a rumour.
    pub(super) fn install(
        &mut self,
        id: NameHash,
        record: MemberRecord,
        is_rumour: bool,
        now: MonoTime,
    ) {
        let entry = match self.entries.get(&id) {
            Some(old) => old.with(record, now),
            None => Entry::new(record, now),
        };
        if self.beats.len() < MAX_DATA_CENTRES {
            let beat = self.beats.entry(entry.data_centre);
            beat.or_insert_with(|| Beat::new(now));
        }
        self.entries.insert(id, entry);
        self.changes += 1;
        if is_rumour && self.hot.len() < MAX_RUMOURS {
            self.spread(id);
        }
    }

    fn spread(&mut self, id: NameHash) {
        let repeats = EXTRA_REPEATS + self.entries.len().ilog2();
        self.hot
            .insert(id, u8::try_from(repeats).unwrap_or(u8::MAX));
        self.has_changed = true;
    }

    /// Returns the next records to spread, and counts them down.
    pub(super) fn take_hot(&mut self, limit: usize) -> Vec<MemberRecord> {
        let mut ids: Vec<(u8, NameHash)> = self.hot.iter().map(|(id, n)| (*n, *id)).collect();
        ids.sort_unstable_by(|a, b| b.cmp(a));
        ids.truncate(limit);
        for (repeats, id) in &ids {
            if *repeats <= 1 {
                self.hot.remove(id);
            } else {
                self.hot.insert(*id, repeats - 1);
            }
        }
        let records = ids.iter().filter_map(|(_, id)| self.entries.get(id));
        records
            .map(|entry| MemberRecord::clone(&entry.record))
            .collect()
    }
}
