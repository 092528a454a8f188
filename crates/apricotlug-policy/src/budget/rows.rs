//! Updates of a plan's rows when the client accounts of the bundle change.

use apricotlug_model::{Bundle, HashMap, UnixTime};

use crate::budget::{
    Share,
    plan::{Allocation, Grant, LeaseKind, Plan, Row, split},
};

/// Updates a data centre plan to a newer bundle. Where a budget has shrunk, all shares of it shrink
/// in proportion; what they lose is revoked and may be spent until the holders confirm or their
/// leases end. Removed accounts keep a row without budget until then.
pub(super) fn adopt_bundle(plan: &mut Plan<String>, bundle: &Bundle, now: UnixTime) {
    let mut rows: Vec<Row> = bundle
        .accounts
        .values()
        .map(|account| Row {
            name: account.id.clone(),
            budget: Share::budget_of(account),
        })
        .collect();
    for (i, row) in plan.rows.iter().enumerate() {
        let is_removed = rows.iter().all(|kept| kept.name != row.name);
        if is_removed && !plan.spendable(i, now).is_zero() {
            rows.push(Row {
                name: row.name.clone(),
                budget: Share::ZERO,
            });
        }
    }
    set_rows(plan, rows);
    plan.bundle = bundle.version;
    for kind in LeaseKind::ALL {
        resize(plan, kind);
    }
}

/// Replaces the rows; each account keeps its shares and demand, matched by name.
pub(super) fn set_rows<H>(plan: &mut Plan<H>, rows: Vec<Row>) {
    let previous: HashMap<&str, usize> = plan
        .rows
        .iter()
        .enumerate()
        .map(|(i, row)| (row.name.as_str(), i))
        .collect();
    let sources: Vec<Option<usize>> = rows
        .iter()
        .map(|row| previous.get(row.name.as_str()).copied())
        .collect();
    map_allocation(&mut plan.root, &sources);
    for allocation in &mut plan.allocations {
        map_allocation(allocation, &sources);
    }
    plan.rows = rows;
}

fn map_allocation<H>(allocation: &mut Allocation<H>, sources: &[Option<usize>]) {
    allocation.demand_milli = map(&allocation.demand_milli, sources);
    for kind in LeaseKind::ALL {
        let grant = allocation.grant_mut(kind);
        grant.shares = map(&grant.shares, sources);
        grant.revoking = map(&grant.revoking, sources);
    }
}

fn map<T: Copy + Default>(values: &[T], sources: &[Option<usize>]) -> Vec<T> {
    sources
        .iter()
        .map(|source| source.map_or_else(T::default, |i| values[i]))
        .collect()
}

fn resize(plan: &mut Plan<String>, kind: LeaseKind) {
    let latest = plan
        .allocations
        .iter()
        .map(|allocation| latest_deadline(allocation.grant(kind)))
        .max()
        .unwrap_or_default();
    let root = plan.root.grant_mut(kind);
    root.until = UnixTime::MAX;
    for (row, account) in plan.rows.iter().enumerate() {
        let (from, to) = (
            root.shares[row],
            split(account.budget, plan.floor_permille, kind),
        );
        root.shares[row] = to;
        if to.fits(from) && from.fits(to) {
            continue;
        }
        if !from.fits(to) {
            root.revoking[row] = root.revoking[row].plus(from.minus(to));
            root.revoking_until = root.revoking_until.max(latest);
        }
        for allocation in &mut plan.allocations {
            let grant = allocation.grant_mut(kind);
            let kept = grant.shares[row].scaled_down(from, to);
            grant.shrink(row, kept);
        }
    }
}

fn latest_deadline(grant: &Grant) -> UnixTime {
    grant.until.max(grant.revoking_until)
}
