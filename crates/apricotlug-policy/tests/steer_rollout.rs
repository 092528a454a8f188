//! Version moves: a good version is completed, a bad one gets little traffic and is taken back.

use std::time::Duration;

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{Evidence, MoveDecision, Rollout, Stage};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const WITHIN_MS: u64 = 16_000;
const PER_S: u64 = 240;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

/// Failures of a new version.
#[derive(Clone, Copy, Debug)]
struct Fault {
    /// Share of its answers that are bad.
    share: f64,
    /// Milliseconds after the start of the move from which it fails.
    from_ms: u64,
    /// Share of the traffic from which it fails.
    from_share: f64,
}

struct Outcome {
    decision: MoveDecision,
    new: u64,
    all: u64,
    ended_ms: u64,
}

/// Simulates a move in which answers are known to all instances `lag_ms` after their requests.
fn simulate(fault: Option<Fault>, lag_ms: u64, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut rollout = Rollout::new(at(0), Duration::from_millis(WITHIN_MS));
    let mut seen = Evidence::default();
    let mut in_flight: Vec<(u64, bool, bool)> = Vec::new();
    let mut outcome = Outcome {
        decision: MoveDecision::Continue,
        new: 0,
        all: 0,
        ended_ms: WITHIN_MS,
    };
    for ms in (0..WITHIN_MS).step_by(2) {
        for (_, is_new, is_good) in in_flight.extract_if(.., |(at, ..)| *at <= ms) {
            let count = match (is_new, is_good) {
                (true, true) => &mut seen.new_good,
                (true, false) => &mut seen.new_bad,
                (false, true) => &mut seen.old_good,
                (false, false) => &mut seen.old_bad,
            };
            *count += 1;
        }
        let stage = rollout.advance(&seen, at(ms));
        if outcome.decision == MoveDecision::Continue {
            outcome.decision = rollout.decide(at(ms));
            outcome.ended_ms = ms;
        }
        if rng.random::<f64>() < PER_S as f64 * 2.0 / 1_000.0 {
            let share = match stage {
                Stage::Share(share) => share,
                Stage::Stopped => 0.0,
            };
            let is_new = rng.random::<f64>() < share;
            let fails = fault.is_some_and(|f| {
                is_new && ms >= f.from_ms && share >= f.from_share && rng.random::<f64>() < f.share
            });
            let is_good = !fails && rng.random::<f64>() > 0.004;
            in_flight.push((ms + lag_ms, is_new, is_good));
            outcome.all += 1;
            outcome.new += u64::from(is_new);
        }
    }
    outcome
}

#[test]
fn a_good_version_is_completed_in_time() {
    for seed in 0..40 {
        let outcome = simulate(None, 400, seed);
        assert_eq!(outcome.decision, MoveDecision::Complete, "seed {seed}");
        assert!(outcome.ended_ms < WITHIN_MS * 9 / 10);
    }
}

#[test]
fn a_bad_version_is_taken_back_within_the_exposure_limit() {
    let faults = [
        Fault {
            share: 0.5,
            from_ms: 0,
            from_share: 0.0,
        },
        Fault {
            share: 0.38,
            from_ms: 3_000,
            from_share: 0.0,
        },
        Fault {
            share: 0.5,
            from_ms: 6_500,
            from_share: 0.0,
        },
        Fault {
            share: 0.5,
            from_ms: 0,
            from_share: 0.2,
        },
        Fault {
            share: 0.4,
            from_ms: 0,
            from_share: 0.9,
        },
    ];
    for seed in 0..40 {
        for fault in faults {
            let outcome = simulate(Some(fault), 500, seed);
            assert_eq!(
                outcome.decision,
                MoveDecision::TakeBack,
                "seed {seed}, {fault:?}"
            );
            let allowed = outcome.all as f64 * 0.1 + 50.0;
            let new = outcome.new as f64;
            assert!(new <= allowed, "seed {seed}, {fault:?}: {new} of {allowed}");
        }
    }
}

#[test]
fn a_version_that_never_answers_is_taken_back() {
    let mut rollout = Rollout::new(at(0), Duration::from_millis(WITHIN_MS));
    for ms in (0..WITHIN_MS).step_by(50) {
        let evidence = Evidence {
            old_good: ms,
            ..Evidence::default()
        };
        rollout.advance(&evidence, at(ms));
    }
    assert_eq!(rollout.decide(at(WITHIN_MS - 50)), MoveDecision::TakeBack);
}

#[test]
fn a_version_found_bad_is_not_accepted_later() {
    let mut rollout = Rollout::new(at(0), Duration::from_millis(WITHIN_MS));
    let mut evidence = Evidence {
        old_good: 200,
        new_good: 10,
        new_bad: 10,
        ..Evidence::default()
    };
    assert_eq!(rollout.advance(&evidence, at(1_000)), Stage::Stopped);
    evidence.new_good += 10_000;
    for ms in (1_000..WITHIN_MS).step_by(100) {
        assert_eq!(rollout.advance(&evidence, at(ms)), Stage::Stopped);
        assert_eq!(rollout.decide(at(ms)), MoveDecision::TakeBack);
    }
}
