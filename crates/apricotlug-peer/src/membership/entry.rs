//! Entries of the membership table.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_model::MonoTime;

use super::{SUSPECT_AFTER, SUSPECT_AFTER_FAILED_CALL, TOMBSTONE_GOSSIP_PERIOD};
use crate::{DigestEntry, MemberRecord, NameHash, Progress, Pulse, State, member::hash64};

/// Content of the message that opens a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExchangeKind {
    /// Heartbeats, summaries and all recent changes.
    Full,
    /// Recent changes only.
    Push,
}

/// Peer to contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Member; `None` if the address does not come from a known member.
    pub id: Option<NameHash>,
    /// Peer address to connect to.
    pub addr: SocketAddr,
    /// Content of the opening message.
    pub kind: ExchangeKind,
}

/// Table entry of one member.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub record: Arc<MemberRecord>,
    pub run: u32,
    pub revision: u32,
    pub hash: u64,
    pub data_centre: NameHash,
    pub heartbeat: u32,
    pub load: u16,
    pub progress: Progress,
    pub advanced_at: MonoTime,
    pub changed_at: MonoTime,
    pub has_failed_call: bool,
}

impl Entry {
    pub fn new(record: MemberRecord, now: MonoTime) -> Self {
        let run = record.run();
        let revision = record.revision();
        let name = NameHash::of(&record.id.name);
        let hash = hash64(&[
            &name.0.to_be_bytes(),
            &run.to_be_bytes(),
            &revision.to_be_bytes(),
        ]);
        Self {
            run,
            revision,
            hash,
            data_centre: NameHash::of(&record.data_centre),
            record: Arc::new(record),
            heartbeat: 0,
            load: 0,
            progress: Progress::default(),
            advanced_at: now,
            changed_at: now,
            has_failed_call: false,
        }
    }

    /// Returns the entry with a newer record; heartbeat, load and progress are kept only if the run
    /// is the same.
    pub fn with(&self, record: MemberRecord, now: MonoTime) -> Self {
        let mut entry = Self::new(record, now);
        if entry.run == self.run {
            entry.heartbeat = self.heartbeat;
            entry.load = self.load;
            entry.progress = self.progress;
        }
        entry
    }

    pub fn is_dead(&self) -> bool {
        self.record.state == State::Dead
    }

    /// Returns whether the member died so long ago that digests no longer include it.
    pub fn is_expired_tombstone(&self, now: MonoTime) -> bool {
        self.is_dead() && now.since(self.changed_at) > TOMBSTONE_GOSSIP_PERIOD
    }

    /// Returns the time without heartbeat after which the member is suspect.
    pub fn suspect_after(&self) -> Duration {
        if self.has_failed_call {
            SUSPECT_AFTER_FAILED_CALL
        } else {
            SUSPECT_AFTER
        }
    }

    /// Returns the time without heartbeat after which the member is declared dead.
    pub fn dead_after(&self) -> Duration {
        self.suspect_after() * 2
    }

    pub fn pulse(&self, id: NameHash) -> Pulse {
        Pulse {
            id,
            run: self.run,
            revision: self.revision,
            heartbeat: self.heartbeat,
            load: self.load,
            progress: self.progress,
        }
    }

    pub fn digest(&self, id: NameHash) -> DigestEntry {
        DigestEntry {
            id,
            run: self.run,
            revision: self.revision,
        }
    }
}

/// Beat counter of one data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct Beat {
    pub value: u32,
    pub floor: Progress,
    /// Value of the counter when the floor was computed.
    pub floor_beat: u32,
    pub advanced_at: MonoTime,
}

impl Beat {
    pub fn new(now: MonoTime) -> Self {
        Self {
            value: 0,
            floor: Progress::default(),
            floor_beat: 0,
            advanced_at: now,
        }
    }
}
