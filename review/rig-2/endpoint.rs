//! Stand-in for an endpoint: runs a few requests at a time, queues a few more, rejects the rest.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Message, record::Record};

/// Stack of a thread: there are many.
const STACK_BYTES: usize = 128 << 10;

/// Request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub request: String,
    pub tenant: Option<String>,
    pub endpoint: String,
    pub zone: String,
    /// Whether the endpoint began to work on it.
    pub has_run: bool,
}

/// What an endpoint is.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub queue: u32,
    pub addr: SocketAddr,
    /// Time that a request takes, in milliseconds.
    work_ms: Arc<AtomicU64>,
    /// Requests out of so many that it leaves unanswered, and the number of those that ran.
    mute: Arc<Mutex<(u64, u64, u64)>>,
    /// Whether the answers that it would leave out are answers without end instead.
    endless: Arc<AtomicBool>,
    load: Arc<(Mutex<(u32, u32)>, Condvar)>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint, which queues twice as many requests as it has slots. Arrivals are added to `arrivals`.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        slots: u32,
        work_ms: u64,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let endpoint = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            queue: slots * 2,
            addr: listener.local_addr().unwrap(),
            work_ms: Arc::new(AtomicU64::new(work_ms)),
            mute: Arc::new(Mutex::new((0, 1, 0))),
            endless: Arc::default(),
            load: Arc::default(),
            arrivals: Arc::clone(arrivals),
            record: record.clone(),
        };
        let accepting = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = accepting.clone();
                let serving = thread::Builder::new().stack_size(STACK_BYTES);
                // A thread that cannot start closes the channel.
                let _ = serving.spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    /// Returns the value of its entry in the store.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seq\":1}}",
            self.service, self.addr, self.zone, self.slots
        )
    }

    /// Leaves `count` of each `of` requests unanswered from now on.
    pub fn set_mute(&self, (count, of): (u64, u64)) {
        *self.mute.lock().unwrap() = (count, of, 0);
    }

    /// Answers `count` of each `of` requests without end from now on.
    pub fn set_endless(&self, count_of: (u64, u64)) {
        self.endless.store(true, Ordering::Relaxed);
        self.set_mute(count_of);
    }

    /// Sends a head and then chunks of one byte until the caller closes the channel.
    fn answer_without_end(&self, request: &Message, mut stream: &TcpStream) {
        let id = request.header("Request-Identifier").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Identifier: {id}\r\nServer-Signature: {}.{id}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let chunks = b"1\r\nx\r\n".repeat(10_000);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
        let mut result = stream.write_all(head.as_bytes());
        while result.is_ok() {
            result = stream.write_all(&chunks);
        }
        self.record.line(&format!("the answer without end to request {id} ends: its channel is closed"));
    }

    /// Returns whether the next request is one that it leaves unanswered.
    fn is_mute(&self) -> bool {
        let mut mute = self.mute.lock().unwrap();
        let (count, of, number) = &mut *mute;
        *number += 1;
        *number * *count % *of < *count
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(&stream);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let Some(response) = self.answer(&request) else {
                if self.endless.load(Ordering::Relaxed) {
                    self.answer_without_end(&request, &stream);
                    self.leave_slot();
                    return;
                }
                // The request hangs until its caller closes the channel.
                let _ = Message::read(&mut reader);
                self.leave_slot();
                return;
            };
            if response.write(&stream).is_err() {
                return;
            }
        }
    }

    /// Runs a request. Returns `None` where it hangs.
    fn answer(&self, request: &Message) -> Option<Message> {
        let id = request.header("Request-Identifier").unwrap_or_default().to_owned();
        let response = |line: &str| {
            let (running, waiting) = *self.load.0.lock().unwrap();
            Message::new(format!("HTTP/1.1 {line}"))
                .with("Request-Identifier", &id)
                .with("Server-Load", format!("{running},{waiting},{}", self.slots))
        };
        if request.header("Expected-Instance").is_some_and(|expected| expected != self.id) {
            self.arrive(&id, request, false, "another instance is expected");
            return Some(response("421 Misdirected Request"));
        }
        let sent_ms = request.header("Deadline-Milliseconds").and_then(|ms| ms.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(sent_ms.unwrap_or(600_000));
        if !self.take_slot(deadline) {
            self.arrive(&id, request, false, "it is full");
            return Some(response("503 Service Unavailable").with("Not-Executed", "1"));
        }
        if self.is_mute() {
            self.arrive(&id, request, true, "it hangs");
            return None;
        }
        self.arrive(&id, request, true, "it runs");
        let work = Duration::from_millis(self.work_ms.load(Ordering::Relaxed));
        let left = deadline.saturating_duration_since(Instant::now());
        thread::sleep(work.min(left));
        self.leave_slot();
        let signature = format!("{}.{id}", self.id);
        if work > left {
            return Some(response("504 Gateway Timeout").with("Server-Signature", signature));
        }
        let body = format!("{id} by {}\n", self.id);
        Some(response("200 OK").with("Server-Signature", signature).with_body(body))
    }

    fn leave_slot(&self) {
        self.load.0.lock().unwrap().0 -= 1;
        self.load.1.notify_all();
    }

    /// Waits for a slot. Returns `false` where the queue is full or the deadline passes.
    fn take_slot(&self, deadline: Instant) -> bool {
        let (load, changed) = &*self.load;
        let mut load = load.lock().unwrap();
        if load.0 >= self.slots && load.1 >= self.queue {
            return false;
        }
        load.1 += 1;
        while load.0 >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.1 -= 1;
                return false;
            }
            load = changed.wait_timeout(load, left).unwrap().0;
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn arrive(&self, id: &str, request: &Message, has_run: bool, what: &str) {
        let tenant = request.header("Tenant").map(str::to_owned);
        let (endpoint, zone) = (&self.id, &self.zone);
        let shown = tenant.as_deref().unwrap_or("none");
        self.record.line(&format!(
            "request {id} at {endpoint} in {zone}, Tenant {shown}: {what}"
        ));
        self.arrivals.lock().unwrap().push(Arrival {
            at: self.record.now(),
            request: id.to_owned(),
            tenant,
            endpoint: endpoint.clone(),
            zone: zone.clone(),
            has_run,
        });
    }
}
