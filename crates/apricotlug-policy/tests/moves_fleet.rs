//! Whole moves of a fleet in virtual time, at the size of a small service.

#[path = "../examples/moves/cases.rs"]
mod cases;
#[path = "../examples/moves/fleet.rs"]
mod fleet;
#[path = "../examples/moves/ways.rs"]
mod ways;

use apricotlug_policy::moves::{MoveState, TakeBackReason};
use cases::{CASES, Case, WORKLOADS, Workload};
use fleet::{Outcome, Run};
use ways::{WAYS, Way};

const SEED: u64 = 1;

/// Largest part of all requests that a faulty version may get.
const MAX_FAULTY_SHARE: f64 = 0.01;

/// The smallest service, with a third of the time where that is enough: 3% of errors against 0.2%
/// can't be told apart within a hundredth of the 24,000 requests of 10 minutes.
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

fn run(case: Case, way: Way) -> Outcome {
    Run::new(small_service(case), case, way, SEED).run()
}

#[test]
fn good_versions_finish_in_time_and_bad_ones_are_taken_back() {
    for case in CASES {
        let outcome = run(case, Way::Sequential);
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
            outcome.faulty_share < MAX_FAULTY_SHARE,
            "{case:?}: {outcome:?}"
        );
    }
}

#[test]
fn a_version_that_fails_at_once_gets_nothing_five_seconds_after_it_shows() {
    for case in [Case::ErrorsAtOnce, Case::ErrorsLater, Case::ErrorsOneRoute] {
        let outcome = run(case, Way::Sequential);
        assert_eq!(outcome.late, 0, "{case:?}: {outcome:?}");
        assert!(outcome.cut_after_s.is_some());
    }
}

#[test]
fn simple_ways_finish_bad_versions_or_take_good_ones_back() {
    let rows = [
        (Way::FixedThreshold, Case::SlowLater),
        (Way::RepeatedTest, Case::GoodTenthSlower),
        (Way::NoEvidence, Case::ErrorsAtOnce),
    ];
    for (way, case) in rows {
        let is_finished = run(case, way).state == MoveState::Finished;
        assert_ne!(is_finished, case.is_good(), "{way:?}");
    }
    assert_eq!(WAYS.len(), rows.len() + 1);
}
