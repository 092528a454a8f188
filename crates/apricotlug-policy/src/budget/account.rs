//! Holdings of one instance in one client account's budget: leased shares, tokens and demand.

use std::time::Duration;

use apricotlug_model::{MonoTime, UnixTime};

use crate::budget::{Admission, Allotment, Bucket, MAX_CLOCK_SKEW, Now, Share, Transfer};

/// Shortest span over which demand is measured.
const MIN_DEMAND_SPAN: Duration = Duration::from_millis(100);

/// Longest time until the deadline of a transfer.
const MAX_TRANSFER_LIFETIME: Duration = Duration::from_secs(5);

/// Span of own demand for which an instance requests tokens from peers, in milliseconds.
const BORROW_SPAN_MS: u64 = 250;

/// Span of own demand for which an instance keeps tokens instead of lending them, in milliseconds.
const RESERVE_SPAN_MS: u64 = 250;

/// Lowest demand at which an instance requests tokens from peers, in thousandths per second: with
/// less demand, most borrowed tokens would expire unspent.
const MIN_BORROW_DEMAND_MILLI: u64 = 500;

/// Factor by which a borrower's demand must exceed the own demand to get the last token.
const BORROWER_DEMAND_FACTOR: u64 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    share: Share,
    until: MonoTime,
    until_unix: UnixTime,
}

impl Lease {
    fn at(self, now: MonoTime) -> Share {
        if self.until.is_past(now) {
            return Share::ZERO;
        }
        self.share
    }
}

/// Tokens lent to a peer. They reduce the burst until the peer acknowledges that it has spent them
/// or nobody can spend them any more.
#[derive(Clone, Copy, Debug)]
struct Lent {
    number: u64,
    tokens: u64,
    until: MonoTime,
}

/// Tokens borrowed from a peer, which may be spent until their deadline.
#[derive(Clone, Debug)]
struct Borrowed {
    transfer: Transfer,
    tokens: u64,
    until: MonoTime,
}

/// Leased shares, tokens, transfers and demand of one client account on one instance.
#[derive(Clone, Debug)]
pub(super) struct AccountBudget {
    name: String,
    budget: Share,
    floor: Lease,
    surplus: Lease,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    spent: Vec<Transfer>,
    bucket: Bucket,
    arrivals: u64,
    demand_milli: u64,
    measured_at: MonoTime,
}

