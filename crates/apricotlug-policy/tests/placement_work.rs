//! Placement by the expected cost of requests and the work left at backend servers, on the load of
//! `support/uneven_load.rs` in virtual time.

#[path = "support/uneven_load.rs"]
mod uneven_load;

use uneven_load::{Load, Policy, SpeedFigure, Summary, run};

/// Utilisations of the backend servers' slots, and the one at which figures are wrong.
const UTILISATIONS: [f64; 2] = [0.5, 0.65];
const BUSY: f64 = 0.65;

/// Difference of a share that the course of a run explains.
const TOLERANCE: f64 = 0.005;

/// Part of the cheap requests that are late by count alone which may still be.
const MAX_LATE_RATIO: f64 = 0.8;

fn print(name: &str, summary: &Summary) {
    println!(
        "{name:28} p50 {:5.0} p99 {:5.0} cheap p99 {:5.0} in target {:.3} cheap in time {:.3}",
        summary.p50_ms,
        summary.p99_ms,
        summary.cheap_p99_ms,
        summary.in_target,
        summary.cheap_in_time
    );
}

#[test]
fn cheap_requests_wait_less_for_dear_ones_and_no_fewer_meet_the_target() {
    for utilisation in UTILISATIONS {
        let by_count = run(Load::new(Policy::CodeByCount, utilisation));
        let by_work = run(Load::new(Policy::Code, utilisation));
        print(&format!("{utilisation} by count"), &by_count);
        print(&format!("{utilisation} by work"), &by_work);
        let late = |summary: &Summary| 1.0 - summary.cheap_in_time;
        assert!(late(&by_work) <= late(&by_count) * MAX_LATE_RATIO);
        assert!(by_work.in_target >= by_count.in_target);
    }
}

#[test]
fn no_simple_rule_that_knows_all_costs_serves_more_requests_in_target() {
    for utilisation in UTILISATIONS {
        let by_work = run(Load::new(Policy::Code, utilisation));
        for policy in [
            Policy::LeastRequests,
            Policy::LeastWork,
            Policy::BestOfTwo,
            Policy::HomeWithin(100.0),
            Policy::HomeWithin(500.0),
        ] {
            let other = run(Load::new(policy, utilisation));
            print(&format!("{utilisation} {policy:?}"), &other);
            assert!(
                by_work.in_target >= other.in_target - TOLERANCE,
                "{policy:?}"
            );
        }
    }
}

#[test]
fn wrong_and_stale_speeds_are_no_worse_than_none() {
    let with = |figure| {
        let load = Load::new(Policy::Code, BUSY);
        run(Load { figure, ..load })
    };
    let without = with(SpeedFigure::Absent);
    print("no speed", &without);
    for odd in [0.0, -100.0, f64::NAN, f64::INFINITY, 100.0, 1e300, 1e-300] {
        let summary = with(SpeedFigure::Odd(odd));
        assert!(summary == without, "{odd} changes choices");
    }
    for figure in [
        SpeedFigure::True,
        SpeedFigure::Stale(500_000),
        SpeedFigure::Stale(5_000_000),
        SpeedFigure::Random,
        SpeedFigure::Inverted,
    ] {
        let summary = with(figure);
        print(&format!("{figure:?}"), &summary);
        let is_no_worse = summary.in_target >= without.in_target - TOLERANCE;
        assert!(is_no_worse, "{figure:?}");
    }
}

#[test]
fn wrong_reports_of_work_are_no_worse_than_none() {
    let with = |work_ms| {
        let load = Load::new(Policy::Code, BUSY);
        let reported_work = Some(work_ms);
        run(Load {
            reported_work,
            ..load
        })
    };
    let untold = with(0.0);
    print("work untold", &untold);
    for odd in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(with(odd) == untold, "{odd} changes choices");
    }
    for odd in [1e-9, 1.0, 1e30] {
        let summary = with(odd);
        print(&format!("work {odd}"), &summary);
        let is_no_worse = summary.in_target >= untold.in_target - TOLERANCE;
        assert!(is_no_worse, "{odd}");
    }
}

#[test]
fn accounts_whose_cost_changes_are_placed_no_worse_than_by_count() {
    let with = |policy| {
        let load = Load::new(policy, BUSY);
        run(Load {
            is_changed: true,
            ..load
        })
    };
    let (by_count, by_work) = (with(Policy::CodeByCount), with(Policy::Code));
    print("changed, by count", &by_count);
    print("changed, by work", &by_work);
    assert!(by_work.in_target >= by_count.in_target - TOLERANCE);
    assert!(by_work.cheap_in_time >= by_count.cheap_in_time);
}

#[test]
fn with_costs_alike_and_no_speeds_choices_are_those_by_count() {
    for utilisation in UTILISATIONS {
        let with = |policy| {
            let load = Load::new(policy, utilisation);
            run(Load {
                dear_ms: 200.0,
                figure: SpeedFigure::Absent,
                ..load
            })
        };
        let (by_count, by_work) = (with(Policy::CodeByCount), with(Policy::Code));
        assert!(by_count == by_work, "{utilisation}");
    }
}
