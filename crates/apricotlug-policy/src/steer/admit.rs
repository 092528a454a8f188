//! Overload: a request that cannot be answered in its time is refused before it waits anywhere.

/// Time that a caller and a route leave for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Patience {
    /// Milliseconds left until the answer has no worth at all.
    pub left_ms: f64,
    /// Milliseconds left until the answer has less worth; 0 where that time is over.
    pub target_left_ms: f64,
    /// Milliseconds within which the route's answers are expected.
    pub target_ms: f64,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes ahead.
    Go,
    /// It cannot be answered in time.
    TooLate,
    /// Its wait would make others late.
    Crowded,
}

/// Part of the time left that the expected answer may use; the rest covers the estimate's error.
const USED_PART: f64 = 0.9;

/// Wait, in parts of the target, that is accepted for a request that will be late anyway.
const LATE_WAIT: f64 = 0.3;

/// Decides about a request whose answer is expected after so many milliseconds, of which it waits
/// some for a slot. Where no wait lies ahead it goes: a free slot serves. `is_known` tells whether
/// the route's times are known well enough to refuse it for them.
#[must_use]
pub fn judge(patience: Patience, expected_ms: f64, wait_ms: f64, is_known: bool) -> Verdict {
    if is_known && expected_ms > patience.left_ms * USED_PART {
        return Verdict::TooLate;
    }
    let is_in_target = expected_ms <= patience.target_left_ms * USED_PART;
    let is_short = wait_ms <= patience.target_ms * LATE_WAIT;
    if is_in_target || is_short {
        Verdict::Go
    } else {
        Verdict::Crowded
    }
}

/// Shortest time after which a refused caller comes again, in milliseconds.
const MIN_RETRY_MS: f64 = 50.0;

/// Returns the time after which a refused caller comes again: when about half of what is ahead is
/// done, spread by `draw` (0 to 1) so that not all come at once, and within the third of the time
/// left that callers honour.
#[must_use]
pub fn retry_after_ms(patience: Patience, expected_ms: f64, draw: f64) -> u64 {
    let wanted = expected_ms * (0.25 + 0.5 * draw);
    wanted.min(patience.left_ms / 3.0).max(MIN_RETRY_MS) as u64
}
