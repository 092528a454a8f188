//! Ranks of requests, and which of them a plan lets compete for a service.

use apricotlug_model::{HashMap, Plan, PlanAccount, PlanRoute};

/// Urgency of a request; the lowest value is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Rank of the client account, which goes before the route's.
    pub account: u32,
    /// Rank of the route.
    pub route: u32,
}

impl Rank {
    /// Returns the rank of a request by a plan. A request without a client account ranks with the
    /// least urgent accounts.
    #[must_use]
    pub fn of(plan: &Plan, route: &PlanRoute, account: Option<&PlanAccount>) -> Self {
        let of_account = account.map(|account| account.priority);
        Self {
            account: of_account.unwrap_or_else(|| least_urgent_account(plan)),
            route: route.priority,
        }
    }
}

impl std::fmt::Display for Rank {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.account, self.route)
    }
}

fn least_urgent_account(plan: &Plan) -> u32 {
    let ranks = plan.accounts.values().map(|account| account.priority);
    ranks.max().unwrap_or(0)
}

/// Returns the ranks that may compete for each service of a plan, the most urgent first.
#[must_use]
pub fn ranks_by_service(plan: &Plan) -> HashMap<String, Vec<Rank>> {
    let mut accounts: Vec<_> = plan.accounts.values().map(|a| a.priority).collect();
    if accounts.is_empty() {
        accounts.push(0);
    }
    accounts.sort_unstable();
    accounts.dedup();
    let mut by_service: HashMap<String, Vec<Rank>> = HashMap::default();
    for route in plan.routes.values() {
        let ranks = accounts.iter().map(|account| Rank {
            account: *account,
            route: route.priority,
        });
        for part in route.parts.iter().filter(|part| part.weight > 0.0) {
            let of_service = by_service.entry(part.service.clone()).or_default();
            of_service.extend(ranks.clone());
        }
    }
    for ranks in by_service.values_mut() {
        ranks.sort_unstable();
        ranks.dedup();
    }
    by_service
}
