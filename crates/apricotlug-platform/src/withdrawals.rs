//! Grow-only set of withdrawn keys.

use std::collections::BTreeSet;

use crate::{Client, Result, Swap, Watch};

const PREFIX: &str = "withdrawn/";

/// Grow-only set of the public ids of withdrawn keys, kept in the platform.
#[derive(Clone, Debug)]
pub struct Withdrawals {
    client: Client,
}

impl Withdrawals {
    /// Returns the set behind a client.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Adds a key id with a note on who withdrew it. Returns whether the platform surely holds it.
    ///
    /// # Errors
    /// When the platform can't be asked; adding again does no harm.
    pub async fn add(&self, key_id: &str, note: &[u8]) -> Result<bool> {
        let key = format!("{PREFIX}{key_id}");
        let swap = self.client.compare_and_swap(&key, None, note).await?;
        Ok(!matches!(swap, Swap::Unknown))
    }

    /// Returns all withdrawn key ids and the revision to watch from.
    ///
    /// # Errors
    /// When the platform can't be asked.
    pub async fn list(&self) -> Result<(BTreeSet<String>, i64)> {
        let (entries, revision) = self.client.list(PREFIX).await?;
        let ids = entries
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(PREFIX))
            .map(str::to_owned)
            .collect();
        Ok((ids, revision + 1))
    }

    /// Watches additions from a revision on.
    #[must_use]
    pub fn watch(&self, from_revision: i64) -> Watch {
        self.client.watch(PREFIX, from_revision)
    }
}
