//! Updates of the plans by one instance per data centre: each computes the record to write by
//! compare-and-swap from the record read.
//!
//! The caller reads both records, writes the data centre plan if [`update_data_centre_plan`]
//! returns one, then the instance plan if [`update_instance_plan`] returns one, and sends the
//! instances their allotments. After a rejected write, it reads the records again and repeats the
//! update. An absent data centre plan must mean that none was ever written: whoever deletes the
//! record must first wait for the longest lease to end.

use apricotlug_model::{Bundle, UnixTime};

use crate::budget::{
    Report, Share,
    plan::{Allocation, DataCentrePlan, InstancePlan, LeaseKind, LeaseTerms, Plan},
    rebalance::{active, is_changed, is_renewal_due, rebalance},
    rows::{adopt_bundle, set_rows},
};

/// Returns the data centre plan to write for a data centre, or `None` if no change is due.
///
/// `record` is the data centre plan as read, `None` if none was ever written; `instance_plan` is
/// the data centre's instance plan as read; `reports` are the recent reports of its instances. The
/// data centre's share is released when all its instances are leaving and none of it can be spent
/// any more.
#[must_use]
pub fn update_data_centre_plan(
    record: Option<&DataCentrePlan>,
    data_centre: &str,
    bundle: &Bundle,
    instance_plan: Option<&InstancePlan>,
    reports: &[Report],
    terms: LeaseTerms,
    now: UnixTime,
) -> Option<DataCentrePlan> {
    let mut plan = record.cloned().unwrap_or_else(|| Plan::empty(terms));
    plan.drop_expired(now);
    plan.root.floor.drop_expired(now);
    plan.root.surplus.drop_expired(now);
    let is_newer = plan.rows.is_empty() || plan.bundle < bundle.version;
    if is_newer {
        adopt_bundle(&mut plan, bundle, now);
    }
    if have_all_left(instance_plan, reports, now) {
        return release_share(plan, data_centre);
    }
    let i = plan.allocation_or_insert(data_centre.to_owned());
    let previous = plan.allocations[i].clone();
    plan.allocations[i].demand_milli = demand(&plan, reports);
    drop_confirmed_revocations(&mut plan.allocations[i], instance_plan, now);
    let mut members = active(&plan.allocations, now);
    if !members.contains(&i) {
        members.push(i);
    }
    rebalance(&mut plan, &members, &[i], terms, now);
    let allocation = &mut plan.allocations[i];
    let totals = totals(&plan.root);
    let is_write_due = is_newer
        || previous.generation == 0
        || is_renewal_due(&previous, &plan.root, terms, now)
        || is_changed(allocation, &previous, &totals);
    raise_generation(allocation, &previous, now);
    is_write_due.then_some(plan)
}

/// Returns the instance plan to write for a data centre, or `None` if no change is due, the data
/// centre has no share, or the data centre plan is older than the one that the record was computed
/// from.
///
/// `data_centre_plan` is the data centre plan as read or written last. Allocations without a recent
/// report are not renewed; their shares become free when their leases end.
#[must_use]
pub fn update_instance_plan(
    record: Option<&InstancePlan>,
    data_centre_plan: &DataCentrePlan,
    data_centre: &str,
    reports: &[Report],
    terms: LeaseTerms,
    now: UnixTime,
) -> Option<InstancePlan> {
    let previous = record.cloned().unwrap_or_else(|| Plan::empty(terms));
    let parent = data_centre_plan
        .allocations
        .iter()
        .find(|allocation| allocation.holder == data_centre)?;
    if previous.root.generation > parent.generation {
        return None;
    }
    let mut plan = previous.clone();
    set_rows(&mut plan, data_centre_plan.rows.clone());
    plan.bundle = data_centre_plan.bundle;
    plan.floor_permille = data_centre_plan.floor_permille;
    plan.root = Allocation {
        holder: (),
        generation: parent.generation,
        demand_milli: parent.demand_milli.clone(),
        floor: parent.floor.clone(),
        surplus: parent.surplus.clone(),
    };
    plan.drop_expired(now);
    let aligned = plan.clone();
    let members = update_allocations(&mut plan, reports);
    rebalance(&mut plan, &members, &members, terms, now);
    let totals = totals(&plan.root);
    let mut is_write_due = previous.root.generation != parent.generation
        || reports
            .iter()
            .any(|report| report.is_leaving && previous.allocation(&report.instance).is_some());
    for allocation in &mut plan.allocations {
        let Some(before) = aligned.allocation(&allocation.holder) else {
            raise_generation(
                allocation,
                &Allocation::empty(allocation.holder.clone(), totals.len()),
                now,
            );
            is_write_due = true;
            continue;
        };
        is_write_due |=
            is_renewal_due(before, &plan.root, terms, now) && is_reported(allocation, reports);
        is_write_due |= is_changed(allocation, before, &totals);
        raise_generation(allocation, before, now);
    }
    is_write_due.then_some(plan)
}

