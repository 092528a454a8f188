//! Cold starts: a backend server that is cold bears few requests a second from all instances.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Part of the allowed rate that all instances together use. The rest covers instances that do
/// not yet agree on who holds a part, and requests that bunch on the way.
const USED_PART: f64 = 0.8;

/// Fewest requests per second worth a part of its own; fewer instances hold the rate instead.
const MIN_PART: f64 = 1.5;

/// Longest time for which an unused part is kept.
const KEPT: Duration = Duration::from_millis(700);

/// Requests of one instance to one cold backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdGate {
    until: MonoTime,
    next: MonoTime,
}

impl ColdGate {
    /// Makes the backend server count as cold until a point.
    pub fn set(&mut self, until: MonoTime) {
        self.until = until;
    }

    /// Tells whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: MonoTime) -> bool {
        !self.until.is_past(now)
    }

    /// Tells whether this instance may send it a request now. `rate` is what it bears a second,
    /// `holders` the instances in the order in which they hold parts of that, `own` this one's
    /// place in that order.
    #[must_use]
    pub fn may_send(&self, now: MonoTime, rate: f64, holders: usize, own: usize) -> bool {
        if !self.is_cold(now) || rate <= 0.0 {
            return true;
        }
        own < parts(rate, holders) && self.next.is_past(now)
    }

    /// Notes a request that is sent.
    pub fn on_send(&mut self, now: MonoTime, rate: f64, holders: usize) {
        if !self.is_cold(now) || rate <= 0.0 {
            return;
        }
        let gap = Duration::from_secs_f64(parts(rate, holders) as f64 / (rate * USED_PART));
        let from = self.next.max(now.before(KEPT.min(gap)));
        self.next = from.max(now.before(gap)).after(gap).max(now);
    }
}

/// Returns among how many instances the rate is split.
fn parts(rate: f64, holders: usize) -> usize {
    let most = (rate * USED_PART / MIN_PART).max(1.0) as usize;
    holders.clamp(1, most)
}
