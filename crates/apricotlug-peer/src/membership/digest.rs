//! Anti-entropy: instances compare one hash per data centre, exchange digests where the hashes
//! differ, and exchange records where the digests differ.

use std::collections::BTreeMap;

use apricotlug_model::MonoTime;

use super::{ExchangeKind, Membership, Target, entry::Entry};
use crate::{DigestEntry, Exchange, MemberDigest, MemberRecord, NameHash, Pulse};

/// Maximum number of queued record changes in one message.
const MAX_BROADCASTS_PER_MESSAGE: usize = 16;
/// Maximum number of member records in one message.
pub(crate) const MAX_MEMBERS_PER_MESSAGE: usize = 256;
/// Maximum number of requested records in one message.
pub(crate) const MAX_WANTS: usize = 512;
/// Maximum number of entries of one digest.
pub(crate) const MAX_DIGEST_ENTRIES: usize = 512;

impl From<Pulse> for DigestEntry {
    fn from(pulse: Pulse) -> Self {
        Self {
            id: pulse.id,
            run: pulse.run,
            revision: pulse.revision,
        }
    }
}

impl Membership {
    /// Fills the message that opens a session.
    pub fn fill_request(&mut self, msg: &mut Exchange, target: &Target, now: MonoTime) {
        msg.sender = self.own_id;
        msg.data_centre = self.own_data_centre;
        msg.members = self.take_broadcasts(MAX_BROADCASTS_PER_MESSAGE);
        if target.kind == ExchangeKind::Push {
            return;
        }
        let is_local = target.id.is_none_or(|id| self.is_local(id));
        msg.summaries = self.summaries(is_local, now);
        msg.beats = self.data_centre_beats();
        if is_local {
            msg.pulses = self.pulses();
        }
    }

    /// Merges a message and fills the reply to it.
    pub fn handle(&mut self, msg: &Exchange, reply: &mut Exchange, now: MonoTime) {
        reply.sender = self.own_id;
        reply.data_centre = self.own_data_centre;
        self.note_message(now);
        let is_broadcast = msg.members.len() <= MAX_BROADCASTS_PER_MESSAGE;
        for record in &msg.members {
            if self.merge(record.clone(), is_broadcast, now) {
                reply.push_record(self, NameHash::of(&record.id.name));
            }
        }
        self.merge_beats(msg, reply, now);
        self.merge_summaries(msg, reply, now);
        if msg.data_centre == self.own_data_centre {
            self.merge_pulses(msg, reply, now);
        }
        if msg.round == 0 {
            if msg.data_centre == self.own_data_centre && !msg.pulses.is_empty() {
                reply.pulses = self.pulses_ahead(msg);
            }
            let broadcasts = self.take_broadcasts(MAX_BROADCASTS_PER_MESSAGE);
            reply.members.extend(broadcasts);
        }
        for digest in &msg.digests {
            self.answer_digest(digest, reply, now);
        }
        for id in &msg.wants {
            reply.push_record(self, *id);
        }
        reply.trim();
    }

    /// Returns the hash over the records of each data centre, without expired tombstones.
    pub(super) fn hashes(&self, now: MonoTime) -> BTreeMap<NameHash, u64> {
        let mut hashes = BTreeMap::new();
        let compared = self
            .entries
            .values()
            .filter(|entry| !entry.is_expired_tombstone(now));
        for entry in compared {
            *hashes.entry(entry.data_centre).or_insert(0) ^= entry.hash;
        }
        hashes
    }

    pub(super) fn digest(&self, data_centre: NameHash, now: MonoTime) -> MemberDigest {
        let all: Vec<DigestEntry> = self
            .compared(data_centre, now)
            .map(|(id, entry)| entry.digest(*id))
            .collect();
        let start = self.cursor * MAX_DIGEST_ENTRIES % all.len().max(1);
        let rotation = all.iter().copied().cycle().skip(start);
        MemberDigest {
            data_centre,
            is_complete: all.len() <= MAX_DIGEST_ENTRIES,
            entries: rotation.take(all.len().min(MAX_DIGEST_ENTRIES)).collect(),
        }
    }

    fn compared(
        &self,
        data_centre: NameHash,
        now: MonoTime,
    ) -> impl Iterator<Item = (&NameHash, &Entry)> {
        let entries = self.entries.iter();
        entries.filter(move |(_, entry)| {
            entry.data_centre == data_centre && !entry.is_expired_tombstone(now)
        })
    }

    /// Adds the record to the reply if the own copy is newer or of another run, and requests it if
    /// the own copy is missing or older.
    pub(super) fn compare(&self, theirs: &DigestEntry, reply: &mut Exchange) {
        let Some(ours) = self.entries.get(&theirs.id) else {
            reply.wants.push(theirs.id);
            return;
        };
        if ours.run != theirs.run || ours.revision > theirs.revision {
            reply.push_record(self, theirs.id);
        } else if ours.revision < theirs.revision {
            reply.wants.push(theirs.id);
        }
    }

    fn answer_digest(&self, digest: &MemberDigest, reply: &mut Exchange, now: MonoTime) {
        for entry in &digest.entries {
            self.compare(entry, reply);
        }
        if !digest.is_complete {
            return;
        }
        let is_listed = |id: NameHash| digest.entries.iter().any(|entry| entry.id == id);
        for (id, _) in self.compared(digest.data_centre, now) {
            if !is_listed(*id) {
                reply.push_record(self, *id);
            }
        }
    }
}

impl Exchange {
    /// Adds the record of a member to this message, if the member is known.
    fn push_record(&mut self, membership: &Membership, id: NameHash) {
        if let Some(record) = membership.record(id) {
            self.members.push(MemberRecord::clone(record));
        }
    }

    /// Removes duplicates and truncates to the limits of a message; later exchanges carry the rest.
    fn trim(&mut self) {
        self.members.sort_by(|a, b| a.id.cmp(&b.id));
        self.members.dedup_by(|a, b| a.id == b.id);
        self.members.truncate(MAX_MEMBERS_PER_MESSAGE);
        self.wants.sort_unstable();
        self.wants.dedup();
        self.wants.truncate(MAX_WANTS);
    }
}
