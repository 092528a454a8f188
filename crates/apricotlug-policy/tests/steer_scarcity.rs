//! Order under scarcity: who gets the room of a service, by rank of the client account and the route.

use std::{sync::LazyLock, time::Duration};

use apricotlug_model::{Exchange, MonoTime, Part, Plan, PlanAccount, PlanRoute};
use apricotlug_policy::steer::{
    AdmissionDecision, Rank, RankGate, RankedRequest, RequestLimits, Room, decide_admission,
    ranks_by_service,
};

#[path = "../examples/scarcity_compare/simulation.rs"]
mod simulation;

use simulation::{Load, Order, RANKS, Results, run};

/// Served and earned shares by which a less urgent rank may lie above a more urgent one.
const MAX_SERVED_ABOVE: f64 = 0.05;
const MAX_PAYOFF_ABOVE: f64 = 0.15;

/// Smallest share of any rank or client account, as a part of the share of all requests.
const MIN_SHARE_OF_ALL: f64 = 0.25;

const EVEN: Load = Load {
    demand: 1.0,
    shares: [0.25, 0.35, 0.4],
    report_delay_ms: Some(50),
    has_server_load: true,
    is_split: false,
    seed: 39,
};

const SHORT: Room = Room {
    shortage: 1.0,
    has_fresh_load: true,
};

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 10_000))
}

fn loads() -> impl Iterator<Item = Load> {
    let reports = [
        EVEN,
        Load {
            report_delay_ms: Some(600),
            has_server_load: false,
            ..EVEN
        },
        Load {
            report_delay_ms: None,
            ..EVEN
        },
        Load {
            is_split: true,
            ..EVEN
        },
        Load {
            shares: [0.7, 0.2, 0.1],
            ..EVEN
        },
    ];
    [0.8, 1.2, 2.0, 4.0]
        .into_iter()
        .flat_map(move |demand| reports.map(|load| Load { demand, ..load }))
}

static RESULTS: LazyLock<Vec<(Load, Results)>> = LazyLock::new(|| {
    let results = loads().map(|load| (load, run(Order::RankGate, load)));
    results.collect()
});

fn assert_ordered(load: Load, results: &Results) {
    for pair in results.ranks.windows(2) {
        let (urgent, less_urgent) = (pair[0], pair[1]);
        assert!(
            less_urgent.served_share() <= urgent.served_share() + MAX_SERVED_ABOVE,
            "{load:?}: {results:?}"
        );
        assert!(
            less_urgent.payoff() <= urgent.payoff() + MAX_PAYOFF_ABOVE,
            "{load:?}: {results:?}"
        );
    }
}

#[test]
fn no_rank_is_served_less_than_a_less_urgent_one_and_none_is_starved() {
    for (load, results) in RESULTS.iter() {
        assert_ordered(*load, results);
        let min_share = results.all().served_share() * MIN_SHARE_OF_ALL;
        let tallies = results.ranks.iter().chain(&results.accounts);
        for tally in tallies {
            assert!(tally.served_share() >= min_share, "{load:?}: {results:?}");
        }
    }
}

#[test]
fn the_most_urgent_rank_is_served_while_it_fits_into_half_of_the_room() {
    let fits = |load: &Load| load.demand * load.shares[0] <= 0.5;
    for (load, results) in RESULTS.iter().filter(|(load, _)| fits(load)) {
        let most_urgent = results.ranks[0].served_share();
        assert!(most_urgent >= 0.9, "{load:?}: {results:?}");
    }
}

#[test]
fn the_order_does_not_leave_room_unused() {
    for (load, results) in RESULTS.iter().filter(|(load, _)| load.demand == 1.2) {
        let (before, after) = (run(Order::None, *load).all(), results.all());
        assert!(
            after.in_time_share() >= before.in_time_share() - MAX_SERVED_ABOVE,
            "{load:?}: {before:?} {after:?}"
        );
    }
}

#[test]
fn requests_of_one_rank_are_admitted_as_without_an_order() {
    let request = RankedRequest {
        rank: Rank::default(),
        account: 1,
        is_returning: false,
    };
    let mut gate = RankGate::default();
    gate.set_ranks(vec![request.rank]);
    let limits = RequestLimits {
        left_ms: 2_000.0,
        target_left_ms: 400.0,
        target_ms: 400.0,
    };
    for i in 0..200_u32 {
        let wait_ms = f64::from(i) * 3.0;
        let expected_ms = 100.0 + wait_ms;
        let wait_share = gate.wait_share(request, SHORT, 0.999, at(i.into()));
        let decision = gate.decide(wait_share, limits, (expected_ms, wait_ms), true);
        assert_eq!(
            decision,
            decide_admission(limits, expected_ms, wait_ms, true)
        );
        let is_admitted = decision == AdmissionDecision::Admit;
        gate.record(request, is_admitted, 1.0, at(i.into()));
    }
}

#[test]
fn a_caller_that_comes_back_goes_before_new_ones_of_its_rank_only() {
    let mut gate = RankGate::default();
    let ranks = (0..RANKS as u32).map(|account| Rank { account, route: 0 });
    gate.set_ranks(ranks.collect());
    let share = |account, is_returning| {
        let request = RankedRequest {
            rank: Rank { account, route: 0 },
            account: account.into(),
            is_returning,
        };
        gate.wait_share(request, SHORT, 0.5, at(0))
    };
    assert!(share(2, true) > share(2, false));
    assert!(share(2, true) < share(1, false));
}

fn plan(routes: &[(&str, u32)], accounts: &[u32]) -> Plan {
    let mut plan = Plan::default();
    for (service, priority) in routes {
        plan.routes.push(PlanRoute {
            id: format!("{service}-{priority}"),
            host: String::new(),
            prefix: "/".to_owned(),
            exchange: Exchange::Idempotent,
            parts: vec![Part {
                service: (*service).to_owned(),
                weight: 1.0,
            }],
            timeout_ms: 2_000,
            target_ms: 400,
            attempts: 2,
            priority: *priority,
            homes: Vec::new(),
            is_open: false,
            has_affinity: false,
        });
    }
    for priority in accounts {
        plan.accounts.push(PlanAccount {
            id: format!("account-{priority}"),
            priority: *priority,
            rate: 0.0,
            burst: 0.0,
            homes: Vec::new(),
        });
    }
    plan
}

#[test]
fn ranks_compete_by_account_first_and_only_for_the_service_of_their_routes() {
    let plan = plan(&[("desk", 2), ("desk", 0), ("view", 1)], &[1, 0, 1]);
    let ranks = ranks_by_service(&plan);
    let pairs = |service: &str| -> Vec<_> {
        let ranks = ranks[service].iter();
        ranks.map(|rank| (rank.account, rank.route)).collect()
    };
    assert_eq!(pairs("desk"), [(0, 0), (0, 2), (1, 0), (1, 2)]);
    assert_eq!(pairs("view"), [(0, 1), (1, 1)]);
}
