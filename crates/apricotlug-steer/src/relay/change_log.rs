//! Copy of the store's items and recent changes, for instances that poll this one.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use apricotlug_adapter::{Change, Item, Page};
use apricotlug_model::HashMap;
use async_channel::{Receiver, Sender};

/// Number of changes that are kept. An instance whose revision is older gets all items.
const MOST_CHANGES: usize = 4_096;

#[derive(Debug, Default)]
struct Inner {
    items: BTreeMap<String, Item>,
    /// Changes, each with the revision of the store's answer that contained it.
    changes: VecDeque<(u64, Change)>,
    /// Revision after which all changes are kept.
    from: u64,
    revision: u64,
    waiting: Vec<Sender<()>>,
}

impl Inner {
    fn take(&mut self, changes: &[Change], revision: u64) {
        self.revision = self.revision.max(revision);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Put(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                Change::Removed(key) => {
                    self.items.remove(key);
                }
            }
            self.changes.push_back((revision, change.clone()));
        }
        while self.changes.len() > MOST_CHANGES {
            if let Some((gone, _)) = self.changes.pop_front() {
                self.from = gone;
            }
        }
        // Dropping the senders closes the channels, which wakes the waiting requests.
        self.waiting.clear();
    }
}

/// Items of the store and their recent changes.
#[derive(Debug, Default)]
pub struct Log(Mutex<Inner>);

/// What changed after a given revision.
#[derive(Debug)]
pub enum Unseen {
    /// Nothing yet; the channel closes at the next change.
    None(Receiver<()>),
    /// Changes in the order in which they were recorded.
    Changes(Vec<Change>),
    /// All items, because not all changes since the revision are kept.
    Full(Vec<Change>),
}

impl Log {
    /// Records a full listing as the changes from the previous state, so that a store that drops
    /// its history does not make every instance fetch all items again. Returns these changes in
    /// order of keys.
    pub fn on_page(&self, page: &Page) -> Vec<Change> {
        let mut inner = self.inner();
        if inner.revision == 0 {
            inner.from = page.revision;
        }
        let listed: HashMap<&str, &Item> = page
            .items
            .iter()
            .map(|item| (item.key.as_str(), item))
            .collect();
        let gone = inner.items.keys();
        let gone = gone.filter(|key| !listed.contains_key(key.as_str()));
        let gone = gone.map(|key| Change::Removed(key.clone()));
        let new = page.items.iter().filter(|item| {
            let held = inner.items.get(&item.key);
            held.is_none_or(|held| held.revision != item.revision)
        });
        let new = new.map(|item| Change::Put(item.clone()));
        let mut changes: Vec<_> = gone.chain(new).collect();
        changes.sort_by(|one, other| key_of(one).cmp(key_of(other)));
        inner.take(&changes, page.revision);
        changes
    }

    /// Records changes up to a revision.
    pub fn on_changes(&self, changes: &[Change], revision: u64) {
        self.inner().take(changes, revision);
    }

    /// Returns the revision up to which the store's state is known.
    pub fn revision(&self) -> u64 {
        self.inner().revision
    }

    /// Returns what changed after a revision.
    pub fn after(&self, after: u64) -> Unseen {
        let mut inner = self.inner();
        if after < inner.from || after == 0 {
            let all = inner.items.values().cloned().map(Change::Put);
            return Unseen::Full(all.collect());
        }
        let new = inner.changes.iter().filter(|(at, _)| *at > after);
        let new: Vec<_> = new.map(|(_, change)| change.clone()).collect();
        if new.is_empty() {
            let (tx, rx) = async_channel::bounded(1);
            inner.waiting.push(tx);
            return Unseen::None(rx);
        }
        Unseen::Changes(new)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(item) => &item.key,
        Change::Removed(key) => key,
    }
}
