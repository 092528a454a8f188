//! Overload: who goes ahead, who is refused at once, and when refused callers come again.

use apricotlug_policy::steer::{Patience, Verdict, Waits, judge, retry_after_ms};

const FRESH: Patience = Patience {
    left_ms: 2_000.0,
    target_left_ms: 400.0,
    target_ms: 400.0,
};

#[test]
fn requests_go_ahead_wait_or_are_refused() {
    let late = Patience {
        target_left_ms: 0.0,
        left_ms: 1_200.0,
        ..FRESH
    };
    let cases = [
        ("in time", FRESH, 200.0, 0.0, Verdict::Go),
        ("in time after a wait", FRESH, 350.0, 200.0, Verdict::Go),
        (
            "late though nothing waits there",
            FRESH,
            500.0,
            0.0,
            Verdict::Go,
        ),
        (
            "late since others wait",
            FRESH,
            600.0,
            300.0,
            Verdict::Crowded,
        ),
        ("came back, free slot", late, 200.0, 0.0, Verdict::Go),
        (
            "came back, others wait",
            late,
            300.0,
            200.0,
            Verdict::Crowded,
        ),
        (
            "not within the caller's time",
            FRESH,
            1_900.0,
            0.0,
            Verdict::TooLate,
        ),
    ];
    for (what, patience, expected_ms, wait_ms, verdict) in cases {
        assert_eq!(
            judge(patience, expected_ms, wait_ms, true),
            verdict,
            "{what}"
        );
    }
}

#[test]
fn refused_callers_come_again_spread_and_within_their_time() {
    let times: Vec<_> = (0..=10)
        .map(|i| retry_after_ms(FRESH, 900.0, f64::from(i) / 10.0))
        .collect();
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(times.iter().all(|ms| *ms <= 2_000 / 3));
    let hurried = Patience {
        left_ms: 90.0,
        ..FRESH
    };
    assert!(retry_after_ms(hurried, 900.0, 1.0) <= 50);
}

#[test]
fn a_caller_that_came_back_has_less_time_left() {
    let mut waits = Waits::default();
    assert_eq!(waits.spent_ms("orders", Some(2_500)), 0);
    assert_eq!(waits.spent_ms("orders", Some(2_500)), 0);
    let spent = waits.spent_ms("orders", Some(1_900));
    assert!((590..=600).contains(&spent), "{spent}");
    assert_eq!(waits.spent_ms("orders", None), 0);
    assert_eq!(waits.spent_ms("other", Some(700)), 0);
}

#[test]
fn a_route_that_was_hardly_seen_is_not_refused_for_the_time_that_it_takes() {
    let hurried = Patience {
        left_ms: 100.0,
        ..FRESH
    };
    assert_eq!(judge(hurried, 400.0, 0.0, false), Verdict::Go);
    assert_eq!(judge(hurried, 400.0, 0.0, true), Verdict::TooLate);
}
