//! Sequential test that compares a new version with the old one serving at the same time.
//!
//! Each request is assigned to the new version with a known probability, independently of its
//! outcome. So while the new version is no worse, a bad answer comes from it with that same
//! probability, and neither noise nor a fault that affects both versions changes this. The test
//! uses only bad answers, per route and over all routes, for errors and for slow answers. Its
//! cumulative sums are bounded below by zero, so a fault that begins late is detected as fast as
//! one present from the start. The probability that one sum passes its threshold `t` within `n` bad
//! answers of a version no worse than tolerated is at most `n · exp(-t)`.
//!
//! At large shares bad answers carry little information, since most come from the new version
//! anyway. There the new version is also compared with the baseline, the old version's recent
//! counts: if that comparison is conclusive, weaker concurrent evidence is enough. If the old
//! version has hardly any traffic left, the comparison raises an alarm instead, and the guard
//! lowers the share so that both versions can be compared concurrently again.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{InstanceId, MonoTime};

use super::{
    Counts, Pair, Report, Totals,
    baseline::{Baseline, TAILS},
    score::Score,
};

/// Time in which the weight of the old version's earlier counts halves.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Tolerated risk of an error, as a multiple of the old version's.
const TOLERATED_ERROR_RISK: f64 = 1.5;

/// Tolerated risk of a slow answer, as a multiple of the old version's.
const TOLERATED_SLOW_RISK: f64 = 2.0;

/// Share, from 0 to 1, from which on the old version has too little traffic for a concurrent
/// comparison.
const MIN_SHARE_WITHOUT_CONTROL: f64 = 0.8;

/// Property in which a new version is worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// A larger part of the requests fails than with the old version.
    Errors,
    /// A larger part of the answers is slow than with the old version.
    Slow,
}

/// Conclusive evidence that a new version is worse than the old one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Id of the route, or `None` if only all routes together are conclusive.
    pub route: Option<String>,
    /// Property in which the version is worse.
    pub signal: Signal,
}

/// Sequential test over the routes of a move.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    latest: BTreeMap<InstanceId, Totals>,
    routes: BTreeMap<String, RouteTest>,
    all_routes: Scores,
    last_observed_at: MonoTime,
    has_alarm: bool,
    is_old_degraded: bool,
}

impl Detector {
    /// Adds what the reports counted since earlier reports of the same instances. Returns the first
    /// fault detected, in the order of route ids, or `None`.
    pub fn observe<'a>(
        &mut self,
        reports: impl IntoIterator<Item = &'a Report>,
        now: MonoTime,
    ) -> Option<Fault> {
        let half_lives = now.since(self.last_observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.last_observed_at = now;
        let deltas = self.take_deltas(reports);
        for (route, delta) in &deltas {
            let test = self.routes.entry(route.clone()).or_default();
            test.update_baseline(delta, 0.5_f64.powf(half_lives));
        }
        self.has_alarm = false;
        self.is_old_degraded = false;
        let mut fault = None;
        for (route, delta) in &deltas {
            let test = self.routes.entry(route.clone()).or_default();
            for pair in delta {
                test.compare(pair, &mut self.all_routes);
            }
            self.is_old_degraded |= test.old_to_baseline.is_suspect();
            fault = fault.or(test.fault(route));
            self.has_alarm |= test.take_alarm();
        }
        fault.or_else(|| self.fault())
    }

    /// Returns whether the concurrent evidence points against the new version; also true when it is
    /// conclusive.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.scores().any(Scores::is_suspect)
    }

    /// Returns whether the latest call of [`Self::observe`] raised an alarm: the new version was
    /// conclusively worse than the baseline, at a share that allows no concurrent comparison.
    #[must_use]
    pub fn has_alarm(&self) -> bool {
        self.has_alarm
    }

    /// Returns whether there is evidence that the old version itself became worse than its
    /// baseline, on any route of the latest call of [`Self::observe`].
    #[must_use]
    pub fn is_old_degraded(&self) -> bool {
        self.is_old_degraded
    }

    /// Returns what each report counted since the earlier one of its instance, by route.
    fn take_deltas<'a>(
        &mut self,
        reports: impl IntoIterator<Item = &'a Report>,
    ) -> BTreeMap<String, Vec<Pair>> {
        let mut deltas: BTreeMap<String, Vec<Pair>> = BTreeMap::new();
        for report in reports {
            let latest = self.latest.entry(report.instance.clone()).or_default();
            for (route, pair) in &report.totals {
                let earlier = latest.entry(route.clone()).or_default();
                let delta = pair.since(earlier);
                if delta.requests() > 0 {
                    earlier.clone_from(pair);
                    deltas.entry(route.clone()).or_default().push(delta);
                }
            }
        }
        deltas
    }

    fn scores(&self) -> impl Iterator<Item = &Scores> {
        let routes = self.routes.values().map(|test| &test.concurrent);
        routes.chain([&self.all_routes])
    }

    /// Returns the fault that only all routes together reveal.
    fn fault(&self) -> Option<Fault> {
        let signal = self.all_routes.signal()?;
        Some(Fault {
            route: None,
            signal,
        })
    }
}

