//! Retry and hedge budgets.
//!
//! Retries and hedges draw on one budget, which the requests of the last second fill. With all
//! requests failing, attempts stay within 1.1 times the requests of any 10 s.

use std::time::Duration;

use apricotlug_model::{MonoTime, Repeat};

use crate::order::Disposition;

pub use crate::order::AttemptState;

/// Retries and hedges per hundred requests of the window.
const RETRY_PERCENT: u32 = 8;
/// Number of slices of the window.
const SLICES: usize = 10;
/// Span of a slice, in microseconds. The window is ten slices, 1 s.
const SLICE_US: u64 = 100_000;
/// Attempts of one request, the first and the hedge included.
const MAX_ATTEMPTS: u32 = 3;
/// Time that must be left until the deadline for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Samples from which on a percentile is given.
const MIN_SAMPLES: u32 = 20;
/// Samples after which old ones count half.
const HALVING_SAMPLES: u32 = 1_000;
/// Buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: f32 = 4.0;
/// Number of latency buckets: from 1 µs to 2^30 µs, 18 minutes.
const BUCKETS: usize = 120;

/// Decision on another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt may start now, at an endpoint that no earlier attempt used.
    Retry,
    /// The request may have run, and its route runs at most once.
    OnceOnly,
    /// The request has had all of its attempts.
    AttemptsUsed,
    /// The caller's deadline is too near.
    DeadlineNear,
    /// The budget is spent.
    BudgetSpent,
}

impl RetryDecision {
    /// Tells whether another attempt may start.
    #[must_use]
    pub fn is_retry(self) -> bool {
        self == Self::Retry
    }
}

/// Budget of retries and hedges of one instance.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: [Slice; SLICES],
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Counts a caller's request, at its first attempt.
    pub fn on_request(&mut self, now: MonoTime) {
        let slice = self.slice(now);
        slice.requests = slice.requests.saturating_add(1);
    }

    /// Decides on another attempt after the `attempt`-th (from 1) brought no answer, and charges
    /// the budget where it may start. The deadline is the caller's.
    pub fn may_retry(
        &mut self,
        now: MonoTime,
        deadline: MonoTime,
        attempt: u32,
        repeat: Repeat,
        state: AttemptState,
    ) -> RetryDecision {
        if state.disposition(repeat) == Disposition::OutcomeUnknown {
            return RetryDecision::OnceOnly;
        }
        self.spend(now, deadline, attempt)
    }

    /// Decides on a hedge: a second attempt while the first still runs. Charges the budget where
    /// it may start. Only idempotent requests are hedged.
    pub fn may_hedge(
        &mut self,
        now: MonoTime,
        deadline: MonoTime,
        attempt: u32,
        repeat: Repeat,
    ) -> RetryDecision {
        self.may_retry(now, deadline, attempt, repeat, AttemptState::PerhapsRun)
    }

    fn spend(&mut self, now: MonoTime, deadline: MonoTime, attempt: u32) -> RetryDecision {
        if attempt >= MAX_ATTEMPTS {
            return RetryDecision::AttemptsUsed;
        }
        if deadline.is_past(now.after(MIN_TIME_LEFT)) {
            return RetryDecision::DeadlineNear;
        }
        let (requests, retries) = self.window(now);
        if (retries + 1) * 100 > requests * u64::from(RETRY_PERCENT) {
            return RetryDecision::BudgetSpent;
        }
        self.slice(now).retries += 1;
        RetryDecision::Retry
    }

    fn slice(&mut self, now: MonoTime) -> &mut Slice {
        let number = now.0 / SLICE_US;
        let slice = &mut self.slices[(number % SLICES as u64) as usize];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }

    fn window(&self, now: MonoTime) -> (u64, u64) {
        let number = now.0 / SLICE_US;
        let is_recent = |slice: &&Slice| slice.number + SLICES as u64 > number;
        let recent = self.slices.iter().filter(is_recent);
        recent.fold((0, 0), |(requests, retries), slice| {
            (
                requests + u64::from(slice.requests),
                retries + u64::from(slice.retries),
            )
        })
    }
}

/// Recent latencies of one route, from which the time of a hedge follows.
#[derive(Clone, Debug)]
pub struct HedgeTimer {
    counts: [u32; BUCKETS],
    samples: u32,
}

impl Default for HedgeTimer {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            samples: 0,
        }
    }
}

impl HedgeTimer {
    /// Takes in the latency of an answered attempt.
    pub fn record(&mut self, latency: Duration) {
        if self.samples >= HALVING_SAMPLES {
            self.halve();
        }
        self.counts[bucket(latency)] += 1;
        self.samples += 1;
    }

    /// Returns the point at which an attempt sent at `sent_at` takes longer than 95% of the
    /// recent ones, or `None` while too few are known.
    #[must_use]
    pub fn hedge_at(&self, sent_at: MonoTime) -> Option<MonoTime> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let rank = self.samples - self.samples / 20;
        let mut sum = 0;
        let bucket = self.counts.iter().position(|count| {
            sum += count;
            sum >= rank
        })?;
        Some(sent_at.after(upper_bound(bucket)))
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.samples = self.counts.iter().sum();
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = latency.as_secs_f32() * 1e6;
    let bucket = micros.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    (bucket as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let octaves = (bucket + 1) as f32 / BUCKETS_PER_OCTAVE;
    Duration::from_micros(octaves.exp2() as u64)
}
