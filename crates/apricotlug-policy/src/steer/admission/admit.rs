//! Admission under overload: a request that cannot be answered in time is refused before it queues.

/// Time limits of a request, set by its caller and its route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Milliseconds left until the deadline, after which the answer is useless.
    pub left_ms: f64,
    /// Milliseconds left until the target latency is exceeded; 0 where it is exceeded already.
    pub target_left_ms: f64,
    /// Target latency of the route in milliseconds.
    pub target_ms: f64,
}

/// Admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admit,
    /// The request cannot be answered before its deadline.
    TooLate,
    /// The request would miss the target and, by queueing, delay others.
    Overloaded,
}

/// Share of the remaining time that the expected latency may use. The rest covers the error of the
/// estimate.
const USABLE_SHARE: f64 = 0.9;

/// Maximum wait for a request that misses its target in any case, as a share of the target latency.
const MAX_LATE_WAIT: f64 = 0.3;

/// Decides whether to admit a request whose answer is expected after `expected_ms`, of which it
/// waits `wait_ms` for a slot.
///
/// A request that finds a free slot is admitted even if it misses its target. `is_known` states
/// whether there are enough observations of the route to refuse a request for its expected latency.
#[must_use]
pub fn decide_admission(
    limits: RequestLimits,
    expected_ms: f64,
    wait_ms: f64,
    is_known: bool,
) -> AdmissionDecision {
    decide_with_wait_share(limits, expected_ms, wait_ms, is_known, 1.0)
}

/// Decides as [`decide_admission`], for a request that may use the part `wait_share` of the wait
/// that it is allowed.
pub(super) fn decide_with_wait_share(
    limits: RequestLimits,
    expected_ms: f64,
    wait_ms: f64,
    is_known: bool,
    wait_share: f64,
) -> AdmissionDecision {
    if is_known && expected_ms > limits.left_ms * USABLE_SHARE {
        return AdmissionDecision::TooLate;
    }
    let in_target_ms = limits.target_left_ms * USABLE_SHARE - (expected_ms - wait_ms);
    let allowed_ms = in_target_ms.max(limits.target_ms * MAX_LATE_WAIT);
    if wait_ms <= allowed_ms * wait_share {
        AdmissionDecision::Admit
    } else {
        AdmissionDecision::Overloaded
    }
}

/// Minimum retry delay announced to a refused caller, in milliseconds.
const MIN_RETRY_MS: f64 = 50.0;

/// Returns the milliseconds after which a refused caller may retry.
///
/// The delay is about half of the expected latency, so that about half of the queue is served by
/// then. `draw`, a random number from 0 to 1, spreads the retries of several callers. Callers
/// honour delays up to a third of their remaining time, which is the upper bound unless it is below
/// the minimum delay.
#[must_use]
pub fn retry_after_ms(limits: RequestLimits, expected_ms: f64, draw: f64) -> u64 {
    let delay_ms = expected_ms * (0.25 + 0.5 * draw);
    delay_ms.min(limits.left_ms / 3.0).max(MIN_RETRY_MS) as u64
}
