//! The store of the model.

use std::collections::BTreeMap;

use apricotlug_adapter::{Change, Item, Listing, WatchResponse};
use apricotlug_model::StoreVersion;

/// Key of the plan.
pub const PLAN: &str = "plan";

/// Most changes in the response to a watch.
const WATCH_CHANGES: usize = 4;

/// Change of the store.
pub struct Written {
    revision: u64,
    at: u64,
    key: String,
    /// Number of the write, which rises also when the store goes back; `None` if the key was removed.
    number: Option<u64>,
}

/// Plan that was confirmed.
pub struct Plan {
    pub number: u64,
    pub confirmed_at: u64,
    /// Time from which every instance can read it: the same, or that of the next write of a plan if
    /// the store lost it; `u64::MAX` until then.
    pub readable_at: u64,
}

/// Items with their revisions, and what changed when.
#[derive(Default)]
pub struct Store {
    pub era: u64,
    pub revision: u64,
    /// Last number of a write.
    number: u64,
    /// All changes of the present era, with those that the copy had.
    changes: Vec<Written>,
    pub plans: Vec<Plan>,
    /// Number of the plan at each version, for all eras.
    plan_versions: BTreeMap<StoreVersion, u64>,
    /// Revision up to which the history is dropped.
    pub dropped: u64,
    pub trouble_until: u64,
    pub is_silent: bool,
    pub calm_since: u64,
    /// Time at which the operator writes the last plan again.
    pub rewrites_at: Option<u64>,
}

impl Store {
    pub fn write(&mut self, now: u64, key: &str, is_put: bool) {
        if !is_put && !self.items().contains_key(key) {
            return;
        }
        self.number += 1;
        let number = self.number;
        if key == PLAN {
            self.plans.push(Plan {
                number,
                confirmed_at: now,
                readable_at: now,
            });
        }
        self.put(now, key, is_put.then_some(number));
    }

    fn put(&mut self, now: u64, key: &str, number: Option<u64>) {
        self.revision += 1;
        if let Some(number) = number.filter(|_| key == PLAN) {
            self.plan_versions.insert(self.version(), number);
            for plan in self.plans.iter_mut().rev() {
                plan.readable_at = plan.readable_at.min(now);
            }
            self.rewrites_at = None;
        }
        self.changes.push(Written {
            revision: self.revision,
            at: now,
            key: key.to_owned(),
            number,
        });
    }

    /// Goes back to what was written before a time. Revisions are given out again.
    pub fn go_back(&mut self, before: u64, rewrites_at: u64) {
        self.changes.retain(|written| written.at < before);
        self.revision = self.changes.last().map_or(0, |written| written.revision);
        self.dropped = self.dropped.min(self.revision);
        self.era += 1;
        let plans = self.changes.iter().filter(|written| written.key == PLAN);
        let kept: Vec<_> = plans
            .filter_map(|written| Some((written.revision, written.number?)))
            .collect();
        let last = kept.last().map_or(0, |(_, number)| *number);
        for (revision, number) in kept {
            let version = StoreVersion::new(self.era, revision);
            self.plan_versions.insert(version, number);
        }
        for plan in self.plans.iter_mut().filter(|plan| plan.number > last) {
            plan.readable_at = u64::MAX;
            self.rewrites_at = Some(rewrites_at);
        }
    }

    /// Writes the last plan again, as it was.
    pub fn rewrite_plan(&mut self, now: u64) {
        let last = self.plans.last().map(|plan| plan.number);
        self.put(now, PLAN, last);
    }

    /// Returns the number of the plan that a version of the store has.
    pub fn plan_at(&self, version: StoreVersion) -> u64 {
        let era = StoreVersion::new(version.era, 0)..=version;
        let last = self.plan_versions.range(era).next_back();
        last.map_or(0, |(_, number)| *number)
    }

    /// Returns the response to a watch: the first changes after a revision.
    pub fn watched(&self, after: u64) -> WatchResponse {
        let first = self
            .changes
            .partition_point(|written| written.revision <= after);
        let missed = &self.changes[first..];
        let may_have_more = missed.len() > WATCH_CHANGES;
        let returned = &missed[..missed.len().min(WATCH_CHANGES)];
        let last = returned.last().filter(|_| may_have_more);
        let changes = returned.iter().map(|written| match written.number {
            Some(number) => Change::Put(item(&written.key, written.revision, number)),
            None => Change::Removed(written.key.clone()),
        });
        WatchResponse {
            changes: changes.collect(),
            version: last.map_or(self.version(), |last| {
                StoreVersion::new(self.era, last.revision)
            }),
            may_have_more,
        }
    }

    /// Returns the revision and the number of the last write of each key.
    fn items(&self) -> BTreeMap<&str, (u64, u64)> {
        let mut items = BTreeMap::new();
        for written in &self.changes {
            match written.number {
                Some(number) => items.insert(written.key.as_str(), (written.revision, number)),
                None => items.remove(written.key.as_str()),
            };
        }
        items
    }

    pub fn listing(&self) -> Listing {
        let items = self.items().into_iter();
        Listing {
            items: items
                .map(|(key, (revision, number))| item(key, revision, number))
                .collect(),
            version: self.version(),
        }
    }

    pub fn version(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.revision)
    }
}

fn item(key: &str, revision: u64, number: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: number.to_le_bytes().to_vec(),
        revision,
    }
}

/// Returns the number of the write of an item.
pub fn number_of(item: &Item) -> u64 {
    let bytes = item.value.as_slice().try_into();
    bytes.map_or(0, u64::from_le_bytes)
}
