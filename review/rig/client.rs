//! Clients, and what all cases share: the desired state and the start of a small system.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    endpoint::{Endpoint, Runs, Treat},
    http::{Channel, Seen, read_answer},
    record::{Record, digest},
    store::Store,
    system::{Bounds, Instance, Zones},
};

pub const HOST: &str = "jepu9.example";
pub const KEY: &str = "tnfzs989anu6wsjnbanf";
pub const TENANT: &str = "yefi830";

/// What a client sent and saw.
#[derive(Clone, Debug)]
pub struct Sent {
    pub method: String,
    pub path: String,
    pub body_digest: u64,
    pub to: SocketAddr,
    /// Whether it was sent on a channel that had carried requests before.
    pub on_kept: bool,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub seen: Option<Seen>,
}

pub type Sends = Arc<Mutex<BTreeMap<String, Sent>>>;

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

pub fn next_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
    )
}

/// A client with one kept channel.
pub struct Client {
    pub record: Record,
    pub sends: Sends,
    pub budget_ms: u64,
    /// Bytes that a body may send in a second; 0 for no limit.
    pub bytes_per_s: u64,
    channel: Option<(SocketAddr, Channel, u32)>,
}

impl Client {
    pub fn new(record: &Record, sends: &Sends, budget_ms: u64) -> Self {
        Self {
            record: record.clone(),
            sends: Arc::clone(sends),
            budget_ms,
            bytes_per_s: 0,
            channel: None,
        }
    }

    pub fn leave(&mut self) {
        self.channel = None;
    }

    pub fn connected_to(&self) -> Option<SocketAddr> {
        self.channel.as_ref().map(|(addr, ..)| *addr)
    }

    /// Sends a request and waits for its answer, for as long as its time budget lasts.
    pub fn send(&mut self, to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Seen {
        let id = next_id();
        let kept = self
            .channel
            .take()
            .filter(|(addr, channel, _)| *addr == to && !channel.is_closed());
        let (mut channel, uses) = match kept {
            Some((_, channel, uses)) => (channel, uses),
            None => match Channel::connect(to, Duration::from_secs(1)) {
                Ok(channel) => (channel, 0),
                Err(e) => {
                    self.record
                        .line(&format!("client cannot connect to {to}: {e}"));
                    return Seen::Closed(format!("no channel: {e}"));
                }
            },
        };
        let length = if method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Identifier: {id}\r\nDeadline-Milliseconds: {}\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n",
            self.budget_ms
        );
        let sent = Sent {
            method: method.to_owned(),
            path: path.to_owned(),
            body_digest: digest(body),
            to,
            on_kept: uses > 0,
            sent_ms: self.record.ms(),
            ended_ms: 0,
            seen: None,
        };
        self.record.line(&format!(
            "client sends {id} to {to}: {method} {path} with {} bytes, digest {:016x}, use {} of its channel",
            body.len(),
            sent.body_digest,
            uses + 1
        ));
        self.sends.lock().unwrap().insert(id.clone(), sent);
        let deadline = Instant::now() + Duration::from_millis(self.budget_ms);
        let written = channel
            .write(head.as_bytes())
            .and_then(|()| self.write_body(&mut channel, body));
        let seen = match written {
            Ok(()) => read_answer(&mut channel, deadline),
            Err(e) => {
                match read_answer(&mut channel, Instant::now() + Duration::from_millis(200)) {
                    Seen::Answer { head, body } => Seen::Answer { head, body },
                    _ => Seen::Closed(format!("while sending: {e}")),
                }
            }
        };
        self.record
            .line(&format!("client sees of {id}: {}", seen.word()));
        if let Seen::Answer { head, .. } = &seen
            && !head.closes()
        {
            self.channel = Some((to, channel, uses + 1));
        }
        let ended_ms = self.record.ms();
        if let Some(sent) = self.sends.lock().unwrap().get_mut(&id) {
            sent.ended_ms = ended_ms;
            sent.seen = Some(seen.clone());
        }
        seen
    }

    fn write_body(&self, channel: &mut Channel, body: &[u8]) -> std::io::Result<()> {
        if self.bytes_per_s == 0 {
            return channel.write(body);
        }
        let start = Instant::now();
        let mut written = 0;
        for piece in body.chunks(256 * 1024) {
            channel.write(piece)?;
            written += piece.len() as u64;
            let due = Duration::from_millis(written * 1_000 / self.bytes_per_s);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
        Ok(())
    }
}

/// A route of the desired state.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub target_ms: u32,
    pub timeout_ms: u32,
}

