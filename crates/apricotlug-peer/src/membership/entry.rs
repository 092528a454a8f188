//! Rows of the membership table.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_model::MonoTime;

use super::{DEATH_SPREADS_FOR, SUSPECT_AFTER, SUSPECT_AFTER_FAILED_CALL};
use crate::{DigestEntry, MemberRecord, NameHash, Progress, Pulse, State, member::hash64};

/// How much a conversation opens with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Talk {
    /// Signs of life, summaries and all that is new.
    Full,
    /// What is new alone.
    Push,
}

/// Whom to call next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Member, where the address is one of a known member.
    pub id: Option<NameHash>,
    /// Address.
    pub addr: SocketAddr,
    /// How much to open with.
    pub talk: Talk,
}

/// Row of one member.
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

    /// Returns the row with a newer record; signs of life are kept within one run only.
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

    /// Tells whether the death is so old that it is no longer compared.
    pub fn is_buried(&self, now: MonoTime) -> bool {
        self.is_dead() && now.since(self.changed_at) > DEATH_SPREADS_FOR
    }

    /// Returns the silence after which the member is suspect.
    pub fn patience(&self) -> Duration {
        if self.has_failed_call {
            SUSPECT_AFTER_FAILED_CALL
        } else {
            SUSPECT_AFTER
        }
    }

    /// Returns the silence after which the member counts as dead.
    pub fn lifetime(&self) -> Duration {
        self.patience() * 2
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

/// Counter of one data centre.
#[derive(Clone, Copy, Debug)]
pub(super) struct Beat {
    pub value: u32,
    pub floor: Progress,
    /// Beat at which the floor was taken.
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
