//! Retry and hedge budgets.
//!
//! Retries and hedges share one budget, a percentage of the requests of the last second. Even if
//! every attempt fails, the number of attempts in any 10 s stays within 1.1 times the number of
//! requests.

use std::time::Duration;

use apricotlug_model::{MonoTime, Repeat};

use crate::order::RetryPermission;

pub use crate::order::AttemptState;

/// Maximum number of retries and hedges per 100 requests in the window.
const RETRY_PERCENT: u32 = 8;
/// Number of slices of the window.
const SLICES: usize = 10;
/// Length of a slice, in microseconds. The window is ten slices, 1 s.
const SLICE_US: u64 = 100_000;
/// Maximum number of attempts of one request, including the first one and hedges.
const MAX_ATTEMPTS: u32 = 3;
/// Minimum time until the deadline for another attempt to start.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);
/// Minimum number of samples for a percentile.
const MIN_SAMPLES: u32 = 20;
/// Number of samples at which all counts are halved, so that old samples weigh less.
const MAX_SAMPLES: u32 = 1_000;
/// Histogram buckets per doubling of the latency.
const BUCKETS_PER_OCTAVE: f32 = 4.0;
/// Number of latency buckets: from 1 µs to 2^30 µs, 18 minutes.
const BUCKETS: usize = 120;

/// Whether another attempt may start, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt may start now, on an endpoint that no earlier attempt used.
    Retry,
    /// The request may have run, and its route allows it to run at most once.
    AtMostOnce,
    /// The request has reached the maximum number of attempts.
    AttemptsExhausted,
    /// Too little time is left until the caller's deadline.
    DeadlineNear,
    /// The budget of the window is used up.
    BudgetExhausted,
}

impl RetryDecision {
    /// Returns whether another attempt may start.
    #[must_use]
    pub fn is_retry(self) -> bool {
        self == Self::Retry
    }
}

/// Budget for the retries and hedges of one instance, over a sliding window of 1 s. Empty until
/// requests are counted.
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
    /// Counts a caller's request. Call once per request, at its first attempt.
    pub fn record_request(&mut self, now: MonoTime) {
        let slice = self.slice(now);
        slice.requests = slice.requests.saturating_add(1);
    }

    /// Decides whether another attempt may start after attempt number `attempt` (from 1) failed,
    /// and charges the budget if so. `deadline` is the caller's.
    pub fn try_retry(
        &mut self,
        now: MonoTime,
        deadline: MonoTime,
        attempt: u32,
        repeat: Repeat,
        state: AttemptState,
    ) -> RetryDecision {
        if state.retry_permission(repeat) == RetryPermission::OutcomeUnknown {
            return RetryDecision::AtMostOnce;
        }
        self.try_charge(now, deadline, attempt)
    }

    /// Decides whether a hedge may start, which is a second attempt while the first is running, and
    /// charges the budget if so. Only idempotent requests are hedged.
    pub fn try_hedge(
        &mut self,
        now: MonoTime,
        deadline: MonoTime,
        attempt: u32,
        repeat: Repeat,
    ) -> RetryDecision {
        self.try_retry(now, deadline, attempt, repeat, AttemptState::PerhapsRun)
    }

    fn try_charge(&mut self, now: MonoTime, deadline: MonoTime, attempt: u32) -> RetryDecision {
        if attempt >= MAX_ATTEMPTS {
            return RetryDecision::AttemptsExhausted;
        }
        if deadline.is_past(now.after(MIN_REMAINING_TIME)) {
            return RetryDecision::DeadlineNear;
        }
        let (requests, retries) = self.window_totals(now);
        if (retries + 1) * 100 > requests * u64::from(RETRY_PERCENT) {
            return RetryDecision::BudgetExhausted;
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

    fn window_totals(&self, now: MonoTime) -> (u64, u64) {
        let number = now.0 / SLICE_US;
        let is_in_window = |slice: &&Slice| slice.number + SLICES as u64 > number;
        let recent = self.slices.iter().filter(is_in_window);
        recent.fold((0, 0), |(requests, retries), slice| {
            (
                requests + u64::from(slice.requests),
                retries + u64::from(slice.retries),
            )
        })
    }
}

/// Histogram of recent latencies of one route, to derive when to send a hedge.
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
    /// Adds the latency of an answered attempt.
    pub fn record(&mut self, latency: Duration) {
        if self.samples >= MAX_SAMPLES {
            self.halve_counts();
        }
        self.counts[bucket_index(latency)] += 1;
        self.samples += 1;
    }

    /// Returns the time at which an attempt sent at `sent_at` has taken longer than 95% of the
    /// recent ones, or `None` if there are too few samples.
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

    fn halve_counts(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.samples = self.counts.iter().sum();
    }
}

fn bucket_index(latency: Duration) -> usize {
    let micros = latency.as_secs_f32() * 1e6;
    let bucket = micros.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    (bucket as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let octaves = (bucket + 1) as f32 / BUCKETS_PER_OCTAVE;
    Duration::from_micros(octaves.exp2() as u64)
}
