//! Plan of who may spend which parts of the budgets, kept in the platform and changed by
//! compare-and-swap only.
//!
//! There are two levels of the same form. The share plan, one record, divides the client accounts'
//! budgets among data centres. The seat plan, one record a data centre, divides that data centre's
//! share among its instances. Each level grants a floor under a long lease and a surplus under a
//! short one, and treats them as budgets of their own.

use std::time::Duration;

use apricotlug_model::{BundleVersion, InstanceId, UnixTime};

use crate::budget::{Allotment, Allotments, MAX_CLOCK_SKEW, Part};

/// Division of the budgets among data centres, keyed by their names.
pub type SharePlan = Plan<String>;

/// Division of a data centre's share among its instances.
pub type SeatPlan = Plan<InstanceId>;

/// How budgets are split and for how long parts are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Part of each budget that goes to floors, in thousandths.
    pub floor_permille: u64,
    /// Lease of a floor.
    pub floor_lease: Duration,
    /// Lease of a surplus.
    pub surplus_lease: Duration,
}

impl Terms {
    /// Terms that the product runs with.
    pub const DEFAULT: Self = Self {
        floor_permille: 900,
        floor_lease: Duration::from_secs(900),
        surplus_lease: Duration::from_secs(10),
    };

    pub(super) fn lease(self, kind: Kind) -> Duration {
        match kind {
            Kind::Floor => self.floor_lease,
            Kind::Surplus => self.surplus_lease,
        }
    }
}

/// Returns the part of a whole budget that is granted under a kind of lease. Both kinds shrink and
/// grow with the whole, and add up to it.
pub(super) fn split(whole: Part, floor_permille: u64, kind: Kind) -> Part {
    let share = |total: u64| {
        let floor = u128::from(total) * u128::from(floor_permille.min(1_000)) / 1_000;
        u64::try_from(floor).unwrap_or(total)
    };
    let floor = Part {
        rate_milli: share(whole.rate_milli),
        burst: share(whole.burst),
    };
    match kind {
        Kind::Floor => floor,
        Kind::Surplus => whole.minus(floor),
    }
}

/// Kind of lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Long lease.
    Floor,
    /// Short lease.
    Surplus,
}

impl Kind {
    pub(super) const ALL: [Self; 2] = [Self::Floor, Self::Surplus];
}

/// Client account of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Name.
    pub name: String,
    /// Whole budget.
    pub budget: Part,
}

/// Parts of all client accounts under one lease, in the order of the plan's rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Parts.
    pub parts: Vec<Part>,
    /// End of the lease.
    pub until: UnixTime,
    /// Parts taken back that the holder may still spend, because it has not confirmed.
    pub fading: Vec<Part>,
    /// Point after which nothing that was taken back is spent any more.
    pub fading_until: UnixTime,
}

impl Grant {
    pub(super) fn empty(rows: usize) -> Self {
        Self {
            parts: vec![Part::ZERO; rows],
            fading: vec![Part::ZERO; rows],
            ..Self::default()
        }
    }

    /// Returns what of a row may still be spent by somebody at `now`, by any clock.
    #[must_use]
    pub fn live(&self, row: usize, now: UnixTime) -> Part {
        let part = if is_dead(self.until, now) {
            Part::ZERO
        } else {
            self.parts[row]
        };
        part.plus(self.fading_at(row, now))
    }

    pub(super) fn fading_at(&self, row: usize, now: UnixTime) -> Part {
        if is_dead(self.fading_until, now) {
            return Part::ZERO;
        }
        self.fading[row]
    }

    pub(super) fn has_fading(&self, now: UnixTime) -> bool {
        !is_dead(self.fading_until, now) && self.fading.iter().any(|part| !part.is_zero())
    }

    /// Clears what has run out.
    pub(super) fn fold(&mut self, now: UnixTime) {
        if is_dead(self.until, now) {
            self.parts.fill(Part::ZERO);
        }
        if !self.has_fading(now) {
            self.fading.fill(Part::ZERO);
            self.fading_until = UnixTime::default();
        }
    }

    /// Moves what exceeds `kept` of a row to the fading part.
    pub(super) fn shrink(&mut self, row: usize, kept: Part) {
        let dropped = self.parts[row].minus(kept);
        self.parts[row] = self.parts[row].min(kept);
        if !dropped.is_zero() {
            self.fading[row] = self.fading[row].plus(dropped);
            self.fading_until = self.fading_until.max(self.until);
        }
    }
}

