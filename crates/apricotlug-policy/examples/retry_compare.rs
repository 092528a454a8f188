//! Compares retry budgets: the ratio of attempts to requests when every attempt fails, and the
//! percentage of requests lost when few attempts fail. Uses virtual time and a fixed seed.
//!
//! `cargo run --release -p apricotlug-policy --example retry_compare`

use std::{collections::VecDeque, time::Duration};

use apricotlug_model::{MonoTime, Repeat};
use apricotlug_policy::retry::{AttemptState, RetryBudget};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const START: MonoTime = MonoTime(1_000_000);
const FAILURE_START: MonoTime = MonoTime(30_000_000);
const END: MonoTime = MonoTime(60_000_000);
const SPAN_US: u64 = 10_000_000;
const MAX_ATTEMPTS: u32 = 3;
const SEED: u64 = 17;

/// Scheme that limits retries.
enum Scheme {
    /// Up to three attempts per request, without a budget.
    Unlimited,
    /// Each request adds a tenth of a token and each retry takes one. The bucket has no maximum.
    Bucket { tokens: f64 },
    /// Retries are limited to a percentage of the requests in a sliding window.
    Window {
        percent: usize,
        span: Duration,
        requests: VecDeque<MonoTime>,
        retries: VecDeque<MonoTime>,
    },
    /// [`RetryBudget`].
    Apricotlug(RetryBudget),
}

impl Scheme {
    fn all() -> [(&'static str, Self); 5] {
        let window = |percent, seconds| Self::Window {
            percent,
            span: Duration::from_secs(seconds),
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        };
        [
            ("three attempts, no budget", Self::Unlimited),
            (
                "token bucket, 10% per request",
                Self::Bucket { tokens: 0.0 },
            ),
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
            Self::Apricotlug(budget) => budget.record_request(now),
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
                .try_retry(
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

/// Times of all requests and attempts, in microseconds, and the number of failed requests.
struct Run {
    requests: Vec<u64>,
    attempts: Vec<u64>,
    failed: usize,
}

fn run(
    scheme: &mut Scheme,
    rate: impl Fn(MonoTime) -> f64,
    failure: impl Fn(MonoTime) -> f64,
) -> Run {
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
        scheme.on_request(now);
        run.requests.push(now.0);
        let mut attempt = 1;
        run.attempts.push(now.0);
        let mut has_failed = rng.random_bool(failure(now));
        while has_failed && scheme.may_retry(now, attempt) {
            attempt += 1;
            run.attempts.push(now.0);
            has_failed = rng.random_bool(failure(now));
        }
        run.failed += usize::from(has_failed);
    }
    run
}

/// Returns the highest ratio of attempts to requests in any span of 10 s.
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
    println!("70 requests/s per instance; all attempts fail from 30 s on.\n");
    println!(
        "| budget | steady load | load halves when failures start | load falls to a tenth | \
         requests lost at 2% failures, % | at 10% |"
    );
    println!("|---|---|---|---|---|---|");
    let is_failing = |now| f64::from(u8::from(now >= FAILURE_START));
    for (i, (name, _)) in Scheme::all().into_iter().enumerate() {
        let scheme = || {
            Scheme::all()
                .into_iter()
                .nth(i)
                .expect("the scheme is listed")
                .1
        };
        let ratio = |factor: f64| {
            let rate = |now| {
                if now >= FAILURE_START {
                    70.0 * factor
                } else {
                    70.0
                }
            };
            worst_ratio(&run(&mut scheme(), rate, is_failing))
        };
        let lost_percent = |failure: f64| {
            let run = run(&mut scheme(), |_| 70.0, |_| failure);
            run.failed as f64 * 100.0 / run.requests.len() as f64
        };
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} |",
            ratio(1.0),
            ratio(0.5),
            ratio(0.1),
            lost_percent(0.02),
            lost_percent(0.1),
        );
    }
}
