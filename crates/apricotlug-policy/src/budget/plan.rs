//! Plans that divide the budgets among holders, kept in the platform and changed by
//! compare-and-swap only.
//!
//! There are two levels with the same structure. The data centre plan, a single record, divides the
//! client accounts' budgets among data centres. The instance plan, one record per data centre,
//! divides that data centre's share among its instances; an allocation is the entry of one holder.
//! Each level grants a floor under a long lease and a surplus under a short one, and divides the
//! two separately.

use std::time::Duration;

use apricotlug_model::{BundleVersion, InstanceId, UnixTime};

use crate::budget::{Allotment, Allotments, MAX_CLOCK_SKEW, Share};

/// Division of the budgets among data centres, which are identified by name.
pub type DataCentrePlan = Plan<String>;

/// Division of a data centre's share among its instances.
pub type InstancePlan = Plan<InstanceId>;

/// Split of budgets into floor and surplus, and the lease of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Fraction of each budget that goes to floors, in thousandths; values above 1000 count as
    /// 1000.
    pub floor_permille: u64,
    /// Duration of a floor's lease.
    pub floor_lease: Duration,
    /// Duration of a surplus's lease.
    pub surplus_lease: Duration,
}

impl LeaseTerms {
    /// Terms used in production.
    pub const DEFAULT: Self = Self {
        floor_permille: 900,
        floor_lease: Duration::from_secs(900),
        surplus_lease: Duration::from_secs(10),
    };

    pub(super) fn lease(self, kind: LeaseKind) -> Duration {
        match kind {
            LeaseKind::Floor => self.floor_lease,
            LeaseKind::Surplus => self.surplus_lease,
        }
    }
}

/// Returns the share of a budget that is granted under a kind of lease. The shares of both kinds
/// add up to the budget, and each shrinks and grows with it.
pub(super) fn split(budget: Share, floor_permille: u64, kind: LeaseKind) -> Share {
    let floor_of = |total: u64| {
        let floor = u128::from(total) * u128::from(floor_permille.min(1_000)) / 1_000;
        u64::try_from(floor).unwrap_or(total)
    };
    let floor = Share {
        rate_milli: floor_of(budget.rate_milli),
        burst: floor_of(budget.burst),
    };
    match kind {
        LeaseKind::Floor => floor,
        LeaseKind::Surplus => budget.minus(floor),
    }
}

/// Part of the budgets that a lease covers: the floor, under a long lease, or the surplus, under a
/// short one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseKind {
    /// Long lease.
    Floor,
    /// Short lease.
    Surplus,
}

impl LeaseKind {
    pub(super) const ALL: [Self; 2] = [Self::Floor, Self::Surplus];
}

/// One client account of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Identifier of the client account.
    pub name: String,
    /// Whole budget of the account; zero once the account is removed from the bundle.
    pub budget: Share,
}

/// Shares of all client accounts under one lease, in the order of the plan's rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Share of each row.
    pub shares: Vec<Share>,
    /// Deadline of the lease.
    pub until: UnixTime,
    /// Shares taken back that the holder may still spend, because it has not confirmed the change.
    pub revoking: Vec<Share>,
    /// Deadline from which on the holder does not spend what was taken back, even unconfirmed.
    pub revoking_until: UnixTime,
}

impl Grant {
    pub(super) fn empty(rows: usize) -> Self {
        Self {
            shares: vec![Share::ZERO; rows],
            revoking: vec![Share::ZERO; rows],
            ..Self::default()
        }
    }

    /// Returns the share of a row that the holder may still spend at `now`, given that clocks
    /// differ by at most [`MAX_CLOCK_SKEW`].
    #[must_use]
    pub fn spendable(&self, row: usize, now: UnixTime) -> Share {
        let share = if is_expired(self.until, now) {
            Share::ZERO
        } else {
            self.shares[row]
        };
        share.plus(self.revoking_at(row, now))
    }

    pub(super) fn revoking_at(&self, row: usize, now: UnixTime) -> Share {
        if is_expired(self.revoking_until, now) {
            return Share::ZERO;
        }
        self.revoking[row]
    }

    pub(super) fn has_revoking(&self, now: UnixTime) -> bool {
        !is_expired(self.revoking_until, now) && self.revoking.iter().any(|share| !share.is_zero())
    }

    /// Clears the shares whose deadline has passed on all clocks.
    pub(super) fn drop_expired(&mut self, now: UnixTime) {
        if is_expired(self.until, now) {
            self.shares.fill(Share::ZERO);
        }
        if !self.has_revoking(now) {
            self.revoking.fill(Share::ZERO);
            self.revoking_until = UnixTime::default();
        }
    }

    /// Takes back what exceeds `kept` of a row: moves it to `revoking`.
    pub(super) fn shrink(&mut self, row: usize, kept: Share) {
        let dropped = self.shares[row].minus(kept);
        self.shares[row] = self.shares[row].min(kept);
        if !dropped.is_zero() {
            self.revoking[row] = self.revoking[row].plus(dropped);
            self.revoking_until = self.revoking_until.max(self.until);
        }
    }
}

