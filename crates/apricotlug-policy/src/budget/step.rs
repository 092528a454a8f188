//! Steps that one instance per data centre takes on the plans, each from the record read to the
//! record to write by compare-and-swap.
//!
//! A driver reads both records, writes the share plan where [`step_shares`] returns one, then the
//! seat plan where [`step_seats`] returns one, and lets its instances install their allotments. A
//! refused write needs nothing but the next step from the records read anew. An absent share plan
//! must mean that none was ever written: whoever deletes the record waits for the longest lease.

use apricotlug_model::{Bundle, UnixTime};

use crate::budget::{
    Part, Report,
    plan::{Kind, Plan, Seat, SeatPlan, SharePlan, Terms},
    rows::{adopt_bundle, set_rows},
    settle::{active, is_changed, is_renewal_due, settle},
};

/// Returns the share plan to write for a data centre, or `None` where nothing is worth a write.
///
/// `seats` is the data centre's seat plan as it was read, `reports` are the recent reports of its
/// instances. The data centre's share is given up when all its instances have left.
#[must_use]
pub fn step_shares(
    record: Option<&SharePlan>,
    own: &str,
    bundle: &Bundle,
    seats: Option<&SeatPlan>,
    reports: &[Report],
    terms: Terms,
    now: UnixTime,
) -> Option<SharePlan> {
    let mut plan = record.cloned().unwrap_or_else(|| Plan::empty(terms));
    plan.fold(now);
    plan.root.floor.fold(now);
    plan.root.surplus.fold(now);
    let is_newer = plan.rows.is_empty() || plan.bundle < bundle.version;
    if is_newer {
        adopt_bundle(&mut plan, bundle, now);
    }
    if has_left(seats, reports, now) {
        return release(plan, own);
    }
    let i = plan.seat_or_insert(own.to_owned());
    let former = plan.seats[i].clone();
    plan.seats[i].demand_milli = demand(&plan, reports);
    confirm_share(&mut plan.seats[i], seats, now);
    let mut members = active(&plan.seats, now);
    if !members.contains(&i) {
        members.push(i);
    }
    settle(&mut plan, &members, &[i], terms, now);
    let seat = &mut plan.seats[i];
    let whole = whole(&plan.root);
    let is_worth = is_newer
        || former.generation == 0
        || is_renewal_due(&former, &plan.root, terms, now)
        || is_changed(seat, &former, &whole);
    bump(seat, &former, now);
    is_worth.then_some(plan)
}

/// Returns the seat plan to write for a data centre, or `None` where nothing is worth a write.
///
/// `shares` is the share plan as it was read or written last. Seats without a recent report are
/// not renewed, and fall free when their leases have run out.
#[must_use]
pub fn step_seats(
    record: Option<&SeatPlan>,
    shares: &SharePlan,
    own: &str,
    reports: &[Report],
    terms: Terms,
    now: UnixTime,
) -> Option<SeatPlan> {
    let former = record.cloned().unwrap_or_else(|| Plan::empty(terms));
    let parent = shares.seats.iter().find(|seat| seat.holder == own)?;
    if former.root.generation > parent.generation {
        return None;
    }
    let mut plan = former.clone();
    set_rows(&mut plan, shares.rows.clone());
    plan.bundle = shares.bundle;
    plan.floor_permille = shares.floor_permille;
    plan.root = Seat {
        holder: (),
        generation: parent.generation,
        demand_milli: parent.demand_milli.clone(),
        floor: parent.floor.clone(),
        surplus: parent.surplus.clone(),
    };
    plan.fold(now);
    let aligned = plan.clone();
    let members = seat_reporters(&mut plan, reports);
    settle(&mut plan, &members, &members, terms, now);
    let whole = whole(&plan.root);
    let mut is_worth = former.root.generation != parent.generation
        || reports
            .iter()
            .any(|report| report.is_leaving && former.seat(&report.instance).is_some());
    for seat in &mut plan.seats {
        let Some(before) = aligned.seat(&seat.holder) else {
            bump(seat, &Seat::empty(seat.holder.clone(), whole.len()), now);
            is_worth = true;
            continue;
        };
        is_worth |= is_renewal_due(before, &plan.root, terms, now) && is_reported(seat, reports);
        is_worth |= is_changed(seat, before, &whole);
        bump(seat, before, now);
    }
    is_worth.then_some(plan)
}

fn is_reported(seat: &Seat<apricotlug_model::InstanceId>, reports: &[Report]) -> bool {
    reports.iter().any(|report| report.instance == seat.holder)
}

fn has_left(seats: Option<&SeatPlan>, reports: &[Report], now: UnixTime) -> bool {
    let has_reports = !reports.is_empty();
    let is_unused =
        seats.is_none_or(|plan| (0..plan.rows.len()).all(|row| plan.live(row, now).is_zero()));
    has_reports && reports.iter().all(|report| report.is_leaving) && is_unused
}

fn release(mut plan: SharePlan, own: &str) -> Option<SharePlan> {
    let before = plan.seats.len();
    plan.seats.retain(|seat| seat.holder != own);
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

/// Drops what was taken back from the share and is not granted to any instance any more.
fn confirm_share(seat: &mut Seat<String>, seats: Option<&SeatPlan>, now: UnixTime) {
    let Some(seats) = seats.filter(|plan| plan.root.generation == seat.generation) else {
        return;
    };
    for kind in Kind::ALL {
        let grant = seat.grant_mut(kind);
        for row in 0..grant.parts.len().min(seats.rows.len()) {
            let granted: Part = seats
                .seats
                .iter()
                .map(|seat| seat.grant(kind).live(row, now))
                .sum();
            grant.fading[row] = grant.fading[row].min(granted.minus(grant.parts[row]));
        }
    }
}

/// Seats the instances that reported, drops those that left, and returns the indices of the rest.
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
            seat.floor.fading.fill(Part::ZERO);
            seat.surplus.fading.fill(Part::ZERO);
        }
        if !members.contains(&i) {
            members.push(i);
        }
    }
    members
}

fn whole(root: &Seat<()>) -> Vec<Part> {
    let parts = root.floor.parts.iter().zip(&root.surplus.parts);
    parts.map(|(floor, surplus)| floor.plus(*surplus)).collect()
}

fn bump<H>(seat: &mut Seat<H>, former: &Seat<H>, now: UnixTime) {
    if seat.floor != former.floor || seat.surplus != former.surplus || seat.generation == 0 {
        seat.generation = (former.generation + 1).max(now.0);
    }
}
