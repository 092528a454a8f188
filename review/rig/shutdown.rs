//! LOST: an instance that got SIGTERM accepts requests that it then does not wait for.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    client::{Client, HOST, Plan, Route, sleep_until, start},
    endpoint::Treatment,
    http::{self, Seen},
    json::Json,
    record::{Draws, Record, digest},
    system::Bounds,
};

const ZONES: [(&str, &str); 4] = [
    ("brest-a", "finistere"),
    ("quimper-b", "finistere"),
    ("morlaix-c", "finistere"),
    ("rennes-a", "ille-vilaine"),
];

/// `grace` of the site.
const GRACE_MS: u64 = 10_000;
const TERM_MS: u64 = 14_000;
const END_MS: u64 = TERM_MS + GRACE_MS + 1_000;
/// Requests that were sent no later than this after the SIGTERM are excused where their endpoint is
/// still at work in the last sixth of `grace`.
const EXCUSED_MS: u64 = 3_000;

/// Clients, each with several channels and one response of the directory for all of them.
const CLIENTS: u64 = 50;
const CHANNELS: u64 = 6;
const BUDGET_MS: u64 = 12_000;
/// Work of most orders, and of one in three; the site's largest is 6,720 ms.
const WORK_MS: u64 = 2_240;
const LONG_WORK_MS: u64 = 6_000;

/// A client's view of the directory.
struct Directory {
    servers: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    expires: Instant,
    /// Some clients keep a response three times as long as it says.
    times: u32,
}

impl Directory {
    /// Asks again if the response is too old. Keeps an old one where there is no new one.
    fn refresh(&mut self) {
        if Instant::now() < self.expires {
            return;
        }
        let target = format!("/apricotlug/resolve?name={HOST}&region=finistere&zone=brest-a");
        for server in &self.servers {
            let Some((200, body)) = http::get(*server, &target, Duration::from_secs(1)) else {
                continue;
            };
            let json = Json::parse(&body).unwrap_or(Json::Null);
            let addresses = json.get("addresses").list().iter();
            let addresses: Vec<_> = addresses
                .filter_map(|addr| addr.text().parse().ok())
                .collect();
            let lifetime = json.get("lifetime").text().trim_end_matches("ms").parse();
            if let (false, Ok(ms)) = (addresses.is_empty(), lifetime) {
                self.addresses = addresses;
                self.expires = Instant::now() + Duration::from_millis(ms) * self.times;
                return;
            }
        }
    }
}

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let routes = [Route {
        name: "booking-order",
        prefix: "/orders/",
        kind: "unsafe",
        service: "bookdesk",
        target_ms: 1_500,
        timeout_ms: 12_000,
    }];
    let plan = Plan {
        zones: &ZONES,
        instances: &["brest-a", "quimper-b"],
        routes: &routes,
        endpoints: 72,
        slots: 6,
        bounds: Bounds {
            grace_s: (GRACE_MS / 1_000) as u32,
            retry_slack: 630,
        },
    };
    let system = start(record, &plan, |_| {
        Arc::new(|_, head| {
            let id = head.get("request-identifier").unwrap_or_default();
            let is_long = digest(id.as_bytes()) % 3 == 0 && !head.word(1).ends_with("first");
            let work_ms = if is_long { LONG_WORK_MS } else { WORK_MS };
            Treatment {
                work_ms,
                answer_bytes: 1_500,
                ..Treatment::default()
            }
        })
    })?;
    let lookups: Vec<_> = system
        .instances
        .iter()
        .map(|instance| instance.lookup)
        .collect();
    let mut clients = Vec::new();
    for i in 0..CLIENTS {
        let directory = Arc::new(Mutex::new(Directory {
            servers: lookups.clone(),
            addresses: Vec::new(),
            expires: Instant::now(),
            times: if i % 3 == 0 { 3 } else { 1 },
        }));
        for j in 0..CHANNELS {
            let mut client = Client::new(record, &system.sends, BUDGET_MS);
            let (clock, directory) = (record.clone(), Arc::clone(&directory));
            clients.push(thread::spawn(move || {
                let mut draws = Draws::new(i * CHANNELS + j);
                thread::sleep(Duration::from_millis(200 * i + 150 * j));
                while clock.ms() < END_MS {
                    let addresses = {
                        let mut directory = directory.lock().unwrap();
                        directory.refresh();
                        directory.addresses.clone()
                    };
                    if addresses.is_empty() {
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    }
                    // A client stops using a channel to an address that a new response does not name.
                    let kept = client.connected_to().filter(|to| addresses.contains(to));
                    if kept.is_none() {
                        client.leave();
                    }
                    let drawn = draws.below(addresses.len() as u64) as usize;
                    let to = kept.unwrap_or(addresses[drawn]);
                    if let Seen::Closed(_) = client.send(to, "POST", "/orders/2f", &[b'o'; 300]) {
                        directory.lock().unwrap().expires = Instant::now();
                    }
                    thread::sleep(Duration::from_millis(200 + draws.below(600)));
                }
            }));
        }
    }
    sleep_until(record, TERM_MS);
    let leaving = &system.instances[0];
    let term_ms = record.ms();
    if trouble && !leaving.signal("TERM") {
        return Err("cannot send SIGTERM".to_owned());
    }
    sleep_until(record, term_ms + GRACE_MS);
    if trouble {
        // The process has ended by now; where it has not, the platform kills it.
        leaving.signal("KILL");
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sends = system.sends.lock().unwrap();
    let runs = system.runs.lock().unwrap();
    let (mut lost, mut excused, mut taken) = (0, 0, 0);
    for (id, sent) in sends.iter().filter(|(_, sent)| sent.to == leaving.caller) {
        let after_term = sent.sent_ms.saturating_sub(term_ms);
        taken += u32::from(after_term > 0);
        let Some(run) = runs.values().find(|run| run.id == *id) else {
            continue;
        };
        let Some(Seen::Closed(why)) = &sent.seen else {
            continue;
        };
        // The endpoint ended the run when the channel closed under it.
        let was_at_work = run.ended.is_none_or(|(_, is_whole)| !is_whole);
        if !was_at_work {
            continue;
        }
        if after_term <= EXCUSED_MS && sent.ended_ms >= term_ms + GRACE_MS * 5 / 6 {
            excused += 1;
            continue;
        }
        record.say(&format!(
            "LOST: {id}, sent {after_term} ms after the SIGTERM and passed on to {}, which was at work on it; its channel was closed without an answer {} ms later ({why})",
            run.endpoint,
            sent.ended_ms - sent.sent_ms
        ));
        lost += 1;
    }
    record.say(&format!("{} requests sent, {taken} to the first instance after {term_ms} ms (its SIGTERM, where it gets one), {lost} lost, {excused} more that are excused", sends.len()));
    Ok(lost == 0)
}
