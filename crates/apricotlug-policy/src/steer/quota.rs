//! Client accounts' rates, counted over all instances together without asking on the way.
//!
//! Each instance keeps a bucket for each account and takes out of it what it admits itself and
//! what the others report. Between two reports it admits at most its part of what is left, so the
//! sum of all parts never exceeds what was there.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime};

/// Reports that may be under way at once. What is left is spread over as many, so that a bucket
/// is not spent again before news of its spending has come.
const REPORTS_IN_FLIGHT: f64 = 3.0;

/// Part of the allowed excess on which a bucket leans.
const EXCESS_PART: f64 = 0.4;

/// Least part of an account that an instance holds, against an even split.
const MIN_PART: f64 = 0.5;

/// Part of a bucket that must be there for a request to pass beyond its instance's part: where
/// much is left, two requests at once are no sign of too many.
const BORROW_FROM: f64 = 0.5;

/// Weight of a new observation of an account's demand.
const DEMAND_GAIN: f64 = 0.2;

/// Span between two reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tick {
    /// Live instances, this one included.
    pub instances: usize,
    /// Instances that may go on admitting without being heard.
    pub silent: usize,
    /// Whether what is told stands for all instances, however few told it.
    pub is_told: bool,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    credit: f64,
    /// Whether one request beyond the credit may pass in this span.
    may_borrow: bool,
    filled_at: MonoTime,
    /// Requests that this instance admitted since its start.
    admitted: u64,
    /// Requests that came in since the last tick.
    asked: f64,
    /// Requests that come in here between two ticks, smoothed.
    demand: f64,
    /// What each other instance reported.
    others: HashMap<u64, Reported>,
    /// What forgotten instances admitted since they were first heard.
    kept: i64,
}

/// What another instance reported.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    first: u64,
    last: u64,
    demand: f64,
}

impl Reported {
    fn since_first(&self) -> i64 {
        self.last as i64 - self.first as i64
    }
}

/// Buckets of all accounts.
#[derive(Clone, Debug)]
pub struct Quotas {
    window_s: f64,
    overage: f64,
    slack: f64,
    starts_full: bool,
    buckets: HashMap<String, Bucket>,
}

impl Quotas {
    /// Creates buckets under the rule that in each `window` an account gets its rate and burst,
    /// `overage` times more, and `slack` more. `starts_full` where nothing was admitted before.
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

