//! Budgets of client accounts, divided among all instances: allotments, token buckets, transfers
//! and the plans that grant shares.
//!
//! An allotment is a share of a budget that one holder may spend until a deadline. The sum of all
//! unexpired allotments never exceeds the budget: lost, duplicated and late messages can only make
//! less of it available. A new holder starts without tokens.

mod account;
mod bucket;
mod fair;
mod ledger;
mod plan;
mod rebalance;
mod rows;
mod share;
mod transfer;
mod update;
mod wire;

use std::time::Duration;

use apricotlug_model::{MonoTime, UnixTime};

pub use bucket::{Admission, Bucket};
pub use fair::{apportion, max_min_fair};
pub use ledger::{Allotment, Allotments, Budgets, Report};
pub use plan::{Allocation, DataCentrePlan, Grant, InstancePlan, LeaseTerms, Plan, Row};
pub use share::Share;
pub use transfer::{Receipt, Transfer, TransferId};
pub use update::{update_data_centre_plan, update_instance_plan};
pub use wire::{DataCentrePlanWire, InstancePlanWire, PlanError, PlanWire};

/// Largest difference between the wall clocks of two machines, drift over a lease included.
///
/// A holder stops spending at its deadline by its own clock; others treat the share as free only
/// this much after the deadline by their clocks.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Readings of both clocks of one machine. The monotonic clock must be read first, so that a pause
/// between the two readings can only shorten deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock of this process.
    pub mono: MonoTime,
    /// Wall clock of this machine.
    pub unix: UnixTime,
}

impl Now {
    /// Converts a deadline on the wall clock to the monotonic clock; a deadline that has passed
    /// becomes the present.
    #[must_use]
    pub fn to_mono(self, deadline: UnixTime) -> MonoTime {
        self.mono.after(deadline.since(self.unix))
    }
}
