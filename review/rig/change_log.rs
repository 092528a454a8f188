//! LOST: the desired states of the past stay in memory until an instance exceeds its limit.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Outcome,
    client::{Client, Plan, Route, desired_state, sleep_until, start},
    endpoint::Treatment,
    memory::{count_lost, watch_memory},
    record::{Draws, Record},
    system::Bounds,
};

const ZONES: [(&str, &str); 3] = [
    ("brno-a", "morava"),
    ("praha-a", "cechy"),
    ("ostrava-a", "slezsko"),
];

/// `memoryMb` of most of the site's machines.
const MEMORY_LIMIT: u64 = 160 << 20;
/// Routes that the desired state has beside the first ones: two changes of the kind `big_config`.
const MORE_ROUTES: [u32; 2] = [1_400, 1_400 + 1_920];
/// A `config_storm`: 12 changes, one each 0.33 s, within 4.0 s. Then a pause.
const STORMS: u32 = 19;
const CHANGES: u32 = 12;
const GAP: Duration = Duration::from_millis(330);
const PAUSE: Duration = Duration::from_millis(500);
const STORMS_FROM_MS: u64 = 5_000;
const END_MS: u64 = 98_000;

const CLIENTS: u64 = 24;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let routes = || {
        [Route {
            name: "order",
            prefix: "/orders/",
            kind: "unsafe",
            service: "objednavky",
            target_ms: 1_500,
            timeout_ms: 12_000,
        }]
    };
    let first_routes = routes();
    let plan = Plan {
        zones: &ZONES,
        instances: &["brno-a", "praha-a"],
        routes: &first_routes,
        endpoints: 12,
        slots: 6,
        bounds: Bounds {
            grace_s: 6,
            retry_slack: 220,
        },
    };
    let mut system = start(record, &plan, |_| {
        Arc::new(|_, _| Treatment {
            work_ms: 2_280,
            answer_bytes: 5_000,
            ..Treatment::default()
        })
    })?;
    let mut threads = Vec::new();
    for i in 0..CLIENTS {
        let to = system.instances[i as usize % system.instances.len()].caller;
        let mut client = Client::new(record, &system.sends, 12_000);
        let clock = record.clone();
        threads.push(thread::spawn(move || {
            let mut draws = Draws::new(i);
            thread::sleep(Duration::from_millis(60 * i));
            while clock.ms() < END_MS {
                client.send(to, "POST", "/orders/2f", &[b'o'; 4_000]);
                thread::sleep(Duration::from_millis(100 + draws.below(400)));
            }
        }));
    }
    let (store, clock) = (system.store.clone(), record.clone());
    let storms = if trouble { STORMS } else { 0 };
    threads.push(thread::spawn(move || {
        sleep_until(&clock, STORMS_FROM_MS);
        let mut version = 8;
        for more in MORE_ROUTES {
            version += 3;
            store.put("op/config", &desired_state(version, &routes(), more));
            thread::sleep(PAUSE);
        }
        for storm in 0..storms {
            for _ in 0..CHANGES {
                version += 3;
                let text = desired_state(version, &routes(), MORE_ROUTES[1]);
                clock.line(&format!(
                    "the operator writes version {version:08x}, {} bytes, in storm {}",
                    text.len(),
                    storm + 1
                ));
                store.put("op/config", &text);
                thread::sleep(GAP);
            }
            thread::sleep(PAUSE);
        }
    }));
    let watched = watch_memory(record, &mut system.instances, MEMORY_LIMIT, END_MS)?;
    for one in threads {
        one.join().map_err(|_| "a thread failed")?;
    }
    Ok(count_lost(record, &system, &watched) <= 3)
}
