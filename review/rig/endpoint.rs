//! Stand-in for an endpoint. It runs one request at a time on a channel, echoes the request's id,
//! ends work whose channel closes, and refuses requests for another endpoint with 421.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Channel, Head},
    record::{Record, digest},
};

/// Words of a request's head that no client puts into a body.
const HEAD_WORDS: &[u8] = b"Expected-Instance: ";

/// How an endpoint treats one request.
#[derive(Clone, Debug, Default)]
pub struct Treatment {
    pub work_ms: u64,
    /// Bytes of the answer's body.
    pub answer_bytes: usize,
    /// Whether a second answer follows, at the point where the next answer is expected.
    pub second_answer: bool,
    /// Bytes of the body after which the answer falls silent.
    pub silent_after: Option<usize>,
}

/// Treats the n-th request (from 1) of an endpoint.
pub type Treat = Arc<dyn Fn(u64, &Head) -> Treatment + Send + Sync>;

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub method: String,
    pub path: String,
    pub endpoint: String,
    pub body_bytes: usize,
    pub body_digest: u64,
    /// Where the body holds the head of a request, if it does.
    pub head_within: Option<usize>,
    pub began_ms: u64,
    /// When it ended, and whether a whole answer was written.
    pub ended: Option<(u64, bool)>,
}

/// All runs at all endpoints of a test, by a number of their own.
pub type Runs = Arc<Mutex<BTreeMap<u64, Run>>>;

#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: u32,
    running: Arc<AtomicU32>,
    /// Whether it has ended, and its channels.
    ended: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    requests: Arc<AtomicU64>,
    runs: Runs,
    record: Record,
    treat: Treat,
}

static NEXT_RUN: AtomicU64 = AtomicU64::new(0);

impl Endpoint {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        slots: u32,
        runs: &Runs,
        record: &Record,
        treat: Treat,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let endpoint = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr()?,
            slots,
            running: Arc::default(),
            ended: Arc::default(),
            channels: Arc::default(),
            requests: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
            treat,
        };
        let served = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.ended.load(Ordering::SeqCst) {
                    return;
                }
                let endpoint = served.clone();
                served.channels.lock().unwrap().extend(stream.try_clone());
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        Ok(endpoint)
    }

    /// Ends the endpoint: its address and all of its channels are closed.
    pub fn end(&self) {
        self.record.line(&format!("{} ends", self.id));
        self.ended.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            // It may be closed already.
            let _ = channel.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, which then closes the address.
        let _ = TcpStream::connect(self.addr);
    }

    /// Returns the entry that it writes to the store.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","coldRemaining":"0ms","seq":1,"born":1790000000000}}"#,
            self.service, self.addr, self.zone, self.slots
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut channel = Channel::new(stream);
        // The site's links carry 1,000 Mbit/s.
        channel.bytes_per_s = 125_000_000;
        let mut second_answer: Option<Vec<u8>> = None;
        loop {
            // Idle channels are closed after 10 s.
            let idle = Instant::now() + Duration::from_secs(10);
            let Ok(Some(head)) = channel.read_head(idle) else {
                return;
            };
            if let Some(bytes) = second_answer.take() {
                self.record
                    .line(&format!("{} sends its second answer", self.id));
                if channel.write(&bytes).is_err() {
                    return;
                }
            }
            let Ok(body) = channel.read_body(&head, Instant::now() + Duration::from_secs(20))
            else {
                return;
            };
            let refusal = match (
                head.word(1),
                head.get("expected-instance"),
                head.get("request-identifier"),
            ) {
                ("/health", ..) => Some((200, "")),
                (_, Some(expected), _) if expected != self.id => Some((421, "Not-Executed: 1\r\n")),
                (_, _, None) => Some((400, "Not-Executed: 1\r\n")),
                _ => None,
            };
            if let Some((status, lines)) = refusal {
                let text = format!(
                    "HTTP/1.1 {status} -\r\nInstance-Identifier: {}\r\n{lines}Content-Length: 0\r\n\r\n",
                    self.id
                );
                // What is no request leaves no place where the next one could begin.
                if channel.write(text.as_bytes()).is_err() || status == 400 {
                    return;
                }
                continue;
            }
            match self.run(&mut channel, &head, &body) {
                Some(second) => second_answer = second,
                None => return,
            }
        }
    }

    /// Runs a request. Returns `None` if its channel is at its end.
    fn run(&self, channel: &mut Channel, head: &Head, body: &[u8]) -> Option<Option<Vec<u8>>> {
        let id = head
            .get("request-identifier")
            .unwrap_or_default()
            .to_owned();
        let treatment = (self.treat)(self.requests.fetch_add(1, Ordering::Relaxed) + 1, head);
        let number = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
        let run = Run {
            id: id.clone(),
            method: head.word(0).to_owned(),
            path: head.word(1).to_owned(),
            endpoint: self.id.clone(),
            body_bytes: body.len(),
            body_digest: digest(body),
            head_within: body
                .windows(HEAD_WORDS.len())
                .position(|words| words == HEAD_WORDS),
            began_ms: self.record.ms(),
            ended: None,
        };
        self.record.line(&format!(
            "{} runs {id}: {} {} with {} bytes, digest {:016x}",
            self.id, run.method, run.path, run.body_bytes, run.body_digest
        ));
        self.runs.lock().unwrap().insert(number, run);
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let is_whole = self.answer(channel, &id, &treatment, running);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let ended_ms = self.record.ms();
        if let Some(run) = self.runs.lock().unwrap().get_mut(&number) {
            run.ended = Some((ended_ms, is_whole));
        }
        let outcome = if is_whole {
            "answered"
        } else {
            "dropped, its channel has closed"
        };
        self.record
            .line(&format!("{} ends {id}: {outcome}", self.id));
        let second = treatment.second_answer.then(|| self.text(&id, 40, running));
        is_whole.then_some(second)
    }

    fn text(&self, id: &str, len: usize, running: u32) -> Vec<u8> {
        let mut bytes = format!(
            "HTTP/1.1 200 OK\r\nRequest-Identifier: {id}\r\nServer-Signature: {:016x}\r\nServer-Load: {running},0,{}\r\nKeep-Alive: timeout=10\r\nContent-Length: {len}\r\n\r\n",
            digest(id.as_bytes()),
            self.slots
        )
        .into_bytes();
        bytes.resize(bytes.len() + len, b'x');
        bytes
    }

    /// Works and answers. Returns whether a whole answer was written.
    fn answer(&self, channel: &mut Channel, id: &str, treatment: &Treatment, running: u32) -> bool {
        if !wait_open(channel, Duration::from_millis(treatment.work_ms)) {
            return false;
        }
        let bytes = self.text(id, treatment.answer_bytes, running);
        match treatment.silent_after {
            None => channel.write(&bytes).is_ok(),
            Some(len) => {
                if channel.write(&bytes[..len.min(bytes.len())]).is_ok() {
                    self.record.line(&format!(
                        "{} falls silent within the answer to {id}",
                        self.id
                    ));
                    wait_open(channel, Duration::from_secs(60));
                }
                false
            }
        }
    }
}

/// Waits while the channel stays open. Returns whether it did.
fn wait_open(channel: &Channel, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        if channel.is_closed() {
            return false;
        }
        thread::sleep(left.min(Duration::from_millis(10)));
    }
}
