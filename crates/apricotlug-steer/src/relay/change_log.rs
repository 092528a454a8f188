//! Copy of the store's items and recent changes, for instances that poll this one.
//!
//! Of each key only the last change is kept: an instance that polls needs the values that are in
//! force, not those that were replaced meanwhile. So the memory follows the size of the store's
//! items, however often they are written.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
};

use apricotlug_adapter::{Change, Item, Listing};
use apricotlug_model::{BootTime, HashMap};
use async_channel::{Receiver, Sender};
use thiserror::Error;

/// Number and bytes of removed keys that are kept. An instance whose revision is older than the
/// last removal beyond them gets all items.
const MAX_REMOVED_KEYS: usize = 4_096;
const MAX_REMOVED_BYTES: usize = 1 << 20;

/// Position of a change in the order in which changes were recorded.
type Position = u64;

/// Last change of a key.
#[derive(Debug)]
struct LastChange {
    position: Position,
    /// Item that was written; `None` if the key was removed.
    item: Option<Item>,
}

/// Key that changed.
#[derive(Debug)]
struct ChangedKey {
    key: String,
    /// Revision of the store's response that contained the change.
    revision: u64,
}

/// Channel on which nothing is sent: closing it is the signal.
#[derive(Debug)]
struct NextChange(Sender<()>, Receiver<()>);

impl Default for NextChange {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self(tx, rx)
    }
}

#[derive(Debug, Default)]
struct Inner {
    /// Keys that exist, and removed ones that are kept.
    keys: BTreeMap<String, LastChange>,
    /// The same keys in the order of their last change.
    order: BTreeMap<Position, ChangedKey>,
    /// Positions of the removed ones, and their bytes.
    removed: BTreeSet<Position>,
    removed_bytes: usize,
    next_position: Position,
    /// Revision after which the last changes of all keys are kept.
    complete_after: u64,
    revision: u64,
    /// Time as of which all changes are recorded; `None` before the first read.
    read_at: Option<BootTime>,
    /// Channel that closes at the next change. Everyone who waits holds a receiver of it, so that
    /// nothing is left of a wait that times out.
    next_change: NextChange,
    /// Bytes of the keys and values in `keys`.
    held_bytes: usize,
}

impl Inner {
    fn record(&mut self, changes: &[Change], revision: u64, read_at: BootTime) {
        self.revision = self.revision.max(revision);
        self.read_at = self.read_at.max(Some(read_at));
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Put(item) => self.replace(&item.key, Some(item.clone())),
                Change::Removed(key) => self.replace(key, None),
            }
        }
        while self.removed.len() > MAX_REMOVED_KEYS || self.removed_bytes > MAX_REMOVED_BYTES {
            self.drop_oldest_removal();
        }
        self.next_change.0.close();
        self.next_change = NextChange::default();
    }

    /// Records the last change of a key in place of the previous one.
    fn replace(&mut self, key: &str, item: Option<Item>) {
        let position = self.next_position;
        self.next_position += 1;
        self.held_bytes += key.len() + value_len(&item);
        if item.is_none() {
            self.removed.insert(position);
            self.removed_bytes += key.len();
        }
        let change = LastChange { position, item };
        if let Some(previous) = self.keys.insert(key.to_owned(), change) {
            self.order.remove(&previous.position);
            self.held_bytes -= key.len() + value_len(&previous.item);
            if self.removed.remove(&previous.position) {
                self.removed_bytes -= key.len();
            }
        }
        let changed = ChangedKey {
            key: key.to_owned(),
            revision: self.revision,
        };
        self.order.insert(position, changed);
    }

    fn drop_oldest_removal(&mut self) {
        let Some(position) = self.removed.pop_first() else {
            return;
        };
        if let Some(ChangedKey { key, revision }) = self.order.remove(&position) {
            self.complete_after = self.complete_after.max(revision);
            self.removed_bytes -= key.len();
            self.held_bytes -= key.len();
            self.keys.remove(&key);
        }
    }

    /// Iterates over the items that exist, in order of keys.
    fn items(&self) -> impl Iterator<Item = &Item> {
        self.keys.values().filter_map(|last| last.item.as_ref())
    }

    /// Returns the changes after a revision, in the order in which they were recorded.
    fn changes_after(&self, revision: u64) -> Vec<Change> {
        let newest_first = self.order.values().rev();
        let newest_first = newest_first.take_while(|changed| changed.revision > revision);
        let newest_first = newest_first.map(|ChangedKey { key, .. }| {
            let item = self.keys.get(key).and_then(|last| last.item.clone());
            item.map_or_else(|| Change::Removed(key.clone()), Change::Put)
        });
        let mut changes: Vec<_> = newest_first.collect();
        changes.reverse();
        changes
    }

    fn delta_after(&self, revision: u64) -> Delta {
        let is_empty = self.revision == 0;
        if !is_empty && (revision < self.complete_after || revision == 0) {
            let all = self.items().cloned().map(Change::Put);
            return Delta::Full(all.collect());
        }
        let changes = self.changes_after(revision);
        if changes.is_empty() {
            return Delta::Unchanged(self.next_change.1.clone());
        }
        Delta::Changes(changes)
    }
}

