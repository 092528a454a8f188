//! Rate limit for cold backend servers, which can handle only few requests per second from all
//! instances together.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Share of the permitted rate that all instances together use. The rest covers instances that do
/// not yet agree on which of them send, and requests that arrive in bursts.
const USABLE_SHARE: f64 = 0.8;

/// Minimum rate of one instance in requests per second. Fewer instances share the rate if it is too
/// low for all.
const MIN_INSTANCE_RATE: f64 = 1.5;

/// Maximum time for which unused rate is kept.
const MAX_UNUSED: Duration = Duration::from_millis(700);

/// Rate limiter of one instance for one backend server. Not cold by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdGate {
    until: MonoTime,
    next_at: MonoTime,
}

impl ColdGate {
    /// Marks the backend server as cold until the given time.
    pub fn set_cold_until(&mut self, until: MonoTime) {
        self.until = until;
    }

    /// Returns whether the backend server counts as cold at `now`.
    #[must_use]
    pub fn is_cold(&self, now: MonoTime) -> bool {
        !self.until.is_past(now)
    }

    /// Returns for how long the backend server still counts as cold.
    #[must_use]
    pub fn remaining(&self, now: MonoTime) -> Duration {
        self.until.since(now)
    }

    /// Returns whether this instance may send it a request now.
    ///
    /// `rate` is its permitted rate in requests per second, 0 for no limit. `holders` is the number
    /// of instances that may share the rate, and `own_index` the index of this instance among them.
    #[must_use]
    pub fn may_send(&self, now: MonoTime, rate: f64, holders: usize, own_index: usize) -> bool {
        if !self.is_cold(now) || rate <= 0.0 {
            return true;
        }
        own_index < share_count(rate, holders) && self.next_at.is_past(now)
    }

    /// Records that a request was sent.
    pub fn on_send(&mut self, now: MonoTime, rate: f64, holders: usize) {
        if !self.is_cold(now) || rate <= 0.0 {
            return;
        }
        let gap =
            Duration::from_secs_f64(share_count(rate, holders) as f64 / (rate * USABLE_SHARE));
        let from = self.next_at.max(now.before(MAX_UNUSED.min(gap)));
        self.next_at = from.max(now.before(gap)).after(gap).max(now);
    }
}

/// Returns the number of instances among which the rate is split.
fn share_count(rate: f64, holders: usize) -> usize {
    let max = (rate * USABLE_SHARE / MIN_INSTANCE_RATE).max(1.0) as usize;
    holders.clamp(1, max)
}
