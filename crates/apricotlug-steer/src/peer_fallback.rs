//! When an instance asks other instances in place of the store.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Failures of the store in a row from which other instances are asked. A connection that ends says
/// little: where all connections of all instances end at once, instances that ask each other would
/// all wait for news that none of them fetches.
const FAILURES: u32 = 2;

/// Time for which other instances are asked after that.
const SPAN: Duration = Duration::from_secs(3);

/// Whether other instances stand in for a store that turns this one away.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fallback {
    failures: u32,
    until: MonoTime,
}

impl Fallback {
    /// Takes up an answer of the store.
    pub fn on_answer(&mut self) {
        self.failures = 0;
    }

    /// Takes up that the store did not answer or turned the call away.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.until = now.after(SPAN);
        }
    }

    /// Takes up that another instance had no fresh news either.
    pub fn on_peer_failed(&mut self) {
        self.until = MonoTime::default();
    }

    /// Tells whether other instances are asked.
    #[must_use]
    pub fn is_on(&self, now: MonoTime) -> bool {
        !self.until.is_past(now)
    }
}
