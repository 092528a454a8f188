//! Stand-in for the platform's store: items with revisions, leases and watches.

use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Message, json::Json, record::Record};

#[derive(Clone)]
struct Item {
    /// Value in Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    is_down: bool,
}

/// Running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let state = State {
            revision: 1,
            next_lease: 1,
            ..State::default()
        };
        let store = Self {
            addr: listener.local_addr().unwrap(),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.end_leases();
            }
        });
        store
    }

    /// Writes a key, as an operator or a server does. Returns once the write is confirmed.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.put(key, encode(value.as_bytes()), 0);
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        self.record.line(&format!("the store confirms {key} at revision {revision}"));
    }

    pub fn remove(&self, key: &str) {
        self.shared.0.lock().unwrap().remove(key);
        self.shared.1.notify_all();
        self.record.line(&format!("the store confirms the removal of {key}"));
    }

    /// Lets the store fall silent, or answer again. Leases pause meanwhile.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.shared.0.lock().unwrap();
        state.is_down = is_down;
        let now = Instant::now();
        state.leases.values_mut().for_each(|(_, renewed)| *renewed = now);
        drop(state);
        self.shared.1.notify_all();
        let text = if is_down { "is down" } else { "is back" };
        self.record.line(&format!("the store {text}"));
    }

    fn end_leases(&self) {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_down {
            return;
        }
        let ended = state.leases.iter().filter(|(_, (ttl, at))| at.elapsed() > *ttl);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            // A channel on which an answer is lost returns nothing further.
            let Some(response) = self.answer(&request) else {
                self.wait_until_up();
                return;
            };
            if response.write(&stream).is_err() {
                return;
            }
        }
    }

    fn wait_until_up(&self) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        while state.is_down {
            state = changed.wait(state).unwrap();
        }
    }

    fn answer(&self, request: &Message) -> Option<Message> {
        let (method, path, query) = request.target();
        let parameter = |name: &str| {
            let found = query.iter().find(|(other, _)| other == name);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        let path = path.strip_prefix("/apricotlug/").unwrap_or_default().to_owned();
        if path == "kv-watch" {
            let after = parameter("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(parameter("waitMs").parse().unwrap_or(0));
            return self.watch(&parameter("pathPrefix"), after, wait);
        }
        let mut state = self.shared.0.lock().unwrap();
        if state.is_down {
            return None;
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let (status, text) = match (method.as_str(), path.split_once('/')) {
            ("GET", None) if path == "kv-range" => {
                state.range(&parameter("pathPrefix"), &parameter("after"))
            }
            ("POST", None) if path == "kv-txn" => state.transact(&body?),
            ("POST", None) if path == "kv-lease" => state.grant(&body?.text("ttl")),
            ("POST", Some(("kv-keep", id))) => state.renew(id.parse().unwrap_or(0)),
            ("DELETE", Some(("kv-lease-end", id))) => match state.end_lease(id.parse().unwrap_or(0)) {
                true => (200, "{}".to_owned()),
                false => (404, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.shared.1.notify_all();
        Some(json_response(status, text))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<Message> {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            if state.is_down {
                return None;
            }
            let events = state.events.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = events.map(|(at, key, item)| event(*at, key, item)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                let text = format!("{{\"events\":[{events}],\"atRevision\":{at}}}");
                return Some(json_response(200, text));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let is_known = self.leases.remove(&id).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == id && id > 0);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.remove(key));
        is_known
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let found = self.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> = found.map(|(key, item)| row(key, item)).collect();
        let (has_more, page) = (found.len() > 500, &found[..found.len().min(500)]);
        let (items, at) = (page.join(","), self.revision);
        let text = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"atRevision\":{at}}}");
        (200, text)
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let expected = body.list("expectedRevision");
        let holds = expected.iter().all(|row| {
            let held = self.items.get(&row.text("key"));
            held.map_or(0, |item| item.revision) == row.number("revision")
        });
        if !holds {
            let items = expected.iter().filter_map(|expected| {
                let key = expected.text("key");
                self.items.get(&key).map(|item| row(&key, item))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.list("putItems");
        let has_lease = |put: &Json| {
            let lease = put.number("lease");
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        for put in puts {
            self.put(&put.text("key"), put.text("value"), put.number("lease"));
        }
        for key in body.list("deleteKeys") {
            if let Json::Text(key) = key {
                self.remove(key);
            }
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn grant(&mut self, ttl: &str) -> (u16, String) {
        let ms = ttl.strip_suffix("ms").and_then(|ms| ms.parse().ok()).unwrap_or(4_000);
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, (Duration::from_millis(ms), Instant::now()));
        (200, format!("{{\"lease\":{id},\"ttl\":\"{ms}ms\"}}"))
    }

    fn renew(&mut self, id: u64) -> (u16, String) {
        match self.leases.get_mut(&id) {
            Some((_, renewed)) => {
                *renewed = Instant::now();
                (200, "{}".to_owned())
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRevision\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn event(at: u64, key: &str, item: &Option<Item>) -> String {
    match item {
        Some(item) => row(key, item),
        None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
    }
}

fn json_response(status: u16, text: String) -> Message {
    Message::new(format!("HTTP/1.1 {status} -"))
        .with("Content-Type", "application/json")
        .with_body(text)
}

/// Encodes bytes in standard Base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            let is_padding = index > group.len();
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}
