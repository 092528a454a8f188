//! Rate limits of client accounts, enforced over all instances without a remote call per request.
//!
//! Each instance keeps a token bucket per account and subtracts the requests that it admits itself
//! and those that the other instances report. Reports are late, so it may only spend credit: its
//! share of the new tokens, and of the remaining ones over a multiple of the reports' delay. A
//! request beyond the credit passes while the bucket is well filled, within a bound over all
//! instances.

use std::{collections::VecDeque, time::Duration};

use apricotlug_model::{HashMap, MonoTime};

/// Multiple of the reports' delay over which the remaining tokens are spread. Tokens that are used
/// before the report of their use arrives are overdrawn; over several delays the overdraft stays a
/// small share of the burst.
const SPREAD_DELAYS: f64 = 3.0;

/// Share of the permitted excess that is added to a bucket.
const EXCESS_SHARE: f64 = 0.4;

/// Minimum share of an account that an instance holds, relative to an even split.
const MIN_SHARE: f64 = 0.5;

/// Fill level of a bucket, as a share of its burst, from which one request may exceed the share of
/// its instance: with many tokens left, two simultaneous requests are no sign of an exceeded rate.
const BORROW_MIN_LEVEL: f64 = 0.5;

/// Most requests beyond its credit that an instance may admit before reports show the first of
/// them. All instances together stay within the part of the permitted excess that is kept for it,
/// and the tokens that the bucket must hold.
const MAX_BORROWS: f64 = 2.0;

/// Shortest and longest delay announced to a refused caller, in milliseconds.
const MIN_RETRY_MS: f64 = 50.0;
const MAX_RETRY_MS: f64 = 2_000.0;

/// Weight of a new observation of an account's demand.
const DEMAND_GAIN: f64 = 0.1;

/// How reports of other instances arrive, which determines their age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportDelay {
    /// In a datagram from each instance.
    Direct,
    /// In sums that pass up to two relays.
    Relayed,
}

impl ReportDelay {
    /// Returns the longest usual age of a report, in intervals between two ticks.
    fn ticks(self) -> usize {
        match self {
            Self::Direct => 4,
            Self::Relayed => 9,
        }
    }
}

/// State of the reports at the start of an interval between two of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportInterval {
    /// Number of live instances, this one included.
    pub instances: usize,
    /// Number of instances that share the requests beyond the credit with this one: those that look-ups
    /// list, to which nearly all requests come, or all if this one is not listed.
    pub spenders: usize,
    /// Index of this instance among them, from 0.
    pub own_index: usize,
    /// Number of instances that may admit requests although no reports arrive from them.
    pub unreported: usize,
    /// Whether the received reports cover all instances, however few instances sent them.
    pub has_full_reports: bool,
    /// How the reports arrive.
    pub delay: ReportDelay,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    rate: f64,
    burst: f64,
    /// Permitted excess that is not part of the bucket; it covers requests beyond the credit.
    reserve: f64,
    /// Whether the reports have covered all instances at some time since the start of this one.
    was_complete: bool,
    /// Ticks for which the reports have not covered all instances.
    partial_ticks: usize,
    /// Part of all instances that report, 0 to 1; 1 until the reports have covered all.
    reporting_part: f64,
    level: f64,
    /// Tokens left to the others while these don't report.
    set_aside: f64,
    credit: f64,
    /// Credit that the last interval added, per second.
    credit_per_s: f64,
    /// Whether one request beyond the credit may pass in this interval.
    may_borrow: bool,
    /// Whether there are too many instances for all of them to let such a request pass at once.
    takes_turns: bool,
    /// Ticks until a request beyond the credit may pass again.
    borrow_wait: u32,
    /// Value of `borrow_wait` after such a request.
    borrow_interval: u32,
    filled_at: MonoTime,
    ticked_at: MonoTime,
    /// Requests that this instance admitted since its start.
    admitted: u64,
    /// Requests received since the last tick.
    requests: f64,
    /// Moving average of the requests received here between two ticks.
    demand: f64,
    /// Number of observations in `demand`.
    samples: u32,
    /// Values of `demand` at the last ticks, as many as reports are late. The other instances'
    /// demand is known only as of then, and shares of demands of different times would not add
    /// up to one.
    past_demands: VecDeque<f64>,
    /// Last report of each other run of an instance, by run.
    run_reports: HashMap<u64, RunReport>,
    /// Requests that forgotten runs admitted between their first and their last report.
    forgotten_admitted: i64,
}

