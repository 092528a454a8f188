//! What one instance holds of one client account's budget.

use std::time::Duration;

use apricotlug_model::{MonoTime, UnixTime};

use crate::budget::{Admission, Allotment, Bucket, MAX_CLOCK_SKEW, Now, Part, Transfer};

/// Shortest time over which demand is measured.
const MIN_DEMAND_SPAN: Duration = Duration::from_millis(100);

/// Time that tokens may be on their way.
const TRANSFER_LIFE: Duration = Duration::from_secs(5);

/// Time of own demand that an instance asks peers for, in milliseconds.
const LACK_MS: u64 = 250;

/// Time of own demand that an instance keeps back from peers, in milliseconds.
const KEEP_MS: u64 = 250;

/// Demand from which on an instance asks peers, in thousandths per second: less of it would let
/// most tokens expire unspent.
const MIN_LACK_MILLI: u64 = 500;

/// Factor by which an asker's demand must exceed the own one to get the last token.
const HOTTER_FACTOR: u64 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    part: Part,
    until: MonoTime,
    until_unix: UnixTime,
}

impl Lease {
    fn at(self, now: MonoTime) -> Part {
        if self.until.is_past(now) {
            return Part::ZERO;
        }
        self.part
    }
}

/// Tokens that left, for which the burst is smaller until they are acknowledged or expired.
#[derive(Clone, Copy, Debug)]
struct Sent {
    number: u64,
    tokens: u64,
    until: MonoTime,
}

/// Tokens of a peer that may be spent until their deadline.
#[derive(Clone, Debug)]
struct Borrowed {
    transfer: Transfer,
    tokens: u64,
    until: MonoTime,
}

