//! Gossip message that two instances exchange, as plain data.

use crate::{BundleHead, MemberRecord, NameHash, NamedRecord, Progress};

/// Summary of the members of one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Hash of the data centre's name.
    pub data_centre: NameHash,
    /// Hash over the member records of the data centre.
    pub hash: u64,
    /// Value of the beat counter when the floor was computed.
    pub beat: u32,
    /// Minimum progress over all live members of the data centre.
    pub floor: Progress,
}

/// Heartbeat of a data centre: a counter that its live members increment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataCentreBeat {
    /// Upper half of the hash of the data centre's name.
    pub data_centre: u32,
    /// Counter; it stops advancing once no member sends heartbeats.
    pub beat: u32,
}

/// Heartbeat of a member of the sender's data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pulse {
    /// Hash of the member's name.
    pub id: NameHash,
    /// 32-bit hash that identifies the member's run.
    pub run: u32,
    /// Revision of the member's record.
    pub revision: u32,
    /// Counter that the member increments once per gossip period.
    pub heartbeat: u32,
    /// Load in thousandths of the capacity.
    pub load: u16,
    /// Versions of the replicated data that the member holds.
    pub progress: Progress,
}

/// Run and revision of one member's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestEntry {
    /// Hash of the member's name.
    pub id: NameHash,
    /// 32-bit hash that identifies the member's run.
    pub run: u32,
    /// Revision of the member's record.
    pub revision: u32,
}

/// Digest of the records of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDigest {
    /// Hash of the data centre's name.
    pub data_centre: NameHash,
    /// Whether `entries` covers all records of the data centre.
    pub is_complete: bool,
    /// Run and revision of each listed record.
    pub entries: Vec<DigestEntry>,
}

/// Digest of the replicated data that the sender holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DataDigest {
    /// Bundle version and hash of the withdrawn keys.
    pub progress: Progress,
    /// Hash over names, versions and contents of its records; 0 for no records.
    pub records: u64,
}

/// Name, version and content hash of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordStamp {
    /// Hash of the record name.
    pub name: NameHash,
    /// Version of the record; the highest wins.
    pub version: u64,
    /// Hash of the bytes; the higher one wins between records of the same version.
    pub hash: u64,
}

/// Gossip message; request and reply have the same form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exchange {
    /// Hash of the sender's name.
    pub sender: NameHash,
    /// Hash of the name of the sender's data centre.
    pub data_centre: NameHash,
    /// Number of messages before this one in the session; 0 for the opening request.
    pub round: u8,
    /// Beat counters of data centres.
    pub beats: Vec<DataCentreBeat>,
    /// Summaries of data centres.
    pub summaries: Vec<Summary>,
    /// Heartbeats of members; sent within one data centre only.
    pub pulses: Vec<Pulse>,
    /// Digests of data centres whose records differ.
    pub digests: Vec<MemberDigest>,
    /// Members whose record the sender requests.
    pub wants: Vec<NameHash>,
    /// Member records that changed recently or that the receiver is missing.
    pub members: Vec<MemberRecord>,
    /// Digest of the replicated data that the sender holds.
    pub data: DataDigest,
    /// Head of the sender's bundle; `None` unless the receiver's is known or assumed to be older.
    pub head: Option<BundleHead>,
    /// Ids of withdrawn keys that the receiver may be missing.
    pub withdrawn: Vec<String>,
    /// Hashes of all withdrawn key ids that the sender holds; empty where not sent.
    pub withdrawn_digest: Vec<NameHash>,
    /// Stamps of all records that the sender holds; empty where not sent.
    pub record_digest: Vec<RecordStamp>,
    /// Records that the receiver is missing.
    pub records: Vec<NamedRecord>,
}

impl Exchange {
    /// Returns whether the message carries content that its receiver must process.
    #[must_use]
    pub fn has_content(&self) -> bool {
        let has_members =
            !self.digests.is_empty() || !self.wants.is_empty() || !self.members.is_empty();
        let has_digests = !self.withdrawn_digest.is_empty() || !self.record_digest.is_empty();
        let has_data =
            self.head.is_some() || !self.withdrawn.is_empty() || !self.records.is_empty();
        has_members || has_digests || has_data
    }
}
