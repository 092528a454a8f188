//! What one instance holds of one client account's budget.

use std::time::Duration;

use apricotlug_model::{MonoTime, UnixTime};

use crate::budget::{Admission, Allotment, Bucket, MAX_CLOCK_SKEW, Now, Part, Transfer};

/// Shortest time over which demand is measured.
const MIN_DEMAND_SPAN: Duration = Duration::from_millis(100);

/// Part that own demand keeps back from gifts, in hundredths of the demand.
const KEEP_PERCENT: u64 = 150;

/// Requests of burst that are kept back from gifts.
const KEEP_BURST: u64 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    part: Part,
    until: MonoTime,
}

impl Lease {
    fn at(self, now: MonoTime) -> Part {
        if self.until.is_past(now) {
            return Part::ZERO;
        }
        self.part
    }
}

/// What leaves with a transfer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gift {
    pub(super) part: Part,
    pub(super) tokens: u64,
    pub(super) until: UnixTime,
}

/// Holdings, bucket and demand of one client account.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    name: String,
    budget: Part,
    floor: Lease,
    surplus: Lease,
    surplus_until: UnixTime,
    received: Vec<Lease>,
    given: Vec<Lease>,
    bucket: Bucket,
    arrivals: u64,
    demand_milli: u64,
    measured_at: MonoTime,
}

impl Entry {
    pub(super) fn new(name: String, now: MonoTime) -> Self {
        Self {
            name,
            budget: Part::ZERO,
            floor: Lease::default(),
            surplus: Lease::default(),
            surplus_until: UnixTime::default(),
            received: Vec::new(),
            given: Vec::new(),
            bucket: Bucket::empty(now),
            arrivals: 0,
            demand_milli: 0,
            measured_at: now,
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.name
    }

    pub(super) fn budget(&self) -> Part {
        self.budget
    }

    pub(super) fn admit(&mut self, now: MonoTime) -> Admission {
        self.arrivals += 1;
        if self.bucket.until().is_past(now) {
            self.advance(now);
        }
        self.bucket.spend(now)
    }

    pub(super) fn set_budget(&mut self, budget: Part, now: MonoTime) {
        self.advance(now);
        let former = self.budget;
        let leases = [&mut self.floor, &mut self.surplus];
        for lease in leases.into_iter().chain(&mut self.received) {
            lease.part = lease.part.scaled_down(former, budget);
        }
        self.budget = budget;
        self.apply();
    }

    pub(super) fn install(
        &mut self,
        allotment: Option<&Allotment>,
        floor_until: UnixTime,
        surplus_until: UnixTime,
        now: Now,
    ) {
        self.advance(now.mono);
        let cut = |a: &Allotment, part: Part| part.scaled_down(a.budget, self.budget);
        self.floor = Lease {
            part: allotment.map_or(Part::ZERO, |a| cut(a, a.floor)),
            until: now.to_mono(floor_until),
        };
        self.surplus = Lease {
            part: allotment.map_or(Part::ZERO, |a| cut(a, a.surplus)),
            until: now.to_mono(surplus_until),
        };
        self.surplus_until = surplus_until;
        self.apply();
    }

    pub(super) fn spare(&self, now: MonoTime) -> Part {
        let keep = Part {
            rate_milli: self.demand_milli.saturating_mul(KEEP_PERCENT) / 100,
            burst: KEEP_BURST,
        };
        self.holding(now).minus(keep).min(self.giveable(now))
    }

    pub(super) fn give(&mut self, wanted: Part, now: Now) -> Option<Gift> {
        self.advance(now.mono);
        let part = wanted.min(self.giveable(now.mono));
        if part.is_zero() || self.surplus_until.is_past(now.unix) {
            return None;
        }
        let burst = self.bucket.part().burst.max(1);
        let tokens = self.bucket.take(self.bucket.tokens() * part.burst / burst);
        self.given.push(Lease {
            part,
            until: self.surplus.until.after(MAX_CLOCK_SKEW),
        });
        self.apply();
        Some(Gift {
            part,
            tokens,
            until: self.surplus_until,
        })
    }

    pub(super) fn receive(&mut self, transfer: &Transfer, until: MonoTime, now: MonoTime) {
        self.advance(now);
        let part = transfer.part.scaled_down(transfer.budget, self.budget);
        if part.is_zero() {
            return;
        }
        self.received.push(Lease { part, until });
        self.apply();
        self.bucket.add(transfer.tokens.min(transfer.part.burst));
    }

    pub(super) fn clear(&mut self, now: MonoTime) {
        self.advance(now);
        self.floor = Lease::default();
        self.surplus = Lease::default();
        self.received.clear();
        self.apply();
    }

    /// Returns the entry without its holdings while some of its gifts may still be spent.
    pub(super) fn retire(mut self, now: MonoTime) -> Option<Self> {
        self.clear(now);
        self.budget = Part::ZERO;
        self.has_gifts(now).then_some(self)
    }

    pub(super) fn measure_demand(&mut self, now: MonoTime) -> u64 {
        let span = now.since(self.measured_at);
        if span < MIN_DEMAND_SPAN {
            return self.demand_milli;
        }
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let recent = self.arrivals.saturating_mul(1_000_000_000) / micros;
        self.demand_milli = recent.max((self.demand_milli + recent) / 2);
        self.arrivals = 0;
        self.measured_at = now;
        self.demand_milli
    }

    pub(super) fn has_gifts(&self, now: MonoTime) -> bool {
        !self.given_at(now).is_zero()
    }

    pub(super) fn gifts_fit(&self, now: MonoTime) -> bool {
        self.given_at(now).fits(self.surplus.part)
    }

    fn given_at(&self, now: MonoTime) -> Part {
        self.given.iter().map(|lease| lease.at(now)).sum()
    }

    fn giveable(&self, now: MonoTime) -> Part {
        self.surplus.at(now).minus(self.given_at(now))
    }

    pub(super) fn holding(&self, now: MonoTime) -> Part {
        let received: Part = self.received.iter().map(|lease| lease.at(now)).sum();
        self.floor
            .at(now)
            .plus(self.giveable(now))
            .plus(received)
            .min(self.budget)
    }

    /// Refills the bucket up to `now`, deadline by deadline.
    fn advance(&mut self, now: MonoTime) {
        while self.bucket.until().is_past(now) {
            let change = self.bucket.until();
            self.bucket.refill(change);
            self.apply_at(change);
        }
        self.bucket.refill(now);
        self.received.retain(|lease| !lease.until.is_past(now));
        self.given.retain(|lease| !lease.until.is_past(now));
    }

    fn apply(&mut self) {
        self.apply_at(self.bucket.refilled_at());
    }

    fn apply_at(&mut self, now: MonoTime) {
        let leases = [self.floor, self.surplus].into_iter();
        let next_change = leases
            .chain(self.received.iter().copied())
            .chain(self.given.iter().copied())
            .map(|lease| lease.until)
            .filter(|until| !until.is_past(now))
            .min();
        let part = self.holding(now);
        self.bucket
            .set_part(part, next_change.unwrap_or(MonoTime::MAX));
    }
}