/// Holdings, bucket and demand of one client account.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    name: String,
    budget: Part,
    floor: Lease,
    surplus: Lease,
    sent: Vec<Sent>,
    borrowed: Vec<Borrowed>,
    spent: Vec<Transfer>,
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
            sent: Vec::new(),
            borrowed: Vec::new(),
            spent: Vec::new(),
            bucket: Bucket::empty(now),
            arrivals: 0,
            demand_milli: 0,
            measured_at: now,
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.name
    }

    pub(super) fn admit(&mut self, now: MonoTime) -> Admission {
        self.arrivals += 1;
        self.admit_waiting(now)
    }

    /// Admits a request that was counted when it arrived.
    pub(super) fn admit_waiting(&mut self, now: MonoTime) -> Admission {
        if !self.borrowed.is_empty() && self.spend_borrowed(now) {
            return Admission::Granted;
        }
        if self.bucket.until().is_past(now) {
            self.advance(now);
        }
        self.bucket.spend(now)
    }

    pub(super) fn set_budget(&mut self, budget: Part, now: MonoTime) {
        self.advance(now);
        let former = self.budget;
        for lease in [&mut self.floor, &mut self.surplus] {
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
            until_unix: floor_until,
        };
        self.surplus = Lease {
            part: allotment.map_or(Part::ZERO, |a| cut(a, a.surplus)),
            until: now.to_mono(surplus_until),
            until_unix: surplus_until,
        };
        self.apply();
    }

    /// Returns the tokens that the entry can do without, or all of them where the asker's demand is
    /// much higher.
    pub(super) fn spare(&mut self, asker_milli: u64, now: MonoTime) -> u64 {
        self.advance(now);
        let tokens = self.bucket.tokens();
        let spare = tokens.saturating_sub(self.demand_in(KEEP_MS));
        let is_hotter = asker_milli > self.demand_milli.saturating_mul(HOTTER_FACTOR);
        if spare == 0 && is_hotter {
            tokens.min(1)
        } else {
            spare
        }
    }

    pub(super) fn demand_milli(&self) -> u64 {
        self.demand_milli
    }

    /// Returns the tokens that recent demand lacks.
    pub(super) fn lack(&mut self, now: MonoTime) -> u64 {
        self.advance(now);
        let borrowed = self.borrowed.iter().filter(|b| !b.until.is_past(now));
        let borrowed: u64 = borrowed.map(|b| b.tokens).sum();
        if self.demand_milli < MIN_LACK_MILLI {
            return 0;
        }
        let wanted = self.demand_in(LACK_MS).min(self.budget.burst);
        wanted.saturating_sub(self.bucket.tokens() + borrowed)
    }

    /// Takes out up to a number of tokens and returns how many, and how long they may travel.
    pub(super) fn give(&mut self, wanted: u64, number: u64, now: Now) -> Option<(u64, UnixTime)> {
        self.advance(now.mono);
        let until = [self.floor, self.surplus]
            .into_iter()
            .filter(|lease| !lease.until.is_past(now.mono))
            .map(|lease| lease.until_unix)
            .fold(now.unix.after(TRANSFER_LIFE), UnixTime::min);
        if until.is_past(now.unix) {
            return None;
        }
        let tokens = self.bucket.take(wanted);
        if tokens == 0 {
            return None;
        }
        self.sent.push(Sent {
            number,
            tokens,
            until: now.to_mono(until).after(MAX_CLOCK_SKEW),
        });
        self.apply();
        Some((tokens, until))
    }

    pub(super) fn receive(&mut self, transfer: &Transfer, until: MonoTime) {
        self.borrowed.push(Borrowed {
            transfer: transfer.clone(),
            tokens: transfer.tokens,
            until,
        });
    }

    /// Returns the transfers of which all tokens have been spent since the last call.
    pub(super) fn take_spent(&mut self) -> Vec<Transfer> {
        std::mem::take(&mut self.spent)
    }

    fn spend_borrowed(&mut self, now: MonoTime) -> bool {
        self.borrowed
            .retain(|b| b.tokens > 0 && !b.until.is_past(now));
        let Some(first) = self.borrowed.first_mut() else {
            return false;
        };
        first.tokens -= 1;
        if first.tokens == 0 {
            self.spent.push(first.transfer.clone());
        }
        true
    }

    pub(super) fn acknowledge(&mut self, number: u64, now: MonoTime) {
        self.advance(now);
        self.sent.retain(|sent| sent.number != number);
        self.apply();
    }

    pub(super) fn clear(&mut self, now: MonoTime) {
        self.advance(now);
        self.floor = Lease::default();
        self.surplus = Lease::default();
        self.borrowed.clear();
        self.apply();
    }

    /// Returns the entry without its holdings while some of its tokens are on their way.
    pub(super) fn retire(mut self, now: MonoTime) -> Option<Self> {
        self.clear(now);
        self.budget = Part::ZERO;
        self.has_sent(now).then_some(self)
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

    pub(super) fn has_sent(&self, now: MonoTime) -> bool {
        self.sent_at(now) > 0
    }

    /// Tells whether the tokens on their way fit in what is held.
    pub(super) fn is_covered(&self, now: MonoTime) -> bool {
        self.sent_at(now) <= self.leased(now).burst
    }

    /// Returns the part that refills the bucket.
    pub(super) fn holding(&self, now: MonoTime) -> Part {
        let sent = Part {
            rate_milli: 0,
            burst: self.sent_at(now),
        };
        self.leased(now).minus(sent)
    }

    /// Returns the tokens on their way that may still be added by their receiver.
    pub(super) fn sent_at(&self, now: MonoTime) -> u64 {
        let live = self.sent.iter().filter(|sent| !sent.until.is_past(now));
        live.map(|sent| sent.tokens).sum()
    }

    fn leased(&self, now: MonoTime) -> Part {
        self.floor
            .at(now)
            .plus(self.surplus.at(now))
            .min(self.budget)
    }

    fn demand_in(&self, millis: u64) -> u64 {
        self.demand_milli.saturating_mul(millis).div_ceil(1_000_000)
    }

    /// Refills the bucket up to `now`, deadline by deadline.
    fn advance(&mut self, now: MonoTime) {
        while self.bucket.until().is_past(now) {
            let change = self.bucket.until();
            self.bucket.refill(change);
            self.apply_at(change);
        }
        self.bucket.refill(now);
        self.sent.retain(|sent| !sent.until.is_past(now));
    }

    fn apply(&mut self) {
        self.apply_at(self.bucket.refilled_at());
    }

    fn apply_at(&mut self, now: MonoTime) {
        let next_change = [self.floor.until, self.surplus.until]
            .into_iter()
            .chain(self.sent.iter().map(|sent| sent.until))
            .filter(|until| !until.is_past(now))
            .min();
        let part = self.holding(now);
        self.bucket
            .set_part(part, next_change.unwrap_or(MonoTime::MAX));
    }
}
