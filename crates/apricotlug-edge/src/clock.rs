//! Clocks of the process. Decision code takes their readings as arguments.

use std::time::{Duration, Instant};

use apricotlug_model::{MonoTime, UnixTime};

/// Monotonic clock, and a wall clock derived from it that never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall_at_start: UnixTime,
}

impl Clock {
    /// Reads the wall clock once and starts the monotonic clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            wall_at_start: UnixTime::now(),
        }
    }

    /// Returns the monotonic time since the start.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::default().after(self.start.elapsed())
    }

    /// Returns the wall-clock time: the reading at the start plus the monotonic time since.
    #[must_use]
    pub fn unix(&self) -> UnixTime {
        self.wall_at_start.after(self.start.elapsed())
    }

    /// Reads the machine's wall clock, which may jump. Only what windows of the wall clock are counted by
    /// may rest on it, and only through an anchor that does not follow a jump.
    #[must_use]
    pub fn read_wall(&self) -> UnixTime {
        UnixTime::now()
    }

    /// Converts a monotonic time to wall-clock time.
    #[must_use]
    pub fn to_unix(&self, at: MonoTime) -> UnixTime {
        self.wall_at_start.after(at.since(MonoTime::default()))
    }

    /// Returns the time remaining until a deadline; zero once it has passed.
    #[must_use]
    pub fn remaining(&self, deadline: MonoTime) -> Duration {
        deadline.since(self.now())
    }
}
