//! What is learned of backend servers: how long their work takes and how often it fails.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Weight of a new observation of a service time.
pub(super) const TIME_GAIN: f64 = 0.05;

/// Weight of a new outcome in the share of failures.
const FAIL_GAIN: f64 = 0.15;

/// Weight of a new observation of how slow a backend server is against its service.
const SLOW_GAIN: f64 = 0.2;

/// Half-life of the share of failures and of slowness, so that a backend server that is avoided
/// gets another chance.
const FORGET: Duration = Duration::from_secs(4);

/// First pause after a connection could not be made.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(4_000);

/// Wait, in parts of the usual time, up to which an observation tells warm from cold: a longer one
/// is known too badly.
const CLEAR_WAIT: f64 = 0.5;

/// Answers from which the times of a route are known.
const KNOWN_FROM: u32 = 12;

/// Least ratio between cold and warm times.
const LEAST_RATIO: f64 = 1.2;

/// Service times of one route, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Time of a request for an object that was handled lately.
    pub warm_ms: f64,
    /// Time of any other request.
    pub cold_ms: f64,
    /// Time of all requests as they come.
    pub busy_ms: f64,
    least_ms: f64,
    most_ms: f64,
    seen: u32,
}

impl ServiceTime {
    /// Starts from the time in which the operators expect answers.
    #[must_use]
    pub fn expected(target_ms: u32) -> Self {
        let target_ms = f64::from(target_ms);
        Self {
            warm_ms: target_ms * 0.3,
            cold_ms: target_ms * 1.0,
            busy_ms: target_ms * 0.6,
            least_ms: 1.0,
            most_ms: target_ms * 5.0,
            seen: 0,
        }
    }

    /// Takes up an observation, less ways and the wait that was expected. Tells whether the object
    /// was warm, where that is clear: an observation counts for the time that it is nearer to.
    pub fn observe(&mut self, ms: f64, wait_ms: f64) -> Option<bool> {
        let ms = ms.clamp(self.least_ms, self.most_ms);
        self.seen = self.seen.saturating_add(1);
        let move_to = |time: &mut f64| *time += (ms - *time) * TIME_GAIN;
        move_to(&mut self.busy_ms);
        if wait_ms > self.busy_ms * CLEAR_WAIT {
            return None;
        }
        let is_warm = ms * ms < self.warm_ms * self.cold_ms;
        if is_warm {
            move_to(&mut self.warm_ms);
        } else {
            move_to(&mut self.cold_ms);
        }
        self.cold_ms = self.cold_ms.max(self.warm_ms * LEAST_RATIO);
        Some(is_warm)
    }

    /// Tells whether enough was seen to refuse a request for the time that it takes.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.seen >= KNOWN_FROM
    }

    /// Returns the time expected where the object is warm with the given probability.
    #[must_use]
    pub fn mean_ms(&self, warm: f64) -> f64 {
        self.warm_ms * warm + self.cold_ms.max(self.warm_ms) * (1.0 - warm)
    }
}

/// Health of one backend server as its answers show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    fail: f64,
    slow: f64,
    seen_at: MonoTime,
    paused_until: MonoTime,
    pause: Duration,
}

impl Health {
    /// Returns the share of failures, 0 to 1, as it counts now.
    #[must_use]
    pub fn fail(&self, now: MonoTime) -> f64 {
        self.fail * self.memory(now)
    }

    /// Returns how many times longer than its service's usual its answers take, 1 or more.
    #[must_use]
    pub fn slowness(&self, now: MonoTime) -> f64 {
        1.0 + self.slow * self.memory(now)
    }

    /// Tells whether nothing is sent there for now.
    #[must_use]
    pub fn is_paused(&self, now: MonoTime) -> bool {
        !self.paused_until.is_past(now)
    }

    /// Takes up a complete answer, `ratio` times as long as expected.
    pub fn on_success(&mut self, now: MonoTime, ratio: f64) {
        self.decay(now);
        self.fail -= self.fail * FAIL_GAIN;
        let slow = (ratio - 1.0).clamp(0.0, 20.0);
        self.slow += (slow - self.slow) * SLOW_GAIN;
        self.pause = Duration::ZERO;
        self.paused_until = MonoTime::default();
    }

    /// Takes up a failure.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.decay(now);
        self.fail += (1.0 - self.fail) * FAIL_GAIN;
    }

    /// Takes up that it cannot be reached: pauses, longer each time.
    pub fn on_unreachable(&mut self, now: MonoTime) {
        self.on_failure(now);
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.paused_until = now.after(self.pause);
    }

    /// Takes up that it is not there any more.
    pub fn on_gone(&mut self, now: MonoTime) {
        self.pause = MAX_PAUSE;
        self.paused_until = now.after(MAX_PAUSE);
    }

    fn decay(&mut self, now: MonoTime) {
        let memory = self.memory(now);
        self.fail *= memory;
        self.slow *= memory;
        self.seen_at = now;
    }

    fn memory(&self, now: MonoTime) -> f64 {
        let age = now.since(self.seen_at).as_secs_f64() / FORGET.as_secs_f64();
        (-age * std::f64::consts::LN_2).exp()
    }
}
