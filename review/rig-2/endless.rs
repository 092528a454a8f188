//! A server in trouble whose answers do not end: are the other requests still answered?

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, Verdict,
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

/// Servers, of which the first is in trouble, and the part of its answers that do not end.
const SERVERS: usize = 8;
const ENDLESS: (u64, u64) = (2, 5);

const WARM_UP: Duration = Duration::from_secs(5);
const TROUBLE_FOR: Duration = Duration::from_millis(6_500);
const AFTERWARDS: Duration = Duration::from_secs(3);
const REQUESTS_PER_S: u32 = 30;
/// Time budget of a client.
const BUDGET: Duration = Duration::from_millis(4_000);

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

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq)]
enum End {
    /// The answer was complete after this time.
    Answered(Duration),
    /// An answer without end had begun when the client left.
    Endless,
    /// Nothing had come when the client left, or the channel ended.
    Unanswered,
}

fn send(to: SocketAddr, number: usize, record: &Record) -> End {
    let id = format!("{number:08x}");
    record.line(&format!("request {id} is sent"));
    let end = exchange(to, &id, number).unwrap_or(End::Unanswered);
    let text = match end {
        End::Answered(after) => format!("is answered after {:.3} s", after.as_secs_f64()),
        End::Endless => "gets an answer without end".to_owned(),
        End::Unanswered => "gets no answer".to_owned(),
    };
    record.line(&format!("request {id} {text}"));
    end
}

fn exchange(to: SocketAddr, id: &str, number: usize) -> Option<End> {
    let sent = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let budget_ms = BUDGET.as_millis();
    let head = format!(
        "GET /katalog/{number} HTTP/1.1\r\nHost: obaly.example\r\nRequest-Identifier: {id}\r\n\
         Deadline-Milliseconds: {budget_ms}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut piece = vec![0; 64 << 10];
    let mut is_endless = false;
    loop {
        let left = BUDGET.saturating_sub(sent.elapsed());
        if left.is_zero() {
            return Some(if is_endless { End::Endless } else { End::Unanswered });
        }
        stream.set_read_timeout(Some(left)).ok()?;
        let read = match stream.read(&mut piece) {
            Ok(read) => read,
            Err(_) => continue,
        };
        if is_endless && read > 0 {
            continue;
        }
        if read == 0 {
            return Some(if is_endless { End::Endless } else { End::Unanswered });
        }
        answer.extend_from_slice(&piece[..read]);
        let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        is_endless = head.contains("transfer-encoding: chunked");
        let len = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
        let len: Option<usize> = len.and_then(|len| len.trim().parse().ok());
        if len.is_some_and(|len| body.len() >= len) {
            return Some(End::Answered(sent.elapsed()));
        }
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let store = Store::start(record);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    store.put("op/config", &plan());
    let servers = (1..=SERVERS).map(|number| {
        let id = format!("i-brno-a-{number}");
        let endpoint = Endpoint::start((&id, "katalog", "brno-a"), 6, 300, &arrivals, record);
        store.put(&format!("servers/{id}"), &endpoint.entry());
        endpoint
    });
    let servers: Vec<Endpoint> = servers.collect();
    let name = ("front-brno-a-1", "brno-a");
    let Some(entry) = Entry::start(setup, store.addr, name, &REGIONS, &BOUNDS) else {
        return Verdict::NotRun("the instance is not ready".to_owned());
    };
    let caller = entry.caller;
    thread::sleep(Duration::from_secs(1));
    let trouble_from = Instant::now() + WARM_UP;
    let trouble_until = trouble_from + TROUBLE_FOR;
    let until = trouble_until + AFTERWARDS;
    let mut clients = Vec::new();
    let (mut has_begun, mut has_ended) = (!setup.has_trouble, !setup.has_trouble);
    while Instant::now() < until {
        if !has_begun && Instant::now() > trouble_from {
            has_begun = true;
            record.line("i-brno-a-1 answers 2 of 5 requests without end from now on");
            servers[0].set_endless(ENDLESS);
        }
        if !has_ended && Instant::now() > trouble_until {
            has_ended = true;
            record.line("i-brno-a-1 answers as it should again");
            servers[0].set_endless((0, 1));
        }
        let (record, number) = (record.clone(), clients.len());
        clients.push(thread::spawn(move || send(caller, number, &record)));
        thread::sleep(Duration::from_secs(1) / REQUESTS_PER_S);
    }
    let ends = clients.into_iter().map(|client| client.join().unwrap_or(End::Unanswered));
    let ends: Vec<End> = ends.collect();
    drop(entry);
    let is_after = |end: &&End, limit: Duration| match end {
        End::Answered(after) => *after > limit,
        End::Unanswered => true,
        End::Endless => false,
    };
    let endless = ends.iter().filter(|end| **end == End::Endless).count();
    let unanswered = ends.iter().filter(|end| is_after(end, TIMEOUT)).count();
    let late = ends.iter().filter(|end| is_after(end, TIMEOUT + SLACK)).count();
    record.line(&format!(
        "{} requests, {endless} with an answer without end; of the others {unanswered} without an \
         answer at the timeout, {late} of them without one half a second later",
        ends.len()
    ));
    if late >= MIN_LATE && late * 2 > unanswered {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
