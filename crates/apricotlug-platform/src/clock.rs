//! Source of points on the process's monotonic clock.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use apricotlug_model::MonoTime;

/// Monotonic clock of the process, or one that a test moves by hand.
#[derive(Clone, Debug)]
pub enum Clock {
    /// Real time since the clock was made.
    Process(Instant),
    /// Microseconds that stand still until advanced.
    Manual(Arc<AtomicU64>),
}

impl Default for Clock {
    fn default() -> Self {
        Self::Process(Instant::now())
    }
}

impl Clock {
    /// Returns a clock that stands still until advanced.
    #[must_use]
    pub fn manual() -> Self {
        Self::Manual(Arc::default())
    }

    /// Returns the present point.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        match self {
            Self::Process(origin) => MonoTime::default().after(origin.elapsed()),
            Self::Manual(micros) => MonoTime(micros.load(Ordering::SeqCst)),
        }
    }

    /// Advances a manual clock; a process clock moves by itself.
    pub fn advance(&self, span: Duration) {
        if let Self::Manual(micros) = self {
            let span = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
            micros.fetch_add(span, Ordering::SeqCst);
        }
    }
}
