//! One long body after a crowd of short ones: does the instance have the memory that it counts on?

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Setup, Verdict,
    client::Channel,
    crowd::{
        BODY_BYTES, BOUNDS, MAX_LOST, MEMORY_MB, REGIONS, SLOTS, SMALL_BODY_BYTES, WORK_MS, plan,
        request, start_clients,
    },
    endpoint::{Arrival, Endpoint},
    entry::Entry,
    store::Store,
};

const SERVERS: usize = 200;

/// Clients of the crowd, whose bodies fit into the memory.
const CLIENTS: usize = 520;

/// Calm after the crowd.
const CALM: Duration = Duration::from_secs(1);

/// Ordinary clients, each with one order after the other, and the most orders of each.
const ORDINARY: usize = 20;
const MAX_ORDERS: usize = 100;
const FIRST_ORDINARY_ID: usize = 1_000_000;

/// Length of the one long body; 67108864 are allowed.
const LONG_BODY_BYTES: usize = 60_000_000;
const LONG_BODY_ID: usize = 9_000_000;

const MB: f64 = 1_048_576.0;

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
    let Some(entry) = Entry::start(setup, store.addr, name, &REGIONS, &BOUNDS) else {
        return Verdict::NotRun("the instance is not ready".to_owned());
    };
    let caller = entry.caller;
    let entry = Arc::new(Mutex::new(entry));
    let is_over = Arc::new(AtomicBool::new(false));
    let watcher = {
        let (entry, is_over) = (Arc::clone(&entry), Arc::clone(&is_over));
        let record = record.clone();
        thread::spawn(move || watch_memory(&entry, &is_over, &record))
    };
    thread::sleep(Duration::from_secs(2));
    let has_ended = Arc::new(AtomicBool::new(false));
    let ordinary = (0..ORDINARY).map(|client| {
        let (record, has_ended) = (record.clone(), Arc::clone(&has_ended));
        thread::spawn(move || {
            let mut answers = Vec::new();
            let mut channel = Channel::open(caller);
            for order in 0..MAX_ORDERS {
                if has_ended.load(Ordering::Relaxed) {
                    break;
                }
                let request = request(FIRST_ORDINARY_ID + client * MAX_ORDERS + order);
                let answer = channel
                    .as_mut()
                    .and_then(|channel| channel.post(&request, SMALL_BODY_BYTES, &record));
                answers.push((request.id, answer));
                if answer.is_none() {
                    break;
                }
            }
            answers
        })
    });
    let ordinary: Vec<_> = ordinary.collect();
    let body_bytes = if setup.has_trouble { BODY_BYTES } else { SMALL_BODY_BYTES };
    let crowd = start_clients(setup, caller, CLIENTS, body_bytes);
    let answers = crowd.into_iter().filter_map(|client| client.join().ok().flatten().flatten());
    let served = answers.filter(|status| *status == 200).count();
    record.line(&format!("{served} of {CLIENTS} bodies of {body_bytes} bytes were answered 200"));
    if served < CLIENTS {
        is_over.store(true, Ordering::Relaxed);
        has_ended.store(true, Ordering::Relaxed);
        let _ = watcher.join();
        return Verdict::NotRun("not all bodies of the crowd were answered".to_owned());
    }
    thread::sleep(CALM);
    let memory = entry.lock().unwrap().memory().unwrap_or(0);
    record.line(&format!("the instance has {:.1} MB after the calm", memory as f64 / MB));
    let long = Channel::open(caller)
        .and_then(|mut channel| channel.post(&request(LONG_BODY_ID), LONG_BODY_BYTES, record));
    record.line(&format!("the body of {LONG_BODY_BYTES} bytes: {long:?}"));
    has_ended.store(true, Ordering::Relaxed);
    let answers = ordinary.into_iter().filter_map(|client| client.join().ok()).flatten();
    let answers: Vec<(String, Option<u16>)> = answers.collect();
    is_over.store(true, Ordering::Relaxed);
    let most = watcher.join().unwrap_or(0);
    let arrivals = arrivals.lock().unwrap();
    let passed_on = arrivals.iter().filter(|arrival| arrival.has_run);
    let passed_on: HashSet<&str> = passed_on.map(|arrival| arrival.request.as_str()).collect();
    let mut lost = 0;
    for (id, answer) in &answers {
        if answer.is_none() && passed_on.contains(id.as_str()) {
            lost += 1;
            record.line(&format!("LOST: request {id} was passed on, and its channel ended unanswered"));
        }
    }
    let orders = answers.iter().filter(|(_, answer)| *answer == Some(200)).count();
    record.line(&format!(
        "{orders} ordinary orders answered 200, {lost} passed on and lost; most memory {:.1} MB of \
         {MEMORY_MB} MB",
        most as f64 / MB
    ));
    match (lost > MAX_LOST, orders) {
        (true, _) => Verdict::Broken,
        (false, 0) => Verdict::NotRun("no ordinary order was served".to_owned()),
        (false, _) => Verdict::Held,
    }
}

/// Kills the instance when it exceeds the memory of its machine, as the platform does. Returns the most
/// that it had.
fn watch_memory(entry: &Mutex<Entry>, is_over: &AtomicBool, record: &crate::record::Record) -> u64 {
    let mut most = 0;
    while !is_over.load(Ordering::Relaxed) {
        let mut entry = entry.lock().unwrap();
        let memory = entry.memory().unwrap_or(0);
        if memory > most {
            most = memory;
            record.line(&format!("the instance has {:.1} MB", memory as f64 / MB));
            if memory > MEMORY_MB << 20 {
                record.line("the platform kills it: it exceeds the memory of its machine");
                entry.kill();
            }
        }
        drop(entry);
        thread::sleep(Duration::from_millis(3));
    }
    most
}
