//! Sequential test of a new version against the old one at the same time.
//!
//! Each request goes to the new version with a known probability, whatever would become of it. So
//! while the new version is no worse, a bad answer is the new version's with that probability, and
//! neither noise nor a fault that strikes both versions can change this. The test looks at bad
//! answers alone, route by route and over all routes, for errors and for slow answers, and keeps
//! sums that start again at zero, so that a fault that begins late is found as fast as one from
//! the start. The probability that one sum passes its threshold `t` within `n` bad answers of a
//! version no worse than tolerated is at most `n · exp(-t)`.
//!
//! At large shares bad answers tell little, since most come from the new version anyway. There the
//! old version's last counts help: when they are conclusive, weaker evidence at the same time is
//! enough. Where the old version has hardly any traffic left, they raise a doubt, and the guard
//! lowers the share so that both can be compared again.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{InstanceId, MonoTime};

use super::{
    Counts, Pair, Report, Totals,
    baseline::{Baseline, TAILS},
    score::Score,
};

/// Time in which the old version's counts lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Risk of an error, as a multiple of the old version's, that is tolerated.
const TOLERATED_ERRORS: f64 = 1.5;

/// Risk of a slow answer, as a multiple of the old version's, that is tolerated.
const TOLERATED_SLOW: f64 = 2.0;

/// Share from which on the old version has too little traffic left to compare with.
const LONE_SHARE: f64 = 0.8;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// More requests fail than with the old version.
    Errors,
    /// More answers are slow than with the old version.
    Slow,
}

/// Fault of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Id of the route, or `None` where only all routes together are conclusive.
    pub route: Option<String>,
    /// What is wrong.
    pub signal: Signal,
}

/// Sequential test over the routes of a move.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    seen: BTreeMap<InstanceId, Totals>,
    routes: BTreeMap<String, RouteTest>,
    all: Scores,
    last_step: MonoTime,
    is_doubtful: bool,
    is_old_troubled: bool,
}

impl Detector {
    /// Takes reports in; what was counted before is known from earlier ones. Returns the first
    /// fault found.
    pub fn observe<'a>(
        &mut self,
        reports: impl IntoIterator<Item = &'a Report>,
        now: MonoTime,
    ) -> Option<Fault> {
        let half_lives = now.since(self.last_step).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.last_step = now;
        let steps = self.take_steps(reports);
        for (route, step) in &steps {
            let test = self.routes.entry(route.clone()).or_default();
            test.take_baseline(step, 0.5_f64.powf(half_lives));
        }
        self.is_doubtful = false;
        self.is_old_troubled = false;
        let mut fault = None;
        for (route, step) in &steps {
            let test = self.routes.entry(route.clone()).or_default();
            for pair in step {
                test.compare(pair, &mut self.all);
            }
            self.is_old_troubled |= test.old_alone.is_suspect();
            fault = fault.or(test.fault(route));
            self.is_doubtful |= test.take_doubt();
        }
        fault.or_else(|| self.fault())
    }

    /// Tells whether the evidence leans against the new version without being conclusive.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.scores().any(Scores::is_suspect)
    }

    /// Tells whether the latest step was far worse than the old version's last counts, at a share
    /// where the versions can't be compared at the same time.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Tells whether the old version itself is worse than it was of late.
    #[must_use]
    pub fn is_old_troubled(&self) -> bool {
        self.is_old_troubled
    }

    /// Returns what is new in each report, by route.
    fn take_steps<'a>(
        &mut self,
        reports: impl IntoIterator<Item = &'a Report>,
    ) -> BTreeMap<String, Vec<Pair>> {
        let mut steps: BTreeMap<String, Vec<Pair>> = BTreeMap::new();
        for report in reports {
            let seen = self.seen.entry(report.instance.clone()).or_default();
            for (route, pair) in &report.totals {
                let earlier = seen.entry(route.clone()).or_default();
                let step = pair.since(earlier);
                if step.requests() > 0 {
                    earlier.clone_from(pair);
                    steps.entry(route.clone()).or_default().push(step);
                }
            }
        }
        steps
    }

    fn scores(&self) -> impl Iterator<Item = &Scores> {
        let routes = self.routes.values().map(|test| &test.scores);
        routes.chain([&self.all])
    }

    /// Returns the fault that only all routes together show.
    fn fault(&self) -> Option<Fault> {
        let signal = self.all.signal()?;
        Some(Fault {
            route: None,
            signal,
        })
    }
}