/// Admitted totals in the first and the last report of another run, and its reported demand.
#[derive(Clone, Copy, Debug, Default)]
struct RunReport {
    first: u64,
    last: u64,
    demand: f64,
}

impl RunReport {
    fn since_first(&self) -> i64 {
        self.last as i64 - self.first as i64
    }
}

/// Token buckets of all client accounts.
#[derive(Clone, Debug)]
pub struct Quotas {
    window_s: f64,
    overage: f64,
    slack: f64,
    starts_full: bool,
    buckets: HashMap<String, Bucket>,
}

impl Quotas {
    /// Creates an empty set of buckets. In each `window` an account may exceed its rate and burst
    /// by a share of `overage` and by `slack` requests. `starts_full` means that no requests were
    /// admitted before this start.
    #[must_use]
    pub fn new(window: Duration, overage: f64, slack: f64, starts_full: bool) -> Self {
        Self {
            window_s: window.as_secs_f64(),
            overage,
            slack,
            starts_full,
            buckets: HashMap::default(),
        }
    }

    /// Sets an account's rate in requests per second and its burst in requests. A rate of 0 means
    /// no limit.
    pub fn set(&mut self, account: &str, rate: f64, burst: f64, now: MonoTime) {
        let all_excess = (rate * self.window_s + burst) * self.overage + self.slack;
        let excess = all_excess * EXCESS_SHARE;
        let is_new = !self.buckets.contains_key(account);
        let bucket = self.buckets.entry(account.to_owned()).or_default();
        bucket.fill(now);
        let burst = burst + excess;
        if is_new {
            bucket.filled_at = now;
            bucket.ticked_at = now;
            // Admissions before this start are unknown: only the excess is certain to be available.
            bucket.level = if self.starts_full { burst } else { excess };
            bucket.may_borrow = true;
            bucket.reporting_part = 1.0;
        }
        bucket.rate = rate;
        bucket.reserve = all_excess - excess;
        bucket.burst = burst;
        bucket.level = bucket.level.min(bucket.capacity());
    }