    /// Sets an account's rate and burst; a rate of 0 is no limit.
    pub fn set(&mut self, account: &str, rate: f64, burst: f64, now: MonoTime) {
        let extra = ((rate * self.window_s + burst) * self.overage + self.slack) * EXCESS_PART;
        let is_new = !self.buckets.contains_key(account);
        let bucket = self.buckets.entry(account.to_owned()).or_default();
        bucket.fill(now);
        let burst = burst + extra;
        if is_new {
            bucket.filled_at = now;
            // What was admitted before this start is not known: only the excess is there for sure.
            bucket.level = if self.starts_full { burst } else { extra };
            bucket.may_borrow = true;
        }
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst);
    }

    /// Admits a request of an account, or tells after how many milliseconds one may pass.
    ///
    /// # Errors
    /// Returns the milliseconds after which the account is likely to have room again.
    pub fn admit(&mut self, account: &str, now: MonoTime) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(());
        };
        bucket.asked += 1.0;
        if bucket.rate <= 0.0 {
            return Ok(());
        }
        bucket.fill(now);
        let is_borrowed = bucket.credit < 1.0 && std::mem::take(&mut bucket.may_borrow);
        if bucket.level < 1.0 || (bucket.credit < 1.0 && !is_borrowed) {
            let missing = (1.0 - bucket.level.min(0.0)) / bucket.rate;
            return Err((missing * 1_000.0).clamp(50.0, 2_000.0) as u64);
        }
        bucket.level -= 1.0;
        bucket.credit -= if is_borrowed { 0.0 } else { 1.0 };
        bucket.admitted += 1;
        Ok(())
    }

    /// Puts back what an admitted request took that ran nowhere.
    pub fn give_back(&mut self, account: &str) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level = (bucket.level + 1.0).min(bucket.burst);
            bucket.credit += 1.0;
            bucket.admitted = bucket.admitted.saturating_sub(1);
        }
    }

    /// Starts a span between two reports: each account gets its part of what is left.
    pub fn tick(&mut self, tick: Tick, now: MonoTime) {
        for bucket in self.buckets.values_mut() {
            bucket.tick(tick, now);
        }
    }

    /// Returns what this instance admitted since its start, by account, with its demand; together
    /// with what the runs admitted for which it speaks.
    pub fn totals(
        &self,
        speaks_for: impl Fn(u64) -> bool,
    ) -> impl Iterator<Item = (&str, u64, f64)> {
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.rate > 0.0);
        limited.map(move |(id, bucket)| {
            let others = bucket.others.iter().filter(|(run, _)| speaks_for(**run));
            let (admitted, demand) = others.fold((bucket.kept, 0.0), |(sum, demand), (_, one)| {
                (sum + one.since_first(), demand + one.demand)
            });
            let admitted = (bucket.admitted as i64 + admitted).max(0) as u64;
            (id.as_str(), admitted, bucket.demand + demand)
        })
    }

    /// Takes up what another run of an instance admitted since its start. `is_first` where
    /// nothing was heard of that run before.
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
        let start = Reported {
            first,
            last: first,
            demand,
        };
        let seen = bucket.others.entry(from).or_insert(start);
        // A total that goes down puts something back. What was spent before a whole window is no
        // reason to refuse: an account that was told too much is held back for a window at most.
        let debt = bucket.rate * self.window_s;
        bucket.level = (bucket.level - (admitted as f64 - seen.last as f64)).max(-debt);
        seen.last = admitted;
        seen.demand = demand;
    }

    /// Forgets all runs but those that a test keeps.
    pub fn retain(&mut self, keeps: impl Fn(u64) -> bool) {
        for bucket in self.buckets.values_mut() {
            bucket.others.retain(|run, _| keeps(*run));
        }
    }

    /// Forgets a run of an instance. Where this instance speaks for it, what it admitted counts on.
    pub fn forget(&mut self, from: u64, speaks_for: bool) {
        for bucket in self.buckets.values_mut() {
            if let Some(one) = bucket.others.remove(&from)
                && speaks_for
            {
                bucket.kept += one.since_first();
            }
        }
    }
}

impl Bucket {
    fn fill(&mut self, now: MonoTime) {
        let span = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.level = (self.level + self.rate * span).min(self.burst);
    }

    fn tick(&mut self, tick: Tick, now: MonoTime) {
        self.fill(now);
        self.demand += (self.asked - self.demand) * DEMAND_GAIN;
        self.asked = 0.0;
        let all: f64 = self.demand + self.others.values().map(|one| one.demand).sum::<f64>();
        let even = 1.0 / tick.instances.max(1) as f64;
        // Of instances that have told nothing yet, the demand is taken to be like the others'.
        let told = if tick.is_told {
            1.0
        } else {
            (self.others.len() + 1) as f64 * even
        };
        let by_demand = if all > 0.0 {
            self.demand / all * told.min(1.0)
        } else {
            even
        };
        // Instances that are not heard may spend an even part each.
        let heard = 1.0 - even * tick.silent as f64;
        let part = by_demand.max(even * MIN_PART) * heard.max(even);
        let fresh = (self.level.max(0.0) * part / REPORTS_IN_FLIGHT).min(self.burst);
        // What a span left over below one request counts on, so that small parts add up.
        self.credit = self.credit.clamp(0.0, 1.0) + fresh;
        self.may_borrow = self.level >= self.burst * BORROW_FROM;
    }
}