/// Cumulative sums for both signals.
#[derive(Clone, Copy, Debug, Default)]
struct Scores {
    errors: Score,
    slow: [Score; TAILS],
}

impl Scores {
    /// Adds the bad answers of both versions for a concurrent comparison.
    fn compare(&mut self, delta: &Pair, limits: Option<[usize; TAILS]>) {
        let share = delta.share();
        let (new, old) = (delta.new.errors, delta.old.errors);
        self.errors
            .add_randomised(new, old, share, TOLERATED_ERROR_RISK);
        for (score, limit) in self.slow.iter_mut().zip(limits.into_iter().flatten()) {
            let (new, old) = (
                count_above(&delta.new, limit),
                count_above(&delta.old, limit),
            );
            score.add_randomised(new, old, share, TOLERATED_SLOW_RISK);
        }
    }

    /// Adds the answers of one version for a comparison with the old version's baseline.
    fn compare_with_baseline(
        &mut self,
        counts: &Counts,
        baseline: &Baseline,
        limits: Option<[usize; TAILS]>,
    ) {
        if let Some(rate) = baseline.error_rate() {
            let good = counts.requests - counts.errors;
            self.errors.add_historical(counts.errors, good, rate);
        }
        for (score, limit) in self.slow.iter_mut().zip(limits.into_iter().flatten()) {
            if let Some(rate) = baseline.slow_rate(limit) {
                let slow = count_above(counts, limit);
                score.add_historical(slow, counts.latency.total() - slow, rate);
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

    /// Returns whether the sums for a signal support a conclusive comparison with the baseline.
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

/// Baseline and sums of one route.
#[derive(Clone, Debug, Default)]
struct RouteTest {
    baseline: Baseline,
    concurrent: Scores,
    new_to_baseline: Scores,
    old_to_baseline: Scores,
    lacks_control: bool,
}

impl RouteTest {
    fn update_baseline(&mut self, deltas: &[Pair], factor: f64) {
        if deltas.iter().all(|delta| delta.old.requests == 0) {
            return;
        }
        self.baseline.decay(factor);
        for delta in deltas {
            self.baseline.add(&delta.old);
        }
    }

    fn compare(&mut self, delta: &Pair, all_routes: &mut Scores) {
        let limits = self.baseline.slow_limits();
        self.concurrent.compare(delta, limits);
        all_routes.compare(delta, limits);
        self.old_to_baseline
            .compare_with_baseline(&delta.old, &self.baseline, limits);
        self.new_to_baseline
            .compare_with_baseline(&delta.new, &self.baseline, limits);
        self.lacks_control = delta.share() >= MIN_SHARE_WITHOUT_CONTROL;
    }

    /// Returns the fault that this route reveals.
    fn fault(&self, route: &str) -> Option<Fault> {
        let is_supported = |signal: &Signal| self.concurrent.supports(*signal);
        let signal = self.concurrent.signal();
        let signal = signal.or_else(|| self.new_to_baseline.signal().filter(is_supported))?;
        Some(Fault {
            route: Some(route.to_owned()),
            signal,
        })
    }

    /// Returns whether the comparison with the baseline is conclusive at a share that allows no
    /// concurrent comparison. If so, resets that comparison.
    fn take_alarm(&mut self) -> bool {
        let has_alarm = self.new_to_baseline.signal().is_some() && self.lacks_control;
        if has_alarm {
            self.new_to_baseline = Scores::default();
        }
        has_alarm
    }
}

/// Returns the number of answers above a bucket.
fn count_above(counts: &Counts, limit: usize) -> u64 {
    counts.latency.counts().iter().skip(limit + 1).sum()
}
