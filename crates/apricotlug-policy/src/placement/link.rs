//! This instance's share of the links between its region and the others.

use std::time::Duration;

use apricotlug_model::{Link, MonoTime};

/// Bytes per second of one Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Burst size, as the time in which the link carries it.
const BURST: Duration = Duration::from_millis(250);

/// Number of bytes that a request transferred between this instance and a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferredBytes {
    /// Bytes to the backend server.
    pub sent: u64,
    /// Bytes from the backend server.
    pub received: u64,
}

/// Token bucket of bytes for one direction of a link. The balance may go negative, since the size
/// of a response is known only after its transfer; while it is negative, no request is admitted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkBudget {
    bytes_per_s: f64,
    bytes: f64,
    refilled_at: MonoTime,
}

impl LinkBudget {
    /// Creates an empty budget: an equal share of the link among `holders` instances. Without a
    /// link, nothing is admitted.
    pub(super) fn new(link: Option<&Link>, holders: u32, now: MonoTime) -> Self {
        let mbit_per_s = link.map_or(0, |link| link.mbit_per_s);
        Self {
            bytes_per_s: f64::from(mbit_per_s) * BYTES_PER_MBIT / f64::from(holders.max(1)),
            bytes: 0.0,
            refilled_at: now,
        }
    }

    /// Returns this budget with the balance, possibly negative, of an earlier one of the same link.
    pub(super) fn carry_over(self, earlier: &Self) -> Self {
        Self {
            bytes: earlier.bytes.min(self.bytes_per_s * BURST.as_secs_f64()),
            ..self
        }
    }

    /// Subtracts transferred bytes from the balance.
    pub(super) fn charge(&mut self, bytes: u64, now: MonoTime) {
        self.refill(now);
        self.bytes -= bytes as f64;
    }

    /// Returns the time from which the link admits a request; `MonoTime::MAX` without a link.
    pub(super) fn available_at(&mut self, now: MonoTime) -> MonoTime {
        self.refill(now);
        match (self.bytes >= 0.0, self.bytes_per_s > 0.0) {
            (_, false) => MonoTime::MAX,
            (true, true) => now,
            (false, true) => {
                let seconds = -self.bytes / self.bytes_per_s;
                now.after(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
            }
        }
    }

    fn refill(&mut self, now: MonoTime) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_s;
        self.bytes = (self.bytes + gained).min(self.bytes_per_s * BURST.as_secs_f64());
        self.refilled_at = self.refilled_at.max(now);
    }
}
