//! Cost of the evidence for one move: bytes of a report, and time of one look at all reports.
//! `cargo run --release -p apricotlug-policy --example moves_cost`

use std::time::{Duration, Instant};

use apricotlug_model::{InstanceId, MonoTime};
use apricotlug_policy::moves::{Detector, Evidence, Pair, Report, Sample, Side, Totals};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const ROUTES: usize = 2;
const REQUESTS: u32 = 2000;
const SHARE: u16 = 100;
const LOOKS: u64 = 20;
const SEED: u64 = 1;

fn main() {
    let mut rng = StdRng::seed_from_u64(SEED);
    println!("| instances | bytes of a report, JSON | one look, ms | records counted, ns each |");
    println!("|---|---|---|---|");
    for instances in [9, 41, 150, 1500] {
        let started = Instant::now();
        let reports: Vec<Report> = (0..instances).map(|i| report(i, &mut rng)).collect();
        let counted = f64::from(REQUESTS) * (ROUTES * instances) as f64;
        let record_ns = started.elapsed().as_nanos() as f64 / counted;
        let bytes = serde_json::to_vec(&reports[0]).map_or(0, |json| json.len());
        let look_ms = look(reports, &mut rng).as_secs_f64() * 1000.0;
        println!("| {instances} | {bytes} | {look_ms:.3} | {record_ns:.0} |");
    }
}

fn report(i: usize, rng: &mut StdRng) -> Report {
    let mut totals = Totals::new();
    for route in 0..ROUTES {
        let mut pair = Pair::default();
        (0..REQUESTS).for_each(|_| record(&mut pair, rng));
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
    let side = match rng.random_range(0..1000) < SHARE {
        true => Side::New,
        false => Side::Old,
    };
    let sample = Sample {
        is_error: rng.random_bool(0.002),
        is_cold: false,
        latency: Duration::from_micros(rng.random_range(5_000..200_000)),
    };
    pair.record(side, SHARE, sample);
}

/// Returns the time to merge one more report of each instance and to judge them all.
fn look(mut reports: Vec<Report>, rng: &mut StdRng) -> Duration {
    let mut evidence = Evidence::default();
    let mut detector = Detector::default();
    let mut spent = Duration::ZERO;
    for s in 1..=LOOKS {
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
        spent += started.elapsed();
    }
    spent / LOOKS as u32
}