fn is_reported(allocation: &Allocation<apricotlug_model::InstanceId>, reports: &[Report]) -> bool {
    reports
        .iter()
        .any(|report| report.instance == allocation.holder)
}

fn have_all_left(instance_plan: Option<&InstancePlan>, reports: &[Report], now: UnixTime) -> bool {
    let has_reports = !reports.is_empty();
    let is_unused = instance_plan
        .is_none_or(|plan| (0..plan.rows.len()).all(|row| plan.spendable(row, now).is_zero()));
    has_reports && reports.iter().all(|report| report.is_leaving) && is_unused
}

fn release_share(mut plan: DataCentrePlan, data_centre: &str) -> Option<DataCentrePlan> {
    let before = plan.allocations.len();
    plan.allocations
        .retain(|allocation| allocation.holder != data_centre);
    (plan.allocations.len() < before).then_some(plan)
}

fn demand(plan: &DataCentrePlan, reports: &[Report]) -> Vec<u64> {
    let of = |name: &String| {
        reports
            .iter()
            .filter_map(|report| report.demand_milli.get(name))
            .sum()
    };
    plan.rows.iter().map(|row| of(&row.name)).collect()
}

/// Drops the revoked part of a data centre's share that none of its instances may spend any more.
/// Does nothing until the instance plan is based on this generation of the share.
fn drop_confirmed_revocations(
    allocation: &mut Allocation<String>,
    instance_plan: Option<&InstancePlan>,
    now: UnixTime,
) {
    let Some(instance_plan) =
        instance_plan.filter(|plan| plan.root.generation == allocation.generation)
    else {
        return;
    };
    for kind in LeaseKind::ALL {
        let grant = allocation.grant_mut(kind);
        for row in 0..grant.shares.len().min(instance_plan.rows.len()) {
            let granted: Share = instance_plan
                .allocations
                .iter()
                .map(|allocation| allocation.grant(kind).spendable(row, now))
                .sum();
            grant.revoking[row] = grant.revoking[row].min(granted.minus(grant.shares[row]));
        }
    }
}

/// Removes the allocations of instances that left, adds allocations for those that reported,
/// updates their demand and confirmations, and returns their indices.
fn update_allocations(plan: &mut InstancePlan, reports: &[Report]) -> Vec<usize> {
    for report in reports.iter().filter(|report| report.is_leaving) {
        plan.allocations
            .retain(|allocation| allocation.holder != report.instance);
    }
    let mut members = Vec::with_capacity(reports.len());
    for report in reports.iter().filter(|report| !report.is_leaving) {
        let i = plan.allocation_or_insert(report.instance.clone());
        let of = |name: &String| report.demand_milli.get(name).copied().unwrap_or(0);
        let demand = plan.rows.iter().map(|row| of(&row.name)).collect();
        let allocation = &mut plan.allocations[i];
        allocation.demand_milli = demand;
        if report.confirmed_generation == Some(allocation.generation) {
            allocation.floor.revoking.fill(Share::ZERO);
            allocation.surplus.revoking.fill(Share::ZERO);
        }
        if !members.contains(&i) {
            members.push(i);
        }
    }
    members
}

fn totals(root: &Allocation<()>) -> Vec<Share> {
    let shares = root.floor.shares.iter().zip(&root.surplus.shares);
    shares
        .map(|(floor, surplus)| floor.plus(*surplus))
        .collect()
}

/// Raises the generation if the grants differ from the previous ones or no generation was set yet.
/// The new generation is at least the current time in microseconds, also for an allocation that was
/// just added and has no previous generation.
fn raise_generation<H>(allocation: &mut Allocation<H>, previous: &Allocation<H>, now: UnixTime) {
    if allocation.floor != previous.floor
        || allocation.surplus != previous.surplus
        || allocation.generation == 0
    {
        allocation.generation = (previous.generation + 1).max(now.0);
    }
}
