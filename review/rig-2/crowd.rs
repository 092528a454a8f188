//! Many bodies of legal size at once, on channels that their clients keep: does an instance stay within
//! the memory of its machine, and is what it has passed on answered?

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc, Barrier, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    Setup, Verdict,
    client::{Channel, Request},
    endpoint::{Arrival, Endpoint},
    entry::{Bounds, Entry},
    store::Store,
};

pub const REGIONS: [(&str, &str); 1] = [("ahd-sabarmati", "ahmedabad")];

/// A machine of the smaller kind.
pub const MEMORY_MB: u64 = 112;
pub const BOUNDS: Bounds = Bounds {
    apply: "4000ms",
    drain: "4000ms",
    revoke: "5000ms",
    retry_slack: 322,
    memory_mb: MEMORY_MB,
    descriptors: 2870,
};

const SERVERS: usize = 300;
pub const SLOTS: u32 = 3;
pub const WORK_MS: u64 = 1_900;
const BUDGET_MS: u64 = 12_000;

/// Clients, and the time between the openings of their channels.
const CLIENTS: usize = 850;
const BETWEEN_CHANNELS: Duration = Duration::from_millis(8);

/// Length of a body with and without the trouble.
pub const BODY_BYTES: usize = 64_000;
pub const SMALL_BODY_BYTES: usize = 500;

/// Requests that may be passed on from a kept channel that then ends without an answer.
pub const MAX_LOST: usize = 3;

pub fn plan() -> String {
    "{\"version\":\"00000007\",\"limits\":{\"headerBytes\":16384,\"bodyBytes\":67108864,\
     \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\"tenants\":[],\
     \"listeners\":[{\"host\":\"records.example\",\"rules\":[{\"name\":\"submit\",\"kind\":\"unsafe\",\
     \"targetLatency\":\"1500ms\",\"priority\":2,\"allowAnonymous\":true,\"sessionAffinity\":false,\
     \"match\":{\"pathPrefix\":\"/submit/\"},\"action\":{\"service\":\"club-records\",\
     \"timeout\":\"12000ms\",\"attempts\":2,\"homeRegions\":[]}}]}],\
     \"clusters\":[{\"name\":\"club-records\",\"healthCheckPath\":\"/health\",\
     \"connectionLimit\":2628,\"coldStart\":\"0ms\",\"coldPerS\":0}]}"
        .to_owned()
}

pub fn request(number: usize) -> Request {
    Request {
        id: format!("{number:08x}"),
        host: "records.example".to_owned(),
        path: format!("/submit/{number}"),
        key: None,
        budget_ms: BUDGET_MS,
    }
}

/// Starts `count` clients. Each sends a short request, and once all have their answers, one with a long
/// body on the same channel; the status of its answer is returned, or `None` in its place where the short
/// request was not served.
pub fn start_clients(
    setup: &Setup,
    caller: SocketAddr,
    count: usize,
    body_bytes: usize,
) -> Vec<JoinHandle<Option<Option<u16>>>> {
    let barrier = Arc::new(Barrier::new(count));
    let clients = (0..count).filter_map(|number| {
        let (record, barrier) = (setup.record.clone(), Arc::clone(&barrier));
        let client = thread::Builder::new().stack_size(128 << 10);
        let started = client.spawn(move || {
            let mut channel = Channel::open(caller);
            let first = channel.as_mut().and_then(|channel| {
                channel.post(&request(count + number), SMALL_BODY_BYTES, &record)
            });
            barrier.wait();
            let mut channel = channel.filter(|_| first == Some(200))?;
            Some(channel.post(&request(number), body_bytes, &record))
        });
        thread::sleep(BETWEEN_CHANNELS);
        started.ok()
    });
    clients.collect()
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(record);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    store.put("op/config", &plan());
    for number in 0..SERVERS {
        let id = format!("i-{number:04}");
        let place = (&*id, "club-records", "ahd-sabarmati");
        let endpoint = Endpoint::start(place, SLOTS, WORK_MS, &arrivals, record);
        store.put(&format!("servers/{id}"), &endpoint.entry());
    }
    let name = ("front-ahd-sabarmati-1", "ahd-sabarmati");
    let Some(mut entry) = Entry::start(setup, store.addr, name, &REGIONS, &BOUNDS) else {
        return Verdict::NotRun("the instance is not ready".to_owned());
    };
    thread::sleep(Duration::from_secs(2));
    let body_bytes = if setup.has_trouble { BODY_BYTES } else { SMALL_BODY_BYTES };
    let clients = start_clients(setup, entry.caller, CLIENTS, body_bytes);
    if clients.len() < CLIENTS {
        return Verdict::NotRun("not all clients could start".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let crowd = {
        let is_over = Arc::clone(&is_over);
        thread::spawn(move || {
            let answers = clients.into_iter().filter_map(|client| client.join().ok().flatten());
            let answers: Vec<Option<u16>> = answers.collect();
            is_over.store(true, Ordering::Relaxed);
            answers
        })
    };
    let mut most = 0;
    while !is_over.load(Ordering::Relaxed) {
        let memory = entry.memory().unwrap_or(0);
        if memory > most {
            most = memory;
            record.line(&format!("the instance has {:.1} MB", memory as f64 / 1_048_576.0));
            if memory > MEMORY_MB << 20 {
                record.line("the platform kills it: it exceeds the memory of its machine");
                entry.kill();
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let answers = crowd.join().unwrap_or_default();
    drop(entry);
    if answers.len() < CLIENTS {
        return Verdict::NotRun("not all clients were served before".to_owned());
    }
    let arrivals = arrivals.lock().unwrap();
    let passed_on = arrivals.iter().filter(|arrival| arrival.has_run);
    let passed_on: HashSet<&str> = passed_on.map(|arrival| arrival.request.as_str()).collect();
    let mut lost = 0;
    for (number, answer) in answers.iter().enumerate() {
        let id = request(number).id;
        if answer.is_none() && passed_on.contains(id.as_str()) {
            lost += 1;
            record.line(&format!("LOST: request {id} was passed on, and its channel ended unanswered"));
        }
    }
    let served = answers.iter().filter(|answer| **answer == Some(200)).count();
    record.line(&format!(
        "{CLIENTS} bodies of {body_bytes} bytes: {served} answered 200, {lost} passed on and lost; \
         most memory {:.1} MB of {MEMORY_MB} MB",
        most as f64 / 1_048_576.0
    ));
    match (lost > MAX_LOST, served) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::NotRun("no request was served".to_owned()),
        (false, _) => Verdict::Held,
    }
}
