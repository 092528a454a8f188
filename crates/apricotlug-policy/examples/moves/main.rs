//! Virtual-time table of version moves at both users' sizes.
//! `cargo run --release -p apricotlug-policy --example moves -- [RUNS [WAY]]`

mod cases;
mod fleet;
mod ways;

use std::env;

use apricotlug_policy::moves::MoveState;
use cases::{CASES, Case, WORKLOADS};
use fleet::{Outcome, Run};
use ways::{WAYS, Way};

const DEFAULT_RUNS: u64 = 5;

fn main() {
    let runs = env::args().nth(1).and_then(|arg| arg.parse().ok());
    let runs = runs.unwrap_or(DEFAULT_RUNS);
    println!(
        "{runs} runs of each case, workload and way, seeds 0 to {}\n",
        runs - 1
    );
    println!(
        "| way | case | runs | right | worst share of faulty requests, % | worst share of the bad version, % | requests over 5 s late | of them touched by the fault | longest time to the cut, s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let only = env::args().nth(2);
    let is_wanted = |way: &Way| only.as_ref().is_none_or(|name| *name == format!("{way:?}"));
    for way in WAYS.into_iter().filter(is_wanted) {
        for case in CASES {
            print_row(way, case, &outcomes(way, case, runs));
        }
    }
}

fn outcomes(way: Way, case: Case, runs: u64) -> Vec<Outcome> {
    WORKLOADS
        .iter()
        .flat_map(|workload| (0..runs).map(|seed| Run::new(*workload, case, way, seed).run()))
        .collect()
}

fn print_row(way: Way, case: Case, outcomes: &[Outcome]) {
    let is_right = |it: &&Outcome| (it.state == MoveState::Finished) == case.is_good();
    let right = outcomes.iter().filter(is_right).count();
    let most = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).fold(0.0, f64::max);
    let late: u64 = outcomes.iter().map(|it| it.late).sum();
    let late_faulty: u64 = outcomes.iter().map(|it| it.late_faulty).sum();
    let faulty = 100.0 * most(|it| it.faulty_share);
    let new = 100.0 * most(|it| it.new_share);
    let cut_s = most(|it| it.cut_after_s.unwrap_or(0.0));
    let runs = outcomes.len();
    if case.is_good() {
        let ended_s = most(|it| it.ended_s);
        println!(
            "| {way:?} | {case:?} | {runs} | {right} | | | | | last ended at {ended_s:.0} s |"
        );
    } else {
        println!(
            "| {way:?} | {case:?} | {runs} | {right} | {faulty:.3} | {new:.2} | {late} | {late_faulty} | {cut_s:.1} |"
        );
    }
}
