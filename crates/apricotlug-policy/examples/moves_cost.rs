//! Cost of the evidence for one move: size of a report, and time to evaluate all reports once.
//! `cargo run --release -p apricotlug-policy --example moves_cost`

use std::time::{Duration, Instant};

use apricotlug_model::{InstanceId, MonoTime};
use apricotlug_policy::moves::{Detector, Evidence, Pair, Report, Sample, Side, Totals};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const ROUTES: usize = 2;
const REQUESTS_PER_ROUTE: u32 = 2000;
const SHARE_PERMILLE: u16 = 100;
const EVALUATIONS: u64 = 20;
const SEED: u64 = 1;

fn main() {
    let mut rng = StdRng::seed_from_u64(SEED);
    println!(
        "| instances | bytes of a report, JSON | one evaluation, ms | time to count a request, ns |"
    );
    println!("|---|---|---|---|");
    for instances in [9, 41, 150, 1500] {
        let started = Instant::now();
        let reports: Vec<Report> = (0..instances).map(|i| report(i, &mut rng)).collect();
        let counted = f64::from(REQUESTS_PER_ROUTE) * (ROUTES * instances) as f64;
        let record_ns = started.elapsed().as_nanos() as f64 / counted;
        let bytes = serde_json::to_vec(&reports[0]).map_or(0, |json| json.len());
        let evaluation_ms = evaluate(reports, &mut rng).as_secs_f64() * 1000.0;
        println!("| {instances} | {bytes} | {evaluation_ms:.3} | {record_ns:.0} |");
    }
}

fn report(i: usize, rng: &mut StdRng) -> Report {
    let mut totals = Totals::new();
    for route in 0..ROUTES {
        let mut pair = Pair::default();
        (0..REQUESTS_PER_ROUTE).for_each(|_| record(&mut pair, rng));
        totals.insert(format!("route-{route}"), pair);
    }
    Report {
        instance: InstanceId {
            name: format!("entry-{i}"),
            incarnation: 1,
        },
        sequence: 1,
        has_cut: false,
        totals,
    }
}

fn record(pair: &mut Pair, rng: &mut StdRng) {
    let side = match rng.random_range(0..1000) < SHARE_PERMILLE {
        true => Side::New,
        false => Side::Old,
    };
    let sample = Sample {
        is_error: rng.random_bool(0.002),
        is_cold: false,
        latency: Duration::from_micros(rng.random_range(5_000..200_000)),
    };
    pair.record(side, SHARE_PERMILLE, sample);
}

/// Returns the mean time to merge a new report of each instance and to evaluate them all.
fn evaluate(mut reports: Vec<Report>, rng: &mut StdRng) -> Duration {
    let mut evidence = Evidence::default();
    let mut detector = Detector::default();
    let mut elapsed = Duration::ZERO;
    for s in 1..=EVALUATIONS {
        for report in &mut reports {
            report.sequence = s;
            for pair in report.totals.values_mut() {
                record(pair, rng);
            }
        }
        let next = reports.clone();
        let started = Instant::now();
        for report in next {
            evidence.merge(report);
        }
        let now = MonoTime::default().after(Duration::from_secs(s));
        detector.observe(evidence.reports(), now);
        elapsed += started.elapsed();
    }
    elapsed / EVALUATIONS as u32
}
