//! Pacing of calls: a token bucket per process and exponential backoff with full jitter.

use std::time::Duration;

use apricotlug_model::MonoTime;
use rand::{Rng, RngExt};

const MICROS_PER_S: u64 = 1_000_000;

/// Token bucket over the process's calls: `burst` at once, then `calls_per_s` per second.
///
/// Stored as one point in time: when the bucket would be full again.
#[derive(Clone, Debug)]
pub struct Pacer {
    micros_per_call: u64,
    burst: u64,
    full_at: MonoTime,
}

impl Pacer {
    /// Returns a full bucket. Zero counts as one.
    #[must_use]
    pub fn new(calls_per_s: u32, burst: u32) -> Self {
        Self {
            micros_per_call: MICROS_PER_S / u64::from(calls_per_s.max(1)),
            burst: burst.max(1).into(),
            full_at: MonoTime::default(),
        }
    }

    /// Reserves one call and returns the point from which it may be made.
    pub fn reserve(&mut self, now: MonoTime) -> MonoTime {
        let full_at = self.full_at.max(now);
        let span = Duration::from_micros(self.micros_per_call * (self.burst - 1));
        self.full_at = full_at.after(Duration::from_micros(self.micros_per_call));
        full_at.before(span).max(now)
    }
}

/// Exponential backoff with full jitter: uniform between zero and a bound that doubles.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base_ms: u32,
    cap_ms: u32,
    failures: u32,
}

impl Backoff {
    /// Returns a backoff whose bound starts at `base_ms` and ends at `cap_ms`, in milliseconds.
    #[must_use]
    pub fn new(base_ms: u32, cap_ms: u32) -> Self {
        Self {
            base_ms,
            cap_ms,
            failures: 0,
        }
    }

    /// Counts a failure and returns the point of the next attempt.
    pub fn next_attempt(&mut self, now: MonoTime, rng: &mut impl Rng) -> MonoTime {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let bound_ms = self.base_ms.saturating_mul(factor).min(self.cap_ms);
        self.failures = self.failures.saturating_add(1);
        let micros = rng.random_range(0..=u64::from(bound_ms) * 1000);
        now.after(Duration::from_micros(micros))
    }

    /// Starts again from the base after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
