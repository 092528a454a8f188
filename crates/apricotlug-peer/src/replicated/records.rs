//! Small named records: the highest version of a name wins.

use std::{collections::BTreeMap, sync::Arc};

use super::ReplicatedData;
use crate::{
    PeerError, RecordStamp,
    member::{NameHash, hash64},
};

/// Maximum number of records.
pub(crate) const MAX_RECORDS: usize = 1024;
/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;
/// Maximum length of a record name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;
/// Maximum total size of the records in one message, in bytes.
const MAX_BYTES_PER_MESSAGE: usize = 512 * 1024;

/// Named record with a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedRecord {
    /// Name, unique in the fleet.
    pub name: String,
    /// The highest version wins; between equal versions the higher hash of the bytes wins.
    pub version: u64,
    /// Opaque bytes, at most [`MAX_RECORD_BYTES`].
    pub bytes: Arc<[u8]>,
}

impl NamedRecord {
    fn stamp(&self) -> RecordStamp {
        RecordStamp {
            name: NameHash::of(&self.name),
            version: self.version,
            hash: hash64(&[&self.bytes]),
        }
    }
}

impl RecordStamp {
    fn rank(&self) -> (u64, u64) {
        (self.version, self.hash)
    }

    fn digest_hash(&self) -> u64 {
        let parts = [self.name.0, self.version, self.hash].map(u64::to_be_bytes);
        hash64(&[&parts[0], &parts[1], &parts[2]])
    }
}

impl ReplicatedData {
    /// Returns the records by name.
    #[must_use]
    pub fn records(&self) -> &Arc<BTreeMap<String, NamedRecord>> {
        &self.records
    }

    /// Merges a record; has no effect if the held one has the same or a higher rank.
    ///
    /// # Errors
    /// Returns an error if a size limit or the number of records is exceeded.
    pub fn put(&mut self, record: NamedRecord) -> Result<(), PeerError> {
        if record.name.len() > MAX_NAME_BYTES || record.bytes.len() > MAX_RECORD_BYTES {
            return Err(PeerError::TooLarge {
                what: "record",
                limit: MAX_RECORD_BYTES,
            });
        }
        let stamp = record.stamp();
        let held = self.records.get(&record.name).map(NamedRecord::stamp);
        if held.is_some_and(|held| held.rank() >= stamp.rank()) {
            return Ok(());
        }
        if held.is_none() && self.records.len() >= MAX_RECORDS {
            return Err(PeerError::TooLarge {
                what: "number of records",
                limit: MAX_RECORDS,
            });
        }
        self.records_hash ^= stamp.digest_hash() ^ held.map_or(0, |held| held.digest_hash());
        Arc::make_mut(&mut self.records).insert(record.name.clone(), record);
        self.has_changed = true;
        Ok(())
    }

    pub(super) fn record_digest(&self) -> Vec<RecordStamp> {
        self.records.values().map(NamedRecord::stamp).collect()
    }

    /// Returns the records that are missing from a digest or newer than in it, and whether the
    /// digest lists newer records than are held.
    pub(super) fn compare_records(&self, digest: &[RecordStamp]) -> (Vec<NamedRecord>, bool) {
        let theirs: BTreeMap<NameHash, (u64, u64)> = digest
            .iter()
            .map(|stamp| (stamp.name, stamp.rank()))
            .collect();
        let mut budget = MAX_BYTES_PER_MESSAGE;
        let mut missing = Vec::new();
        let mut ours = BTreeMap::new();
        for record in self.records.values() {
            let stamp = record.stamp();
            ours.insert(stamp.name, stamp.rank());
            let is_newer = theirs.get(&stamp.name) < Some(&stamp.rank());
            if is_newer && record.bytes.len() <= budget {
                budget -= record.bytes.len();
                missing.push(record.clone());
            }
        }
        let is_ahead = theirs
            .iter()
            .any(|(name, rank)| ours.get(name) < Some(rank));
        (missing, is_ahead)
    }
}
