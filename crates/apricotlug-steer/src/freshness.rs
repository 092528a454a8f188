//! Age of what an instance knows from the store.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};

/// Point up to which an instance is known to have all news.
///
/// It is kept on a clock that counts on while the machine is suspended: an instance that wakes up
/// must not take what it knew before for fresh.
#[derive(Debug, Default)]
pub struct News(AtomicU64);

impl News {
    /// Returns the reading of the clock, in microseconds.
    #[must_use]
    pub fn clock_us() -> u64 {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
        seconds * 1_000_000 + nanos / 1_000
    }

    /// Takes up that everything written before `asked_at_us` is known.
    pub fn prove(&self, asked_at_us: u64) {
        self.0.fetch_max(asked_at_us, Ordering::Relaxed);
    }

    /// Returns the age of the news; `None` where there was none yet.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            at => Some(Duration::from_micros(Self::clock_us().saturating_sub(at))),
        }
    }
}
