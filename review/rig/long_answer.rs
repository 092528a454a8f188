//! CONFIG: an answer that falls silent behind its first megabyte is not ended at the route's timeout.

use std::{sync::Arc, thread, time::Duration};

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

const ENDPOINTS: usize = 15;
/// Endpoints that hang: 2 of 15, less than the site's share of 0.14.
const FAULTY: usize = 2;
/// They hang on 2 of 5 requests: 0.4, less than the site's x of 0.45.
const HANG_OF_FIVE: u64 = 2;
/// The disruption, in milliseconds of the run: 6.5 s.
const FROM_MS: u64 = 6_000;
const UNTIL_MS: u64 = 12_500;
const END_MS: u64 = 14_000;

const CLIENTS: u64 = 36;
const TIMEOUT_MS: u64 = 1_500;
const BUDGET_MS: u64 = 4_000;
const ANSWER_BYTES: usize = 3 << 20;
const SILENT_AFTER: usize = 3 << 19;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let routes = [Route {
        name: "manifest-download",
        prefix: "/plans/",
        kind: "download",
        service: "docstore",
        target_ms: 600,
        timeout_ms: TIMEOUT_MS as u32,
    }];
    let plan = Plan {
        zones: &ZONES,
        instances: &["brest-a", "rennes-a"],
        routes: &routes,
        endpoints: ENDPOINTS,
        slots: 6,
        bounds: Bounds {
            grace_s: 6,
            retry_slack: 168,
        },
    };
    let system = start(record, &plan, |i| {
        let clock = record.clone();
        Arc::new(move |n, _| {
            let is_faulty = trouble && i < FAULTY && (FROM_MS..UNTIL_MS).contains(&clock.ms());
            let hangs = is_faulty && n % 5 < HANG_OF_FIVE;
            Treatment {
                work_ms: 760,
                answer_bytes: ANSWER_BYTES,
                silent_after: hangs.then_some(SILENT_AFTER),
                ..Treatment::default()
            }
        })
    })?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let to = system.instances[i as usize % system.instances.len()].caller;
            let mut client = Client::new(record, &system.sends, BUDGET_MS);
            let clock = record.clone();
            thread::spawn(move || {
                let mut draws = Draws::new(i);
                thread::sleep(Duration::from_millis(40 * i));
                while clock.ms() < END_MS {
                    client.send(to, "GET", "/plans/2f", b"");
                    client.leave();
                    thread::sleep(Duration::from_millis(200 + draws.below(200)));
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    sleep_until(record, END_MS + 500);
    let sends = system.sends.lock().unwrap();
    let (mut at_timeout, mut later) = (0, 0);
    for (id, sent) in sends.iter().filter(|(_, sent)| sent.path.ends_with("2f")) {
        let took = sent.ended_ms - sent.sent_ms;
        at_timeout += u32::from(took > TIMEOUT_MS);
        if took > TIMEOUT_MS + 500 {
            let seen = sent.seen.as_ref().map_or(String::new(), |seen| seen.word());
            record.say(&format!("CONFIG: {id} had no final answer {took} ms after it was sent, its route's timeout is {TIMEOUT_MS} ms; the client saw: {seen}"));
            later += 1;
        }
    }
    record.say(&format!("{} requests sent, {at_timeout} without an answer at their route's timeout, {later} of these without one half a second later", sends.len()));
    Ok(!(later >= 8 && later * 2 > at_timeout))
}
