//! Measurements of backend servers: service times per route, failures and slowness.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Weight of a new observation in the moving average of a service time.
pub(super) const TIME_GAIN: f64 = 0.05;

/// Weight of a new outcome in the moving failure rate.
const FAILURE_GAIN: f64 = 0.15;

/// Weight of a new observation in the moving average of a backend server's slowness.
const SLOWNESS_GAIN: f64 = 0.2;

/// Largest excess of an answer's time over the expected one that counts, in multiples of it.
const MAX_EXCESS_RATIO: f64 = 20.0;

/// Half-life of the failure rate and of the slowness, so that a backend server that gets no
/// requests is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Pause after a first failed connection.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Maximum pause after repeated failed connections, and the pause after a backend server has gone.
const MAX_PAUSE: Duration = Duration::from_millis(4_000);

/// Maximum expected wait, as a share of the mean time, at which an observation is classified as
/// warm or cold. The estimate of a longer wait is too inaccurate.
const MAX_CLASSIFY_WAIT: f64 = 0.5;

/// Number of answers from which the times of a route count as known.
const MIN_OBSERVATIONS: u32 = 12;

/// Minimum ratio of the cold to the warm time.
const MIN_COLD_RATIO: f64 = 1.2;

/// Moving averages of the service times of one route, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Service time of a request whose object is warm, in milliseconds.
    pub warm_ms: f64,
    /// Service time of a request whose object is cold, in milliseconds.
    pub cold_ms: f64,
    /// Service time over all requests, warm and cold, in milliseconds.
    pub busy_ms: f64,
    min_ms: f64,
    max_ms: f64,
    observations: u32,
}

impl ServiceTime {
    /// Derives first estimates from the target latency that the operators set, in milliseconds.
    #[must_use]
    pub fn expected(target_ms: u32) -> Self {
        let target_ms = f64::from(target_ms);
        Self {
            warm_ms: target_ms * 0.3,
            cold_ms: target_ms * 1.0,
            busy_ms: target_ms * 0.6,
            min_ms: 1.0,
            max_ms: target_ms * 5.0,
            observations: 0,
        }
    }

    /// Records an observed service time `ms`, without network time and the expected wait `wait_ms`.
    ///
    /// Returns whether the object was warm, or `None` where the wait is too long to tell. The
    /// observation is assigned to the nearer of the warm and the cold time, by ratio, once `factor`
    /// is taken out: the expected service time in multiples of the route's.
    pub fn observe(&mut self, ms: f64, wait_ms: f64, factor: f64) -> Option<bool> {
        let ms = ms.clamp(self.min_ms, self.max_ms);
        self.observations = self.observations.saturating_add(1);
        let update_mean = |time: &mut f64| *time += (ms - *time) * TIME_GAIN;
        update_mean(&mut self.busy_ms);
        if wait_ms > self.busy_ms * MAX_CLASSIFY_WAIT {
            return None;
        }
        let usual_ms = ms / factor;
        let is_warm = usual_ms * usual_ms < self.warm_ms * self.cold_ms;
        if is_warm {
            update_mean(&mut self.warm_ms);
        } else {
            update_mean(&mut self.cold_ms);
        }
        self.cold_ms = self.cold_ms.max(self.warm_ms * MIN_COLD_RATIO);
        Some(is_warm)
    }

    /// Returns whether there are enough observations to refuse a request for its expected latency.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.observations >= MIN_OBSERVATIONS
    }

    /// Returns the expected service time in milliseconds if the object is warm with probability
    /// `warm`.
    #[must_use]
    pub fn mean_ms(&self, warm: f64) -> f64 {
        self.warm_ms * warm + self.cold_ms.max(self.warm_ms) * (1.0 - warm)
    }
}

/// Health of one backend server, derived from its answers. Starts healthy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    excess_ratio: f64,
    updated_at: MonoTime,
    paused_until: MonoTime,
    pause: Duration,
}

impl Health {
    /// Returns the failure rate, 0 to 1, decayed to `now`.
    #[must_use]
    pub fn failure_rate(&self, now: MonoTime) -> f64 {
        self.failure_rate * self.decay_factor(now)
    }

    /// Returns the ratio of its answer times to the expected ones, at least 1, decayed to `now`.
    #[must_use]
    pub fn slowness(&self, now: MonoTime) -> f64 {
        1.0 + self.excess_ratio * self.decay_factor(now)
    }

    /// Returns whether sending to it is paused.
    #[must_use]
    pub fn is_paused(&self, now: MonoTime) -> bool {
        !self.paused_until.is_past(now)
    }

    /// Records a complete answer that took `ratio` times the expected time.
    pub fn on_success(&mut self, now: MonoTime, ratio: f64) {
        self.decay(now);
        self.failure_rate -= self.failure_rate * FAILURE_GAIN;
        let excess_ratio = (ratio - 1.0).clamp(0.0, MAX_EXCESS_RATIO);
        self.excess_ratio += (excess_ratio - self.excess_ratio) * SLOWNESS_GAIN;
        self.pause = Duration::ZERO;
        self.paused_until = MonoTime::default();
    }

    /// Records a failed request.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.decay(now);
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_GAIN;
    }

    /// Records a request that was given up after `ratio` times the expected time without an answer:
    /// a failure, and its answer would have been at least that slow.
    pub fn on_overdue(&mut self, now: MonoTime, ratio: f64) {
        self.on_failure(now);
        let excess_ratio = (ratio - 1.0).clamp(0.0, MAX_EXCESS_RATIO);
        let rise = (excess_ratio - self.excess_ratio).max(0.0);
        self.excess_ratio += rise * SLOWNESS_GAIN;
    }

    /// Records a failed connection: sending pauses, twice as long after each further failure.
    pub fn on_unreachable(&mut self, now: MonoTime) {
        self.on_failure(now);
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused_until = now.after(self.pause);
    }

    /// Records that it no longer exists: sending pauses for the maximum time.
    pub fn on_gone(&mut self, now: MonoTime) {
        self.pause = MAX_PAUSE;
        self.paused_until = now.after(MAX_PAUSE);
    }

    fn decay(&mut self, now: MonoTime) {
        let decay_factor = self.decay_factor(now);
        self.failure_rate *= decay_factor;
        self.excess_ratio *= decay_factor;
        self.updated_at = now;
    }

    fn decay_factor(&self, now: MonoTime) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        (-half_lives * std::f64::consts::LN_2).exp()
    }
}
