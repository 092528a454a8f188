//! Complete moves of a simulated fleet in virtual time, at the size of a small service.

#[path = "../examples/moves/cases.rs"]
mod cases;
#[path = "../examples/moves/fleet.rs"]
mod fleet;
#[path = "../examples/moves/strategies.rs"]
mod strategies;

use apricotlug_policy::moves::{MoveState, TakeBackReason};
use cases::{CASES, Case, WORKLOADS, Workload};
use fleet::{Outcome, Run};
use strategies::{STRATEGIES, Strategy};

const SEED: u64 = 1;

/// Upper bound of the requests that a fault may affect, as a fraction of all requests.
const MAX_AFFECTED_SHARE: f64 = 0.01;

/// Returns the smallest service, with a third of its time window where that is enough. It is not
/// for few errors: 3% and 0.2% of errors cannot be told apart within a hundredth of the 24,000
/// requests of 10 minutes.
fn small_service(case: Case) -> Workload {
    let smallest = WORKLOADS
        .into_iter()
        .min_by(|a, b| a.rates[0].total_cmp(&b.rates[0]))
        .unwrap();
    let window_s = match case {
        Case::FewErrors => smallest.window_s,
        _ => smallest.window_s / 3,
    };
    Workload {
        window_s,
        ..smallest
    }
}

fn run(case: Case, strategy: Strategy) -> Outcome {
    Run::new(small_service(case), case, strategy, SEED).run()
}

#[test]
fn good_versions_finish_in_time_and_bad_ones_are_taken_back() {
    for case in CASES {
        let outcome = run(case, Strategy::Sequential);
        if case.is_good() {
            assert_eq!(outcome.state, MoveState::Finished, "{case:?}");
            assert!(
                outcome.ended_s < small_service(case).window_s as f64,
                "{case:?}"
            );
            continue;
        }
        let fault = MoveState::TakenBack(TakeBackReason::Fault);
        assert_eq!(outcome.state, fault, "{case:?}");
        assert!(
            outcome.affected_share < MAX_AFFECTED_SHARE,
            "{case:?}: {outcome:?}"
        );
    }
}

#[test]
fn a_version_with_many_errors_gets_no_request_later_than_5_s_after_the_fault_is_visible() {
    for case in [Case::ErrorsAtOnce, Case::ErrorsLater, Case::ErrorsOneRoute] {
        let outcome = run(case, Strategy::Sequential);
        assert_eq!(outcome.late, 0, "{case:?}: {outcome:?}");
        assert!(outcome.cut_after_s.is_some());
    }
}

#[test]
fn simple_strategies_finish_bad_versions_or_take_good_ones_back() {
    let rows = [
        (Strategy::FixedThreshold, Case::SlowLater),
        (Strategy::RepeatedTest, Case::GoodTenthSlower),
        (Strategy::NoEvidence, Case::ErrorsAtOnce),
    ];
    for (strategy, case) in rows {
        let is_finished = run(case, strategy).state == MoveState::Finished;
        assert_ne!(is_finished, case.is_good(), "{strategy:?}");
    }
    assert_eq!(STRATEGIES.len(), rows.len() + 1);
}
