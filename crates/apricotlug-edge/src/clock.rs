//! The process's clocks. Decision code gets their readings as arguments.

use std::time::{Duration, Instant};

use apricotlug_model::{MonoTime, UnixTime};

/// Clocks of one process, neither of which ever goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_at_start: UnixTime,
}

impl Clock {
    /// Starts the clocks.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            wall_at_start: UnixTime::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::default().after(self.start.elapsed())
    }

    /// Returns the wall clock as read at the start, moved on by the monotonic clock.
    #[must_use]
    pub fn unix(&self) -> UnixTime {
        self.wall_at_start.after(self.start.elapsed())
    }

    /// Returns the wall-clock point of a monotonic one.
    #[must_use]
    pub fn to_unix(&self, at: MonoTime) -> UnixTime {
        self.wall_at_start.after(at.since(MonoTime::default()))
    }

    /// Returns the span left until a deadline, zero once it has passed.
    #[must_use]
    pub fn left(&self, deadline: MonoTime) -> Duration {
        deadline.since(self.now())
    }
}
