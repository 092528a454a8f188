//! Grow-only set of withdrawn keys.

use std::{collections::BTreeSet, sync::Arc};

use super::ReplicatedData;
use crate::{NameHash, PeerError};

/// Maximum length of a key id, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Maximum number of withdrawn keys that an instance holds.
pub(crate) const MAX_KEYS: usize = 32 * 1024;
/// Maximum number of withdrawn keys in one message.
pub(crate) const MAX_KEYS_PER_MESSAGE: usize = 512;
/// Number of most recent withdrawals that are sent first and whose confirmation is tracked.
const MAX_RECENT_WITHDRAWALS: usize = 64;

/// Withdrawal and the hash of the set right after it was added.
#[derive(Clone, Debug)]
pub(super) struct Withdrawal {
    pub key: String,
    hash_after: u64,
}

impl ReplicatedData {
    /// Returns the ids of withdrawn keys.
    #[must_use]
    pub fn withdrawn(&self) -> &Arc<BTreeSet<String>> {
        &self.withdrawn
    }

    /// Adds a key to the withdrawn keys; has no effect if it is withdrawn already.
    ///
    /// # Errors
    /// Returns an error if the id is empty or too long, or too many keys are withdrawn.
    pub fn withdraw(&mut self, key: &str) -> Result<(), PeerError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(PeerError::TooLarge {
                what: "key id",
                limit: MAX_KEY_BYTES,
            });
        }
        if self.withdrawn.contains(key) {
            return Ok(());
        }
        if self.withdrawn.len() >= MAX_KEYS {
            return Err(PeerError::TooLarge {
                what: "number of withdrawn keys",
                limit: MAX_KEYS,
            });
        }
        let hash = NameHash::of(key);
        Arc::make_mut(&mut self.withdrawn).insert(key.to_owned());
        self.withdrawn_hashes.insert(hash);
        self.withdrawn_hash ^= hash.0;
        self.push_recent(key);
        self.has_changed = true;
        Ok(())
    }

    fn push_recent(&mut self, key: &str) {
        if self.withdrawals.len() >= MAX_RECENT_WITHDRAWALS {
            self.withdrawals.remove(0);
        }
        self.withdrawals.push(Withdrawal {
            key: key.to_owned(),
            hash_after: self.withdrawn_hash,
        });
    }

    /// Returns the recent withdrawals that an instance has not confirmed, given the hash of its
    /// set.
    ///
    /// A hash that matches no recent set of this instance confirms none of them.
    #[must_use]
    pub fn unconfirmed_by(&self, set_hash: u64) -> Vec<&str> {
        let mut newest_first = self.withdrawals.iter().rev();
        let mut unconfirmed = Vec::new();
        for withdrawal in newest_first.by_ref() {
            if withdrawal.hash_after == set_hash {
                break;
            }
            unconfirmed.push(withdrawal.key.as_str());
        }
        unconfirmed
    }

    /// Returns the key ids of the recent withdrawals, newest first.
    pub(super) fn recent_withdrawals(&self) -> Vec<String> {
        let recent = self.withdrawals.iter().rev();
        recent.map(|withdrawal| withdrawal.key.clone()).collect()
    }

    /// Returns the keys that are missing from a digest, and whether the digest lists keys that are
    /// not held.
    pub(super) fn compare_withdrawn(&self, digest: &[NameHash]) -> (Vec<String>, bool) {
        let theirs: BTreeSet<NameHash> = digest.iter().copied().collect();
        let missing = self.withdrawn.iter();
        let missing = missing.filter(|key| !theirs.contains(&NameHash::of(key)));
        let missing = missing.take(MAX_KEYS_PER_MESSAGE).cloned().collect();
        let is_ahead = theirs
            .iter()
            .any(|hash| !self.withdrawn_hashes.contains(hash));
        (missing, is_ahead)
    }
}
