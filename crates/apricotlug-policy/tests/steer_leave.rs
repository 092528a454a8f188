//! Planned stops: which requests a leaving instance accepts.

use std::time::Duration;

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::Leave;

const SINCE_MS: u64 = 50_000;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(SINCE_MS + ms))
}

/// Guards against a window that grows with the grace time: no request that is sent later than 3 s
/// after the signal may be cut.
#[test]
fn requests_of_any_length_are_accepted_for_less_than_three_seconds() {
    for (grace_ms, accepted_ms) in [
        (2_000, 960),
        (4_000, 1_920),
        (6_000, 2_700),
        (30_000, 2_700),
    ] {
        let leave = Leave::new(at(0), Duration::from_millis(grace_ms));
        assert_eq!(leave.accept_until, at(accepted_ms), "grace {grace_ms} ms");
        assert!(leave.accepts(at(accepted_ms - 1), MonoTime::MAX));
        assert!(!leave.accepts(at(accepted_ms), MonoTime::MAX));
    }
}

/// Guards against refusing what can be waited for, and against accepting what cannot.
#[test]
fn late_requests_are_accepted_if_their_caller_leaves_before_the_end() {
    let leave = Leave::new(at(0), Duration::from_secs(10));
    assert_eq!(leave.abandon_at, at(9_300));
    for (now_ms, deadline_ms, is_accepted) in [
        (4_000, 9_300, true),
        (4_000, 9_301, false),
        (9_000, 9_200, true),
        (100, 60_000, true),
    ] {
        let accepts = leave.accepts(at(now_ms), at(deadline_ms));
        assert_eq!(accepts, is_accepted, "at {now_ms} until {deadline_ms} ms");
    }
}
