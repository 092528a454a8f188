//! This instance's part of the links between its region and the others.

use std::time::Duration;

use apricotlug_model::{Link, MonoTime};

/// Bytes per second of one Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Time whose traffic may pass at once.
const BURST: Duration = Duration::from_millis(250);

/// Bytes that a request moved between this instance and a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes to the backend server.
    pub sent: u64,
    /// Bytes from the backend server.
    pub received: u64,
}

/// Token bucket of bytes for one direction of a link. It may go into debt, since the size of an
/// answer is known only once it has passed; while in debt it admits nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkBudget {
    bytes_per_s: f64,
    bytes: f64,
    filled_at: MonoTime,
}

impl LinkBudget {
    /// Returns the empty budget of a holder of one part in `parts`. No link means no bytes.
    pub(super) fn new(link: Option<&Link>, parts: u32, now: MonoTime) -> Self {
        let mbit_per_s = link.map_or(0, |link| link.mbit_per_s);
        Self {
            bytes_per_s: f64::from(mbit_per_s) * BYTES_PER_MBIT / f64::from(parts.max(1)),
            bytes: 0.0,
            filled_at: now,
        }
    }

    /// Returns this budget with the bytes, or the debt, of an earlier one of the same link.
    pub(super) fn carry_over(self, earlier: &Self) -> Self {
        Self {
            bytes: earlier.bytes.min(self.bytes_per_s * BURST.as_secs_f64()),
            ..self
        }
    }

    /// Charges bytes that passed.
    pub(super) fn charge(&mut self, bytes: u64, now: MonoTime) {
        self.fill(now);
        self.bytes -= bytes as f64;
    }

    /// Returns the point from which the link admits a request.
    pub(super) fn open_at(&mut self, now: MonoTime) -> MonoTime {
        self.fill(now);
        match (self.bytes >= 0.0, self.bytes_per_s > 0.0) {
            (_, false) => MonoTime::MAX,
            (true, true) => now,
            (false, true) => {
                let seconds = -self.bytes / self.bytes_per_s;
                now.after(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
            }
        }
    }

    fn fill(&mut self, now: MonoTime) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.bytes_per_s;
        self.bytes = (self.bytes + gained).min(self.bytes_per_s * BURST.as_secs_f64());
        self.filled_at = self.filled_at.max(now);
    }
}
