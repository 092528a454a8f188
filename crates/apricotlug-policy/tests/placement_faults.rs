//! Placement under faults: a fleet of each user's size, simulated in virtual time with fixed seeds.

#[path = "../examples/support/mod.rs"]
mod support;

use apricotlug_model::MonoTime;
use support::{
    fleet::{CAISSES, Fleet, NOVAK},
    policy::PolicyKind,
    scenario::{Fault, Scenario},
    sim,
    stats::Stats,
};

fn run(fleet: Fleet, fault: Fault, kind: PolicyKind) -> Stats {
    let scenario = Scenario {
        fault_at: MonoTime(1_000_000),
        fault_ends_at: MonoTime(3_000_000),
        ends_at: MonoTime(4_000_000),
        ..Scenario::new(fleet, fault, 0.5, 11)
    };
    sim::run(scenario, kind)
}

fn assert_safe_under_every_fault(fleet: Fleet) {
    for fault in Fault::ALL {
        let stats = run(fleet, fault, PolicyKind::Apricotlug);
        let case = fault.name();
        assert_eq!(stats.overloads, 0, "{case}");
        assert_eq!(stats.cap_excess, 0, "{case}");
        assert_eq!(stats.drain_violations, 0, "{case}");
        assert!(
            stats.attempts * 10 <= stats.requests * 11,
            "{case}: {stats:?}"
        );
    }
}

#[test]
fn no_fault_overloads_an_endpoint_or_exceeds_a_shift_cap_at_caisses() {
    assert_safe_under_every_fault(CAISSES);
}

#[test]
fn no_fault_overloads_an_endpoint_or_exceeds_a_shift_cap_at_novak() {
    assert_safe_under_every_fault(NOVAK);
}

#[test]
fn other_policies_overload_endpoints_in_the_same_runs() {
    for kind in PolicyKind::ALL
        .into_iter()
        .filter(|kind| *kind != PolicyKind::Apricotlug)
    {
        let stats = run(CAISSES, Fault::SlowEndpoint, kind);
        assert!(stats.overloads > 0, "{}", kind.name());
    }
}

#[test]
fn an_endpoint_that_fails_fast_does_not_attract_requests() {
    let stats = run(CAISSES, Fault::FailsFast, PolicyKind::Apricotlug);
    assert!(
        stats.failed * 1000 < stats.requests,
        "{} failed",
        stats.failed
    );
}

#[test]
fn a_false_report_changes_nothing_where_own_outcomes_are_known() {
    let honest = run(CAISSES, Fault::SlowEndpoint, PolicyKind::Apricotlug);
    let falsified = run(CAISSES, Fault::FalseReport, PolicyKind::Apricotlug);
    assert!(falsified.refused <= honest.refused + honest.requests / 1000);
    assert!(falsified.latency_ms(99.0) <= honest.latency_ms(99.0) * 1.1);
}
