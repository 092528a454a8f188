//! Points in time. Deadlines are stored as points; spans appear only as arguments.

use std::{
    fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

macro_rules! point_in_time {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The latest point that can be expressed.
            pub const MAX: Self = Self(u64::MAX);

            /// Returns the point a span after this one, or the latest point on overflow.
            #[must_use]
            pub fn after(self, span: Duration) -> Self {
                let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
                Self(self.0.saturating_add(micros))
            }

            /// Returns the point a span before this one, or the origin on underflow.
            #[must_use]
            pub fn before(self, span: Duration) -> Self {
                let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
                Self(self.0.saturating_sub(micros))
            }

            /// Returns the span from an earlier point, or zero where that point is later.
            #[must_use]
            pub fn since(self, earlier: Self) -> Duration {
                Duration::from_micros(self.0.saturating_sub(earlier.0))
            }

            /// Tells whether this deadline lies at or before `now`.
            #[must_use]
            pub fn is_past(self, now: Self) -> bool {
                self <= now
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
            }
        }
    )*};
}

point_in_time! {
    /// Point on a process's own monotonic clock, in microseconds since the process started.
    MonoTime
    /// Point on the machine's clock that goes on while the machine is suspended, in microseconds since
    /// it booted.
    BootTime
    /// Point on the wall clock, in microseconds since 1970-01-01 00:00:00 UTC.
    UnixTime
}

impl UnixTime {
    /// Reads the machine's wall clock. Decision code takes the time as an argument instead.
    #[must_use]
    pub fn now() -> Self {
        let span = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self::default().after(span)
    }
}
