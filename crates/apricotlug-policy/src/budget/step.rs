//! Updates of the plans by one instance per data centre: each computes the record to write by
//! compare-and-swap from the record read.
//!
//! The caller reads both records, writes the share plan if [`step_shares`] returns one, then the
//! seat plan if [`step_seats`] returns one, and sends the instances their allotments. After a
//! rejected write, it reads the records again and repeats the update. An absent share plan must
//! mean that none was ever written: whoever deletes the record must first wait for the longest
//! lease to end.

use apricotlug_model::{Bundle, UnixTime};

use crate::budget::{
    Part, Report,
    plan::{LeaseKind, Plan, Seat, SeatPlan, SharePlan, Terms},
    rebalance::{active, is_changed, is_renewal_due, rebalance},
    rows::{adopt_bundle, set_rows},
};

/// Returns the share plan to write for a data centre, or `None` if no change is due.
///
/// `record` is the share plan as read, `None` if none was ever written; `seat_plan` is the data
/// centre's seat plan as read; `reports` are the recent reports of its instances. The data centre's
/// share is released when all its instances are leaving and none of it can be spent any more.
#[must_use]
pub fn step_shares(
    record: Option<&SharePlan>,
    data_centre: &str,
    bundle: &Bundle,
    seat_plan: Option<&SeatPlan>,
    reports: &[Report],
    terms: Terms,
    now: UnixTime,
) -> Option<SharePlan> {
    let mut plan = record.cloned().unwrap_or_else(|| Plan::empty(terms));
    plan.drop_expired(now);
    plan.root.floor.drop_expired(now);
    plan.root.surplus.drop_expired(now);
    let is_newer = plan.rows.is_empty() || plan.bundle < bundle.version;
    if is_newer {
        adopt_bundle(&mut plan, bundle, now);
    }
    if have_all_left(seat_plan, reports, now) {
        return release_share(plan, data_centre);
    }
    let i = plan.seat_or_insert(data_centre.to_owned());
    let previous = plan.seats[i].clone();
    plan.seats[i].demand_milli = demand(&plan, reports);
    drop_confirmed_revocations(&mut plan.seats[i], seat_plan, now);
    let mut members = active(&plan.seats, now);
    if !members.contains(&i) {
        members.push(i);
    }
    rebalance(&mut plan, &members, &[i], terms, now);
    let seat = &mut plan.seats[i];
    let totals = totals(&plan.root);
    let is_write_due = is_newer
        || previous.generation == 0
        || is_renewal_due(&previous, &plan.root, terms, now)
        || is_changed(seat, &previous, &totals);
    raise_generation(seat, &previous, now);
    is_write_due.then_some(plan)
}

/// Returns the seat plan to write for a data centre, or `None` if no change is due, the data centre
/// has no share, or the share plan is older than the one that the record was computed from.
///
/// `share_plan` is the share plan as read or written last. Seats without a recent report are not
/// renewed; their shares become free when their leases end.
#[must_use]
pub fn step_seats(
    record: Option<&SeatPlan>,
    share_plan: &SharePlan,
    data_centre: &str,
    reports: &[Report],
    terms: Terms,
    now: UnixTime,
) -> Option<SeatPlan> {
    let previous = record.cloned().unwrap_or_else(|| Plan::empty(terms));
    let parent = share_plan
        .seats
        .iter()
        .find(|seat| seat.holder == data_centre)?;
    if previous.root.generation > parent.generation {
        return None;
    }
    let mut plan = previous.clone();
    set_rows(&mut plan, share_plan.rows.clone());
    plan.bundle = share_plan.bundle;
    plan.floor_permille = share_plan.floor_permille;
    plan.root = Seat {
        holder: (),
        generation: parent.generation,
        demand_milli: parent.demand_milli.clone(),
        floor: parent.floor.clone(),
        surplus: parent.surplus.clone(),
    };
    plan.drop_expired(now);
    let aligned = plan.clone();
    let members = seat_reporters(&mut plan, reports);
    rebalance(&mut plan, &members, &members, terms, now);
    let totals = totals(&plan.root);
    let mut is_write_due = previous.root.generation != parent.generation
        || reports
            .iter()
            .any(|report| report.is_leaving && previous.seat(&report.instance).is_some());
    for seat in &mut plan.seats {
        let Some(before) = aligned.seat(&seat.holder) else {
            raise_generation(seat, &Seat::empty(seat.holder.clone(), totals.len()), now);
            is_write_due = true;
            continue;
        };
        is_write_due |=
            is_renewal_due(before, &plan.root, terms, now) && is_reported(seat, reports);
        is_write_due |= is_changed(seat, before, &totals);
        raise_generation(seat, before, now);
    }
    is_write_due.then_some(plan)
}