/// Grants and demand of one holder in a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation<H> {
    /// Data centre or instance that may spend the shares.
    pub holder: H,
    /// Increases with each change of the grants.
    pub generation: u64,
    /// Arrivals, refused ones included, in thousandths per second, in the order of the rows.
    pub demand_milli: Vec<u64>,
    /// Shares under the long lease.
    pub floor: Grant,
    /// Shares under the short lease.
    pub surplus: Grant,
}

impl<H> Allocation<H> {
    pub(super) fn empty(holder: H, rows: usize) -> Self {
        Self {
            holder,
            generation: 0,
            demand_milli: vec![0; rows],
            floor: Grant::empty(rows),
            surplus: Grant::empty(rows),
        }
    }

    pub(super) fn grant(&self, kind: LeaseKind) -> &Grant {
        match kind {
            LeaseKind::Floor => &self.floor,
            LeaseKind::Surplus => &self.surplus,
        }
    }

    pub(super) fn grant_mut(&mut self, kind: LeaseKind) -> &mut Grant {
        match kind {
            LeaseKind::Floor => &mut self.floor,
            LeaseKind::Surplus => &mut self.surplus,
        }
    }

    pub(super) fn is_expired(&self, now: UnixTime) -> bool {
        LeaseKind::ALL.into_iter().all(|kind| {
            let grant = self.grant(kind);
            is_expired(grant.until, now) && is_expired(grant.revoking_until, now)
        })
    }

    /// Returns the share of a row that this holder may still spend.
    #[must_use]
    pub fn spendable(&self, row: usize, now: UnixTime) -> Share {
        self.floor
            .spendable(row, now)
            .plus(self.surplus.spendable(row, now))
    }
}

/// Division of the budgets of all client accounts among holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan<H> {
    /// Version of the bundle that the budgets come from.
    pub bundle: BundleVersion,
    /// Fraction of each budget that goes to floors, in thousandths; fixed when the data centre plan
    /// is created, and copied from it to instance plans.
    pub floor_permille: u64,
    /// Client accounts, in the order of all lists of the plan.
    pub rows: Vec<Row>,
    /// Grants that the plan divides. In an instance plan it is a copy of the data centre's
    /// allocation in the data centre plan.
    pub root: Allocation<()>,
    /// One allocation per holder.
    pub allocations: Vec<Allocation<H>>,
}

impl<H: PartialEq> Plan<H> {
    pub(super) fn empty(terms: LeaseTerms) -> Self {
        Self {
            bundle: BundleVersion::default(),
            floor_permille: terms.floor_permille,
            rows: Vec::new(),
            root: Allocation::empty((), 0),
            allocations: Vec::new(),
        }
    }

    /// Returns the allocation of a holder, or `None` if it has none.
    #[must_use]
    pub fn allocation(&self, holder: &H) -> Option<&Allocation<H>> {
        self.allocations
            .iter()
            .find(|allocation| allocation.holder == *holder)
    }

    /// Returns the sum of what all holders may still spend of a row.
    #[must_use]
    pub fn spendable(&self, row: usize, now: UnixTime) -> Share {
        self.allocations
            .iter()
            .map(|allocation| allocation.spendable(row, now))
            .sum()
    }

    /// Removes allocations and clears shares whose deadlines have passed on all clocks.
    pub(super) fn drop_expired(&mut self, now: UnixTime) {
        self.allocations
            .retain(|allocation| !allocation.is_expired(now));
        let grants = self
            .allocations
            .iter_mut()
            .flat_map(|allocation| [&mut allocation.floor, &mut allocation.surplus]);
        for grant in grants {
            grant.drop_expired(now);
        }
    }

    /// Returns the index of a holder's allocation; adds an empty one if it has none.
    pub(super) fn allocation_or_insert(&mut self, holder: H) -> usize {
        let found = self
            .allocations
            .iter()
            .position(|allocation| allocation.holder == holder);
        found.unwrap_or_else(|| {
            self.allocations
                .push(Allocation::empty(holder, self.rows.len()));
            self.allocations.len() - 1
        })
    }
}

impl InstancePlan {
    /// Returns the allotments that an instance may install, or `None` if it has no allocation.
    #[must_use]
    pub fn allotments(&self, holder: &InstanceId) -> Option<Allotments> {
        let allocation = self.allocation(holder)?;
        let accounts = self
            .rows
            .iter()
            .enumerate()
            .map(|(row, account)| Allotment {
                account: account.name.clone(),
                budget: account.budget,
                floor: allocation.floor.shares[row],
                surplus: allocation.surplus.shares[row],
            });
        Some(Allotments {
            holder: holder.clone(),
            generation: allocation.generation,
            floor_until: allocation.floor.until,
            surplus_until: allocation.surplus.until,
            accounts: accounts
                .filter(|a| !a.floor.is_zero() || !a.surplus.is_zero())
                .collect(),
        })
    }
}

/// Tells whether a deadline has passed on every clock that differs from `now` by at most
/// [`MAX_CLOCK_SKEW`].
pub(super) fn is_expired(deadline: UnixTime, now: UnixTime) -> bool {
    deadline.after(MAX_CLOCK_SKEW) < now
}
