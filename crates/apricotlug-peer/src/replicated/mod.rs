//! Replicated data: the bundle, the set of withdrawn keys and small named records. The merge result
//! does not depend on the order of messages.
//!
//! The bundle with the highest version wins, and a lower one is never installed. Withdrawn keys
//! form a grow-only set. Of two records with the same name the higher version wins.

mod exchange;
mod fetch;
mod records;
mod withdrawn;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use apricotlug_model::MonoTime;

use crate::{BundleHead, CompleteBundle, NameHash, Progress};

pub(crate) use withdrawn::MAX_KEYS_PER_MESSAGE;
use {fetch::Pending, withdrawn::Withdrawal};
pub use {
    fetch::{Fetch, FetchOutcome},
    records::{MAX_RECORD_BYTES, NamedRecord},
    withdrawn::MAX_KEY_BYTES,
};
pub(crate) use {records::MAX_RECORDS, withdrawn::MAX_KEYS};

/// Replicated data held by one instance. Uses neither clock nor I/O.
#[derive(Clone, Debug, Default)]
pub struct ReplicatedData {
    bundle: Option<Arc<CompleteBundle>>,
    pending: Option<Pending>,
    completed: Vec<Arc<CompleteBundle>>,
    withdrawn: Arc<BTreeSet<String>>,
    withdrawn_hashes: BTreeSet<NameHash>,
    withdrawn_hash: u64,
    withdrawals: Vec<Withdrawal>,
    records: Arc<BTreeMap<String, NamedRecord>>,
    records_hash: u64,
    has_changed: bool,
}

impl ReplicatedData {
    /// Returns the newest complete bundle; `None` before the first one.
    #[must_use]
    pub fn bundle(&self) -> Option<&Arc<CompleteBundle>> {
        self.bundle.as_ref()
    }

    /// Returns the bundle version and the hash of the withdrawn keys.
    #[must_use]
    pub fn progress(&self) -> Progress {
        Progress {
            bundle: self.version(),
            withdrawn: self.withdrawn_hash,
        }
    }

    /// Returns the version of the newest complete bundle; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.bundle.as_ref().map_or(0, |bundle| bundle.head.version)
    }

    /// Installs a complete bundle; has no effect if one of the same or a higher version is held.
    pub fn publish(&mut self, bundle: CompleteBundle) {
        if bundle.head.version <= self.version() {
            return;
        }
        let bundle = Arc::new(bundle);
        self.pending
            .take_if(|pending| pending.head.version <= bundle.head.version);
        self.completed.push(Arc::clone(&bundle));
        self.bundle = Some(bundle);
        self.has_changed = true;
    }

    /// Starts to fetch the bundle that a peer offers, unless one of the same or a higher version is
    /// held or being fetched.
    pub fn offer(&mut self, head: BundleHead, source: NameHash, now: MonoTime) {
        let known = self
            .pending
            .as_ref()
            .map_or(0, |pending| pending.head.version);
        if head.version <= self.version().max(known) {
            return;
        }
        let mut held = self
            .bundle
            .as_ref()
            .map_or(Vec::new(), |b| b.chunks.clone());
        let pending = self.pending.take();
        held.extend(pending.into_iter().flat_map(|pending| pending.chunks));
        self.pending = Some(Pending::new(head, held, source, now));
        self.complete();
    }

    /// Returns the bundles completed since the last call.
    pub fn take_completed(&mut self) -> Vec<Arc<CompleteBundle>> {
        std::mem::take(&mut self.completed)
    }

    /// Returns whether data has changed that must be pushed at once, and resets the flag.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Installs the pending bundle if all of its chunks have been fetched.
    fn complete(&mut self) {
        let complete = self
            .pending
            .as_ref()
            .and_then(|pending| CompleteBundle::new(pending.head.clone(), &pending.chunks).ok());
        if let Some(bundle) = complete {
            self.publish(bundle);
        }
    }
}
