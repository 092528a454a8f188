//! Budgets that all instances share: allotments, token buckets, transfers, the seat plan.
//!
//! An allotment is a part of a budget that one holder may spend until a deadline. The sum of the
//! live allotments never exceeds the budget: lost, duplicated and late messages can only lose
//! budget. A new holder starts without tokens.

mod bucket;
mod entry;
mod fair;
mod ledger;
mod part;
mod plan;
mod rows;
mod settle;
mod step;
mod transfer;
mod wire;

use std::time::Duration;

use apricotlug_model::{MonoTime, UnixTime};

pub use bucket::{Admission, Bucket};
pub use fair::{apportion, max_min_fair};
pub use ledger::{Allotment, Allotments, Budgets, Report};
pub use part::Part;
pub use plan::{Grant, Plan, Row, Seat, SeatPlan, SharePlan, Terms};
pub use step::{step_seats, step_shares};
pub use transfer::{Receipt, Transfer, TransferId};
pub use wire::{PlanError, PlanWire, SeatPlanWire, SharePlanWire};

/// Largest difference between the wall clocks of two machines, drift over a lease included.
///
/// A holder stops at its deadline on its own clock; others count the part as free only this much
/// later on theirs.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Both clocks of one machine, read together: the monotonic clock first, so that a pause between
/// the two readings only shortens deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock of this process.
    pub mono: MonoTime,
    /// Wall clock of this machine.
    pub unix: UnixTime,
}

impl Now {
    /// Returns the point on the monotonic clock that corresponds to a point on the wall clock.
    #[must_use]
    pub fn to_mono(self, deadline: UnixTime) -> MonoTime {
        self.mono.after(deadline.since(self.unix))
    }
}