/// Sums for both signals.
#[derive(Clone, Copy, Debug, Default)]
struct Scores {
    errors: Score,
    slow: [Score; TAILS],
}

impl Scores {
    /// Adds the bad answers of both versions.
    fn compare(&mut self, step: &Pair, limits: Option<[usize; TAILS]>) {
        let share = step.share();
        let (new, old) = (step.new.errors, step.old.errors);
        self.errors
            .add_randomised(new, old, share, TOLERATED_ERRORS);
        for (score, limit) in self.slow.iter_mut().zip(limits.into_iter().flatten()) {
            let (new, old) = (slower(&step.new, limit), slower(&step.old, limit));
            score.add_randomised(new, old, share, TOLERATED_SLOW);
        }
    }

    /// Adds the answers of the new version, compared with the old version's last ones.
    fn compare_with_last(&mut self, new: &Counts, last: &Baseline, limits: Option<[usize; TAILS]>) {
        if let Some(rate) = last.error_rate() {
            let good = new.requests - new.errors;
            self.errors.add_historical(new.errors, good, rate);
        }
        for (score, limit) in self.slow.iter_mut().zip(limits.into_iter().flatten()) {
            if let Some(rate) = last.slow_rate(limit) {
                let slow = slower(new, limit);
                score.add_historical(slow, new.latency.total() - slow, rate);
            }
        }
    }

    fn signal(&self) -> Option<Signal> {
        if self.errors.is_conclusive() {
            return Some(Signal::Errors);
        }
        let is_slow = self.slow.iter().any(Score::is_conclusive);
        is_slow.then_some(Signal::Slow)
    }

    /// Tells whether the sums for a signal lean against the new version.
    fn supports(&self, signal: Signal) -> bool {
        match signal {
            Signal::Errors => self.errors.is_supporting(),
            Signal::Slow => self.slow.iter().any(Score::is_supporting),
        }
    }

    fn is_suspect(&self) -> bool {
        self.errors.is_suspect() || self.slow.iter().any(Score::is_suspect)
    }
}

/// Tests of one route.
#[derive(Clone, Debug, Default)]
struct RouteTest {
    baseline: Baseline,
    scores: Scores,
    alone: Scores,
    old_alone: Scores,
    is_lone: bool,
}

impl RouteTest {
    fn take_baseline(&mut self, steps: &[Pair], keep: f64) {
        if steps.iter().all(|step| step.old.requests == 0) {
            return;
        }
        self.baseline.decay(keep);
        for step in steps {
            self.baseline.add(&step.old);
        }
    }

    fn compare(&mut self, step: &Pair, all: &mut Scores) {
        let limits = self.baseline.slow_limits();
        self.scores.compare(step, limits);
        all.compare(step, limits);
        self.old_alone
            .compare_with_last(&step.old, &self.baseline, limits);
        self.alone
            .compare_with_last(&step.new, &self.baseline, limits);
        self.is_lone = step.share() >= LONE_SHARE;
    }

    /// Returns the fault that this route shows.
    fn fault(&self, route: &str) -> Option<Fault> {
        let is_supported = |signal: &Signal| self.scores.supports(*signal);
        let signal = self.scores.signal();
        let signal = signal.or_else(|| self.alone.signal().filter(is_supported))?;
        Some(Fault {
            route: Some(route.to_owned()),
            signal,
        })
    }

    /// Returns whether the comparison with the last counts is conclusive where nothing else can
    /// be; it starts again then.
    fn take_doubt(&mut self) -> bool {
        let is_doubtful = self.alone.signal().is_some() && self.is_lone;
        if is_doubtful {
            self.alone = Scores::default();
        }
        is_doubtful
    }
}

/// Returns the number of answers slower than a bucket.
fn slower(counts: &Counts, limit: usize) -> u64 {
    counts.latency.counts().iter().skip(limit + 1).sum()
}
