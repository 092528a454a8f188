//! Ways of judging a new version: the project's and simple ones to compare with.

use std::collections::VecDeque;

use apricotlug_model::MonoTime;
use apricotlug_policy::moves::{Counts, Evidence, Guard, Pair, Report, Totals};

/// Way of judging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// Sequential test against the old version at the same time.
    Sequential,
    /// Over 5% errors, or over 5% slower than 10 times the usual median, within 30 s.
    FixedThreshold,
    /// Two-proportion test on all counts, repeated at each look, at z > 1.96.
    RepeatedTest,
    /// Stages by time alone.
    NoEvidence,
}

/// Every way.
pub const WAYS: [Way; 4] = [
    Way::Sequential,
    Way::FixedThreshold,
    Way::RepeatedTest,
    Way::NoEvidence,
];

const WINDOW_S: u64 = 30;

/// Judge of one instance.
#[derive(Clone, Debug)]
pub struct Judge {
    way: Way,
    guard: Guard,
    has_cut: bool,
    slow_bucket: usize,
    window: VecDeque<(MonoTime, Totals)>,
}

impl Judge {
    /// Returns a judge; `slow_bucket` is the bucket of ten times the usual median.
    pub fn new(way: Way, slow_bucket: usize) -> Self {
        Self {
            way,
            guard: Guard::default(),
            has_cut: false,
            slow_bucket,
            window: VecDeque::new(),
        }
    }

    /// Returns the largest share that is allowed, in thousandths.
    pub fn limit(&self, now: MonoTime) -> u16 {
        if self.has_cut {
            return 0;
        }
        self.guard.limit(now)
    }

    pub fn has_cut(&self) -> bool {
        self.has_cut || self.guard.has_cut()
    }

    pub fn is_suspect(&self, now: MonoTime) -> bool {
        self.guard.is_suspect(now)
    }

    pub fn observe_own(&mut self, report: &Report, now: MonoTime) {
        if self.way == Way::Sequential {
            self.guard.observe_own(report, now);
        }
    }

    pub fn observe_fleet(&mut self, evidence: &Evidence, now: MonoTime) {
        match self.way {
            Way::Sequential => {
                self.guard.observe_fleet(evidence, now);
            }
            Way::FixedThreshold => self.observe_window(evidence.totals(), now),
            Way::RepeatedTest => {
                self.has_cut |= evidence.totals().values().any(is_significantly_worse);
            }
            Way::NoEvidence => {}
        }
    }

    fn observe_window(&mut self, totals: Totals, now: MonoTime) {
        self.window.push_back((now, totals));
        while self.window.len() as u64 > WINDOW_S {
            self.window.pop_front();
        }
        let (Some((_, first)), Some((_, last))) = (self.window.front(), self.window.back()) else {
            return;
        };
        let slow_bucket = self.slow_bucket;
        self.has_cut |= last.iter().any(|(route, pair)| {
            let earlier = first.get(route).cloned().unwrap_or_default();
            is_over_threshold(&pair.since(&earlier).new, slow_bucket)
        });
    }
}

fn is_over_threshold(new: &Counts, slow_bucket: usize) -> bool {
    let slow: u64 = new.latency.counts().iter().skip(slow_bucket).sum();
    new.requests >= 20 && (new.errors * 20 > new.requests || slow * 20 > new.requests)
}

fn is_significantly_worse(pair: &Pair) -> bool {
    let errors = z(
        pair.new.errors,
        pair.new.requests,
        pair.old.errors,
        pair.old.requests,
    );
    let total = pair.old.latency.total();
    let mut above = total;
    let limit = pair.old.latency.counts().iter().position(|count| {
        above -= count;
        above * 10 <= total
    });
    let slow = |counts: &Counts| {
        let from = limit.unwrap_or(0) + 1;
        counts.latency.counts().iter().skip(from).sum::<u64>()
    };
    let slower = z(
        slow(&pair.new),
        pair.new.latency.total(),
        slow(&pair.old),
        total,
    );
    errors > 1.96 || slower > 1.96
}

fn z(bad: u64, all: u64, base_bad: u64, base_all: u64) -> f64 {
    if all < 5 || base_all < 5 {
        return 0.0;
    }
    let (bad, all) = (bad as f64, all as f64);
    let (base_bad, base_all) = (base_bad as f64, base_all as f64);
    let pooled = (bad + base_bad) / (all + base_all);
    let error = (pooled * (1.0 - pooled) * (1.0 / all + 1.0 / base_all)).sqrt();
    if error == 0.0 {
        return 0.0;
    }
    (bad / all - base_bad / base_all) / error
}
