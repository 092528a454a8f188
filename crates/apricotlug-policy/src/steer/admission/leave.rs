//! Planned stop of an instance: which requests it still accepts, and when it ends.
//!
//! Answers the load of a rolling restart: callers with an earlier look-up answer go on sending,
//! while the process is killed at the end of the grace time. A request that is at work then is lost
//! to its caller, who cannot repeat it if it must not run twice. One that is refused is repeated
//! elsewhere at once.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Fraction of the grace time for which requests of any length are accepted. Those of the second
/// half could take longer than the time that is left.
const ACCEPT_FRACTION: f64 = 0.48;

/// Upper limit of the same. It outlasts look-up answers; a request that is sent later than 3 s after
/// the signal may not be cut at all, and signals and requests take a while to arrive.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2_700);

/// Fraction of the grace time after which requests in flight are abandoned. The rest is for ending
/// the process.
const ABANDON_FRACTION: f64 = 0.93;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// Time until which requests of any length are accepted.
    pub accept_until: MonoTime,
    /// Time at which requests in flight are abandoned.
    pub abandon_at: MonoTime,
}

impl Leave {
    /// Plans a stop that began at `since`, with `grace` until the process is killed.
    #[must_use]
    pub fn new(since: MonoTime, grace: Duration) -> Self {
        let accept_time = grace.mul_f64(ACCEPT_FRACTION).min(MAX_ACCEPT_TIME);
        Self {
            accept_until: since.after(accept_time),
            abandon_at: since.after(grace.mul_f64(ABANDON_FRACTION)),
        }
    }

    /// Returns whether a request that arrives now is accepted. `deadline` is when its caller stops
    /// waiting: late in the stop, requests are accepted only if that is before the end.
    #[must_use]
    pub fn accepts(&self, now: MonoTime, deadline: MonoTime) -> bool {
        !self.accept_until.is_past(now) || deadline <= self.abandon_at
    }
}
