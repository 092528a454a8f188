//! A request that is sent once more after its zone choice has become out of date.
//!
//! Two of fourteen servers leave a part of their requests unanswered while the operator empties the other
//! zone, several times.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Setup, Verdict,
    client::{self, Request},
    endpoint::{Arrival, Endpoint},
    entry::{Bounds, Entry},
    store::Store,
};

const REGIONS: [(&str, &str); 2] = [("ahd-sabarmati", "ahmedabad"), ("ahd-maninagar", "ahmedabad")];
const BOUNDS: Bounds = Bounds {
    apply: "4000ms",
    drain: "4000ms",
    revoke: "5000ms",
    retry_slack: 322,
    memory_mb: 512,
    descriptors: 8192,
};

/// Bound on an evacuation, in seconds, from its confirmation.
const EVACUATION_S: f64 = 5.0;

/// Time that a request takes, and the time budget of a client.
const WORK_MS: u64 = 2_800;
const BUDGET_MS: u64 = 12_000;

/// Servers in each zone, those of the first zone that are grey, and the part of their requests that
/// these leave unanswered: 2 of 5.
const SERVERS: usize = 7;
const GREY: usize = 2;
const MUTE: (u64, u64) = (2, 5);

const REQUESTS_PER_S: f64 = 11.0;
const WARM_UP_S: f64 = 14.0;
const EVACUATIONS: usize = 7;
const EVACUATED_FOR: Duration = Duration::from_millis(8_000);
const BETWEEN: Duration = Duration::from_millis(4_500);

fn plan() -> String {
    "{\"version\":\"00000007\",\"limits\":{\"headerBytes\":16384,\"bodyBytes\":1048576,\
     \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\"tenants\":[],\
     \"listeners\":[{\"host\":\"records.example\",\"rules\":[{\"name\":\"history\",\"kind\":\"safe\",\
     \"targetLatency\":\"1500ms\",\"priority\":2,\"allowAnonymous\":true,\"sessionAffinity\":false,\
     \"match\":{\"pathPrefix\":\"/history/\"},\"action\":{\"service\":\"club-records\",\
     \"timeout\":\"12000ms\",\"attempts\":2,\"homeRegions\":[]}}]}],\
     \"clusters\":[{\"name\":\"club-records\",\"healthCheckPath\":\"/health\",\"connectionLimit\":2628,\
     \"coldStart\":\"0ms\",\"coldPerS\":0}]}"
        .to_owned()
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(record);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    store.put("op/config", &plan());
    let mut endpoints = Vec::new();
    for zone in ["ahd-sabarmati", "ahd-maninagar"] {
        for number in 1..=SERVERS {
            let id = format!("i-{zone}-{number}");
            let endpoint = Endpoint::start((&id, "club-records", zone), 6, WORK_MS, &arrivals, record);
            store.put(&format!("servers/{id}"), &endpoint.entry());
            endpoints.push(endpoint);
        }
    }
    let started = Entry::start(setup, store.addr, ("front-ahd-sabarmati-1", "ahd-sabarmati"), &REGIONS, &BOUNDS);
    let Some(entry) = started else {
        return Verdict::NotRun("the instance is not ready".to_owned());
    };
    let caller = entry.caller;
    let clients = {
        let record = record.clone();
        let run_s = WARM_UP_S + EVACUATIONS as f64 * (EVACUATED_FOR + BETWEEN).as_secs_f64();
        thread::spawn(move || {
            let count = (run_s * REQUESTS_PER_S) as usize;
            let sent = (0..count).map(|number| {
                let request = Request {
                    id: format!("{number:08x}"),
                    host: "records.example".to_owned(),
                    path: format!("/history/{number}"),
                    key: None,
                    budget_ms: BUDGET_MS,
                };
                let sent = client::spawn(caller, request, &record);
                thread::sleep(Duration::from_secs_f64(1.0 / REQUESTS_PER_S));
                sent
            });
            let sent: Vec<_> = sent.collect();
            let answers = sent.into_iter().filter_map(|sent| sent.join().ok().flatten());
            answers.filter(|status| *status == 200).count()
        })
    };
    thread::sleep(Duration::from_secs_f64(WARM_UP_S));
    if setup.has_trouble {
        for endpoint in &endpoints[..GREY] {
            record.line(&format!("{} leaves 2 of 5 requests unanswered from now on", endpoint.id));
            endpoint.set_mute(MUTE);
        }
    }
    let mut evacuated = Vec::new();
    for _ in 0..EVACUATIONS {
        thread::sleep(BETWEEN);
        store.put("op/evacuate/ahd-maninagar", "{}");
        let confirmed_at = record.now();
        thread::sleep(EVACUATED_FOR);
        let taken_back_at = record.now();
        store.remove("op/evacuate/ahd-maninagar");
        evacuated.push((confirmed_at, taken_back_at));
    }
    let served = clients.join().unwrap_or(0);
    drop(entry);
    record.line(&format!("{served} requests were answered 200"));
    if served == 0 {
        return Verdict::NotRun("no request was served".to_owned());
    }
    let arrivals = arrivals.lock().unwrap();
    let late = arrivals.iter().filter_map(|arrival| {
        let mut evacuations = evacuated.iter();
        let found = evacuations.find(|(confirmed_at, taken_back_at)| {
            arrival.at > confirmed_at + EVACUATION_S && arrival.at < *taken_back_at
        });
        let (confirmed_at, _) = found.filter(|_| arrival.has_run && arrival.zone == "ahd-maninagar")?;
        Some((arrival, arrival.at - confirmed_at))
    });
    let late: Vec<_> = late.collect();
    for (arrival, after_s) in &late {
        record.line(&format!(
            "EVAC: request {} reached {} {after_s:.3} s after the evacuation of its zone was confirmed",
            arrival.request, arrival.endpoint
        ));
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
