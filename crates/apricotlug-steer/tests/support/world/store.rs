//! The store of the model.

use std::collections::BTreeMap;

use apricotlug_adapter::{Change, Item, Listing};
use apricotlug_model::StoreVersion;

/// Key of the plan.
pub const PLAN: &str = "plan";

/// Items with their revisions, and what changed when.
#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub items: BTreeMap<String, u64>,
    /// All changes: revision, key, whether it was written or removed.
    pub changes: Vec<(u64, String, bool)>,
    /// Revisions and times of the plans.
    pub plans: Vec<(u64, u64)>,
    /// Revision up to which the history is dropped.
    pub dropped: u64,
    pub trouble_until: u64,
    pub is_silent: bool,
    pub calm_since: u64,
}

impl Store {
    pub fn write(&mut self, now: u64, key: &str, is_put: bool) {
        self.revision += 1;
        if is_put {
            self.items.insert(key.to_owned(), self.revision);
        } else if self.items.remove(key).is_none() {
            self.revision -= 1;
            return;
        }
        if key == PLAN {
            self.plans.push((self.revision, now));
        }
        self.changes.push((self.revision, key.to_owned(), is_put));
    }

    pub fn changes_after(&self, after: u64) -> Vec<Change> {
        let first = self
            .changes
            .partition_point(|(revision, ..)| *revision <= after);
        let changes = self.changes[first..].iter();
        changes
            .map(|(revision, key, is_put)| match is_put {
                true => Change::Put(item(key, *revision)),
                false => Change::Removed(key.clone()),
            })
            .collect()
    }

    pub fn listing(&self) -> Listing {
        Listing {
            items: self
                .items
                .iter()
                .map(|(key, revision)| item(key, *revision))
                .collect(),
            version: self.version(),
        }
    }

    pub fn version(&self) -> StoreVersion {
        StoreVersion::new(0, self.revision)
    }
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Vec::new(),
        revision,
    }
}
