//! Changes of one plan's grants: shrink and renew what is held, grow into what is free.

use apricotlug_model::UnixTime;

use crate::budget::{
    Part,
    fair::{apportion, max_min_fair},
    plan::{Grant, Kind, Plan, Seat, Terms, is_dead},
};

/// Part of its lease, as a divisor, that a grant has left when it is renewed.
const RENEW_AT_DIVISOR: u32 = 2;

/// Demand that a surplus is sized for, in hundredths of the measured demand.
const SIZE_PERCENT: u64 = 105;

/// Smallest change worth a write, as a divisor of the larger value and of the whole budget.
const CHANGE_DIVISOR: u64 = 4;
const WHOLE_DIVISOR: u64 = 16;

/// Sets the grants of the movers to their targets, as far as the root has room. Targets are
/// computed among all active seats, which include the movers.
///
/// A grant is renewed at most at its target. It grows only into what nobody may spend any more.
pub(super) fn settle<H: PartialEq>(
    plan: &mut Plan<H>,
    active: &[usize],
    movers: &[usize],
    terms: Terms,
    now: UnixTime,
) {
    for kind in Kind::ALL {
        let targets = targets(plan, active, kind);
        let moves: Vec<(usize, &Vec<Part>)> = active
            .iter()
            .copied()
            .zip(&targets)
            .filter(|(seat, _)| movers.contains(seat))
            .collect();
        for (seat, targets) in &moves {
            shrink(&mut plan.seats[*seat], kind, targets);
        }
        let mut used = used(plan, kind);
        let until = now
            .after(terms.lease(kind))
            .min(plan.root.grant(kind).until);
        let whole = &plan.root.grant(kind).parts;
        for (seat, targets) in &moves {
            let grant = plan.seats[*seat].grant_mut(kind);
            grow(grant, targets, whole, &mut used);
            grant.until = grant.until.max(until);
        }
    }
}

fn shrink<H>(seat: &mut Seat<H>, kind: Kind, targets: &[Part]) {
    let grant = seat.grant_mut(kind);
    for (row, target) in targets.iter().enumerate() {
        grant.shrink(row, *target);
    }
}

fn grow(grant: &mut Grant, targets: &[Part], whole: &[Part], used: &mut [Part]) {
    for (row, target) in targets.iter().enumerate() {
        let free = whole[row].minus(used[row]);
        let more = target.minus(grant.parts[row]).min(free);
        grant.parts[row] = grant.parts[row].plus(more);
        used[row] = used[row].plus(more);
    }
}

/// Returns what may still be spent by anybody, row by row. Expired parts have been folded.
fn used<H>(plan: &Plan<H>, kind: Kind) -> Vec<Part> {
    let held = |row| plan.seats.iter().map(|seat| held(seat, kind, row)).sum();
    (0..plan.rows.len()).map(held).collect()
}

/// Returns the targets of the given seats, in their order: what the other seats hold stays theirs.
fn targets<H: PartialEq>(plan: &Plan<H>, members: &[usize], kind: Kind) -> Vec<Vec<Part>> {
    let mut targets = vec![Vec::with_capacity(plan.rows.len()); members.len()];
    let mut is_member = vec![false; plan.seats.len()];
    for member in members {
        is_member[*member] = true;
    }
    for row in 0..plan.rows.len() {
        let others: Part = (0..plan.seats.len())
            .filter(|i| !is_member[*i])
            .map(|i| held(&plan.seats[i], kind, row))
            .sum();
        let total = plan.root.grant(kind).parts[row].minus(others);
        let demands: Vec<u64> = members
            .iter()
            .map(|member| plan.seats[*member].demand_milli[row])
            .collect();
        let floors = plan.root.floor.parts[row].rate_milli
            / u64::try_from(members.len()).unwrap_or(u64::MAX).max(1);
        let parts = match kind {
            Kind::Floor => even(total, members.len()),
            Kind::Surplus => by_demand(total, &demands, floors),
        };
        for (target, part) in targets.iter_mut().zip(parts) {
            target.push(part);
        }
    }
    targets
}

fn held<H>(seat: &Seat<H>, kind: Kind, row: usize) -> Part {
    let grant = seat.grant(kind);
    grant.parts[row].plus(grant.fading[row])
}

fn even(total: Part, holders: usize) -> Vec<Part> {
    let weights = vec![1; holders];
    zip(
        apportion(total.rate_milli, &weights),
        apportion(total.burst, &weights),
    )
}

fn by_demand(total: Part, demands: &[u64], floor: u64) -> Vec<Part> {
    let wants: Vec<u64> = demands
        .iter()
        .map(|demand| demand.saturating_mul(SIZE_PERCENT) / 100)
        .map(|want: u64| want.saturating_sub(floor))
        .collect();
    let rates = max_min_fair(total.rate_milli, &wants);
    let bursts = apportion(total.burst, &rates);
    zip(rates, bursts)
}

fn zip(rates: Vec<u64>, bursts: Vec<u64>) -> Vec<Part> {
    rates
        .into_iter()
        .zip(bursts)
        .map(|(rate_milli, burst)| Part { rate_milli, burst })
        .collect()
}

/// Tells whether a seat's leases must be renewed, and can be.
pub(super) fn is_renewal_due<H, R>(
    seat: &Seat<H>,
    root: &Seat<R>,
    terms: Terms,
    now: UnixTime,
) -> bool {
    Kind::ALL.into_iter().any(|kind| {
        let until = seat.grant(kind).until;
        let left = until.since(now);
        let can_extend = root.grant(kind).until > until;
        can_extend && left <= terms.lease(kind) / RENEW_AT_DIVISOR
    })
}

/// Tells whether a seat differs so much from an earlier form that others should learn of it.
pub(super) fn is_changed<H>(seat: &Seat<H>, former: &Seat<H>, whole: &[Part]) -> bool {
    (0..whole.len()).any(|row| {
        let is_parts_changed = Kind::ALL.into_iter().any(|kind| {
            let (new, old) = (seat.grant(kind), former.grant(kind));
            is_part_changed(new.parts[row], old.parts[row], whole[row])
                || is_part_changed(new.fading[row], old.fading[row], whole[row])
        });
        let (new, old) = (seat.demand_milli[row], former.demand_milli[row]);
        is_parts_changed || is_value_changed(new, old, whole[row].rate_milli)
    })
}

fn is_part_changed(new: Part, old: Part, whole: Part) -> bool {
    is_value_changed(new.rate_milli, old.rate_milli, whole.rate_milli)
        || is_value_changed(new.burst, old.burst, whole.burst)
}

fn is_value_changed(new: u64, old: u64, whole: u64) -> bool {
    let threshold = (new.max(old) / CHANGE_DIVISOR).max(whole / WHOLE_DIVISOR);
    new.abs_diff(old) > threshold
}

/// Returns the members of a plan that renew their surplus, for which targets are computed.
pub(super) fn active<H>(seats: &[Seat<H>], now: UnixTime) -> Vec<usize> {
    (0..seats.len())
        .filter(|i| !is_dead(seats[*i].surplus.until, now))
        .collect()
}
