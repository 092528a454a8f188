//! Slot of an attempt at a backend server, and what its end says about that server.

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{Choice, RequestOutcome};

use crate::{admission::AdmittedRequest, shared::Shared};

/// Delay before an idempotent request is also sent to a second backend server: a multiple of the
/// expected time, and at least this much beyond the expected time.
const HEDGE_FACTOR: f64 = 2.5;
const MIN_HEDGE_DELAY_MS: f64 = 250.0;

/// Returns the delay before a second attempt, in milliseconds.
pub fn hedge_delay_ms(expected_ms: f64) -> f64 {
    (expected_ms * HEDGE_FACTOR).max(expected_ms + MIN_HEDGE_DELAY_MS)
}

/// Slot that an attempt holds at a backend server until it is dropped.
pub struct SlotGuard<'a> {
    /// State of the instance.
    pub shared: &'a Shared,
    /// Request of the attempt.
    pub request: &'a AdmittedRequest,
    /// Backend server and the times that were expected of it.
    pub choice: Choice,
    /// Version of the backend server.
    pub version: String,
    /// Start of the attempt.
    pub started_at: MonoTime,
    /// Milliseconds from which the response counts as slow.
    pub slow_ms: f64,
    /// How the attempt ended; `None` while it runs, and where it is cancelled.
    pub outcome: Option<RequestOutcome>,
}

impl SlotGuard<'_> {
    /// Returns the time since the start of the attempt, in milliseconds.
    pub fn elapsed_ms(&self) -> f64 {
        let now = self.shared.clock.now();
        now.since(self.started_at).as_secs_f64() * 1_000.0
    }

    /// Returns whether the attempt takes longer than a warm or a cold object explains.
    pub fn is_slow(&self) -> bool {
        self.elapsed_ms() > self.slow_ms
    }

    /// Returns whether the response is so late that another attempt may have been made.
    fn is_overdue(&self) -> bool {
        self.elapsed_ms() >= hedge_delay_ms(self.choice.expected_ms)
            || self.request.deadline.is_past(self.shared.clock.now())
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let is_slow = self.is_slow();
        let has_timed_out = self.request.deadline.is_past(self.shared.clock.now());
        // A cancelled attempt counts as a failure if the backend server had not responded for long,
        // or until the request's time was over.
        let if_cancelled = if is_slow || has_timed_out {
            RequestOutcome::Overdue(self.elapsed_ms())
        } else {
            RequestOutcome::Cancelled
        };
        if self.outcome.is_none() && self.is_overdue() {
            // Its connection may have fallen silent, and with it the others of that time.
            self.shared.pool.clear(self.choice.key);
            tracing::info!(
                kind = "overdue",
                request = self.request.metadata.request_id,
                expected_ms = self.choice.expected_ms as u64,
                ms = self.elapsed_ms() as u64
            );
        }
        let outcome = self.outcome.unwrap_or(if_cancelled);
        let mut steering = self.shared.steering();
        let now = self.shared.clock.now();
        let route = &self.request.route().id;
        steering.fleet.on_end(&self.choice, route, outcome, now);
        let is_good = match outcome {
            RequestOutcome::Answered(_) => !is_slow,
            RequestOutcome::Failed | RequestOutcome::Overdue(_) => false,
            RequestOutcome::Unreachable
            | RequestOutcome::Refused
            | RequestOutcome::Deferred
            | RequestOutcome::Cancelled => return,
        };
        steering
            .moves
            .on_response(&self.request.service, &self.version, is_good);
    }
}
