//! Simulates version moves in virtual time at both users' sizes and prints a table.
//! `cargo run --release -p apricotlug-policy --example moves -- [RUNS [STRATEGY]]`

mod cases;
mod fleet;
mod strategies;

use std::env;

use apricotlug_policy::moves::MoveState;
use cases::{CASES, Case, WORKLOADS};
use fleet::{Outcome, Run};
use strategies::{STRATEGIES, Strategy};

const DEFAULT_RUNS: u64 = 5;

fn main() {
    let runs = env::args().nth(1).and_then(|arg| arg.parse().ok());
    let runs = runs.unwrap_or(DEFAULT_RUNS);
    println!(
        "{runs} runs of each case, workload and strategy, seeds 0 to {}\n",
        runs - 1
    );
    println!(
        "| strategy | case | runs | correct | highest share of affected requests, % | highest share of the new version, % | requests later than 5 s | of them affected by the fault | longest time to the cut, s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let selected = env::args().nth(2);
    let is_selected = |strategy: &Strategy| {
        selected
            .as_ref()
            .is_none_or(|name| *name == format!("{strategy:?}"))
    };
    for strategy in STRATEGIES.into_iter().filter(is_selected) {
        for case in CASES {
            print_row(strategy, case, &outcomes(strategy, case, runs));
        }
    }
}

fn outcomes(strategy: Strategy, case: Case, runs: u64) -> Vec<Outcome> {
    WORKLOADS
        .iter()
        .flat_map(|workload| (0..runs).map(|seed| Run::new(*workload, case, strategy, seed).run()))
        .collect()
}

fn print_row(strategy: Strategy, case: Case, outcomes: &[Outcome]) {
    let is_correct = |it: &&Outcome| (it.state == MoveState::Finished) == case.is_good();
    let correct = outcomes.iter().filter(is_correct).count();
    let max_of = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).fold(0.0, f64::max);
    let late: u64 = outcomes.iter().map(|it| it.late).sum();
    let late_affected: u64 = outcomes.iter().map(|it| it.late_affected).sum();
    let affected = 100.0 * max_of(|it| it.affected_share);
    let new = 100.0 * max_of(|it| it.new_share);
    let cut_s = max_of(|it| it.cut_after_s.unwrap_or(0.0));
    let runs = outcomes.len();
    if case.is_good() {
        let ended_s = max_of(|it| it.ended_s);
        println!(
            "| {strategy:?} | {case:?} | {runs} | {correct} | | | | | last ended at {ended_s:.0} s |"
        );
    } else {
        println!(
            "| {strategy:?} | {case:?} | {runs} | {correct} | {affected:.3} | {new:.2} | {late} | {late_affected} | {cut_s:.1} |"
        );
    }
}
