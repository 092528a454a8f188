//! Fallback from the store to other instances.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Consecutive failures of the store after which other instances are used. One closed connection is
/// not enough: if all connections of all instances close at once, instances that poll each other
/// would all wait for changes that none of them fetches from the store.
const FAILURE_THRESHOLD: u32 = 2;

/// Time for which other instances are used before the store is tried again.
const FALLBACK_DURATION: Duration = Duration::from_secs(3);

/// Whether other instances are used in place of a store that rejects this instance's calls or does
/// not respond to them.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerFallback {
    failures: u32,
    active_until: MonoTime,
}

impl PeerFallback {
    /// Records a response of the store, which resets the count of failures.
    pub fn on_store_response(&mut self) {
        self.failures = 0;
    }

    /// Records that the store rejected a call or did not respond.
    pub fn on_store_failure(&mut self, now: MonoTime) {
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD {
            self.active_until = now.after(FALLBACK_DURATION);
        }
    }

    /// Records that another instance had no fresh data either, which ends the fallback.
    pub fn on_peer_failure(&mut self) {
        self.active_until = MonoTime::default();
    }

    /// Returns whether other instances are used at this time.
    #[must_use]
    pub fn is_active(&self, now: MonoTime) -> bool {
        !self.active_until.is_past(now)
    }
}