impl AccountBudget {
    pub(super) fn new(name: String, now: MonoTime) -> Self {
        Self {
            name,
            budget: Share::ZERO,
            floor: Lease::default(),
            surplus: Lease::default(),
            lent: Vec::new(),
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

    /// Takes one token for a request that was counted as an arrival before.
    pub(super) fn admit_waiting(&mut self, now: MonoTime) -> Admission {
        if !self.borrowed.is_empty() && self.spend_borrowed(now) {
            return Admission::Granted;
        }
        if self.bucket.until().is_past(now) {
            self.advance(now);
        }
        self.bucket.spend(now)
    }

    pub(super) fn set_budget(&mut self, budget: Share, now: MonoTime) {
        self.advance(now);
        let previous = self.budget;
        for lease in [&mut self.floor, &mut self.surplus] {
            lease.share = lease.share.scaled_down(previous, budget);
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
        let scale = |a: &Allotment, share: Share| share.scaled_down(a.budget, self.budget);
        self.floor = Lease {
            share: allotment.map_or(Share::ZERO, |a| scale(a, a.floor)),
            until: now.to_mono(floor_until),
            until_unix: floor_until,
        };
        self.surplus = Lease {
            share: allotment.map_or(Share::ZERO, |a| scale(a, a.surplus)),
            until: now.to_mono(surplus_until),
            until_unix: surplus_until,
        };
        self.apply();
    }

    /// Returns the tokens that exceed the demand of [`RESERVE_SPAN_MS`]. If none do, the last token
    /// is available to a borrower whose demand is more than [`BORROWER_DEMAND_FACTOR`] times the
    /// own.
    pub(super) fn spare_tokens(&mut self, borrower_demand_milli: u64, now: MonoTime) -> u64 {
        self.advance(now);
        let tokens = self.bucket.tokens();
        let spare = tokens.saturating_sub(self.demand_in(RESERVE_SPAN_MS));
        let is_borrower_busier =
            borrower_demand_milli > self.demand_milli.saturating_mul(BORROWER_DEMAND_FACTOR);
        if spare == 0 && is_borrower_busier {
            tokens.min(1)
        } else {
            spare
        }
    }

    pub(super) fn demand_milli(&self) -> u64 {
        self.demand_milli
    }

    /// Returns the tokens missing for the demand of [`BORROW_SPAN_MS`], borrowed ones counted as
    /// present; zero below [`MIN_BORROW_DEMAND_MILLI`].
    pub(super) fn shortfall(&mut self, now: MonoTime) -> u64 {
        self.advance(now);
        let borrowed = self.borrowed.iter().filter(|b| !b.until.is_past(now));
        let borrowed: u64 = borrowed.map(|b| b.tokens).sum();
        if self.demand_milli < MIN_BORROW_DEMAND_MILLI {
            return 0;
        }
        let wanted = self.demand_in(BORROW_SPAN_MS).min(self.budget.burst);
        wanted.saturating_sub(self.bucket.tokens() + borrowed)
    }

    /// Removes up to `wanted` tokens and returns how many, with the deadline until which the
    /// borrower may spend them. Returns `None` if there is no token or a lease has ended by the
    /// wall clock.
    pub(super) fn lend(&mut self, wanted: u64, number: u64, now: Now) -> Option<(u64, UnixTime)> {
        self.advance(now.mono);
        let until = [self.floor, self.surplus]
            .into_iter()
            .filter(|lease| !lease.until.is_past(now.mono))
            .map(|lease| lease.until_unix)
            .fold(now.unix.after(MAX_TRANSFER_LIFETIME), UnixTime::min);
        if until.is_past(now.unix) {
            return None;
        }
        let tokens = self.bucket.take(wanted);
        if tokens == 0 {
            return None;
        }
        self.lent.push(Lent {
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
    pub(super) fn take_spent_transfers(&mut self) -> Vec<Transfer> {
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
        self.lent.retain(|lent| lent.number != number);
        self.apply();
    }

    pub(super) fn clear(&mut self, now: MonoTime) {
        self.advance(now);
        self.floor = Lease::default();
        self.surplus = Lease::default();
        self.borrowed.clear();
        self.apply();
    }

    /// Drops all holdings. Returns the account while tokens that it lent may still be spent, since
    /// they reduce its burst if it returns in a later bundle.
    pub(super) fn retire(mut self, now: MonoTime) -> Option<Self> {
        self.clear(now);
        self.budget = Share::ZERO;
        self.has_lent(now).then_some(self)
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

    pub(super) fn has_lent(&self, now: MonoTime) -> bool {
        self.lent_at(now) > 0
    }

    /// Tells whether the tokens lent do not exceed the burst of the leased shares.
    pub(super) fn is_covered(&self, now: MonoTime) -> bool {
        self.lent_at(now) <= self.leased(now).burst
    }

    /// Returns the share that the bucket refills from: the leased shares, their burst reduced by
    /// the tokens lent.
    pub(super) fn holding(&self, now: MonoTime) -> Share {
        let lent = Share {
            rate_milli: 0,
            burst: self.lent_at(now),
        };
        self.leased(now).minus(lent)
    }

    /// Returns the tokens lent that may still be spent by their borrower.
    pub(super) fn lent_at(&self, now: MonoTime) -> u64 {
        let unexpired = self.lent.iter().filter(|lent| !lent.until.is_past(now));
        unexpired.map(|lent| lent.tokens).sum()
    }

    fn leased(&self, now: MonoTime) -> Share {
        self.floor
            .at(now)
            .plus(self.surplus.at(now))
            .min(self.budget)
    }

    fn demand_in(&self, millis: u64) -> u64 {
        self.demand_milli.saturating_mul(millis).div_ceil(1_000_000)
    }

    /// Refills the bucket up to `now` and applies each change of the share at its deadline.
    fn advance(&mut self, now: MonoTime) {
        while self.bucket.until().is_past(now) {
            let change = self.bucket.until();
            self.bucket.refill(change);
            self.apply_at(change);
        }
        self.bucket.refill(now);
        self.lent.retain(|lent| !lent.until.is_past(now));
    }

    fn apply(&mut self) {
        self.apply_at(self.bucket.refilled_at());
    }

    fn apply_at(&mut self, now: MonoTime) {
        let next_change = [self.floor.until, self.surplus.until]
            .into_iter()
            .chain(self.lent.iter().map(|lent| lent.until))
            .filter(|until| !until.is_past(now))
            .min();
        let share = self.holding(now);
        self.bucket
            .set_share(share, next_change.unwrap_or(MonoTime::MAX));
    }
}
