//! LOST: a few long bodies at once take an instance over its memory limit.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Outcome,
    client::{Client, Plan, Route, System, sleep_until, start},
    endpoint::Treatment,
    http::Seen,
    record::{Draws, Record},
    system::{Bounds, Instance},
};

const ZONES: [(&str, &str); 6] = [
    ("brno-a", "morava"),
    ("praha-a", "cechy"),
    ("ostrava-a", "slezsko"),
    ("brno-b", "morava"),
    ("praha-b", "cechy"),
    ("ostrava-b", "slezsko"),
];

/// `memoryMb` of the site's machines.
const MEMORY_LIMIT: u64 = 260 << 20;
/// Pause before the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
const END_MS: u64 = 16_000;
const BURST_MS: u64 = 7_000;

/// Clients of the ordinary traffic, on kept channels.
const CLIENTS: u64 = 24;
/// Orders that come beside it; each within the limit `bodyBytes` of 64 MiB.
const LONG_ORDERS: u64 = 5;
const LONG_BODY: usize = 60 << 20;
/// All of them together stay below the link's 1,000 Mbit/s.
const BYTES_PER_S: u64 = 20 << 20;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let routes = [Route {
        name: "order",
        prefix: "/orders/",
        kind: "unsafe",
        service: "objednavky",
        target_ms: 800,
        timeout_ms: 6_000,
    }];
    let plan = Plan {
        zones: &ZONES,
        instances: &["brno-a", "praha-a"],
        routes: &routes,
        endpoints: 12,
        slots: 3,
        bounds: Bounds {
            grace_s: 6,
            retry_slack: 56,
        },
    };
    let mut system = start(record, &plan, |_| {
        Arc::new(|_, _| Treatment {
            work_ms: 1_160,
            answer_bytes: 5_000,
            ..Treatment::default()
        })
    })?;
    let addrs: Vec<_> = system
        .instances
        .iter()
        .map(|instance| instance.caller)
        .collect();
    let mut clients = Vec::new();
    for i in 0..CLIENTS {
        let to = addrs[i as usize % addrs.len()];
        let mut client = Client::new(record, &system.sends, 6_000);
        let clock = record.clone();
        clients.push(thread::spawn(move || {
            let mut draws = Draws::new(i);
            thread::sleep(Duration::from_millis(60 * i));
            while clock.ms() < END_MS {
                let body = vec![b'o'; 4_000];
                client.send(to, "POST", "/orders/2f", &body);
                thread::sleep(Duration::from_millis(100 + draws.below(400)));
            }
        }));
    }
    for _ in 0..if trouble { LONG_ORDERS } else { 0 } {
        let to = addrs[0];
        let mut client = Client::new(record, &system.sends, 6_000);
        client.bytes_per_s = BYTES_PER_S;
        let clock = record.clone();
        clients.push(thread::spawn(move || {
            sleep_until(&clock, BURST_MS);
            client.send(to, "POST", "/orders/long", &vec![b'l'; LONG_BODY]);
        }));
    }
    let watched = watch_memory(record, &mut system.instances, MEMORY_LIMIT, END_MS)?;
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    Ok(count_lost(record, &system, &watched) <= 3)
}

/// What the platform saw of the processes' memory.
pub struct Watched {
    peaks: Vec<u64>,
    kills: u32,
}

/// Does what the platform does until a point of the run: kills a process that exceeds its memory,
/// and starts a process again that has ended.
pub fn watch_memory(
    record: &Record,
    instances: &mut [Instance],
    limit: u64,
    end_ms: u64,
) -> Result<Watched, String> {
    let mut watched = Watched {
        peaks: vec![0; instances.len()],
        kills: 0,
    };
    while record.ms() < end_ms {
        for (instance, peak) in instances.iter_mut().zip(&mut watched.peaks) {
            let memory = instance.memory_bytes();
            *peak = memory.max(*peak);
            let is_over = memory > limit;
            if is_over {
                record.say(&format!(
                    "{} uses {} MB of memory, over its limit of {} MB: the platform kills it",
                    instance.name,
                    memory >> 20,
                    limit >> 20
                ));
                instance.signal("KILL");
            }
            if is_over || instance.has_ended() {
                watched.kills += 1;
                thread::sleep(RESTART_PAUSE);
                instance.start_again().map_err(|e| e.to_string())?;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(watched)
}

/// Returns how many requests from kept channels were passed on to an endpoint and not answered.
pub fn count_lost(record: &Record, system: &System, watched: &Watched) -> usize {
    let sends = system.sends.lock().unwrap();
    let runs = system.runs.lock().unwrap();
    let mut lost = 0;
    for (id, sent) in sends.iter() {
        let was_passed_on = runs.values().any(|run| run.id == *id);
        if let (true, true, Some(Seen::Closed(why))) = (sent.on_kept, was_passed_on, &sent.seen) {
            record.say(&format!("LOST: {id}, sent on a kept channel, was passed on to an endpoint; its channel was closed without an answer ({why})"));
            lost += 1;
        }
    }
    for (instance, peak) in system.instances.iter().zip(&watched.peaks) {
        record.say(&format!("{}: {} MB at its peak", instance.name, peak >> 20));
    }
    record.say(&format!(
        "{} requests sent, {} processes ended, {lost} requests lost (more than 3 break the rule)",
        sends.len(),
        watched.kills
    ));
    lost
}
