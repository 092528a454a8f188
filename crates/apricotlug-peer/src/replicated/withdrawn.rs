//! Grow-only set of withdrawn keys.

use std::{collections::BTreeSet, sync::Arc};

use super::News;
use crate::{NameHash, PeerError};

/// Longest key id, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Most withdrawn keys that an instance holds.
pub(crate) const MAX_KEYS: usize = 32 * 1024;
/// Most keys in one message.
pub(crate) const MAX_KEYS_PER_MESSAGE: usize = 512;
/// Withdrawals that are sent first and whose confirmation is followed.
const RECENT: usize = 64;

/// Withdrawal and the hash of the set that includes it.
#[derive(Clone, Debug)]
pub(super) struct Withdrawal {
    pub key: String,
    hash_after: u64,
}

impl News {
    /// Returns the ids of withdrawn keys.
    #[must_use]
    pub fn withdrawn(&self) -> &Arc<BTreeSet<String>> {
        &self.withdrawn
    }

    /// Withdraws a key.
    ///
    /// # Errors
    /// Where the id is empty or too long, or too many keys are withdrawn.
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
        self.note(key);
        self.has_changed = true;
        Ok(())
    }

    fn note(&mut self, key: &str) {
        if self.withdrawals.len() >= RECENT {
            self.withdrawals.remove(0);
        }
        self.withdrawals.push(Withdrawal {
            key: key.to_owned(),
            hash_after: self.withdrawn_hash,
        });
    }

    /// Returns the recent withdrawals that an instance with this set has not confirmed.
    ///
    /// A set that this instance never held itself confirms none of them.
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

    /// Returns the most recent withdrawals.
    pub(super) fn recent_withdrawals(&self) -> Vec<String> {
        let recent = self.withdrawals.iter().rev();
        recent.map(|withdrawal| withdrawal.key.clone()).collect()
    }

    /// Returns the keys that a digest lacks, and whether the digest lists any that are not held.
    pub(super) fn compare_withdrawn(&self, digest: &[NameHash]) -> (Vec<String>, bool) {
        let theirs: BTreeSet<NameHash> = digest.iter().copied().collect();
        let lacking = self.withdrawn.iter();
        let lacking = lacking.filter(|key| !theirs.contains(&NameHash::of(key)));
        let lacking = lacking.take(MAX_KEYS_PER_MESSAGE).cloned().collect();
        let is_ahead = theirs
            .iter()
            .any(|hash| !self.withdrawn_hashes.contains(hash));
        (lacking, is_ahead)
    }
}
