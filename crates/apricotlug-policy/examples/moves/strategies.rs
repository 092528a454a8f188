//! Strategies to detect a faulty version: the sequential test and simple ones for comparison.

use std::collections::VecDeque;

use apricotlug_model::MonoTime;
use apricotlug_policy::moves::{Counts, Evidence, Guard, Pair, Report, Totals};

/// Strategy to detect a faulty version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// Sequential test that compares both versions over the same period.
    Sequential,
    /// Fault if, within 30 s, over 5% of the requests fail or over 5% take longer than 10 times the
    /// workload's median.
    FixedThreshold,
    /// Two-proportion z-test on all counts so far, repeated at each evaluation; fault if z > 1.96.
    RepeatedTest,
    /// Never a fault: stages advance by time alone.
    NoEvidence,
}

/// All strategies, in the order of the table.
pub const STRATEGIES: [Strategy; 4] = [
    Strategy::Sequential,
    Strategy::FixedThreshold,
    Strategy::RepeatedTest,
    Strategy::NoEvidence,
];

const WINDOW_S: u64 = 30;

/// State of a strategy in one instance.
#[derive(Clone, Debug)]
pub struct Evaluator {
    strategy: Strategy,
    guard: Guard,
    has_cut: bool,
    slow_bucket: usize,
    window: VecDeque<(MonoTime, Totals)>,
}

impl Evaluator {
    /// Creates the state; `slow_bucket` is the histogram bucket of ten times the workload's median.
    pub fn new(strategy: Strategy, slow_bucket: usize) -> Self {
        Self {
            strategy,
            guard: Guard::default(),
            has_cut: false,
            slow_bucket,
            window: VecDeque::new(),
        }
    }

    /// Returns the largest share that the strategy allows, in thousandths.
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
        if self.strategy == Strategy::Sequential {
            self.guard.observe_own(report, now);
        }
    }

    pub fn observe_fleet(&mut self, evidence: &Evidence, now: MonoTime) {
        match self.strategy {
            Strategy::Sequential => {
                self.guard.observe_fleet(evidence, now);
            }
            Strategy::FixedThreshold => self.observe_window(evidence.totals(), now),
            Strategy::RepeatedTest => {
                self.has_cut |= evidence.totals().values().any(is_significantly_worse);
            }
            Strategy::NoEvidence => {}
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
    let errors = z_score(
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
    let slow_score = z_score(
        slow(&pair.new),
        pair.new.latency.total(),
        slow(&pair.old),
        total,
    );
    errors > 1.96 || slow_score > 1.96
}

fn z_score(bad: u64, all: u64, base_bad: u64, base_all: u64) -> f64 {
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
