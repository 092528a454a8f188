//! The one message of the exchange between two instances, as plain data.

use crate::{BundleHead, MemberRecord, NameHash, NamedRecord, Progress};

/// What a data centre's members hold, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Hash of the data centre's name.
    pub data_centre: NameHash,
    /// Hash over the records of its members.
    pub hash: u64,
    /// Beat at which the floor was taken.
    pub beat: u32,
    /// What all of its live members hold, at least.
    pub floor: Progress,
}

/// Sign of life of a data centre: a counter that its live members raise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteBeat {
    /// Upper half of the hash of the data centre's name.
    pub data_centre: u32,
    /// Counter; it stands still once all members are silent.
    pub beat: u32,
}

/// Sign of life of a member of the sender's data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pulse {
    /// Hash of the member's name.
    pub id: NameHash,
    /// Short hash of the member's run.
    pub run: u32,
    /// Revision of the member's record.
    pub revision: u32,
    /// Counter that the member raises once a period.
    pub heartbeat: u32,
    /// Load in thousandths.
    pub load: u16,
    /// What the member holds.
    pub progress: Progress,
}

/// Run and revision of one member's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DigestEntry {
    /// Hash of the member's name.
    pub id: NameHash,
    /// Short hash of the member's run.
    pub run: u32,
    /// Revision of the member's record.
    pub revision: u32,
}

/// Digest of the records of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDigest {
    /// Hash of the data centre's name.
    pub data_centre: NameHash,
    /// Whether all records are listed.
    pub is_complete: bool,
    /// Records.
    pub entries: Vec<DigestEntry>,
}

/// What the sender holds of the news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewsDigest {
    /// What it holds of bundle and withdrawn keys.
    pub progress: Progress,
    /// Hash over names and versions of its records.
    pub records: u64,
}

/// Name and version of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordStamp {
    /// Hash of the name.
    pub name: NameHash,
    /// Version.
    pub version: u64,
    /// Hash of the bytes; decides between two records of one version.
    pub hash: u64,
}

/// Message of the exchange: request and reply have the same form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exchange {
    /// Hash of the sender's name.
    pub sender: NameHash,
    /// Hash of the name of the sender's data centre.
    pub data_centre: NameHash,
    /// Number of messages before this one in the conversation.
    pub round: u8,
    /// Signs of life of data centres.
    pub beats: Vec<SiteBeat>,
    /// Data centres in short.
    pub summaries: Vec<Summary>,
    /// Signs of life, between members of one data centre only.
    pub pulses: Vec<Pulse>,
    /// Digests of data centres whose records differ.
    pub digests: Vec<MemberDigest>,
    /// Members whose record the sender asks for.
    pub wants: Vec<NameHash>,
    /// Records that are new or that the receiver lacks.
    pub members: Vec<MemberRecord>,
    /// What the sender holds of the news.
    pub news: NewsDigest,
    /// Head of the sender's bundle, where the receiver's is older.
    pub head: Option<BundleHead>,
    /// Ids of withdrawn keys.
    pub withdrawn: Vec<String>,
    /// Hashes of all withdrawn key ids that the sender holds.
    pub withdrawn_digest: Vec<NameHash>,
    /// Names and versions of all records that the sender holds.
    pub record_digest: Vec<RecordStamp>,
    /// Records that the receiver lacks.
    pub records: Vec<NamedRecord>,
}

impl Exchange {
    /// Tells whether the message carries something that its receiver should act on.
    #[must_use]
    pub fn has_content(&self) -> bool {
        let has_members =
            !self.digests.is_empty() || !self.wants.is_empty() || !self.members.is_empty();
        let has_digests = !self.withdrawn_digest.is_empty() || !self.record_digest.is_empty();
        let has_news =
            self.head.is_some() || !self.withdrawn.is_empty() || !self.records.is_empty();
        has_members || has_digests || has_news
    }
}
