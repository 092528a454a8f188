//! EVAC: a second attempt goes to a zone that was evacuated after the request was admitted.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    client::{Client, Plan, Route, sleep_until, start},
    endpoint::Treatment,
    record::{Draws, Record},
    system::Bounds,
};

const ZONES: [(&str, &str); 9] = [
    ("brest-a", "finistere"),
    ("rennes-a", "ille-vilaine"),
    ("vannes-a", "morbihan"),
    ("quimper-b", "finistere"),
    ("vitre-b", "ille-vilaine"),
    ("lorient-b", "morbihan"),
    ("morlaix-c", "finistere"),
    ("fougeres-c", "ille-vilaine"),
    ("auray-c", "morbihan"),
];

const EVACUATED: &str = "brest-a";
const ENDPOINTS: usize = 18;
/// Endpoints that turn slow, none of them in the evacuated zone: 2 of 18, less than a share of 0.15.
const SLOW: [usize; 2] = [3, 7];
const SLOW_TIMES: u64 = 4;
/// They are slow for 6 s of the run.
const FROM_MS: u64 = 13_000;
const UNTIL_MS: u64 = 19_000;
const ORDER_MS: u64 = 16_000;
/// `evacuation` of the site.
const BOUND_MS: u64 = 5_000;
const END_MS: u64 = 26_000;

const CLIENTS: u64 = 80;
const WORK_MS: u64 = 1_720;
/// Endpoints of one service differ in speed: work in hundredths of the service's, in turn.
const SPEEDS: [u64; 4] = [70, 100, 100, 130];

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let routes = [Route {
        name: "stock-lookup",
        prefix: "/stock/",
        kind: "safe",
        service: "stockdesk",
        target_ms: 1_236,
        timeout_ms: 8_000,
    }];
    let plan = Plan {
        zones: &ZONES,
        instances: &["brest-a", "quimper-b"],
        routes: &routes,
        endpoints: ENDPOINTS,
        slots: 6,
        bounds: Bounds {
            grace_s: 10,
            retry_slack: 630,
        },
    };
    let system = start(record, &plan, |i| {
        let clock = record.clone();
        Arc::new(move |_, _| {
            let is_slow = trouble && SLOW.contains(&i) && (FROM_MS..UNTIL_MS).contains(&clock.ms());
            let usual_ms = WORK_MS * SPEEDS[i % SPEEDS.len()] / 100;
            let work_ms = if is_slow {
                usual_ms * SLOW_TIMES
            } else {
                usual_ms
            };
            Treatment {
                work_ms,
                answer_bytes: 400,
                ..Treatment::default()
            }
        })
    })?;
    let ordered_ms = Arc::new(AtomicU64::new(u64::MAX));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let to = system.instances[i as usize % system.instances.len()].caller;
            let mut client = Client::new(record, &system.sends, 8_000);
            let clock = record.clone();
            thread::spawn(move || {
                let mut draws = Draws::new(i);
                thread::sleep(Duration::from_millis(25 * i));
                while clock.ms() < END_MS {
                    client.send(to, "GET", "/stock/2f", b"");
                    thread::sleep(Duration::from_millis(50 + draws.below(200)));
                }
            })
        })
        .collect();
    sleep_until(record, ORDER_MS);
    system.store.put(&format!("op/evacuate/{EVACUATED}"), "{}");
    ordered_ms.store(record.ms(), Ordering::SeqCst);
    record.line(&format!("the store confirms the evacuation of {EVACUATED}"));
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sends = system.sends.lock().unwrap();
    let ordered_ms = ordered_ms.load(Ordering::SeqCst);
    let mut late = 0;
    for run in system.runs.lock().unwrap().values() {
        let is_there = system
            .endpoints
            .iter()
            .any(|one| one.id == run.endpoint && one.zone == EVACUATED);
        if is_there && run.began_ms > ordered_ms + BOUND_MS {
            let sent_ms = sends.get(&run.id).map_or(0, |sent| sent.sent_ms);
            record.say(&format!(
                "EVAC: {} in {EVACUATED} got {}, sent at {sent_ms} ms, {} ms after the evacuation was confirmed",
                run.endpoint,
                run.id,
                run.began_ms - ordered_ms
            ));
            late += 1;
        }
    }
    record.say(&format!(
        "{} requests sent, {late} reached the evacuated zone too late",
        sends.len()
    ));
    Ok(late == 0)
}
