//! Counts of a new version and of the old one over the same period, per route.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use apricotlug_model::InstanceId;
use serde::{Deserialize, Serialize};

use super::LogHistogram;

/// Outcome of one request, as observed by the instance that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Whether the request failed: an error, a timeout, a truncated answer or an unexpected
    /// refusal.
    pub is_error: bool,
    /// Whether the endpoint is still in slow start, so that its latency is not counted.
    pub is_cold: bool,
    /// Time from sending the request to the end of its answer; not counted for failed requests.
    pub latency: Duration,
}

/// Version of a move that a sample belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// Version that the traffic leaves.
    Old,
    /// Version that the traffic goes to.
    New,
}

/// Counts of one version on one route since the move began. They never decrease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of requests, failed ones included.
    pub requests: u64,
    /// Number of failed requests.
    pub errors: u64,
    /// Latencies of successful answers from warm endpoints.
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

    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.errors += other.errors;
        self.latency.add(&other.latency);
    }

    /// Returns the counts added since `earlier`, a former state of the same counts.
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
/// Only requests whose version was drawn at random by the share may be counted: a request that went
/// elsewhere because there were no free slots, or as a retry, is no evidence about the versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Sum over all requests of the share, in thousandths, by which the version was drawn.
    pub drawn: u64,
    /// Counts of the version that the traffic leaves.
    pub old: Counts,
    /// Counts of the version that the traffic goes to.
    pub new: Counts,
}

impl Pair {
    /// Counts one sample; `share` is the share, in thousandths, by which its version was drawn.
    pub fn record(&mut self, side: Side, share: u16, sample: Sample) {
        self.drawn += u64::from(share);
        match side {
            Side::Old => self.old.record(sample),
            Side::New => self.new.record(sample),
        }
    }

    /// Returns the number of requests to both versions.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.old.requests + self.new.requests
    }

    /// Returns the mean probability, from 0 to 1, with which a request was assigned to the new
    /// version; 0 without requests.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.drawn as f64 / (self.requests().max(1) as f64 * 1000.0)
    }

    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &Self) {
        self.drawn += other.drawn;
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns the counts added since `earlier`, a former state of the same pair.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            drawn: self.drawn.saturating_sub(earlier.drawn),
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }
}

/// Counts of both versions by route id.
pub type Totals = BTreeMap<String, Pair>;

/// Cumulative counts of one instance for one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Instance and incarnation; a restarted instance counts from zero under a new incarnation.
    pub instance: InstanceId,
    /// Sequence number of the report. A report includes the counts of all earlier ones.
    pub sequence: u64,
    /// Whether the instance has cut the new version's share.
    pub has_cut: bool,
    /// Counts by route id.
    pub totals: Totals,
}

/// Latest report of each instance. Merging is commutative, associative and idempotent, because
/// reports may be lost, duplicated and reordered in transit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    reports: BTreeMap<InstanceId, Report>,
}

impl Evidence {
    /// Merges a report, ignoring its counts if one with the same or a higher sequence number is
    /// known. A cut is kept regardless of the sequence number. Returns whether anything changed.
    pub fn merge(&mut self, mut report: Report) -> bool {
        match self.reports.entry(report.instance.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(report);
                true
            }
            Entry::Occupied(mut entry) => {
                let known = entry.get_mut();
                let is_new_cut = report.has_cut && !known.has_cut;
                known.has_cut |= report.has_cut;
                if known.sequence >= report.sequence {
                    return is_new_cut;
                }
                report.has_cut = known.has_cut;
                *known = report;
                true
            }
        }
    }

    /// Returns the counts summed over all instances.
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

    /// Returns whether any instance has cut the new version's share.
    #[must_use]
    pub fn has_cut(&self) -> bool {
        self.reports.values().any(|report| report.has_cut)
    }

    /// Iterates over the latest report of each instance.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values()
    }
}
