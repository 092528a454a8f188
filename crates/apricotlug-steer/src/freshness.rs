//! Age of the last store read.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use apricotlug_model::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// Time as of which everything written to the store is known.
///
/// The clock goes on counting while the machine is suspended, so that an instance does not take its
/// state for fresh after it wakes up.
#[derive(Debug, Default)]
pub struct StoreFreshness(AtomicU64);

impl StoreFreshness {
    /// Returns the present time.
    #[must_use]
    pub fn now() -> BootTime {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
        BootTime(seconds * 1_000_000 + nanos / 1_000)
    }

    /// Records that everything written before `read_at` is in force here.
    pub fn record_read(&self, read_at: BootTime) {
        self.0.fetch_max(read_at.0, Ordering::Release);
    }

    /// Returns the age of the last read in milliseconds; `None` if there was none yet.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        let age = self.age()?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the age of the last read; `None` if there was none yet.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.read_at().map(|at| Self::now().since(at))
    }

    /// Returns the time of the last read; `None` if there was none yet.
    #[must_use]
    pub fn read_at(&self) -> Option<BootTime> {
        // Whoever sees the time also sees what the read put in force.
        match self.0.load(Ordering::Acquire) {
            0 => None,
            at => Some(BootTime(at)),
        }
    }
}

/// Deadline that the clock reaches also while the machine is suspended.
#[derive(Debug, Default)]
pub struct BootDeadline(AtomicU64);

impl BootDeadline {
    /// Moves the deadline to a time from now on.
    pub fn set_after(&self, span: Duration) {
        let at = StoreFreshness::now().after(span);
        self.0.store(at.0, Ordering::Relaxed);
    }

    /// Returns the time that is left; zero once it has passed.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        BootTime(self.0.load(Ordering::Relaxed)).since(StoreFreshness::now())
    }

    /// Returns whether it has passed.
    #[must_use]
    pub fn is_past(&self) -> bool {
        self.remaining().is_zero()
    }
}
