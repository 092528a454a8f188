//! Measures the control-plane cost of one process against the size of the fleet and of the bundle:
//! look-ups, directory updates, slot shares, budget plans and messages.
//!
//! `cargo run --release -p apricotlug-node --example control_cost`

mod budgets;
mod fleet;
#[path = "../../src/lookups.rs"]
#[allow(dead_code)]
mod lookups;
#[path = "../../src/messages.rs"]
#[allow(dead_code)]
mod messages;
mod text;

use std::{
    error::Error,
    time::{Duration, Instant},
};

fn main() -> Result<(), Box<dyn Error>> {
    fleet::measure()?;
    budgets::measure()
}

/// Returns the mean time of a run in microseconds, over the runs that start within one second.
fn mean_us(mut run: impl FnMut()) -> f64 {
    let started = Instant::now();
    let mut runs = 0;
    while started.elapsed() < Duration::from_secs(1) {
        run();
        runs += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}
