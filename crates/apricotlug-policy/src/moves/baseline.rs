//! The old version's answers of late: what counts as slow, and how often answers are bad.

use super::{Counts, histogram::BUCKETS};

/// Fractions of the old version's answers that count as slow: the first shows a fault soonest at
/// large shares, the second at small ones.
const SLOW_TAILS: [f64; TAILS] = [0.1, 0.02];

/// Number of limits beyond which an answer counts as slow.
pub(super) const TAILS: usize = 2;

/// Buckets by which an answer must exceed the old version's usual ones to count as slow.
const SLOW_MARGIN_BUCKETS: usize = 1;

/// Fewest answers of the old version that make a comparison.
const MIN_ANSWERS: f64 = 50.0;

/// Standard errors added to the old version's rates.
const STANDARD_ERRORS: f64 = 3.0;

/// Rate of bad answers above the old version's that is tolerated.
const TOLERATED_RATE: f64 = 0.01;

/// Highest rate of the old version at which a comparison still makes sense.
const MAX_RATE: f64 = 0.7;

/// Counts of the old version whose weight decays while new ones arrive. They keep it while the
/// old version has no traffic, so that the last stage is compared with the one before.
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
    /// Multiplies the weight of what was counted so far.
    pub(super) fn decay(&mut self, keep: f64) {
        self.requests *= keep;
        self.errors *= keep;
        for count in &mut self.latency {
            *count *= keep;
        }
    }

    pub(super) fn add(&mut self, step: &Counts) {
        self.requests += step.requests as f64;
        self.errors += step.errors as f64;
        for (own, added) in self.latency.iter_mut().zip(step.latency.counts()) {
            *own += *added as f64;
        }
    }

    /// Returns the buckets above which an answer counts as slow.
    pub(super) fn slow_limits(&self) -> Option<[usize; TAILS]> {
        let total: f64 = self.latency.iter().sum();
        if total < MIN_ANSWERS {
            return None;
        }
        Some(SLOW_TAILS.map(|tail| self.last_usual(total, tail) + SLOW_MARGIN_BUCKETS))
    }

    /// Returns the first bucket above which at most a fraction of the answers lies.
    fn last_usual(&self, total: f64, fraction: f64) -> usize {
        let mut above = total;
        let usual = self.latency.iter().position(|count| {
            above -= count;
            above <= total * fraction
        });
        usual.unwrap_or(BUCKETS - 1)
    }

    /// Returns the highest rate of errors that is still as usual.
    pub(super) fn error_rate(&self) -> Option<f64> {
        upper_bound(self.errors, self.requests)
    }

    /// Returns the highest rate of answers above a bucket that is still as usual.
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
    let bound = rate + STANDARD_ERRORS * (rate * (1.0 - rate) / total).sqrt() + TOLERATED_RATE;
    (bound < MAX_RATE).then_some(bound)
}
