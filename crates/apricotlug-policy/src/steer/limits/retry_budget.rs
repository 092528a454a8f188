//! Retry budget, which limits the retries of all instances together to a small share of the load.

use std::{collections::VecDeque, time::Duration};

use apricotlug_model::MonoTime;

/// Number of buckets into which the window is divided.
const BUCKETS: u32 = 20;

/// Share of the permitted ratio that is used. The rest covers requests that are counted late. The
/// ratio applies to the requests received by this instance, so the sum over all instances keeps it.
const USED_RATIO: f64 = 0.9;

/// Share of the permitted slack that is used. The rest covers instances that restart within the window,
/// and two groups that do not know of each other.
const USED_SLACK: f64 = 0.5;

/// Limit on the retries of one service by one instance.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    buckets: VecDeque<(MonoTime, u32, u32)>,
}

impl ServiceRetryBudget {
    /// Creates a budget that permits, in each `window`, `ratio` retries per request, and `slack`
    /// further retries over all instances.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a received request.
    pub fn on_request(&mut self, now: MonoTime) {
        self.bucket(now).1 += 1;
    }

    /// Takes one retry out of the budget. Returns `false` if the budget is used up. `share` is the
    /// part of the slack that this instance may use, 0 to 1.
    pub fn try_take(&mut self, now: MonoTime, share: f64) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|(_, requests, _)| requests).sum();
        let retries: u32 = self.buckets.iter().map(|(_, _, retries)| retries).sum();
        let slack = self.slack * share * USED_SLACK;
        let allowed = f64::from(requests) * self.ratio * USED_RATIO + slack;
        if f64::from(retries) + 1.0 > allowed {
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
