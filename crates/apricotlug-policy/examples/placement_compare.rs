//! Compares placement policies under faults, in virtual time with fixed seeds.
//!
//! `cargo run --release -p apricotlug-policy --example placement_compare [POLICY [SEED]]`

mod support;

use std::{env, thread};

use support::{
    fleet::{CAISSES, Fleet, NOVAK},
    policy::PolicyKind,
    scenario::{Fault, Scenario},
    sim,
};

/// Mean fraction of all slots that are busy.
const LOAD: f64 = 0.5;
/// Seed of every run if none is given.
const SEED: u64 = 7;

/// Number of concurrent runs.
const THREADS: usize = 3;

fn main() {
    let seed = env::args().nth(2).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(SEED);
    for fleet in [CAISSES, NOVAK] {
        println!("\n### {}, load {LOAD}, seed {seed}\n", fleet.name);
        println!(
            "| fault | policy | headroom % | p50 ms | p99 ms | refused | refused in rate | refused at look-up | failed | overloads | cap excess | requests | attempts |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
        for faults in Fault::ALL.chunks(THREADS) {
            thread::scope(|scope| {
                let runs: Vec<_> = faults
                    .iter()
                    .map(|fault| scope.spawn(move || rows(fleet, *fault, seed)))
                    .collect();
                for run in runs {
                    print!("{}", run.join().expect("simulation thread panicked"));
                }
            });
        }
    }
}

/// Returns the table rows of a fault, one per policy.
fn rows(fleet: Fleet, fault: Fault, seed: u64) -> String {
    let row = |kind: PolicyKind| {
        let stats = sim::run(Scenario::new(fleet, fault, LOAD, seed), kind);
        format!(
            "| {} | {} | {:.0} | {:.1} | {:.1} | {} | {} | {} | {} | {} | {} | {} | {} |\n",
            fault.name(),
            kind.name(),
            stats.headroom * 100.0,
            stats.latency_ms(50.0),
            stats.latency_ms(99.0),
            stats.refused,
            stats.refused_in_rate,
            stats.refused_at_lookup,
            stats.failed,
            stats.overloads,
            stats.cap_excess,
            stats.requests,
            stats.attempts,
        )
    };
    let only = env::args().nth(1);
    let is_selected = |kind: &PolicyKind| only.as_deref().is_none_or(|name| name == kind.name());
    PolicyKind::ALL
        .into_iter()
        .filter(is_selected)
        .map(row)
        .collect()
}
