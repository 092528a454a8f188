//! Retries: what all instances together send more than once stays a small part of the load.

use std::{collections::VecDeque, time::Duration};

use apricotlug_model::MonoTime;

/// Buckets into which the window is cut.
const BUCKETS: u32 = 20;

/// Part of the allowed ratio that is used; the rest covers requests that are counted late. The ratio
/// is of the requests that came in here, so the sum over all instances keeps it.
const USED_RATIO: f64 = 0.9;

/// Part of the allowed slack that is used; the rest covers instances that join.
const USED_SLACK: f64 = 0.75;

/// Bound on retries of one service at one instance.
#[derive(Clone, Debug)]
pub struct AgainBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    buckets: VecDeque<(MonoTime, u32, u32)>,
}

impl AgainBudget {
    /// Creates a bound: in each `window`, `ratio` retries a request and `slack` more, the slack
    /// over all instances.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request that came in.
    pub fn on_request(&mut self, now: MonoTime) {
        self.bucket(now).1 += 1;
    }

    /// Takes one retry out of the budget, if there is one. `instances` share the slack.
    pub fn take(&mut self, now: MonoTime, instances: usize) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|(_, requests, _)| requests).sum();
        let again: u32 = self.buckets.iter().map(|(_, _, again)| again).sum();
        let slack = self.slack / instances.max(1) as f64;
        let allowed = f64::from(requests) * self.ratio * USED_RATIO + slack * USED_SLACK;
        if f64::from(again) + 1.0 > allowed {
            return false;
        }
        self.bucket(now).2 += 1;
        true
    }

    fn bucket(&mut self, now: MonoTime) -> &mut (MonoTime, u32, u32) {
        let start = now.before(self.window);
        while self.buckets.front().is_some_and(|(at, _, _)| *at < start) {
            self.buckets.pop_front();
        }
        let width = self.window / BUCKETS;
        let is_new = self
            .buckets
            .back()
            .is_none_or(|(at, _, _)| now.since(*at) >= width);
        if is_new {
            self.buckets.push_back((now, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
