//! What an instance knows of the store, kept for others that ask.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use apricotlug_adapter::{Change, Item, Page};
use apricotlug_model::HashMap;
use async_channel::{Receiver, Sender};

/// Changes that are kept; an instance that knows less is told everything.
const MOST_CHANGES: usize = 4_096;

#[derive(Debug, Default)]
struct Inner {
    items: BTreeMap<String, Item>,
    /// Changes, each with the revision up to which its answer went.
    changes: VecDeque<(u64, Change)>,
    /// Revision from which on all changes are kept.
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
        // Those that wait see their channel end.
        self.waiting.clear();
    }
}

/// Items of the store and their last changes.
#[derive(Debug, Default)]
pub struct Log(Mutex<Inner>);

/// What is new for one that asks.
#[derive(Debug)]
pub enum Unseen {
    /// Nothing yet; the channel ends when there is.
    None(Receiver<()>),
    /// Changes.
    Changes(Vec<Change>),
    /// Everything.
    Full(Vec<Change>),
}

impl Log {
    /// Takes up a full listing. Those that ask are told only what it changes: a store that drops
    /// its history must not make every instance fetch everything again. Returns these changes, in
    /// the order of their keys.
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

    /// Takes up changes up to a revision.
    pub fn on_changes(&self, changes: &[Change], revision: u64) {
        self.inner().take(changes, revision);
    }

    /// Returns the revision up to which everything is known.
    pub fn revision(&self) -> u64 {
        self.inner().revision
    }

    /// Returns what is new after a revision.
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
