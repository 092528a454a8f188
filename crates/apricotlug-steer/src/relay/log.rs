//! What an instance knows of the store, kept for others that ask.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use apricotlug_adapter::{Change, Item, Page};
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

/// Items of the store and their last changes.
#[derive(Debug, Default)]
pub struct Log(Mutex<Inner>);

/// What is new for one that asks.
#[derive(Debug)]
pub enum News {
    /// Nothing yet; the channel ends when there is.
    None(Receiver<()>),
    /// Changes.
    Changes(Vec<Change>),
    /// Everything.
    Full(Vec<Change>),
}

impl Log {
    /// Takes up a full listing.
    pub fn on_page(&self, page: &Page) {
        let mut inner = self.inner();
        let items = page
            .items
            .iter()
            .map(|item| (item.key.clone(), item.clone()));
        inner.items = items.collect();
        inner.changes.clear();
        inner.from = page.revision;
        inner.revision = page.revision;
        inner.waiting.clear();
    }

    /// Takes up changes up to a revision.
    pub fn on_changes(&self, changes: &[Change], revision: u64) {
        let mut inner = self.inner();
        inner.revision = inner.revision.max(revision);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Put(item) => {
                    inner.items.insert(item.key.clone(), item.clone());
                }
                Change::Removed(key) => {
                    inner.items.remove(key);
                }
            }
            inner.changes.push_back((revision, change.clone()));
        }
        while inner.changes.len() > MOST_CHANGES {
            if let Some((gone, _)) = inner.changes.pop_front() {
                inner.from = gone;
            }
        }
        // Those that wait see their channel end.
        inner.waiting.clear();
    }

    /// Returns the revision up to which everything is known.
    pub fn revision(&self) -> u64 {
        self.inner().revision
    }

    /// Returns what is new after a revision.
    pub fn after(&self, after: u64) -> News {
        let mut inner = self.inner();
        if after < inner.from || after == 0 {
            let all = inner.items.values().cloned().map(Change::Put);
            return News::Full(all.collect());
        }
        let new = inner.changes.iter().filter(|(at, _)| *at > after);
        let new: Vec<_> = new.map(|(_, change)| change.clone()).collect();
        if new.is_empty() {
            let (tx, rx) = async_channel::bounded(1);
            inner.waiting.push(tx);
            return News::None(rx);
        }
        News::Changes(new)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
