//! Compares ways to order requests by rank for a service with too little room, in virtual time.
//!
//! `cargo run --release -p apricotlug-policy --example scarcity_compare`

#[path = "simulation.rs"]
mod simulation;

use simulation::{Load, Order, Results, Tally, run};

const ORDERS: [Order; 5] = [
    Order::None,
    Order::RankGate,
    Order::Threshold,
    Order::Credits,
    Order::Queue,
];

/// Delay of reports in milliseconds, and whether answers carry the backend server's load, and
/// whether the least urgent requests come to instances of their own.
const REPORTS: [(&str, Option<u64>, bool, bool); 5] = [
    ("50 ms", Some(50), true, false),
    ("600 ms", Some(600), true, false),
    ("600 ms, no load in answers", Some(600), false, false),
    ("none", None, true, false),
    ("50 ms, ranks split", Some(50), true, true),
];

fn main() {
    for (reports, report_delay_ms, has_server_load, is_split) in REPORTS {
        println!("reports: {reports}");
        println!(
            "demand order      | served by rank | in time        | payoff         | all three"
        );
        for demand in [0.8, 1.2, 2.0, 4.0] {
            for order in ORDERS {
                let load = Load {
                    demand,
                    shares: [0.25, 0.35, 0.4],
                    report_delay_ms,
                    has_server_load,
                    is_split,
                    seed: 7,
                };
                print_row(order, demand, &run(order, load));
            }
        }
    }
}

fn print_row(order: Order, demand: f64, results: &Results) {
    let by_rank = |figure: fn(Tally) -> f64| {
        let figures = results.ranks.map(|tally| format!("{:.2}", figure(tally)));
        figures.join(" ")
    };
    let all = results.all();
    println!(
        "{demand:<6} {:<10} | {} | {} | {} | {:.2} {:.2} {:.2}",
        format!("{order:?}"),
        by_rank(Tally::served_share),
        by_rank(Tally::in_time_share),
        by_rank(Tally::payoff),
        all.served_share(),
        all.in_time_share(),
        all.payoff(),
    );
}
