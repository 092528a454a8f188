//! Rebalancing of one plan's grants: shrink them to their targets, renew their leases, and grow
//! them into what is free.

use apricotlug_model::UnixTime;

use crate::budget::{
    Share,
    fair::{apportion, max_min_fair},
    plan::{Allocation, Grant, LeaseKind, LeaseTerms, Plan, is_expired},
};

/// Grants are renewed when this fraction of the lease, given as a divisor, is left.
const RENEW_AT_DIVISOR: u32 = 2;

/// Smallest burst of a holder's floor, in requests; a floor with less burst goes to one holder.
const MIN_FLOOR_BURST: u64 = 4;

/// Demand for which a surplus is sized, as a percentage of the measured demand.
const SURPLUS_SIZE_PERCENT: u64 = 105;

/// A change is written if it exceeds this fraction of the larger value, given as a divisor, and the
/// fraction given by [`TOTAL_DIVISOR`].
const CHANGE_DIVISOR: u64 = 4;
/// Fraction of the total that a change must exceed to be written, given as a divisor.
const TOTAL_DIVISOR: u64 = 16;

/// Sets the grants of the `updated` allocations to their targets, as far as the root has free
/// capacity. Targets are computed among all `active` allocations, which include the updated ones.
///
/// A renewed grant is never larger than its target. It grows only into what no holder may spend.
pub(super) fn rebalance<H: PartialEq>(
    plan: &mut Plan<H>,
    active: &[usize],
    updated: &[usize],
    terms: LeaseTerms,
    now: UnixTime,
) {
    for kind in LeaseKind::ALL {
        let targets = targets(plan, active, kind);
        let updates: Vec<(usize, &Vec<Share>)> = active
            .iter()
            .copied()
            .zip(&targets)
            .filter(|(allocation, _)| updated.contains(allocation))
            .collect();
        for (allocation, targets) in &updates {
            shrink(&mut plan.allocations[*allocation], kind, targets);
        }
        let mut used = used(plan, kind);
        let until = now
            .after(terms.lease(kind))
            .min(plan.root.grant(kind).until);
        let totals = &plan.root.grant(kind).shares;
        for (allocation, targets) in &updates {
            let grant = plan.allocations[*allocation].grant_mut(kind);
            grow(grant, targets, totals, &mut used);
            grant.until = grant.until.max(until);
        }
    }
}

fn shrink<H>(allocation: &mut Allocation<H>, kind: LeaseKind, targets: &[Share]) {
    let grant = allocation.grant_mut(kind);
    for (row, target) in targets.iter().enumerate() {
        grant.shrink(row, *target);
    }
}

fn grow(grant: &mut Grant, targets: &[Share], totals: &[Share], used: &mut [Share]) {
    for (row, target) in targets.iter().enumerate() {
        let free = totals[row].minus(used[row]);
        let more = target.minus(grant.shares[row]).min(free);
        grant.shares[row] = grant.shares[row].plus(more);
        used[row] = used[row].plus(more);
    }
}

/// Returns for each row what all holders may still spend. Expired shares must have been dropped.
fn used<H>(plan: &Plan<H>, kind: LeaseKind) -> Vec<Share> {
    let held = |row| {
        plan.allocations
            .iter()
            .map(|allocation| held(allocation, kind, row))
            .sum()
    };
    (0..plan.rows.len()).map(held).collect()
}

/// Returns the target shares of the given allocations, in their order; the other allocations keep
/// their shares.
fn targets<H: PartialEq>(plan: &Plan<H>, members: &[usize], kind: LeaseKind) -> Vec<Vec<Share>> {
    let mut targets = vec![Vec::with_capacity(plan.rows.len()); members.len()];
    let mut is_member = vec![false; plan.allocations.len()];
    for member in members {
        is_member[*member] = true;
    }
    for row in 0..plan.rows.len() {
        let others: Share = (0..plan.allocations.len())
            .filter(|i| !is_member[*i])
            .map(|i| held(&plan.allocations[i], kind, row))
            .sum();
        let total = plan.root.grant(kind).shares[row].minus(others);
        let demands: Vec<u64> = members
            .iter()
            .map(|member| plan.allocations[*member].demand_milli[row])
            .collect();
        let floor_rate = plan.root.floor.shares[row].rate_milli
            / u64::try_from(members.len()).unwrap_or(u64::MAX).max(1);
        let shares = match kind {
            LeaseKind::Floor => split_evenly(total, row, members.len()),
            LeaseKind::Surplus => split_by_demand(total, &demands, floor_rate),
        };
        for (target, share) in targets.iter_mut().zip(shares) {
            target.push(share);
        }
    }
    targets
}