/// Holder in a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat<H> {
    /// Who holds it.
    pub holder: H,
    /// Grows with each change of the grants.
    pub generation: u64,
    /// Arrivals, refused ones included, in thousandths per second, in the order of the rows.
    pub demand_milli: Vec<u64>,
    /// Parts under the long lease.
    pub floor: Grant,
    /// Parts under the short lease.
    pub surplus: Grant,
}

impl<H> Seat<H> {
    pub(super) fn empty(holder: H, rows: usize) -> Self {
        Self {
            holder,
            generation: 0,
            demand_milli: vec![0; rows],
            floor: Grant::empty(rows),
            surplus: Grant::empty(rows),
        }
    }

    pub(super) fn grant(&self, kind: Kind) -> &Grant {
        match kind {
            Kind::Floor => &self.floor,
            Kind::Surplus => &self.surplus,
        }
    }

    pub(super) fn grant_mut(&mut self, kind: Kind) -> &mut Grant {
        match kind {
            Kind::Floor => &mut self.floor,
            Kind::Surplus => &mut self.surplus,
        }
    }

    pub(super) fn is_dead(&self, now: UnixTime) -> bool {
        Kind::ALL.into_iter().all(|kind| {
            let grant = self.grant(kind);
            is_dead(grant.until, now) && is_dead(grant.fading_until, now)
        })
    }

    /// Returns what of a row may still be spent by this holder.
    #[must_use]
    pub fn live(&self, row: usize, now: UnixTime) -> Part {
        self.floor.live(row, now).plus(self.surplus.live(row, now))
    }
}

/// Division of the budgets of all rows among holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan<H> {
    /// Version of the bundle that the budgets come from.
    pub bundle: BundleVersion,
    /// Part of each budget that goes to floors, in thousandths; it stays as it was when the record
    /// was made.
    pub floor_permille: u64,
    /// Client accounts.
    pub rows: Vec<Row>,
    /// What is divided. In a seat plan it is a copy of the data centre's seat in the share plan.
    pub root: Seat<()>,
    /// Holders.
    pub seats: Vec<Seat<H>>,
}

impl<H: PartialEq> Plan<H> {
    pub(super) fn empty(terms: Terms) -> Self {
        Self {
            bundle: BundleVersion::default(),
            floor_permille: terms.floor_permille,
            rows: Vec::new(),
            root: Seat::empty((), 0),
            seats: Vec::new(),
        }
    }

    /// Returns the seat of a holder.
    #[must_use]
    pub fn seat(&self, holder: &H) -> Option<&Seat<H>> {
        self.seats.iter().find(|seat| seat.holder == *holder)
    }

    /// Returns what of a row may still be spent by anybody.
    #[must_use]
    pub fn live(&self, row: usize, now: UnixTime) -> Part {
        self.seats.iter().map(|seat| seat.live(row, now)).sum()
    }

    /// Drops seats and parts that have run out by everybody's clock.
    pub(super) fn fold(&mut self, now: UnixTime) {
        self.seats.retain(|seat| !seat.is_dead(now));
        let grants = self
            .seats
            .iter_mut()
            .flat_map(|seat| [&mut seat.floor, &mut seat.surplus]);
        for grant in grants {
            grant.fold(now);
        }
    }

    /// Returns the index of a holder's seat, which is added where it is missing.
    pub(super) fn seat_or_insert(&mut self, holder: H) -> usize {
        let found = self.seats.iter().position(|seat| seat.holder == holder);
        found.unwrap_or_else(|| {
            self.seats.push(Seat::empty(holder, self.rows.len()));
            self.seats.len() - 1
        })
    }
}

impl SeatPlan {
    /// Returns what an instance may install, or `None` where it has no seat.
    #[must_use]
    pub fn allotments(&self, holder: &InstanceId) -> Option<Allotments> {
        let seat = self.seat(holder)?;
        let accounts = self
            .rows
            .iter()
            .enumerate()
            .map(|(row, account)| Allotment {
                account: account.name.clone(),
                budget: account.budget,
                floor: seat.floor.parts[row],
                surplus: seat.surplus.parts[row],
            });
        Some(Allotments {
            holder: holder.clone(),
            generation: seat.generation,
            floor_until: seat.floor.until,
            surplus_until: seat.surplus.until,
            accounts: accounts
                .filter(|a| !a.floor.is_zero() || !a.surplus.is_zero())
                .collect(),
        })
    }
}

/// Tells whether nobody spends a part with this deadline any more, whatever its holder's clock.
pub(super) fn is_dead(deadline: UnixTime, now: UnixTime) -> bool {
    deadline.after(MAX_CLOCK_SKEW) < now
}
