//! Serialized form of the plans in the platform's records.

use apricotlug_model::{BundleVersion, InstanceId, UnixTime};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::budget::{
    Share,
    plan::{Allocation, Grant, Plan, Row},
};

/// Serialized data centre plan.
pub type DataCentrePlanWire = PlanWire<String>;

/// Serialized instance plan.
pub type InstancePlanWire = PlanWire<InstanceId>;

/// Reason why a record is not a valid plan.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// A list has more or fewer entries than there are accounts.
    #[error(
        "{what} has {found} entries for {expected} accounts; delete the record after the longest lease"
    )]
    Length {
        /// Name of the list in the record.
        what: &'static str,
        /// Number of accounts.
        expected: usize,
        /// Number of entries.
        found: usize,
    },
    /// Floors would take more than the budget, given in thousandths.
    #[error("floors take {0} thousandths of the budgets; at most 1000 are possible")]
    FloorShare(u64),
}

/// Rate in thousandths of a request per second, and burst in requests.
type ShareWire = (u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantWire {
    until: UnixTime,
    parts: Vec<ShareWire>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fading: Option<(UnixTime, Vec<ShareWire>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SeatWire<H> {
    holder: H,
    generation: u64,
    demand: Vec<u64>,
    floor: GrantWire,
    surplus: GrantWire,
}

/// Serialized plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanWire<H> {
    bundle: BundleVersion,
    floor_permille: u64,
    accounts: Vec<(String, ShareWire)>,
    root: SeatWire<()>,
    seats: Vec<SeatWire<H>>,
}

impl<H: Clone> From<&Plan<H>> for PlanWire<H> {
    fn from(plan: &Plan<H>) -> Self {
        Self {
            bundle: plan.bundle,
            floor_permille: plan.floor_permille,
            accounts: plan
                .rows
                .iter()
                .map(|row| (row.name.clone(), share_to_wire(row.budget)))
                .collect(),
            root: allocation_to_wire(&plan.root),
            seats: plan.allocations.iter().map(allocation_to_wire).collect(),
        }
    }
}

impl<H> TryFrom<PlanWire<H>> for Plan<H> {
    type Error = PlanError;

    fn try_from(wire: PlanWire<H>) -> Result<Self, Self::Error> {
        if wire.floor_permille > 1_000 {
            return Err(PlanError::FloorShare(wire.floor_permille));
        }
        let rows = wire.accounts.len();
        let allocations: Result<Vec<Allocation<H>>, PlanError> = wire
            .seats
            .into_iter()
            .map(|allocation| allocation_from_wire(allocation, rows))
            .collect();
        Ok(Self {
            bundle: wire.bundle,
            floor_permille: wire.floor_permille,
            rows: wire.accounts.into_iter().map(row_from_wire).collect(),
            root: allocation_from_wire(wire.root, rows)?,
            allocations: allocations?,
        })
    }
}

fn share_to_wire(share: Share) -> ShareWire {
    (share.rate_milli, share.burst)
}

fn share_from_wire((rate_milli, burst): ShareWire) -> Share {
    Share { rate_milli, burst }
}

fn row_from_wire((name, budget): (String, ShareWire)) -> Row {
    Row {
        name,
        budget: share_from_wire(budget),
    }
}

fn shares_to_wire(shares: &[Share]) -> Vec<ShareWire> {
    shares.iter().copied().map(share_to_wire).collect()
}

fn grant_to_wire(grant: &Grant) -> GrantWire {
    let has_revoking = grant.revoking.iter().any(|share| !share.is_zero());
    GrantWire {
        until: grant.until,
        parts: shares_to_wire(&grant.shares),
        fading: has_revoking.then(|| (grant.revoking_until, shares_to_wire(&grant.revoking))),
    }
}

fn allocation_to_wire<H: Clone>(allocation: &Allocation<H>) -> SeatWire<H> {
    SeatWire {
        holder: allocation.holder.clone(),
        generation: allocation.generation,
        demand: allocation.demand_milli.clone(),
        floor: grant_to_wire(&allocation.floor),
        surplus: grant_to_wire(&allocation.surplus),
    }
}

fn check_length<T>(
    values: Vec<T>,
    expected: usize,
    what: &'static str,
) -> Result<Vec<T>, PlanError> {
    if values.len() == expected {
        return Ok(values);
    }
    Err(PlanError::Length {
        what,
        expected,
        found: values.len(),
    })
}

fn shares_from_wire(
    shares: Vec<ShareWire>,
    rows: usize,
    what: &'static str,
) -> Result<Vec<Share>, PlanError> {
    let shares = shares.into_iter().map(share_from_wire).collect();
    check_length(shares, rows, what)
}

fn grant_from_wire(wire: GrantWire, rows: usize) -> Result<Grant, PlanError> {
    let (revoking_until, revoking) = match wire.fading {
        Some((until, shares)) => (until, shares_from_wire(shares, rows, "fading")?),
        None => (UnixTime::default(), vec![Share::ZERO; rows]),
    };
    Ok(Grant {
        shares: shares_from_wire(wire.parts, rows, "parts")?,
        until: wire.until,
        revoking,
        revoking_until,
    })
}

fn allocation_from_wire<H>(wire: SeatWire<H>, rows: usize) -> Result<Allocation<H>, PlanError> {
    Ok(Allocation {
        holder: wire.holder,
        generation: wire.generation,
        demand_milli: check_length(wire.demand, rows, "demand")?,
        floor: grant_from_wire(wire.floor, rows)?,
        surplus: grant_from_wire(wire.surplus, rows)?,
    })
}
