//! UNASKED: an endpoint's second answer arrives while a long body is being sent.

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

const ZONES: [(&str, &str); 6] = [
    ("brest-a", "finistere"),
    ("rennes-a", "ille-vilaine"),
    ("vannes-a", "morbihan"),
    ("quimper-b", "finistere"),
    ("vitre-b", "ille-vilaine"),
    ("lorient-b", "morbihan"),
];

const ENDPOINTS: usize = 12;
/// Endpoints that hand out second answers: 7 of 12, less than the share of 0.6.
const FAULTY: usize = 7;
/// Every 34th answer of these: less than the share of 0.03.
const EVERY: u64 = 34;
/// The disruption, in milliseconds of the run: 5.0 s.
const FROM_MS: u64 = 5_000;
const UNTIL_MS: u64 = 10_000;
const END_MS: u64 = 14_000;

const CLIENTS: u64 = 28;
const LONG_BODY: usize = 8 << 20;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let routes = [Route {
        name: "booking-order",
        prefix: "/orders/",
        kind: "unsafe",
        service: "bookdesk",
        target_ms: 400,
        timeout_ms: 2_500,
    }];
    let plan = Plan {
        zones: &ZONES,
        instances: &["brest-a", "rennes-a"],
        routes: &routes,
        endpoints: ENDPOINTS,
        slots: 4,
        bounds: Bounds {
            grace_s: 6,
            retry_slack: 58,
        },
    };
    let answers = Arc::new(AtomicU64::new(0));
    let system = start(record, &plan, |i| {
        let (answers, clock) = (Arc::clone(&answers), record.clone());
        Arc::new(move |_, _| {
            let is_faulty = trouble && i < FAULTY && (FROM_MS..UNTIL_MS).contains(&clock.ms());
            let second_answer =
                is_faulty && (answers.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(EVERY);
            Treatment {
                work_ms: 480,
                answer_bytes: 1_500,
                second_answer,
                ..Treatment::default()
            }
        })
    })?;
    let mut pattern = vec![0; LONG_BODY];
    let mut draws = Draws::new(7);
    pattern.chunks_mut(6).for_each(|six| {
        let bytes = draws.next().to_le_bytes();
        six.copy_from_slice(&bytes[..six.len()]);
    });
    let pattern = Arc::new(pattern);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let to = system.instances[i as usize % system.instances.len()].caller;
            let mut client = Client::new(record, &system.sends, 2_500);
            let (clock, pattern) = (record.clone(), Arc::clone(&pattern));
            thread::spawn(move || {
                let mut draws = Draws::new(100 + i);
                let mut body = Vec::new();
                thread::sleep(Duration::from_millis(20 * i));
                while clock.ms() < END_MS {
                    // Most orders have a plan of the office attached.
                    let len = if draws.below(10) < 9 { LONG_BODY } else { 300 };
                    body.clear();
                    body.extend_from_slice(&pattern[..len]);
                    body[..8].copy_from_slice(&draws.next().to_le_bytes());
                    client.send(to, "POST", "/orders/2f", &body);
                    thread::sleep(Duration::from_millis(20 + draws.below(30)));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    sleep_until(record, END_MS + 500);
    let sends = system.sends.lock().unwrap();
    let mut changed = 0;
    for run in system.runs.lock().unwrap().values() {
        let Some(sent) = sends.get(&run.id) else {
            record.say(&format!(
                "UNASKED: {} ran {}, which no client sent",
                run.endpoint, run.id
            ));
            changed += 1;
            continue;
        };
        let is_same = sent.body_digest == run.body_digest
            && sent.method == run.method
            && sent.path == run.path;
        if !is_same {
            let seen = sent.seen.as_ref().map_or(String::new(), |seen| seen.word());
            record.say(&format!(
                "UNASKED: {} ran {} with a body that the client did not send ({} bytes, digest {:016x}, sent was {:016x}; the head of a request within it: {:?}); the client saw: {seen}",
                run.endpoint, run.id, run.body_bytes, run.body_digest, sent.body_digest, run.head_within
            ));
            changed += 1;
        }
    }
    let served = sends
        .values()
        .filter(|sent| sent.seen.as_ref().is_some_and(|seen| seen.status() == 200));
    record.say(&format!(
        "{} requests sent, {} answered with 200, {changed} ran with changed content",
        sends.len(),
        served.count()
    ));
    Ok(changed == 0)
}
