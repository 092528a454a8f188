//! Writes decision lines of made-up requests to standard output, two a request.
//!
//! `cargo run --release --example write_log -- 1000000 > log` writes a million lines.

use std::{
    env,
    io::{self, BufWriter, Write},
};

use anyhow::Context;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

/// Seed of the latencies.
const SEED: u64 = 1;

/// Client accounts that the requests are spread over.
const ACCOUNTS: u64 = 8;

/// Latency that no request exceeds, in microseconds.
const MAX_LATENCY_US: u64 = 50_000;

fn main() -> anyhow::Result<()> {
    let lines = env::args().nth(1).context("give the number of lines")?;
    let lines: u64 = lines.parse()?;
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut out = BufWriter::new(io::stdout().lock());
    for i in 0..lines / 2 {
        let id = format!("brest-1-270cea89ca7a4414-{i:x}");
        let placed = json!({
            "timestamp": "2026-12-04T08:00:00.000000Z", "level": "INFO", "kind": "placement",
            "request": id, "endpoint": "stock-13", "version": "1", "candidates": 3,
            "reason": "Home", "target": "apricotlug_edge::place",
        });
        let ended = json!({
            "timestamp": "2026-12-04T08:00:00.005000Z", "level": "INFO", "kind": "request",
            "request": id, "caller": "10.29.0.1", "account": format!("account-{}", i % ACCOUNTS),
            "route": "stock", "bundle": 1, "status": 200, "result": "answered", "attempts": 1,
            "bytes": 97, "latency_us": rng.next_u64() % MAX_LATENCY_US,
            "target": "apricotlug_edge::exchange",
        });
        writeln!(out, "{placed}\n{ended}")?;
    }
    out.flush()?;
    Ok(())
}
