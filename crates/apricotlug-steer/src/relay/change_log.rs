//! Copy of the store's items and recent changes, for instances that poll this one.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use apricotlug_adapter::{Change, Item, Listing};
use apricotlug_model::HashMap;
use async_channel::{Receiver, Sender};

/// Number of changes that are kept. An instance whose revision is older gets all items.
const MAX_CHANGES: usize = 4_096;

#[derive(Debug, Default)]
struct Inner {
    items: BTreeMap<String, Item>,
    /// Changes, each with the revision of the store's response that contained it.
    changes: VecDeque<(u64, Change)>,
    /// Revision after which all changes are kept.
    complete_after: u64,
    revision: u64,
    waiters: Vec<Sender<()>>,
    /// Bytes of keys and values in `items` and `changes`.
    held_bytes: usize,
}

impl Inner {
    fn record(&mut self, changes: &[Change], revision: u64) {
        self.revision = self.revision.max(revision);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Put(item) => {
                    self.held_bytes += item_bytes(item);
                    let replaced = self.items.insert(item.key.clone(), item.clone());
                    self.held_bytes -= replaced.as_ref().map_or(0, item_bytes);
                }
                Change::Removed(key) => {
                    let removed = self.items.remove(key);
                    self.held_bytes -= removed.as_ref().map_or(0, item_bytes);
                }
            }
            self.held_bytes += change_bytes(change);
            self.changes.push_back((revision, change.clone()));
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some((revision, change)) = self.changes.pop_front() {
                self.complete_after = revision;
                self.held_bytes -= change_bytes(&change);
            }
        }
        // Dropping the senders closes the channels, which wakes the waiting requests.
        self.waiters.clear();
    }
}

/// Items of the store and their recent changes.
#[derive(Debug, Default)]
pub struct ChangeLog(Mutex<Inner>);

/// What changed after a given revision.
#[derive(Debug)]
pub enum Delta {
    /// Nothing yet; the channel closes at the next change.
    Unchanged(Receiver<()>),
    /// Changes in the order in which they were recorded.
    Changes(Vec<Change>),
    /// All items, because not all changes since the revision are kept.
    Full(Vec<Change>),
}

impl ChangeLog {
    /// Records a full listing as the changes from the previous state, so that a store that drops
    /// its history does not make every instance fetch all items again. Returns these changes in
    /// order of keys.
    pub fn on_listing(&self, listing: &Listing) -> Vec<Change> {
        let mut inner = self.lock();
        if inner.revision == 0 {
            inner.complete_after = listing.revision;
        }
        let listed: HashMap<&str, &Item> = listing
            .items
            .iter()
            .map(|item| (item.key.as_str(), item))
            .collect();
        let removed = inner.items.keys();
        let removed = removed.filter(|key| !listed.contains_key(key.as_str()));
        let removed = removed.map(|key| Change::Removed(key.clone()));
        let updated = listing.items.iter().filter(|item| {
            let held = inner.items.get(&item.key);
            held.is_none_or(|held| held.revision != item.revision)
        });
        let updated = updated.map(|item| Change::Put(item.clone()));
        let mut changes: Vec<_> = removed.chain(updated).collect();
        changes.sort_by(|one, other| key_of(one).cmp(key_of(other)));
        inner.record(&changes, listing.revision);
        changes
    }

    /// Records changes up to a revision.
    pub fn on_changes(&self, changes: &[Change], revision: u64) {
        self.lock().record(changes, revision);
    }

    /// Returns the revision up to which the store's state is known.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Returns the bytes of all keys and values that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Returns what changed after a revision; nothing before the first listing.
    pub fn delta_after(&self, revision: u64) -> Delta {
        let mut inner = self.lock();
        let is_empty = inner.revision == 0;
        if !is_empty && (revision < inner.complete_after || revision == 0) {
            let all = inner.items.values().cloned().map(Change::Put);
            return Delta::Full(all.collect());
        }
        let updated = inner
            .changes
            .iter()
            .filter(|(changed_at, _)| *changed_at > revision);
        let updated: Vec<_> = updated.map(|(_, change)| change.clone()).collect();
        if updated.is_empty() {
            let (tx, rx) = async_channel::bounded(1);
            inner.waiters.push(tx);
            return Delta::Unchanged(rx);
        }
        Delta::Changes(updated)
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

fn item_bytes(item: &Item) -> usize {
    item.key.len() + item.value.len()
}

fn change_bytes(change: &Change) -> usize {
    match change {
        Change::Put(item) => item_bytes(item),
        Change::Removed(key) => key.len(),
    }
}