    /// Admits a request of an account. Accounts that were never set have no limit.
    ///
    /// # Errors
    /// Returns the milliseconds after which the account is likely to have a token.
    pub fn admit(&mut self, account: &str, now: MonoTime) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(());
        };
        bucket.requests += 1.0;
        if bucket.rate <= 0.0 {
            return Ok(());
        }
        bucket.fill(now);
        let is_borrowed = bucket.credit < 1.0;
        if bucket.level < 1.0 || (is_borrowed && !bucket.may_borrow) {
            let missing_s = (1.0 - bucket.level.min(0.0)) / bucket.rate;
            let wait_s = missing_s.max((1.0 - bucket.credit) / bucket.credit_per_s);
            return Err((wait_s * 1_000.0).clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64);
        }
        bucket.level -= 1.0;
        if is_borrowed {
            bucket.may_borrow = false;
            bucket.borrow_wait = bucket.borrow_interval;
        } else {
            bucket.credit -= 1.0;
        }
        bucket.admitted += 1;
        Ok(())
    }

    /// Returns the token of an admitted request that no backend server ran.
    pub fn refund(&mut self, account: &str) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level = (bucket.level + 1.0).min(bucket.capacity());
            bucket.credit += 1.0;
            bucket.admitted = bucket.admitted.saturating_sub(1);
        }
    }

    /// Starts an interval between two reports: each account gets this instance's share of its
    /// remaining tokens.
    pub fn tick(&mut self, interval: ReportInterval, now: MonoTime) {
        for bucket in self.buckets.values_mut() {
            bucket.tick(interval, now);
        }
    }

    /// Returns, for each limited account, the requests admitted since the start of this instance
    /// and the demand per interval. Both include the runs for which `is_relayed` holds, whose
    /// counts this instance relays.
    pub fn admitted_totals(
        &self,
        is_relayed: impl Fn(u64) -> bool,
    ) -> impl Iterator<Item = (&str, u64, f64)> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.rate > 0.0);
        limited.map(move |(id, bucket)| {
            let others = bucket
                .run_reports
                .iter()
                .filter(|(run, _)| is_relayed(**run));
            let (admitted, demand) = others.fold(
                (bucket.forgotten_admitted, 0.0),
                |(sum, demand), (_, report)| (sum + report.since_first(), demand + report.demand),
            );
            let admitted = (bucket.admitted as i64 + admitted).max(0) as u64;
            (id.as_str(), admitted, bucket.demand + demand)
        })
    }

    /// Records the total that another run of an instance admitted since its start. `is_first` marks
    /// the first report of that run, whose total is not subtracted.
    pub fn on_report(
        &mut self,
        from: u64,
        account: &str,
        admitted: u64,
        demand: f64,
        is_first: bool,
    ) {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return;
        };
        let first = if is_first { admitted } else { 0 };
        let start = RunReport {
            first,
            last: first,
            demand,
        };
        let report = bucket.run_reports.entry(from).or_insert(start);
        // A lower total returns tokens. Requests from more than a window ago are no reason to
        // refuse, so a report that is too high blocks an account for one window at most.
        let debt = bucket.rate * self.window_s;
        bucket.level = (bucket.level - (admitted as f64 - report.last as f64)).max(-debt);
        report.last = admitted;
        report.demand = demand;
    }

    /// Records that the next report of a run covers instances whose figures were missing for a while,
    /// with the total of that report. What these admitted meanwhile was left to them, and is not charged
    /// again.
    pub fn on_return(&mut self, from: u64, account: &str, admitted: u64) {
        if let Some(bucket) = self.buckets.get_mut(account)
            && let Some(report) = bucket.run_reports.get(&from)
        {
            let used = admitted.saturating_sub(report.last) as f64;
            let left_to_it = used.min(bucket.set_aside);
            bucket.set_aside -= left_to_it;
            bucket.level += left_to_it;
        }
    }

    /// Forgets all runs except those for which `keeps` holds.
    pub fn retain(&mut self, keeps: impl Fn(u64) -> bool) {
        for bucket in self.buckets.values_mut() {
            bucket.run_reports.retain(|run, _| keeps(*run));
        }
    }

    /// Forgets a run of an instance. If this instance relays its counts (`is_relayed`), the
    /// requests that the run admitted stay in the totals.
    pub fn forget(&mut self, from: u64, is_relayed: bool) {
        for bucket in self.buckets.values_mut() {
            if let Some(report) = bucket.run_reports.remove(&from)
                && is_relayed
            {
                bucket.forgotten_admitted += report.since_first();
            }
        }
    }
}

impl Bucket {
    fn fill(&mut self, now: MonoTime) {
        let span = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let tokens = self.rate * span;
        self.level = (self.level + tokens * self.reporting_part).min(self.capacity());
        self.set_aside += tokens * (1.0 - self.reporting_part);
    }

    /// Returns the most tokens that the bucket holds for the instances that report.
    fn capacity(&self) -> f64 {
        (self.burst * self.reporting_part).max(1.0)
    }

    /// Leaves a part of the bucket to the instances that no longer report: the level does not show what
    /// they use. If their reports were only late, as when relays change, the tokens are used again.
    fn divide(&mut self, interval: ReportInterval) {
        let unreported = interval
            .unreported
            .min(interval.instances.saturating_sub(1));
        self.was_complete |= unreported == 0 && !self.run_reports.is_empty();
        if !self.was_complete {
            return;
        }
        self.reporting_part = 1.0 - unreported as f64 / interval.instances.max(1) as f64;
        if unreported == 0 {
            if self.partial_ticks <= interval.delay.ticks() {
                self.level = (self.level + self.set_aside).min(self.burst);
            }
            self.partial_ticks = 0;
            self.set_aside = 0.0;
            return;
        }
        self.partial_ticks += 1;
        let excess = (self.level - self.capacity()).max(0.0);
        self.level -= excess;
        self.set_aside += excess;
    }

