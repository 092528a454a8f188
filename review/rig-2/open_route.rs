//! Requests with a key on a route that also takes callers without one, while the store is down.

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

const REGIONS: [(&str, &str); 2] = [("brest-a", "finistere"), ("rennes-a", "ille-vilaine")];
const BOUNDS: Bounds = Bounds {
    apply: "2500ms",
    drain: "2500ms",
    revoke: "5000ms",
    retry_slack: 58,
    memory_mb: 260,
    descriptors: 4100,
};

const REQUESTS_PER_S: f64 = 40.0;
const WARM_UP: Duration = Duration::from_secs(8);
const DOWN_FOR: Duration = Duration::from_millis(4_500);
const AFTERWARDS: Duration = Duration::from_secs(5);

fn plan() -> String {
    "{\"version\":\"00000007\",\"limits\":{\"headerBytes\":16384,\"bodyBytes\":1048576,\
     \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\
     \"tenants\":[{\"name\":\"hirer-1\",\"apiKeys\":[\"key-of-hirer-1-0001\"],\"priority\":0,\
     \"requestsPerS\":0,\"burst\":0,\"homeRegions\":[\"finistere\"]}],\
     \"listeners\":[{\"host\":\"crates.example\",\"rules\":[{\"name\":\"stock\",\"kind\":\"safe\",\
     \"targetLatency\":\"400ms\",\"priority\":2,\"allowAnonymous\":true,\"sessionAffinity\":false,\
     \"match\":{\"pathPrefix\":\"/stock/\"},\"action\":{\"service\":\"stockdesk\",\
     \"timeout\":\"2000ms\",\"attempts\":2,\"homeRegions\":[]}}]}],\
     \"clusters\":[{\"name\":\"stockdesk\",\"healthCheckPath\":\"/health\",\"connectionLimit\":330,\
     \"coldStart\":\"0ms\",\"coldPerS\":0}]}"
        .to_owned()
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(record);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    store.put("op/config", &plan());
    let places = [("brest-a", 3), ("rennes-a", 4)];
    for (zone, count) in places {
        for number in 1..=count {
            let id = format!("i-{zone}-{number}");
            let endpoint = Endpoint::start((&id, "stockdesk", zone), 6, 360, &arrivals, record);
            store.put(&format!("servers/{id}"), &endpoint.entry());
        }
    }
    let started = Entry::start(setup, store.addr, ("front-brest-a-1", "brest-a"), &REGIONS, &BOUNDS);
    let Some(entry) = started else {
        return Verdict::NotRun("the instance is not ready".to_owned());
    };
    let caller = entry.caller;
    let run_s = (WARM_UP + DOWN_FOR + AFTERWARDS).as_secs_f64();
    let clients = {
        let record = record.clone();
        thread::spawn(move || {
            let sent = (0..(run_s * REQUESTS_PER_S) as usize).map(|number| {
                let request = Request {
                    id: format!("{number:08x}"),
                    host: "crates.example".to_owned(),
                    path: format!("/stock/{number}"),
                    key: Some("key-of-hirer-1-0001".to_owned()),
                    budget_ms: 2_000,
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
    thread::sleep(WARM_UP);
    if setup.has_trouble {
        store.set_down(true);
    }
    thread::sleep(DOWN_FOR);
    if setup.has_trouble {
        store.set_down(false);
    }
    let served = clients.join().unwrap_or(0);
    drop(entry);
    record.line(&format!("{served} requests were answered 200"));
    if served == 0 {
        return Verdict::NotRun("no request was served".to_owned());
    }
    let arrivals = arrivals.lock().unwrap();
    let run = arrivals.iter().filter(|arrival| arrival.has_run);
    let (mut foreign, mut unnamed) = (0, 0);
    for arrival in run {
        let (request, endpoint) = (&arrival.request, &arrival.endpoint);
        if arrival.tenant.as_deref() != Some("hirer-1") {
            unnamed += 1;
            record.line(&format!("UNASKED: request {request} ran at {endpoint} without its Tenant"));
        }
        if arrival.zone != "brest-a" {
            foreign += 1;
            record.line(&format!("HOME: request {request} of hirer-1 ran at {endpoint}"));
        }
    }
    record.line(&format!("{unnamed} ran without their Tenant, {foreign} outside its home"));
    if foreign == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
