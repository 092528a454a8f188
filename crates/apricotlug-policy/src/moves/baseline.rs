//! Recent answers of the old version: the latency that counts as slow, and the rate of bad answers.

use super::{Counts, histogram::BUCKETS};

/// Fractions of the old version's answers that count as slow. The first detects a fault soonest at
/// large shares, the second at small ones.
const SLOW_TAILS: [f64; TAILS] = [0.1, 0.02];

/// Number of latency limits, each tested on its own, above which an answer counts as slow.
pub(super) const TAILS: usize = 2;

/// Histogram buckets by which an answer must exceed the old version's quantile to count as slow.
const SLOW_MARGIN_BUCKETS: usize = 1;

/// Minimum number of answers of the old version for a comparison.
const MIN_ANSWERS: f64 = 50.0;

/// Number of standard errors added to the old version's rate of bad answers.
const STANDARD_ERRORS: f64 = 3.0;

/// Rate of bad answers that is tolerated on top of the old version's, from 0 to 1.
const TOLERATED_EXCESS_RATE: f64 = 0.01;

/// Upper bound of the old version's rate, from 0 to 1, from which on a comparison is not
/// meaningful.
const MAX_BASELINE_RATE: f64 = 0.7;

/// Counts of the old version that decay as new ones arrive. They do not decay while the old version
/// has no traffic, so that the last stage is compared with the one before it.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    requests: f64,
    errors: f64,
    latency: [f64; BUCKETS],
}

impl Default for Baseline {
    fn default() -> Self {
        Self {
            requests: 0.0,
            errors: 0.0,
            latency: [0.0; BUCKETS],
        }
    }
}

impl Baseline {
    /// Multiplies all counts so far by `factor`, from 0 to 1.
    pub(super) fn decay(&mut self, factor: f64) {
        self.requests *= factor;
        self.errors *= factor;
        for count in &mut self.latency {
            *count *= factor;
        }
    }

    pub(super) fn add(&mut self, delta: &Counts) {
        self.requests += delta.requests as f64;
        self.errors += delta.errors as f64;
        for (own, added) in self.latency.iter_mut().zip(delta.latency.counts()) {
            *own += *added as f64;
        }
    }

    /// Returns the buckets above which an answer counts as slow, or `None` with too few answers.
    pub(super) fn slow_limits(&self) -> Option<[usize; TAILS]> {
        let total: f64 = self.latency.iter().sum();
        if total < MIN_ANSWERS {
            return None;
        }
        Some(SLOW_TAILS.map(|tail| self.quantile_bucket(total, tail) + SLOW_MARGIN_BUCKETS))
    }

    /// Returns the first bucket above which at most `fraction` of the answers lie.
    fn quantile_bucket(&self, total: f64, fraction: f64) -> usize {
        let mut above = total;
        let bucket = self.latency.iter().position(|count| {
            above -= count;
            above <= total * fraction
        });
        bucket.unwrap_or(BUCKETS - 1)
    }

    /// Returns the upper bound of the error rate, or `None` if a comparison is not meaningful.
    pub(super) fn error_rate(&self) -> Option<f64> {
        upper_bound(self.errors, self.requests)
    }

    /// Returns the upper bound of the rate of answers above a bucket, or `None` if a comparison is
    /// not meaningful.
    pub(super) fn slow_rate(&self, limit: usize) -> Option<f64> {
        let slow = self.latency.iter().skip(limit + 1).sum();
        upper_bound(slow, self.latency.iter().sum())
    }
}

fn upper_bound(bad: f64, total: f64) -> Option<f64> {
    if total < MIN_ANSWERS {
        return None;
    }
    let rate = (bad + 1.0) / (total + 2.0);
    let bound =
        rate + STANDARD_ERRORS * (rate * (1.0 - rate) / total).sqrt() + TOLERATED_EXCESS_RATE;
    (bound < MAX_BASELINE_RATE).then_some(bound)
}