/// The desired state: fields and limits as in the messages that the pages show.
pub fn desired_state(version: u32, routes: &[Route], more_routes: u32) -> String {
    let mut rules: Vec<_> = routes
        .iter()
        .map(|route| {
            format!(
                r#"{{"name":"{}","kind":"{}","targetLatency":"{}ms","priority":1,"allowAnonymous":false,"sessionAffinity":false,"match":{{"pathPrefix":"{}"}},"action":{{"service":"{}","timeout":"{}ms","attempts":2,"homeRegions":[]}}}}"#,
                route.name, route.kind, route.target_ms, route.prefix, route.service, route.timeout_ms
            )
        })
        .collect();
    for i in 0..more_routes {
        let (name, prefix) = (format!("r-{i:07x}"), format!("/lepu{i}/ny{version}/"));
        rules.push(format!(
            r#"{{"name":"{name}","kind":"unsafe","targetLatency":"800ms","priority":1,"allowAnonymous":false,"sessionAffinity":true,"match":{{"pathPrefix":"{prefix}"}},"action":{{"service":"{}","timeout":"1200ms","attempts":2,"homeRegions":[]}}}}"#,
            routes[0].service
        ));
    }
    let clusters: Vec<_> = routes
        .iter()
        .map(|route| {
            format!(
                r#"{{"name":"{}","healthCheckPath":"/health","connectionLimit":330,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":13.0}}"#,
                route.service
            )
        })
        .collect();
    format!(
        r#"{{"version":"{version:08x}","limits":{{"headerBytes":16384,"bodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"tenants":[{{"name":"{TENANT}","apiKeys":["{KEY}"],"priority":0,"requestsPerS":0,"burst":0,"homeRegions":[]}}],"listeners":[{{"host":"{HOST}","rules":[{}]}}],"clusters":[{}]}}"#,
        rules.join(","),
        clusters.join(",")
    )
}

/// A small system that is ready.
pub struct System {
    pub store: Store,
    pub instances: Vec<Instance>,
    pub endpoints: Vec<Endpoint>,
    pub runs: Runs,
    pub sends: Sends,
}

/// What a small system consists of.
pub struct Plan<'a> {
    pub zones: Zones<'a>,
    /// Zones of the instances.
    pub instances: &'a [&'a str],
    pub routes: &'a [Route],
    /// Endpoints of each service, and the slots of each.
    pub endpoints: usize,
    pub slots: u32,
    pub bounds: Bounds,
}

/// Starts a store, endpoints and instances, and waits until every instance is ready and has served
/// a request of every route. `treat` returns how the endpoint of an index treats its requests.
pub fn start(
    record: &Record,
    plan: &Plan<'_>,
    treat: impl Fn(usize) -> Treat,
) -> Result<System, String> {
    let error = |e: std::io::Error| e.to_string();
    let store = Store::start().map_err(error)?;
    let runs = Runs::default();
    let mut endpoints = Vec::new();
    for route in plan.routes {
        for i in 0..plan.endpoints {
            let zone = plan.zones[i % plan.zones.len()].0;
            let id = format!("i-{}-{i}", route.service);
            let of = (id.as_str(), route.service, zone);
            let endpoint =
                Endpoint::start(of, plan.slots, &runs, record, treat(i)).map_err(error)?;
            store.put(&format!("servers/{id}"), &endpoint.entry());
            endpoints.push(endpoint);
        }
    }
    store.put("op/config", &desired_state(7, plan.routes, 0));
    let mut instances = Vec::new();
    for (i, zone) in plan.instances.iter().enumerate() {
        let name = format!("front-{zone}-{}", i + 1);
        let started = Instance::start((&name, zone), plan.zones, store.addr, plan.bounds, record);
        instances.push(started.map_err(error)?);
    }
    if let Some(late) = instances.iter().find(|instance| !instance.wait_ready()) {
        return Err(format!("{} is not ready", late.name));
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while store.keys("members/").len() < instances.len() {
        if Instant::now() > deadline {
            return Err("not all instances have registered".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    let sends = Sends::default();
    for instance in &instances {
        for route in plan.routes {
            let mut client = Client::new(record, &sends, 12_000);
            let method = if route.kind == "unsafe" {
                "POST"
            } else {
                "GET"
            };
            let path = format!("{}first", route.prefix);
            let seen = client.send(instance.caller, method, &path, b"");
            if seen.status() != 200 {
                return Err(format!(
                    "{} does not serve {}: {}",
                    instance.name,
                    route.name,
                    seen.word()
                ));
            }
        }
    }
    record.line("all instances are ready");
    Ok(System {
        store,
        instances,
        endpoints,
        runs,
        sends,
    })
}

/// Sleeps until a point of the run, in milliseconds from its start.
pub fn sleep_until(record: &Record, ms: u64) {
    thread::sleep(Duration::from_millis(ms.saturating_sub(record.ms())));
}
