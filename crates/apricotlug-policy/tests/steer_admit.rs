//! Admission under overload: which requests are admitted or refused, and when refused callers
//! retry.

use apricotlug_policy::steer::{
    AdmissionDecision, CallerWaits, RequestLimits, decide_admission, retry_after_ms,
};

const FIRST_ATTEMPT: RequestLimits = RequestLimits {
    left_ms: 2_000.0,
    target_left_ms: 400.0,
    target_ms: 400.0,
};

#[test]
fn requests_are_admitted_or_refused_by_expected_latency_and_wait() {
    let late = RequestLimits {
        target_left_ms: 0.0,
        left_ms: 1_200.0,
        ..FIRST_ATTEMPT
    };
    let cases = [
        (
            "in time",
            FIRST_ATTEMPT,
            200.0,
            0.0,
            AdmissionDecision::Admit,
        ),
        (
            "in time after a wait",
            FIRST_ATTEMPT,
            350.0,
            200.0,
            AdmissionDecision::Admit,
        ),
        (
            "late although no request waits",
            FIRST_ATTEMPT,
            500.0,
            0.0,
            AdmissionDecision::Admit,
        ),
        (
            "late because others wait",
            FIRST_ATTEMPT,
            600.0,
            300.0,
            AdmissionDecision::Overloaded,
        ),
        (
            "retry, free slot",
            late,
            200.0,
            0.0,
            AdmissionDecision::Admit,
        ),
        (
            "retry, others wait",
            late,
            300.0,
            200.0,
            AdmissionDecision::Overloaded,
        ),
        (
            "later than the caller's deadline",
            FIRST_ATTEMPT,
            1_900.0,
            0.0,
            AdmissionDecision::TooLate,
        ),
    ];
    for (name, limits, expected_ms, wait_ms, decision) in cases {
        assert_eq!(
            decide_admission(limits, expected_ms, wait_ms, true),
            decision,
            "{name}"
        );
    }
}

#[test]
fn retry_delays_are_spread_and_within_the_time_left() {
    let times: Vec<_> = (0..=10)
        .map(|i| retry_after_ms(FIRST_ATTEMPT, 900.0, f64::from(i) / 10.0))
        .collect();
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(times.iter().all(|ms| *ms <= 2_000 / 3));
    let short = RequestLimits {
        left_ms: 90.0,
        ..FIRST_ATTEMPT
    };
    assert!(retry_after_ms(short, 900.0, 1.0) <= 50);
}

#[test]
fn a_retrying_caller_has_less_time_left() {
    let mut caller_waits = CallerWaits::default();
    assert_eq!(caller_waits.waited_ms("orders", Some(2_500)), 0);
    assert_eq!(caller_waits.waited_ms("orders", Some(2_500)), 0);
    let waited_ms = caller_waits.waited_ms("orders", Some(1_900));
    assert!((590..=600).contains(&waited_ms), "{waited_ms}");
    assert_eq!(caller_waits.waited_ms("orders", None), 0);
    assert_eq!(caller_waits.waited_ms("other", Some(700)), 0);
}

#[test]
fn a_route_with_few_observations_is_not_refused_for_its_expected_latency() {
    let short = RequestLimits {
        left_ms: 100.0,
        ..FIRST_ATTEMPT
    };
    assert_eq!(
        decide_admission(short, 400.0, 0.0, false),
        AdmissionDecision::Admit
    );
    assert_eq!(
        decide_admission(short, 400.0, 0.0, true),
        AdmissionDecision::TooLate
    );
}
