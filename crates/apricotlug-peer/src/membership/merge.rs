//! Merge of member records: the highest rank wins, so the order of messages does not matter.

use apricotlug_model::MonoTime;

use super::{MAX_DATA_CENTRES, MAX_MEMBERS, Membership, SUSPECT_AFTER, entry::Beat, entry::Entry};
use crate::{MemberRecord, NameHash, State};

/// Messages that carry a changed record, in addition to the binary logarithm of the number of
/// members.
const EXTRA_TRANSMISSIONS: u32 = 2;

/// Maximum number of queued record changes; when a whole fleet starts, anti-entropy delivers the
/// rest.
const MAX_PENDING_BROADCASTS: usize = 64;

impl Membership {
    /// Merges a record. Returns whether the own copy is newer and must be sent back.
    ///
    /// `is_broadcast` is set for records that arrive as recent changes: they are queued to be
    /// forwarded, while records received through anti-entropy are not.
    pub(super) fn merge(
        &mut self,
        record: MemberRecord,
        is_broadcast: bool,
        now: MonoTime,
    ) -> bool {
        let id = NameHash::of(&record.id.name);
        if id == self.own_id {
            return self.merge_own(record, now);
        }
        let Some(entry) = self.entries.get(&id) else {
            if self.entries.len() < MAX_MEMBERS {
                self.install(id, record, is_broadcast, now);
            }
            return false;
        };
        if record.rank() <= entry.record.rank() {
            return record.rank() < entry.record.rank();
        }
        if !self.contradicts(entry, &record, now) {
            self.install(id, record, is_broadcast, now);
        }
        false
    }

    /// Returns whether a declaration of death contradicts recent heartbeats.
    fn contradicts(&self, entry: &Entry, record: &MemberRecord, now: MonoTime) -> bool {
        let is_same_version = (record.run(), record.version) == (entry.run, entry.record.version);
        let is_fresh = now.since(entry.advanced_at) < SUSPECT_AFTER;
        let is_local = entry.data_centre == self.own_data_centre;
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
            self.note_conflicting_run(record, now);
            return false;
        }
        let mut refuted = MemberRecord::clone(own);
        refuted.version = record.version;
        self.replace_own(refuted, now);
        self.raise_version(now);
        true
    }

    /// Increments the version of this instance's own record.
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
        self.entries.insert(self.own_id, entry);
        self.changes += 1;
        self.queue_broadcast(self.own_id);
    }

    /// Inserts a record into the table, and queues it for forwarding if it is a recent change.
    pub(super) fn install(
        &mut self,
        id: NameHash,
        record: MemberRecord,
        is_broadcast: bool,
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
        if is_broadcast && self.pending_broadcasts.len() < MAX_PENDING_BROADCASTS {
            self.queue_broadcast(id);
        }
    }

    fn queue_broadcast(&mut self, id: NameHash) {
        let transmissions = EXTRA_TRANSMISSIONS + self.entries.len().ilog2();
        self.pending_broadcasts
            .insert(id, u8::try_from(transmissions).unwrap_or(u8::MAX));
        self.has_changed = true;
    }

    /// Returns the queued record changes to send next, and decrements their remaining
    /// transmissions.
    pub(super) fn take_broadcasts(&mut self, limit: usize) -> Vec<MemberRecord> {
        let mut ids: Vec<(u8, NameHash)> = self
            .pending_broadcasts
            .iter()
            .map(|(id, n)| (*n, *id))
            .collect();
        ids.sort_unstable_by(|a, b| b.cmp(a));
        ids.truncate(limit);
        for (transmissions, id) in &ids {
            if *transmissions <= 1 {
                self.pending_broadcasts.remove(id);
            } else {
                self.pending_broadcasts.insert(*id, transmissions - 1);
            }
        }
        let records = ids.iter().filter_map(|(_, id)| self.entries.get(id));
        records
            .map(|entry| MemberRecord::clone(&entry.record))
            .collect()
    }
}
