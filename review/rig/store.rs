//! Stand-in for the platform's store, without faults.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Channel,
    json::{Json, base64, unbase64},
};

/// In place of a status: the channel is closed without an answer.
const CUT: u16 = 0;

/// Items in one page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
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
        let attached = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<_> = attached.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&id).is_some()
    }

    fn expire(&mut self) {
        let ended = self
            .leases
            .iter()
            .filter(|(_, (ttl, at))| at.elapsed() > *ttl);
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    /// Milliseconds after which a watch that waits is cut; 0 for never.
    pub cuts_after_ms: Arc<AtomicU64>,
    /// Watches that were cut.
    pub cuts: Arc<AtomicU64>,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"createdRevision":{},"lease":{}}}"#,
        base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let state = State {
            revision: 1,
            ..State::default()
        };
        let store = Self {
            addr: listener.local_addr()?,
            cuts_after_ms: Arc::default(),
            cuts: Arc::default(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.change(State::expire);
            }
        });
        Ok(store)
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.0.lock().unwrap();
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            self.state.1.notify_all();
        }
        result
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, value.as_bytes().to_vec(), 0));
    }

    pub fn remove(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        let idle = || Instant::now() + Duration::from_secs(60);
        while let Ok(Some(head)) = channel.read_head(idle()) {
            let Ok(body) = channel.read_body(&head, idle()) else {
                return;
            };
            // A reading call takes a few milliseconds at the users' platform.
            thread::sleep(Duration::from_millis(4));
            let (status, text) = self.answer(head.word(0), head.word(1), &body);
            if status == CUT {
                self.cuts.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if channel.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(n, _)| *n == name);
            found.map_or("", |(_, value)| value).replace("%2F", "/")
        };
        let name = path.strip_prefix("/apricotlug/").unwrap_or_default();
        let json = Json::parse(body).unwrap_or(Json::Null);
        match (method, name.split('/').next().unwrap_or_default()) {
            ("GET", "kv-range") => self.range(&param("pathPrefix"), &param("after")),
            ("GET", "kv-key") => {
                let state = self.state.0.lock().unwrap();
                let key = param("key");
                match state.items.get(&key) {
                    Some(item) => (200, item_text(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "kv-watch") => {
                let after = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("waitMs").parse().unwrap_or(0));
                self.watch(&param("pathPrefix"), after, wait)
            }
            ("POST", "kv-txn") => self.change(|state| transact(state, &json)),
            ("POST", "kv-lease") => {
                let text = json.get("ttl").text().to_owned();
                let ms = text.trim_end_matches("ms").parse().unwrap_or(1_000);
                self.change(|state| {
                    state.last_lease += 1;
                    let id = state.last_lease;
                    state
                        .leases
                        .insert(id, (Duration::from_millis(ms), Instant::now()));
                    (200, format!(r#"{{"lease":{id},"ttl":"{text}"}}"#))
                })
            }
            ("POST", "kv-keep") => self.change(|state| {
                let id: u64 = name.trim_start_matches("kv-keep/").parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((ttl, at)) => {
                        *at = Instant::now();
                        (200, format!(r#"{{"ttl":"{}ms"}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }),
            ("DELETE", "kv-lease-end") => self.change(|state| {
                let id = name
                    .trim_start_matches("kv-lease-end/")
                    .parse()
                    .unwrap_or(0);
                (if state.end_lease(id) { 200 } else { 404 }, "{}".to_owned())
            }),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let mut found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = found
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| item_text(key, item))
            .collect();
        let more = found.next().is_some();
        let items = items.join(",");
        let text = format!(
            r#"{{"items":[{items}],"hasMore":{more},"atRevision":{}}}"#,
            state.revision
        );
        (200, text)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let cuts_after = Duration::from_millis(self.cuts_after_ms.load(Ordering::Relaxed));
        let is_cut = !cuts_after.is_zero() && cuts_after < wait;
        let until = Instant::now() + if is_cut { cuts_after } else { wait };
        let mut state = self.state.0.lock().unwrap();
        loop {
            let new = state
                .events
                .iter()
                .filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<_> = new
                .map(|(at, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{at},"deleted":true}}"#),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if is_cut && events.is_empty() && left.is_zero() {
                return (CUT, String::new());
            }
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!(r#"{{"events":[{events}],"atRevision":{}}}"#, state.revision),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn transact(state: &mut State, json: &Json) -> (u16, String) {
    for row in json.get("expectedRevision").list() {
        let key = row.get("key").text();
        let held = state.items.get(key);
        if held.map_or(0, |item| item.revision) != row.get("revision").number() {
            let items = held.map_or(String::new(), |item| item_text(key, item));
            return (412, format!(r#"{{"items":[{items}]}}"#));
        }
    }
    for row in json.get("putItems").list() {
        let (key, lease) = (row.get("key").text(), row.get("lease").number());
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        if key.starts_with("op/") || key.starts_with("servers/") {
            return (403, "{}".to_owned());
        }
        state.put(key, unbase64(row.get("value").text()), lease);
    }
    for key in json.get("deleteKeys").list() {
        state.remove(key.text());
    }
    (200, format!(r#"{{"revision":{}}}"#, state.revision))
}
