//! Tests of the retry budget and the hedge timer.

use std::time::Duration;

use apricotlug_model::{MonoTime, Repeat};
use apricotlug_policy::{
    order::AttemptState,
    retry::{HedgeTimer, RetryBudget, RetryDecision},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const START: MonoTime = MonoTime(1_000_000);

fn filled_budget() -> RetryBudget {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_request(START);
    }
    budget
}

#[test]
fn a_retry_needs_a_repeatable_request_an_attempt_left_and_time() {
    use AttemptState::{NotSent, PerhapsRun};
    use Repeat::{Idempotent, Once};
    let late = START.after(Duration::from_secs(1));
    let near = START.after(Duration::from_millis(4));
    let cases = [
        (Idempotent, PerhapsRun, 1, late, RetryDecision::Retry),
        (Idempotent, NotSent, 2, late, RetryDecision::Retry),
        (Once, NotSent, 1, late, RetryDecision::Retry),
        (Once, PerhapsRun, 1, late, RetryDecision::AtMostOnce),
        (
            Idempotent,
            NotSent,
            3,
            late,
            RetryDecision::AttemptsExhausted,
        ),
        (Idempotent, NotSent, 1, near, RetryDecision::DeadlineNear),
        (
            Idempotent,
            NotSent,
            1,
            MonoTime::default(),
            RetryDecision::DeadlineNear,
        ),
    ];
    for (repeat, state, attempt, deadline, expected) in cases {
        let decision = filled_budget().try_retry(START, deadline, attempt, repeat, state);
        assert_eq!(decision, expected, "{repeat:?} {state:?} {attempt}");
    }
}

#[test]
fn a_hedge_needs_an_idempotent_request_and_the_same_budget() {
    let mut budget = filled_budget();
    let once = budget.try_hedge(START, MonoTime::MAX, 1, Repeat::Once);
    assert_eq!(once, RetryDecision::AtMostOnce);
    let hedges = (0..100).filter(|_| {
        budget
            .try_hedge(START, MonoTime::MAX, 1, Repeat::Idempotent)
            .is_retry()
    });
    assert_eq!(hedges.count(), 8);
    let retry = budget.try_retry(
        START,
        MonoTime::MAX,
        1,
        Repeat::Idempotent,
        AttemptState::NotSent,
    );
    assert_eq!(retry, RetryDecision::BudgetExhausted);
}

#[test]
fn a_budget_without_recent_requests_is_empty() {
    let mut empty = RetryBudget::default();
    let mut old = filled_budget();
    let later = START.after(Duration::from_secs(2));
    for budget in [&mut empty, &mut old] {
        let decision = budget.try_retry(
            later,
            MonoTime::MAX,
            1,
            Repeat::Idempotent,
            AttemptState::NotSent,
        );
        assert_eq!(decision, RetryDecision::BudgetExhausted);
    }
}

/// Simulates requests whose attempts all fail immediately. Returns the times of all requests and
/// attempts, in microseconds.
fn simulate_full_failure(rate: impl Fn(u64) -> f64, seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut budget = RetryBudget::default();
    let (mut requests, mut attempts) = (Vec::new(), Vec::new());
    let mut now = START;
    while now < MonoTime(60_000_000) {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        now = now.after(Duration::from_secs_f64(-uniform.ln() / rate(now.0)));
        budget.record_request(now);
        requests.push(now.0);
        attempts.push(now.0);
        let mut attempt = 1;
        let retry = |budget: &mut RetryBudget, attempt| {
            budget.try_retry(
                now,
                MonoTime::MAX,
                attempt,
                Repeat::Idempotent,
                AttemptState::NotSent,
            )
        };
        while retry(&mut budget, attempt).is_retry() {
            attempt += 1;
            attempts.push(now.0);
        }
    }
    (requests, attempts)
}

/// Returns the highest ratio of attempts to requests in any span of 10 s.
fn worst_ratio(requests: &[u64], attempts: &[u64]) -> f64 {
    let count = |points: &[u64], from: u64| {
        let until = from + 10_000_000;
        points.partition_point(|p| *p < until) - points.partition_point(|p| *p < from)
    };
    let spans = (1_000_000..49_000_000).step_by(50_000);
    spans
        .map(|from| count(attempts, from) as f64 / count(requests, from).max(1) as f64)
        .fold(0.0, f64::max)
}

#[test]
fn attempts_stay_within_1_1_times_requests_of_any_10_s_under_full_failure() {
    type Rate = fn(u64) -> f64;
    let rates: [(&str, Rate); 5] = [
        ("low", |_| 8.0),
        ("steady", |_| 70.0),
        ("high", |_| 2_000.0),
        ("rising", |now| if now < 20_000_000 { 20.0 } else { 400.0 }),
        ("halved", |now| if now < 20_000_000 { 400.0 } else { 200.0 }),
    ];
    for (name, rate) in rates {
        for seed in 0..5 {
            let (requests, attempts) = simulate_full_failure(rate, seed);
            let ratio = worst_ratio(&requests, &attempts);
            assert!(ratio <= 1.1, "{name} seed {seed}: {ratio}");
        }
    }
}

#[test]
fn a_hedge_is_sent_after_95_percent_of_recent_latencies() {
    let mut timer = HedgeTimer::default();
    assert_eq!(timer.hedge_at(START), None);
    for millis in 1..=100 {
        timer.record(Duration::from_millis(millis));
    }
    let delay = timer.hedge_at(START).unwrap().since(START).as_millis();
    assert!((95..120).contains(&delay), "{delay}");
    for _ in 0..5_000 {
        timer.record(Duration::from_millis(5));
    }
    let delay = timer.hedge_at(START).unwrap().since(START).as_millis();
    assert!((5..8).contains(&delay), "{delay}");
}
