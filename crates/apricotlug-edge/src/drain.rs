//! Drain of this instance: what is in flight, and since when it is leaving.

use std::{
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};

use apricotlug_model::MonoTime;
use async_std::task;

use crate::clock::Clock;

/// Pause between two looks at the requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Requests in flight and whether the instance is leaving.
#[derive(Debug, Default)]
pub struct Drain {
    is_leaving: AtomicBool,
    in_flight: AtomicUsize,
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight<'a>(&'a Drain);

impl Drain {
    /// Tells whether the instance is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Starts to leave: readiness turns, connections close after their next answer.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Counts a request in flight.
    pub fn enter(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(self)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until nothing is in flight or the deadline has passed. Returns what is left.
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