fn held<H>(allocation: &Allocation<H>, kind: LeaseKind, row: usize) -> Share {
    let grant = allocation.grant(kind);
    grant.shares[row].plus(grant.revoking[row])
}

/// Divides a floor evenly among all holders, or among fewer where each would get a burst below
/// [`MIN_FLOOR_BURST`], so that a small burst is not cut into single tokens. The row number sets
/// the first of them, so that different accounts have different holders.
fn split_evenly(total: Share, row: usize, holders: usize) -> Vec<Share> {
    let floor_holders = usize::try_from(total.burst / MIN_FLOOR_BURST).unwrap_or(holders);
    let floor_holders = floor_holders.clamp(1, holders.max(1));
    let weights: Vec<u64> = (0..holders)
        .map(|i| u64::from((i + row) % holders < floor_holders))
        .collect();
    zip(
        apportion(total.rate_milli, &weights),
        apportion(total.burst, &weights),
    )
}

/// Divides a surplus by the demand beyond the floor, rates in thousandths per second.
fn split_by_demand(total: Share, demands: &[u64], floor: u64) -> Vec<Share> {
    let wanted: Vec<u64> = demands
        .iter()
        .map(|demand| demand.saturating_mul(SURPLUS_SIZE_PERCENT) / 100)
        .map(|rate: u64| rate.saturating_sub(floor))
        .collect();
    let rates = max_min_fair(total.rate_milli, &wanted);
    let bursts = apportion(total.burst, &rates);
    zip(rates, bursts)
}

fn zip(rates: Vec<u64>, bursts: Vec<u64>) -> Vec<Share> {
    rates
        .into_iter()
        .zip(bursts)
        .map(|(rate_milli, burst)| Share { rate_milli, burst })
        .collect()
}

/// Tells whether a lease of an allocation is due for renewal and the root's lease allows a later
/// deadline.
pub(super) fn is_renewal_due<H, R>(
    allocation: &Allocation<H>,
    root: &Allocation<R>,
    terms: LeaseTerms,
    now: UnixTime,
) -> bool {
    LeaseKind::ALL.into_iter().any(|kind| {
        let until = allocation.grant(kind).until;
        let left = until.since(now);
        let can_extend = root.grant(kind).until > until;
        can_extend && left <= terms.lease(kind) / RENEW_AT_DIVISOR
    })
}

/// Tells whether an allocation differs enough from its previous state to be written.
pub(super) fn is_changed<H>(
    allocation: &Allocation<H>,
    previous: &Allocation<H>,
    totals: &[Share],
) -> bool {
    (0..totals.len()).any(|row| {
        let is_any_share_changed = LeaseKind::ALL.into_iter().any(|kind| {
            let (new, old) = (allocation.grant(kind), previous.grant(kind));
            is_share_changed(new.shares[row], old.shares[row], totals[row])
                || is_share_changed(new.revoking[row], old.revoking[row], totals[row])
        });
        let (new, old) = (allocation.demand_milli[row], previous.demand_milli[row]);
        is_any_share_changed || is_value_changed(new, old, totals[row].rate_milli)
    })
}

fn is_share_changed(new: Share, old: Share, total: Share) -> bool {
    is_value_changed(new.rate_milli, old.rate_milli, total.rate_milli)
        || is_value_changed(new.burst, old.burst, total.burst)
}

fn is_value_changed(new: u64, old: u64, total: u64) -> bool {
    let threshold = (new.max(old) / CHANGE_DIVISOR).max(total / TOTAL_DIVISOR);
    new.abs_diff(old) > threshold
}

/// Returns the indices of the allocations whose surplus has not expired, for which targets are
/// computed.
pub(super) fn active<H>(allocations: &[Allocation<H>], now: UnixTime) -> Vec<usize> {
    (0..allocations.len())
        .filter(|i| !is_expired(allocations[*i].surplus.until, now))
        .collect()
}
