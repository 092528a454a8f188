//! Recent shares of requests that were admitted.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Requests from which a share is known.
const MIN_REQUESTS: f64 = 4.0;

/// Number of requests that arrived and that were admitted, each weighted by its age.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServedShare {
    /// Time after which a request counts half.
    half_life: Duration,
    arrived: f64,
    admitted: f64,
    updated_at: MonoTime,
}

impl ServedShare {
    /// Creates a share without any request, of which each counts half after `half_life`.
    pub(super) fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            arrived: 0.0,
            admitted: 0.0,
            updated_at: MonoTime::default(),
        }
    }

    /// Records a request.
    pub(super) fn record(&mut self, is_admitted: bool, now: MonoTime) {
        let decay_factor = self.decay_factor(now);
        self.arrived = self.arrived * decay_factor + 1.0;
        self.admitted = self.admitted * decay_factor + f64::from(u8::from(is_admitted));
        self.updated_at = now;
    }

    /// Returns the share that was admitted, 0 to 1; `None` if there were too few requests lately.
    pub(super) fn get(&self, now: MonoTime) -> Option<f64> {
        let is_known = self.arrived(now) >= MIN_REQUESTS;
        is_known.then(|| self.admitted / self.arrived)
    }

    /// Returns the number of requests that arrived lately.
    pub(super) fn arrived(&self, now: MonoTime) -> f64 {
        self.arrived * self.decay_factor(now)
    }

    fn decay_factor(&self, now: MonoTime) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / self.half_life.as_secs_f64();
        (-half_lives * std::f64::consts::LN_2).exp()
    }
}
