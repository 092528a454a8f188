//! Evidence about a new version, against the old one at the same time, route by route.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use apricotlug_model::InstanceId;
use serde::{Deserialize, Serialize};

use super::LogHistogram;

/// One answer, or its absence, as the instance that sent the request saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Whether the request failed: an error, a timeout, a cut answer or an unexpected refusal.
    pub is_error: bool,
    /// Whether the endpoint is still in slow start, so that its latency says nothing.
    pub is_cold: bool,
    /// Time from sending the request to the end of its answer.
    pub latency: Duration,
}

/// Version that a sample belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// Version that the traffic leaves.
    Old,
    /// Version that the traffic goes to.
    New,
}

/// Counts of one version on one route since the move began; they only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests.
    pub requests: u64,
    /// Failed requests.
    pub errors: u64,
    /// Latencies of answers from warm endpoints.
    pub latency: LogHistogram,
}

impl Counts {
    /// Counts one sample.
    pub fn record(&mut self, sample: Sample) {
        self.requests += 1;
        self.errors += u64::from(sample.is_error);
        if !sample.is_error && !sample.is_cold {
            self.latency.record(sample.latency);
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.latency.add(&other.latency);
    }

    /// Returns what was counted since an earlier state of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            errors: self.errors.saturating_sub(earlier.errors),
            latency: self.latency.since(&earlier.latency),
        }
    }
}

/// Counts of both versions on one route.
///
/// Only requests whose version was drawn by the share belong here: one that went elsewhere, for
/// want of free slots or as a retry, says nothing about the versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Sum of the shares, in thousandths, by which the requests' versions were drawn.
    pub drawn: u64,
    /// Version that the traffic leaves.
    pub old: Counts,
    /// Version that the traffic goes to.
    pub new: Counts,
}

impl Pair {
    /// Counts one sample, whose version was drawn by a share in thousandths.
    pub fn record(&mut self, side: Side, share: u16, sample: Sample) {
        self.drawn += u64::from(share);
        match side {
            Side::Old => self.old.record(sample),
            Side::New => self.new.record(sample),
        }
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.old.requests + self.new.requests
    }

    /// Returns the probability by which a request went to the new version; 0 without requests.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.drawn as f64 / (self.requests().max(1) as f64 * 1000.0)
    }

    /// Adds another pair.
    pub fn add(&mut self, other: &Self) {
        self.drawn += other.drawn;
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns what was counted since an earlier state of the same pair.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            drawn: self.drawn.saturating_sub(earlier.drawn),
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }
}

/// Counts by the id of the route.
pub type Totals = BTreeMap<String, Pair>;

/// What one run of one instance has counted for a move so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Instance and incarnation; a restarted instance counts from zero under a new one.
    pub instance: InstanceId,
    /// Number of the report; a later one contains the earlier ones.
    pub sequence: u64,
    /// Whether the instance has cut the new version's share.
    pub has_cut: bool,
    /// Counts by route.
    pub totals: Totals,
}

/// Reports of all instances. Merging is commutative, associative and idempotent: reports may be
/// lost, repeated and reordered on their way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    reports: BTreeMap<InstanceId, Report>,
}

impl Evidence {
    /// Takes a report in unless a later one of the same instance is here; a cut stands whatever
    /// report brought it. Returns whether it was news.
    pub fn merge(&mut self, mut report: Report) -> bool {
        match self.reports.entry(report.instance.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(report);
                true
            }
            Entry::Occupied(mut entry) => {
                let known = entry.get_mut();
                let is_cut_news = report.has_cut && !known.has_cut;
                known.has_cut |= report.has_cut;
                if known.sequence >= report.sequence {
                    return is_cut_news;
                }
                report.has_cut = known.has_cut;
                *known = report;
                true
            }
        }
    }

    /// Returns the sums over all instances.
    #[must_use]
    pub fn totals(&self) -> Totals {
        let mut totals = Totals::new();
        for report in self.reports.values() {
            for (route, pair) in &report.totals {
                totals.entry(route.clone()).or_default().add(pair);
            }
        }
        totals
    }

    /// Tells whether any instance has cut the new version's share.
    #[must_use]
    pub fn has_cut(&self) -> bool {
        self.reports.values().any(|report| report.has_cut)
    }

    /// Iterates over the latest report of each instance.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }
}
