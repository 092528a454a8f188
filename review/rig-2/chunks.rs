//! Chunked bodies in very small chunks: are ordinary requests still answered?

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, Verdict,
    client::{self, Request},
    endpoint::{Arrival, Endpoint},
    entry::{Bounds, Entry},
    record::Record,
    store::Store,
};

const REGIONS: [(&str, &str); 1] = [("brno-a", "morava")];
const BOUNDS: Bounds = Bounds {
    apply: "2500ms",
    drain: "2500ms",
    revoke: "5000ms",
    retry_slack: 56,
    memory_mb: 260,
    descriptors: 4100,
};

/// Time limit of the route, and time after it by which a request must have its answer.
const TIMEOUT: Duration = Duration::from_millis(2_000);
const SLACK: Duration = Duration::from_millis(500);

/// Fewest late answers that break the rule.
const MIN_LATE: usize = 8;

/// Clients that send chunked bodies, and for how long they go on.
const UPLOADS: usize = 6;
const UPLOADS_FOR: Duration = Duration::from_secs(25);

/// Chunk of one byte, and how many make a body: 8 MiB of the 64 MiB that are allowed.
const CHUNK: &[u8] = b"1\r\nx\r\n";
const CHUNKS: usize = 8 << 20;

/// Size of a chunk without the trouble.
const LARGE_CHUNK_BYTES: usize = 64 << 10;

const WARM_UP: Duration = Duration::from_secs(5);
const REQUESTS_PER_S: u32 = 5;
/// Time budget of an ordinary client.
const BUDGET_MS: u64 = 4_000;

fn plan() -> String {
    "{\"version\":\"00000007\",\"limits\":{\"headerBytes\":16384,\"bodyBytes\":67108864,\
     \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},\"tenants\":[],\
     \"listeners\":[{\"host\":\"obaly.example\",\"rules\":[{\"name\":\"catalogue\",\"kind\":\"safe\",\
     \"targetLatency\":\"600ms\",\"priority\":2,\"allowAnonymous\":true,\"sessionAffinity\":false,\
     \"match\":{\"pathPrefix\":\"/katalog/\"},\"action\":{\"service\":\"katalog\",\
     \"timeout\":\"2000ms\",\"attempts\":2,\"homeRegions\":[]}}]}],\
     \"clusters\":[{\"name\":\"katalog\",\"healthCheckPath\":\"/health\",\"connectionLimit\":330,\
     \"coldStart\":\"0ms\",\"coldPerS\":0}]}"
        .to_owned()
}

/// Sends chunked bodies one after the other until the time is over.
fn upload(to: SocketAddr, name: &str, chunks: &[u8], until: Instant, record: &Record) {
    let mut number = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            record.line(&format!("upload {name}: no channel"));
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        // A write that takes longer ends the upload.
        let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
        let head = format!(
            "POST /katalog/{name}-{number} HTTP/1.1\r\nHost: obaly.example\r\n\
             Request-Identifier: {name}{number:08x}\r\nDeadline-Milliseconds: {BUDGET_MS}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        number += 1;
        record.line(&format!("upload {name} {number} begins"));
        let started = Instant::now();
        let mut sent = 0;
        let mut result = stream.write_all(head.as_bytes());
        // The client leaves at the end of its time budget.
        while result.is_ok()
            && sent < CHUNKS * CHUNK.len()
            && started.elapsed() < Duration::from_millis(BUDGET_MS)
        {
            result = stream.write_all(chunks);
            sent += chunks.len();
        }
        record.line(&format!("upload {name} {number} ends after {sent} bytes on the channel"));
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(record);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    store.put("op/config", &plan());
    for number in 1..=4 {
        let id = format!("i-brno-a-{number}");
        let endpoint = Endpoint::start((&id, "katalog", "brno-a"), 6, 100, &arrivals, record);
        store.put(&format!("servers/{id}"), &endpoint.entry());
    }
    let name = ("front-brno-a-1", "brno-a");
    let Some(entry) = Entry::start(setup, store.addr, name, &REGIONS, &BOUNDS) else {
        return Verdict::NotRun("the instance is not ready".to_owned());
    };
    let caller = entry.caller;
    thread::sleep(Duration::from_secs(1));
    let chunks = if setup.has_trouble {
        CHUNK.repeat(10_000)
    } else {
        let mut chunk = format!("{LARGE_CHUNK_BYTES:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + LARGE_CHUNK_BYTES, b'x');
        chunk.extend_from_slice(b"\r\n");
        chunk
    };
    let chunks = Arc::new(chunks);
    let uploads_from = Instant::now() + WARM_UP;
    let uploads = (0..UPLOADS).map(|number| {
        let (record, chunks) = (record.clone(), Arc::clone(&chunks));
        thread::spawn(move || {
            thread::sleep(uploads_from.saturating_duration_since(Instant::now()));
            let name = format!("u{number}");
            upload(caller, &name, &chunks, uploads_from + UPLOADS_FOR, &record);
        })
    });
    let uploads: Vec<_> = uploads.collect();
    let mut clients = Vec::new();
    let until = uploads_from + UPLOADS_FOR;
    let mut number = 0;
    while Instant::now() < until {
        let request = Request {
            id: format!("{number:08x}"),
            host: "obaly.example".to_owned(),
            path: format!("/katalog/{number}"),
            key: None,
            budget_ms: BUDGET_MS,
        };
        number += 1;
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let sent = Instant::now();
            let status = client::send(caller, &request, &record);
            let after = status.map_or(Duration::MAX, |_| sent.elapsed());
            if after > TIMEOUT + SLACK {
                record.line(&format!(
                    "CONFIG: request {} had no answer {:.3} s after it was sent",
                    request.id,
                    (TIMEOUT + SLACK).as_secs_f64()
                ));
            }
            after
        }));
        thread::sleep(Duration::from_secs(1) / REQUESTS_PER_S);
    }
    let answered = clients.into_iter().map(|client| client.join().unwrap_or(Duration::MAX));
    let answered: Vec<Duration> = answered.collect();
    for upload in uploads {
        let _ = upload.join();
    }
    let afterwards = Request {
        id: "afterwards".to_owned(),
        host: "obaly.example".to_owned(),
        path: "/katalog/afterwards".to_owned(),
        key: None,
        budget_ms: BUDGET_MS,
    };
    client::send(caller, &afterwards, record);
    drop(entry);
    let unanswered = answered.iter().filter(|after| **after > TIMEOUT).count();
    let late = answered.iter().filter(|after| **after > TIMEOUT + SLACK).count();
    record.line(&format!(
        "{} ordinary requests: {unanswered} without an answer at the timeout, {late} of them without one \
         half a second later",
        answered.len()
    ));
    if late >= MIN_LATE && late * 2 > unanswered {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
