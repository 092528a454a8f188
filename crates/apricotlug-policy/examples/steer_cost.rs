//! Measures the CPU time of one choice of a backend server, by the number of backend servers.
//!
//! `cargo run --release -p apricotlug-policy --example steer_cost`

use std::{
    collections::VecDeque,
    hint::black_box,
    time::{Duration, Instant},
};

use apricotlug_model::{Backend, BackendState, MonoTime};
use apricotlug_policy::steer::{ChoiceRequest, Fleet, LimitShare, RequestOutcome, object_hash};

const SERVICE: &str = "stock";
const REGIONS: [&str; 3] = ["east", "mid", "west"];
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Number of distinct objects that are requested.
const OBJECTS: usize = 1_000;

/// Number of choices that are timed.
const CHOICES: u32 = 200_000;

/// Number of requests in flight at once.
const IN_FLIGHT: usize = 64;

fn fleet(backends: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for i in 0..backends {
        let region = REGIONS[i % 3];
        let backend = Backend {
            id: format!("backend-{i}"),
            service: SERVICE.to_owned(),
            addr: ([127, 0, 0, 1], 7_000).into(),
            data_centre: format!("{region}-{}", DATA_CENTRES[i / 3 % 3]),
            version: "v1".to_owned(),
            slots: 6,
            state: BackendState::Ready,
            cold_ms: 0,
            born_ms: 1,
        };
        fleet.register(backend, region, MonoTime::default());
    }
    fleet
}

/// Returns the microseconds per choice, including the recording of its request and answer.
fn choice_us(backends: usize, is_large_deployment: bool) -> f64 {
    let mut fleet = fleet(backends);
    let objects: Vec<u64> = (0..OBJECTS)
        .map(|i| object_hash(SERVICE, &i.to_string()))
        .collect();
    let mut in_flight = VecDeque::new();
    let share = LimitShare::default();
    let started_at = Instant::now();
    for i in 0..CHOICES {
        let now = MonoTime::default().after(Duration::from_millis(u64::from(i) * 4));
        let request = ChoiceRequest {
            service: SERVICE,
            route: "lookup",
            object: Some(objects[i as usize * 31 % OBJECTS]),
            account: None,
            is_large: false,
            region: "east",
            data_centre: "east-a",
            home_regions: [&[], &[]],
            evacuated: &[],
            version_filter: None,
            excluded: &[],
            cold_rate: 13.0,
            share: &share,
            is_large_deployment,
        };
        let Ok(choice) = black_box(fleet.choose(&request, 800, now)) else {
            continue;
        };
        fleet.on_send(&request, choice.key, now);
        in_flight.push_back(choice);
        if in_flight.len() > IN_FLIGHT
            && let Some(finished) = in_flight.pop_front()
        {
            fleet.on_end(&finished, "lookup", RequestOutcome::Answered(300.0), now);
        }
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES)
}

fn main() {
    println!("backends  small fleet, us  many instances, us");
    for backends in [16, 40, 176, 489, 700, 1_500] {
        let (small, large) = (choice_us(backends, false), choice_us(backends, true));
        println!("{backends:8}  {small:15.2}  {large:18.2}");
    }
}
