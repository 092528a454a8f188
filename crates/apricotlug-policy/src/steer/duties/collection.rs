//! Counts of all instances that the holder of the usage duty has received, by window.

use std::collections::{BTreeMap, BTreeSet};

use super::record::WindowCounts;

/// Most windows for which counts are kept, and most instances in each.
const MAX_WINDOWS: usize = 20;
const MAX_INSTANCES: usize = 8_192;

/// Counts by window, then by run of the instance.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    windows: BTreeMap<u64, BTreeMap<u64, WindowCounts>>,
    /// Runs that reported the last settled window.
    recent_runs: BTreeSet<u64>,
}

impl Collection {
    /// Records an instance's counts for a window, which replace earlier ones. Returns whether they
    /// are kept.
    pub fn receive(&mut self, run: u64, window: WindowCounts) -> bool {
        let number = window.number;
        let is_new = !self.windows.contains_key(&number);
        if is_new && self.windows.len() >= MAX_WINDOWS {
            return false;
        }
        let runs = self.windows.entry(number).or_default();
        if runs.len() >= MAX_INSTANCES && !runs.contains_key(&run) {
            return false;
        }
        runs.insert(run, window);
        true
    }

    /// Returns how many of some runs have not reported a window.
    #[must_use]
    pub fn missing(&self, number: u64, runs: &[u64]) -> usize {
        let reported = self.windows.get(&number);
        let is_missing = |run: &&u64| reported.is_none_or(|reported| !reported.contains_key(*run));
        runs.iter().filter(is_missing).count()
    }

    /// Returns how many runs have reported the last settled window and not this one. Some may have
    /// ended; others may be cut off from the store, by which instances know each other.
    #[must_use]
    pub fn missing_recent(&self, number: u64) -> usize {
        let recent: Vec<_> = self.recent_runs.iter().copied().collect();
        self.missing(number, &recent)
    }

    /// Returns the sums over all instances for a window.
    #[must_use]
    pub fn total(&self, number: u64) -> WindowCounts {
        let mut total = WindowCounts {
            number,
            counts: BTreeMap::new(),
        };
        for window in self
            .windows
            .get(&number)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            for (account, requests) in &window.counts {
                *total.counts.entry(account.clone()).or_default() += requests;
            }
        }
        total
    }

    /// Drops the windows up to and including one, which is settled.
    pub fn forget_through(&mut self, number: u64) {
        if let Some(settled) = self.windows.get(&number) {
            self.recent_runs = settled.keys().copied().collect();
        }
        self.windows = self.windows.split_off(&number.saturating_add(1));
    }
}
