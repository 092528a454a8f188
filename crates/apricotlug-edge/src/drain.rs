//! Drain of this instance: counts requests in flight and marks the instance as leaving.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};

use apricotlug_model::MonoTime;
use async_std::task;

use crate::clock::Clock;

/// Interval at which the number of requests in flight is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of requests in flight, and whether the instance is leaving.
#[derive(Debug, Default)]
pub struct Drain {
    is_leaving: AtomicBool,
    in_flight: AtomicUsize,
}

/// Guard that counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight<'a>(&'a Drain);

impl Drain {
    /// Returns whether the instance is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Marks the instance as leaving: it reports not ready, and connections close after their next
    /// response.
    pub fn start(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn count_request(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(self)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight or the deadline has passed. Returns the number still in
    /// flight.
    pub async fn wait_empty(&self, clock: &Clock, deadline: MonoTime) -> usize {
        while self.in_flight() > 0 && !deadline.is_past(clock.now()) {
            task::sleep(POLL_INTERVAL).await;
        }
        self.in_flight()
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
