//! Fallback from the store to other instances.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Consecutive failures of the store after which other instances are used. One closed connection is
/// not enough: if all connections of all instances close at once, instances that poll each other
/// would all wait for changes that none of them fetches from the store.
const FAILURES: u32 = 2;

/// Time for which other instances are used before the store is tried again.
const SPAN: Duration = Duration::from_secs(3);

/// Whether other instances are used in place of a store that rejects or does not answer this one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fallback {
    failures: u32,
    until: MonoTime,
}

impl Fallback {
    /// Records an answer of the store, which resets the count of failures.
    pub fn on_answer(&mut self) {
        self.failures = 0;
    }

    /// Records that the store rejected a call or did not answer.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.until = now.after(SPAN);
        }
    }

    /// Records that another instance had no fresh data either, which ends the fallback.
    pub fn on_peer_failed(&mut self) {
        self.until = MonoTime::default();
    }

    /// Returns whether other instances are used at this time.
    #[must_use]
    pub fn is_on(&self, now: MonoTime) -> bool {
        !self.until.is_past(now)
    }
}
