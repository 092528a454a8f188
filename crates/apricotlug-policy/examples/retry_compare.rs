//! Compares retry budgets: attempts over requests when everything fails, and requests saved when
//! few fail. Virtual time, fixed seeds.
//!
//! `cargo run --release -p apricotlug-policy --example retry_compare`

use std::{collections::VecDeque, time::Duration};

use apricotlug_model::{MonoTime, Repeat};
use apricotlug_policy::retry::{AttemptState, RetryBudget};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const START: MonoTime = MonoTime(1_000_000);
const FAILURE_STARTS: MonoTime = MonoTime(30_000_000);
const END: MonoTime = MonoTime(60_000_000);
const SPAN_US: u64 = 10_000_000;
const MAX_ATTEMPTS: u32 = 3;
const SEED: u64 = 17;

/// Way of limiting retries.
enum Way {
    /// Three attempts, no budget.
    Unlimited,
    /// Each request deposits a tenth of a token, without an end.
    Bucket { tokens: f64 },
    /// Retries within a part of the requests of a trailing window.
    Window {
        percent: usize,
        span: Duration,
        requests: VecDeque<MonoTime>,
        retries: VecDeque<MonoTime>,
    },
    /// The project's budget.
    Apricotlug(RetryBudget),
}

impl Way {
    fn all() -> [(&'static str, Self); 5] {
        let window = |percent, seconds| Self::Window {
            percent,
            span: Duration::from_secs(seconds),
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        };
        [
            ("three attempts, no budget", Self::Unlimited),
            ("bucket, 10% a request", Self::Bucket { tokens: 0.0 }),
            ("10% of the last 10 s", window(10, 10)),
            ("10% of the last 1 s", window(10, 1)),
            (
                "apricotlug: 8% of the last 1 s",
                Self::Apricotlug(RetryBudget::default()),
            ),
        ]
    }

    fn on_request(&mut self, now: MonoTime) {
        match self {
            Self::Unlimited => {}
            Self::Bucket { tokens } => *tokens += 0.1,
            Self::Window { requests, .. } => requests.push_back(now),
            Self::Apricotlug(budget) => budget.on_request(now),
        }
    }

    fn may_retry(&mut self, now: MonoTime, attempt: u32) -> bool {
        if attempt >= MAX_ATTEMPTS {
            return false;
        }
        match self {
            Self::Unlimited => true,
            Self::Bucket { tokens } => {
                let is_allowed = *tokens >= 1.0;
                *tokens -= f64::from(u8::from(is_allowed));
                is_allowed
            }
            Self::Window {
                percent,
                span,
                requests,
                retries,
            } => {
                for points in [&mut *requests, &mut *retries] {
                    while points.front().is_some_and(|p| p.after(*span) <= now) {
                        points.pop_front();
                    }
                }
                let is_allowed = (retries.len() + 1) * 100 <= requests.len() * *percent;
                retries.extend(is_allowed.then_some(now));
                is_allowed
            }
            Self::Apricotlug(budget) => budget
                .may_retry(
                    now,
                    MonoTime::MAX,
                    attempt,
                    Repeat::Idempotent,
                    AttemptState::NotSent,
                )
                .is_retry(),
        }
    }
}

/// Result of a run.
struct Run {
    requests: Vec<u64>,
    attempts: Vec<u64>,
    failed: usize,
}

fn run(way: &mut Way, rate: impl Fn(MonoTime) -> f64, failure: impl Fn(MonoTime) -> f64) -> Run {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut now = START;
    let mut run = Run {
        requests: Vec::new(),
        attempts: Vec::new(),
        failed: 0,
    };
    while now < END {
        let uniform: f64 = rng.random_range(1e-9..1.0);
        now = now.after(Duration::from_secs_f64(-uniform.ln() / rate(now)));
        way.on_request(now);
        run.requests.push(now.0);
        let mut attempt = 1;
        run.attempts.push(now.0);
        let mut has_failed = rng.random_bool(failure(now));
        while has_failed && way.may_retry(now, attempt) {
            attempt += 1;
            run.attempts.push(now.0);
            has_failed = rng.random_bool(failure(now));
        }
        run.failed += usize::from(has_failed);
    }
    run
}

/// Returns the largest ratio of attempts to requests over all spans of 10 s.
fn worst_ratio(run: &Run) -> f64 {
    let count = |points: &[u64], from: u64| {
        points.partition_point(|p| *p < from + SPAN_US) - points.partition_point(|p| *p < from)
    };
    (START.0..END.0 - SPAN_US)
        .step_by(20_000)
        .map(|from| count(&run.attempts, from) as f64 / count(&run.requests, from).max(1) as f64)
        .fold(0.0, f64::max)
}

fn main() {
    println!("Requests a second per instance: 70; all attempts fail from 30 s on.\n");
    println!(
        "| budget | steady load | load halves with the failure | load falls to a tenth | \
         requests lost at 2% failures, % | at 10% |"
    );
    println!("|---|---|---|---|---|---|");
    let is_failing = |now| f64::from(u8::from(now >= FAILURE_STARTS));
    for (i, (name, _)) in Way::all().into_iter().enumerate() {
        let way = || Way::all().into_iter().nth(i).expect("the way is listed").1;
        let ratio = |factor: f64| {
            let rate = |now| {
                if now >= FAILURE_STARTS {
                    70.0 * factor
                } else {
                    70.0
                }
            };
            worst_ratio(&run(&mut way(), rate, is_failing))
        };
        let lost = |failure: f64| {
            let run = run(&mut way(), |_| 70.0, |_| failure);
            run.failed as f64 * 100.0 / run.requests.len() as f64
        };
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} |",
            ratio(1.0),
            ratio(0.5),
            ratio(0.1),
            lost(0.02),
            lost(0.1),
        );
    }
}