fn is_reported(seat: &Seat<apricotlug_model::InstanceId>, reports: &[Report]) -> bool {
    reports.iter().any(|report| report.instance == seat.holder)
}

fn have_all_left(seat_plan: Option<&SeatPlan>, reports: &[Report], now: UnixTime) -> bool {
    let has_reports = !reports.is_empty();
    let is_unused = seat_plan
        .is_none_or(|plan| (0..plan.rows.len()).all(|row| plan.spendable(row, now).is_zero()));
    has_reports && reports.iter().all(|report| report.is_leaving) && is_unused
}

fn release_share(mut plan: SharePlan, data_centre: &str) -> Option<SharePlan> {
    let before = plan.seats.len();
    plan.seats.retain(|seat| seat.holder != data_centre);
    (plan.seats.len() < before).then_some(plan)
}

fn demand(plan: &SharePlan, reports: &[Report]) -> Vec<u64> {
    let of = |name: &String| {
        reports
            .iter()
            .filter_map(|report| report.demand_milli.get(name))
            .sum()
    };
    plan.rows.iter().map(|row| of(&row.name)).collect()
}

/// Drops the revoked part of a data centre's share that none of its instances may spend any more.
/// Does nothing until the seat plan is based on this generation of the share.
fn drop_confirmed_revocations(
    seat: &mut Seat<String>,
    seat_plan: Option<&SeatPlan>,
    now: UnixTime,
) {
    let Some(seat_plan) = seat_plan.filter(|plan| plan.root.generation == seat.generation) else {
        return;
    };
    for kind in LeaseKind::ALL {
        let grant = seat.grant_mut(kind);
        for row in 0..grant.shares.len().min(seat_plan.rows.len()) {
            let granted: Part = seat_plan
                .seats
                .iter()
                .map(|seat| seat.grant(kind).spendable(row, now))
                .sum();
            grant.revoking[row] = grant.revoking[row].min(granted.minus(grant.shares[row]));
        }
    }
}

/// Removes the seats of instances that left, adds seats for those that reported, updates their
/// demand and confirmations, and returns their indices.
fn seat_reporters(plan: &mut SeatPlan, reports: &[Report]) -> Vec<usize> {
    for report in reports.iter().filter(|report| report.is_leaving) {
        plan.seats.retain(|seat| seat.holder != report.instance);
    }
    let mut members = Vec::with_capacity(reports.len());
    for report in reports.iter().filter(|report| !report.is_leaving) {
        let i = plan.seat_or_insert(report.instance.clone());
        let of = |name: &String| report.demand_milli.get(name).copied().unwrap_or(0);
        let demand = plan.rows.iter().map(|row| of(&row.name)).collect();
        let seat = &mut plan.seats[i];
        seat.demand_milli = demand;
        if report.confirmed == Some(seat.generation) {
            seat.floor.revoking.fill(Part::ZERO);
            seat.surplus.revoking.fill(Part::ZERO);
        }
        if !members.contains(&i) {
            members.push(i);
        }
    }
    members
}

fn totals(root: &Seat<()>) -> Vec<Part> {
    let shares = root.floor.shares.iter().zip(&root.surplus.shares);
    shares
        .map(|(floor, surplus)| floor.plus(*surplus))
        .collect()
}

/// Raises the generation if the grants differ from the previous ones. It is at least the time in
/// microseconds, so that a seat that was removed and added again gets a higher one.
fn raise_generation<H>(seat: &mut Seat<H>, previous: &Seat<H>, now: UnixTime) {
    if seat.floor != previous.floor || seat.surplus != previous.surplus || seat.generation == 0 {
        seat.generation = (previous.generation + 1).max(now.0);
    }
}
