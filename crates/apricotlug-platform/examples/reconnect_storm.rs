//! Virtual-time table: calls a second when the platform returns after an outage, by way of
//! repeating. `cargo run --release -p apricotlug-platform --example reconnect_storm`

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use apricotlug_model::MonoTime;
use apricotlug_platform::{Backoff, ClientConfig, Pacer};
use rand::{SeedableRng, rngs::StdRng};

const OUTAGE_END: MonoTime = MonoTime(60_000_000);
const SEED: u64 = 7;

/// Way of repeating failed calls.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// Every 100 ms.
    Fixed,
    /// Exponential backoff from 50 ms to 5 s without jitter.
    Exponential,
    /// The same bounds with full jitter.
    QuickJitter,
    /// The same within the default call budget.
    QuickJitterAndBudget,
    /// The client's default: full jitter from 250 ms to 4 s within the call budget.
    Client,
}

const WAYS: [Way; 5] = [
    Way::Fixed,
    Way::Exponential,
    Way::QuickJitter,
    Way::QuickJitterAndBudget,
    Way::Client,
];

struct Process {
    backoff: Backoff,
    quick: Backoff,
    pacer: Pacer,
    rng: StdRng,
    failures: u32,
}

impl Process {
    fn new(seed: u64) -> Self {
        let cfg = ClientConfig::default();
        Self {
            backoff: Backoff::new(cfg.backoff_base_ms, cfg.backoff_cap_ms),
            quick: Backoff::new(50, 5000),
            pacer: Pacer::new(cfg.calls_per_s, cfg.burst),
            rng: StdRng::seed_from_u64(seed),
            failures: 0,
        }
    }

    fn next(&mut self, way: Way, now: MonoTime) -> MonoTime {
        self.failures += 1;
        let exponential_ms = 50 << self.failures.min(7);
        match way {
            Way::Fixed => now.after(Duration::from_millis(100)),
            Way::Exponential => now.after(Duration::from_millis(exponential_ms.min(5000))),
            Way::QuickJitter => self.quick.next_attempt(now, &mut self.rng),
            Way::QuickJitterAndBudget => {
                let next = self.quick.next_attempt(now, &mut self.rng);
                self.pacer.reserve(next)
            }
            Way::Client => {
                let next = self.backoff.next_attempt(now, &mut self.rng);
                self.pacer.reserve(next)
            }
        }
    }
}

/// Returns the calls during the outage, the most calls in one second, the most in 100 ms from
/// the recovery on, and when the last process was served.
fn run(way: Way, processes: u64) -> (usize, usize, usize, MonoTime) {
    let mut all: Vec<Process> = (0..processes).map(|i| Process::new(SEED + i)).collect();
    let mut queue: BinaryHeap<_> = (0..all.len()).map(|i| Reverse((MonoTime(0), i))).collect();
    let mut calls = Vec::new();
    let mut served_at = OUTAGE_END;
    while let Some(Reverse((now, i))) = queue.pop() {
        calls.push(now);
        if now >= OUTAGE_END {
            served_at = served_at.max(now);
            continue;
        }
        queue.push(Reverse((all[i].next(way, now), i)));
    }
    let during = calls.partition_point(|at| *at < OUTAGE_END);
    let most = |calls: &[MonoTime], span| {
        let in_span = |from: &MonoTime| calls.partition_point(|at| *at < from.after(span));
        let counts = calls.iter().enumerate().map(|(i, from)| in_span(from) - i);
        counts.max().unwrap_or_default()
    };
    let in_second = most(&calls, Duration::from_secs(1));
    let burst = most(&calls[during..], Duration::from_millis(100));
    (during, in_second, burst, served_at)
}

fn main() {
    println!(
        "| processes | way | calls in a 60 s outage | most in 1 s | most in 100 ms after it | all served after, s |"
    );
    println!("|---|---|---|---|---|---|");
    for processes in [9, 41, 1500] {
        for way in WAYS {
            let (during, in_second, burst, served_at) = run(way, processes);
            let served_s = served_at.since(OUTAGE_END).as_secs_f64();
            println!(
                "| {processes} | {way:?} | {during} | {in_second} | {burst} | {served_s:.2} |"
            );
        }
    }
}