    /// Returns the demand here at the time from which the other instances' demand is known, or
    /// `None` if this instance has not run for that long.
    fn reported_demand(&mut self, delay_ticks: usize) -> Option<f64> {
        self.past_demands.push_back(self.demand);
        while self.past_demands.len() > delay_ticks {
            self.past_demands.pop_front();
        }
        let is_known = self.past_demands.len() >= delay_ticks;
        self.past_demands.front().copied().filter(|_| is_known)
    }

    /// Returns this instance's share of the account, 0 to 1. Instances that don't report may each
    /// use an even share of it; the others share the rest by their demand. `own_demand` is `None`
    /// until it is known as of the time of the reports.
    fn share(&self, interval: ReportInterval, own_demand: Option<f64>) -> f64 {
        let instances = interval.instances.max(1);
        let reporting = instances.saturating_sub(interval.unreported).max(1) as f64;
        let even_share = 1.0 / reporting;
        let others: f64 = self.run_reports.values().map(|report| report.demand).sum();
        let by_demand = match own_demand {
            Some(own) if own + others > 0.0 => {
                // Instances that have not reported yet are assumed to have the mean demand.
                let reported_share = if interval.has_full_reports {
                    1.0
                } else {
                    (self.run_reports.len() + 1) as f64 * even_share
                };
                own / (own + others) * reported_share.min(1.0)
            }
            _ => even_share,
        };
        by_demand.max(even_share * MIN_SHARE) * reporting / instances as f64
    }

    fn tick(&mut self, interval: ReportInterval, now: MonoTime) {
        self.fill(now);
        self.divide(interval);
        let span_s = now.since(self.ticked_at).as_secs_f64();
        self.ticked_at = now;
        self.samples = self.samples.saturating_add(1);
        let gain = DEMAND_GAIN.max(1.0 / f64::from(self.samples));
        self.demand += (self.requests - self.demand) * gain;
        self.requests = 0.0;
        let delay_ticks = interval.delay.ticks();
        let own_demand = self.reported_demand(delay_ticks);
        let share = self.share(interval, own_demand);
        let min_carried = if interval.spenders as f64 <= self.reserve + self.burst {
            1.0
        } else {
            0.0
        };
        let max_carried = (self.level.max(0.0) * share).max(min_carried);
        if self.samples == 1 {
            // At the start all tokens of the bucket are unused.
            self.credit = max_carried;
        }
        let added = self.earned(share, span_s, delay_ticks);
        self.credit_per_s = (added / span_s.max(f64::EPSILON)).max(f64::EPSILON);
        // Unused credit is carried over for requests that arrive in clumps.
        self.credit = self.credit.clamp(0.0, max_carried) + added;
        self.update_borrowing(interval, delay_ticks);
    }

    /// Returns the credit that this instance earns in an interval of `span_s` seconds. New tokens
    /// are spent as they come, and the remaining ones over a multiple of the reports' delay; a
    /// deficit is recovered over the same time.
    fn earned(&self, share: f64, span_s: f64, delay_ticks: usize) -> f64 {
        let spread_ticks = delay_ticks as f64 * SPREAD_DELAYS;
        let spendable = self.rate * span_s + self.level / spread_ticks;
        (spendable.max(0.0) * share).min(self.burst)
    }

    /// Updates whether a request beyond the credit may pass in this interval.
    fn update_borrowing(&mut self, interval: ReportInterval, delay_ticks: usize) {
        let lendable = self.reserve + self.burst * BORROW_MIN_LEVEL;
        let borrows = (lendable / interval.spenders.max(1) as f64).min(MAX_BORROWS);
        self.borrow_interval = (delay_ticks as f64 / borrows) as u32;
        let took_turns = std::mem::replace(&mut self.takes_turns, borrows < 1.0);
        if self.takes_turns && !took_turns {
            // Instances that cannot all borrow at once take turns.
            let turn = interval.own_index as u32 % (self.borrow_interval + 1);
            self.borrow_wait = self.borrow_wait.max(turn);
        }
        self.borrow_wait = self.borrow_wait.saturating_sub(1);
        self.may_borrow = self.borrow_wait == 0 && self.level >= self.capacity() * BORROW_MIN_LEVEL;
    }
}
