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
use apricotlug_model::{BootTime, HashMap, StoreVersion};
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
    /// Revision of the store's response that contained the change, in the era of the log.
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
    /// Version up to which changes are recorded. Nothing is kept of an earlier era.
    version: StoreVersion,
    /// Time as of which all changes are recorded; `None` before the first read.
    read_at: Option<BootTime>,
    /// Channel that closes at the next change. Everyone who waits holds a receiver of it, so that
    /// nothing is left of a wait that times out.
    next_change: NextChange,
    /// Bytes of the keys and values in `keys`.
    held_bytes: usize,
}

impl Inner {
    fn record(&mut self, changes: &[Change], revision: u64, read_at: Option<BootTime>) {
        self.version.revision = self.version.revision.max(revision);
        self.read_at = self.read_at.max(read_at);
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
        self.wake();
    }

    /// Ends the waits for a change.
    fn wake(&mut self) {
        self.next_change.0.close();
        self.next_change = NextChange::default();
    }

    /// Replaces everything by the listing of a newer era, whose revisions say nothing about those
    /// that were recorded.
    fn restart(&mut self, listing: &Listing, read_at: BootTime) {
        let (next_position, known_at) = (self.next_position, self.read_at);
        let next_change = std::mem::take(&mut self.next_change);
        *self = Self {
            next_position,
            next_change,
            version: listing.version,
            complete_after: listing.version.revision,
            read_at: known_at.max(Some(read_at)),
            ..Self::default()
        };
        for item in &listing.items {
            self.replace(&item.key, Some(item.clone()));
        }
        self.wake();
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
            revision: self.version.revision,
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

    /// Returns the changes that lead from the items that exist to those of a listing. A value counts
    /// as well as a revision, which another era may have given to another value.
    fn changes_to(&self, listing: &Listing) -> Vec<Change> {
        let listed: HashMap<&str, &Item> = listing
            .items
            .iter()
            .map(|item| (item.key.as_str(), item))
            .collect();
        let removed = self.items().map(|item| &item.key);
        let removed = removed.filter(|key| !listed.contains_key(key.as_str()));
        let removed = removed.map(|key| Change::Removed(key.clone()));
        let updated = listing.items.iter().filter(|item| {
            let last = self.keys.get(&item.key);
            let held = last.and_then(|last| last.item.as_ref());
            held.is_none_or(|held| held.revision != item.revision || held.value != item.value)
        });
        let updated = updated.map(|item| Change::Put(item.clone()));
        let mut changes: Vec<_> = removed.chain(updated).collect();
        changes.sort_by(|one, other| one.key().cmp(other.key()));
        changes
    }

    fn delta_after(&self, known: StoreVersion) -> Delta {
        let is_empty = self.version.revision == 0;
        let is_older_era = known.era < self.version.era;
        let is_incomplete = known.revision < self.complete_after || known.revision == 0;
        if !is_empty && (is_older_era || known.era == self.version.era && is_incomplete) {
            let all = self.items().cloned().map(Change::Put);
            return Delta::Full(all.collect());
        }
        if known.era > self.version.era {
            return Delta::Unchanged(self.next_change.1.clone());
        }
        let changes = self.changes_after(known.revision);
        if changes.is_empty() {
            return Delta::Unchanged(self.next_change.1.clone());
        }
        Delta::Changes(changes)
    }
}

/// Error of a read that would take the items back, or that does not follow from what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the read is of version {read}, and version {known} is known")]
pub struct OlderRead {
    /// Version of the read.
    pub read: StoreVersion,
    /// Version up to which changes are recorded.
    pub known: StoreVersion,
}

/// What a listing changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedChanges {
    /// Changes from the previous state, in order of keys.
    pub changes: Vec<Change>,
    /// Version before the listing, if that was of an earlier era: the listing may be of an older
    /// state.
    pub replaced_era: Option<StoreVersion>,
}

/// Items of the store and their recent changes.
#[derive(Debug, Default)]
pub struct ChangeLog(Mutex<Inner>);

/// What changed after a given version, and as of when.
///
/// The three are taken at once: a change that is recorded in between would count as passed on.
#[derive(Debug)]
pub struct Snapshot {
    /// Changes after the given version.
    pub delta: Delta,
    /// Version up to which the changes go.
    pub version: StoreVersion,
    /// Time as of which they are all changes; `None` before the first read.
    pub read_at: Option<BootTime>,
}

/// Changes after a given version.
#[derive(Debug)]
pub enum Delta {
    /// Nothing yet; the channel closes at the next change.
    Unchanged(Receiver<()>),
    /// Last change of each key, in the order in which they were recorded.
    Changes(Vec<Change>),
    /// All items, because not all changes since the version are kept, or it is of an
    /// earlier era.
    Full(Vec<Change>),
}

impl ChangeLog {
    /// Records a full listing, requested at `read_at`, as the changes from the previous state, so
    /// that a store that drops its history does not make every instance fetch all items again. The
    /// listing of a newer era is taken whatever its revision.
    ///
    /// # Errors
    /// Returns an error if the listing is older than what is known, and then changes nothing.
    pub fn on_listing(
        &self,
        listing: &Listing,
        read_at: BootTime,
    ) -> Result<ListedChanges, OlderRead> {
        let mut inner = self.lock();
        if listing.version < inner.version {
            return Err(OlderRead {
                read: listing.version,
                known: inner.version,
            });
        }
        let changes = inner.changes_to(listing);
        let replaced_era = Some(inner.version).filter(|known| listing.version.era > known.era);
        if replaced_era.is_some() {
            inner.restart(listing, read_at);
        } else {
            if inner.version.revision == 0 {
                inner.complete_after = listing.version.revision;
            }
            inner.record(&changes, listing.version.revision, Some(read_at));
        }
        Ok(ListedChanges {
            changes,
            replaced_era,
        })
    }

    /// Records the changes up to a version, which were requested at `read_at`; `None` where they are
    /// a part of those that there were.
    ///
    /// # Errors
    /// Returns an error if the version is of another era than what is known, and then changes
    /// nothing.
    pub fn on_changes(
        &self,
        changes: &[Change],
        version: StoreVersion,
        read_at: impl Into<Option<BootTime>>,
    ) -> Result<(), OlderRead> {
        let mut inner = self.lock();
        if version.era != inner.version.era {
            return Err(OlderRead {
                read: version,
                known: inner.version,
            });
        }
        inner.record(changes, version.revision, read_at.into());
        Ok(())
    }

    /// Returns the first item whose key passes a test.
    pub fn find(&self, is_sought: impl Fn(&str) -> bool) -> Option<Item> {
        let inner = self.lock();
        inner.items().find(|item| is_sought(&item.key)).cloned()
    }

    /// Returns the era of what is known; 0 before the first read.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.lock().version.era
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

    /// Returns what changed after a version: all items if it is of an earlier era, and nothing before
    /// the first listing or if it is of a later era.
    pub fn snapshot_after(&self, known: StoreVersion) -> Snapshot {
        let inner = self.lock();
        Snapshot {
            delta: inner.delta_after(known),
            version: inner.version,
            read_at: inner.read_at,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn value_len(item: &Option<Item>) -> usize {
    item.as_ref().map_or(0, |item| item.value.len())
}