/// Error of a listing that would take the items back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the listing is of revision {listed}, and revision {known} is known")]
pub struct OlderListing {
    /// Revision of the listing.
    pub listed: u64,
    /// Revision up to which changes are recorded.
    pub known: u64,
}

/// Items of the store and their recent changes.
#[derive(Debug, Default)]
pub struct ChangeLog(Mutex<Inner>);

/// What changed after a given revision, and as of when.
///
/// The three are taken at once: a change that is recorded in between would count as passed on.
#[derive(Debug)]
pub struct Snapshot {
    /// Changes after the given revision.
    pub delta: Delta,
    /// Revision up to which the changes go.
    pub revision: u64,
    /// Time as of which they are all changes; `None` before the first read.
    pub read_at: Option<BootTime>,
}

/// Changes after a given revision.
#[derive(Debug)]
pub enum Delta {
    /// Nothing yet; the channel closes at the next change.
    Unchanged(Receiver<()>),
    /// Last change of each key, in the order in which they were recorded.
    Changes(Vec<Change>),
    /// All items, because not all changes since the revision are kept.
    Full(Vec<Change>),
}

impl ChangeLog {
    /// Records a full listing, requested at `read_at`, as the changes from the previous state, so that a store that drops
    /// its history does not make every instance fetch all items again. Returns these changes in
    /// order of keys.
    ///
    /// # Errors
    /// Returns an error if the listing is older than what is known, and then changes nothing.
    pub fn on_listing(
        &self,
        listing: &Listing,
        read_at: BootTime,
    ) -> Result<Vec<Change>, OlderListing> {
        let mut inner = self.lock();
        if listing.revision < inner.revision {
            return Err(OlderListing {
                listed: listing.revision,
                known: inner.revision,
            });
        }
        if inner.revision == 0 {
            inner.complete_after = listing.revision;
        }
        let listed: HashMap<&str, &Item> = listing
            .items
            .iter()
            .map(|item| (item.key.as_str(), item))
            .collect();
        let removed = inner.items().map(|item| &item.key);
        let removed = removed.filter(|key| !listed.contains_key(key.as_str()));
        let removed = removed.map(|key| Change::Removed(key.clone()));
        let updated = listing.items.iter().filter(|item| {
            let last = inner.keys.get(&item.key);
            let held = last.and_then(|last| last.item.as_ref());
            held.is_none_or(|held| held.revision != item.revision)
        });
        let updated = updated.map(|item| Change::Put(item.clone()));
        let mut changes: Vec<_> = removed.chain(updated).collect();
        changes.sort_by(|one, other| key_of(one).cmp(key_of(other)));
        inner.record(&changes, listing.revision, read_at);
        Ok(changes)
    }

    /// Records the changes up to a revision, which were requested at `read_at`.
    pub fn on_changes(&self, changes: &[Change], revision: u64, read_at: BootTime) {
        self.lock().record(changes, revision, read_at);
    }

    /// Returns how many instances wait for a change.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let inner = self.lock();
        // One receiver is the log's own.
        inner.next_change.1.receiver_count() - 1
    }

    /// Returns the bytes of all keys and values that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Returns what changed after a revision; nothing before the first listing.
    pub fn snapshot_after(&self, revision: u64) -> Snapshot {
        let inner = self.lock();
        Snapshot {
            delta: inner.delta_after(revision),
            revision: inner.revision,
            read_at: inner.read_at,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(item) => &item.key,
        Change::Removed(key) => key,
    }
}

fn value_len(item: &Option<Item>) -> usize {
    item.as_ref().map_or(0, |item| item.value.len())
}
