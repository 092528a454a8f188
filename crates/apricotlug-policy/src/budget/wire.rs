//! Form of the plans in the platform's records.

use apricotlug_model::{BundleVersion, InstanceId, UnixTime};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::budget::{
    Part,
    plan::{Grant, Plan, Row, Seat},
};

/// Share plan as it is written.
pub type SharePlanWire = PlanWire<String>;

/// Seat plan as it is written.
pub type SeatPlanWire = PlanWire<InstanceId>;

/// Why a record is not a plan.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// A list has another length than the accounts.
    #[error(
        "{what} has {found} entries for {expected} accounts; delete the record after the longest lease"
    )]
    Length {
        /// Which list.
        what: &'static str,
        /// Number of accounts.
        expected: usize,
        /// Number of entries.
        found: usize,
    },
    /// Floors would take more than the whole.
    #[error("floors take {0} thousandths of the budgets; at most 1000 are possible")]
    FloorShare(u64),
}

/// Rate in thousandths per second and burst.
type PartWire = (u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantWire {
    until: UnixTime,
    parts: Vec<PartWire>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fading: Option<(UnixTime, Vec<PartWire>)>,
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

/// Plan as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanWire<H> {
    bundle: BundleVersion,
    floor_permille: u64,
    accounts: Vec<(String, PartWire)>,
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
                .map(|row| (row.name.clone(), part_to_wire(row.budget)))
                .collect(),
            root: seat_to_wire(&plan.root),
            seats: plan.seats.iter().map(seat_to_wire).collect(),
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
        let seats: Result<Vec<Seat<H>>, PlanError> = wire
            .seats
            .into_iter()
            .map(|seat| seat_from_wire(seat, rows))
            .collect();
        Ok(Self {
            bundle: wire.bundle,
            floor_permille: wire.floor_permille,
            rows: wire.accounts.into_iter().map(row_from_wire).collect(),
            root: seat_from_wire(wire.root, rows)?,
            seats: seats?,
        })
    }
}

fn part_to_wire(part: Part) -> PartWire {
    (part.rate_milli, part.burst)
}

fn part_from_wire((rate_milli, burst): PartWire) -> Part {
    Part { rate_milli, burst }
}

fn row_from_wire((name, budget): (String, PartWire)) -> Row {
    Row {
        name,
        budget: part_from_wire(budget),
    }
}

fn parts_to_wire(parts: &[Part]) -> Vec<PartWire> {
    parts.iter().copied().map(part_to_wire).collect()
}

fn grant_to_wire(grant: &Grant) -> GrantWire {
    let has_fading = grant.fading.iter().any(|part| !part.is_zero());
    GrantWire {
        until: grant.until,
        parts: parts_to_wire(&grant.parts),
        fading: has_fading.then(|| (grant.fading_until, parts_to_wire(&grant.fading))),
    }
}

fn seat_to_wire<H: Clone>(seat: &Seat<H>) -> SeatWire<H> {
    SeatWire {
        holder: seat.holder.clone(),
        generation: seat.generation,
        demand: seat.demand_milli.clone(),
        floor: grant_to_wire(&seat.floor),
        surplus: grant_to_wire(&seat.surplus),
    }
}

fn checked<T>(values: Vec<T>, expected: usize, what: &'static str) -> Result<Vec<T>, PlanError> {
    if values.len() == expected {
        return Ok(values);
    }
    Err(PlanError::Length {
        what,
        expected,
        found: values.len(),
    })
}

fn parts_from_wire(
    parts: Vec<PartWire>,
    rows: usize,
    what: &'static str,
) -> Result<Vec<Part>, PlanError> {
    let parts = parts.into_iter().map(part_from_wire).collect();
    checked(parts, rows, what)
}

fn grant_from_wire(wire: GrantWire, rows: usize) -> Result<Grant, PlanError> {
    let (fading_until, fading) = match wire.fading {
        Some((until, parts)) => (until, parts_from_wire(parts, rows, "fading")?),
        None => (UnixTime::default(), vec![Part::ZERO; rows]),
    };
    Ok(Grant {
        parts: parts_from_wire(wire.parts, rows, "parts")?,
        until: wire.until,
        fading,
        fading_until,
    })
}

fn seat_from_wire<H>(wire: SeatWire<H>, rows: usize) -> Result<Seat<H>, PlanError> {
    Ok(Seat {
        holder: wire.holder,
        generation: wire.generation,
        demand_milli: checked(wire.demand, rows, "demand")?,
        floor: grant_from_wire(wire.floor, rows)?,
        surplus: grant_from_wire(wire.surplus, rows)?,
    })
}
