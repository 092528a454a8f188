//! The stand-in's server loop and what it counts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use apricotlug_http::{BodyReader, Conn, HttpError, Limits, RequestHead, request_framing};
use apricotlug_model::UnixTime;
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};

use super::{
    answer::{Answer, Shape},
    fault::{Fault, FaultRule},
};

/// Most bytes of received heads that are kept for inspection.
const MAX_KEPT_HEAD_BYTES: usize = 4 * 1024 * 1024;

/// Settings of a backend stand-in.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Name, reported in answers.
    pub id: String,
    /// Version, reported in answers.
    pub version: String,
    /// Requests that run at once; more are refused as not run.
    pub slots: usize,
    /// Time that a request takes.
    pub work: Duration,
    /// Requests, counted from the start, that take three times as long.
    pub cold_requests: usize,
}

#[derive(Debug, Default)]
struct Counts {
    runs: BTreeMap<String, usize>,
    heads: Vec<u8>,
    total: usize,
    most_in_flight: usize,
    shed: usize,
}

#[derive(Debug)]
struct State {
    cfg: BackendConfig,
    faults: Mutex<Vec<FaultRule>>,
    counts: Mutex<Counts>,
    in_flight: AtomicUsize,
    is_draining: AtomicBool,
}

/// Running backend stand-in; stops when dropped.
#[derive(Debug)]
pub struct BackendStandIn {
    addr: SocketAddr,
    state: Arc<State>,
    accept: Option<task::JoinHandle<()>>,
}

impl BackendStandIn {
    /// Starts a stand-in on the address; port 0 picks a free one.
    ///
    /// # Errors
    /// Returns what the system reports when the address cannot be bound.
    pub async fn start(addr: SocketAddr, cfg: BackendConfig) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State {
            cfg,
            faults: Mutex::default(),
            counts: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
        });
        let accept = task::spawn(accept(listener, Arc::clone(&state)));
        Ok(Self {
            addr,
            state,
            accept: Some(accept),
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns its name.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.state.cfg.id
    }

    /// Returns the version that it runs.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.state.cfg.version
    }

    /// Replaces the faults that it shows.
    pub fn set_faults(&self, faults: Vec<FaultRule>) {
        *lock(&self.state.faults) = faults;
    }

    /// Starts or ends its drain: while draining it refuses all requests as not run.
    pub fn set_draining(&self, is_draining: bool) {
        self.state.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Returns how often each order ran, by its idempotency key.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, usize> {
        lock(&self.state.counts).runs.clone()
    }

    /// Returns how many requests ran.
    #[must_use]
    pub fn total(&self) -> usize {
        lock(&self.state.counts).total
    }

    /// Returns how many requests were refused as not run.
    #[must_use]
    pub fn shed(&self) -> usize {
        lock(&self.state.counts).shed
    }

    /// Returns the largest number of requests that ran at once.
    #[must_use]
    pub fn most_in_flight(&self) -> usize {
        lock(&self.state.counts).most_in_flight
    }

    /// Returns the bytes of the request heads received so far, up to a limit.
    #[must_use]
    pub fn received_heads(&self) -> Vec<u8> {
        lock(&self.state.counts).heads.clone()
    }

    /// Stops accepting connections.
    pub async fn stop(mut self) {
        if let Some(accept) = self.accept.take() {
            accept.cancel().await;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        task::spawn(serve(stream, Arc::clone(&state)));
    }
}

async fn serve(stream: TcpStream, state: Arc<State>) {
    let mut conn = Conn::new(stream, Limits::default());
    while let Ok(true) = serve_one(&mut conn, &state).await {}
}

async fn serve_one(conn: &mut Conn, state: &State) -> Result<bool, HttpError> {
    let head = conn.read_request().await?;
    record_head(state, &head);
    let slot = Slot::take(state);
    let fault = find_fault(state, head.path(), slot.load);
    if fault == Some(Fault::CloseUnanswered) {
        return Ok(false);
    }
    let mut reader = BodyReader::new(request_framing(&head)?, u64::MAX);
    let mut received = 0;
    while let Some(piece) = reader.next(conn).await? {
        received += piece.len() as u64;
    }
    if refuses(state, &head, slot.load, fault) {
        lock(&state.counts).shed += 1;
        return Answer::not_run(&head).send(conn, Shape::Whole).await;
    }
    run(state, &head, fault).await;
    let answer = Answer::of(&state.cfg, &head, received, fault);
    match fault {
        Some(Fault::Silent) => std::future::pending().await,
        Some(Fault::CutAnswer) => answer.send(conn, Shape::Cut).await,
        Some(Fault::StrayBytes) => answer.send(conn, Shape::Stray).await,
        Some(Fault::InterimHeads) => answer.send(conn, Shape::Interim).await,
        Some(Fault::UntilClose) => answer.send(conn, Shape::UntilClose).await,
        Some(Fault::AmbiguousFraming) => answer.send(conn, Shape::Ambiguous).await,
        _ => answer.send(conn, Shape::Whole).await,
    }
}

/// Counts a request in flight until it is dropped.
struct Slot<'a> {
    state: &'a State,
    load: usize,
}

impl<'a> Slot<'a> {
    fn take(state: &'a State) -> Self {
        let load = state.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        let mut counts = lock(&state.counts);
        counts.most_in_flight = counts.most_in_flight.max(load);
        Self { state, load }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn record_head(state: &State, head: &RequestHead) {
    let bytes = head.encode();
    let mut counts = lock(&state.counts);
    if counts.heads.len() + bytes.len() <= MAX_KEPT_HEAD_BYTES {
        counts.heads.extend_from_slice(&bytes);
    }
}

fn find_fault(state: &State, path: &str, load: usize) -> Option<Fault> {
    let faults = lock(&state.faults);
    faults
        .iter()
        .find(|rule| rule.applies(path, load))
        .map(|rule| rule.fault)
}

fn refuses(state: &State, head: &RequestHead, load: usize, fault: Option<Fault>) -> bool {
    let deadline = head
        .headers
        .text("apricotlug-deadline")
        .and_then(|text| text.parse().ok());
    let is_late = deadline.is_some_and(|us| UnixTime(us).is_past(UnixTime::now()));
    let is_full = load > state.cfg.slots;
    let is_draining = state.is_draining.load(Ordering::Relaxed);
    is_late || is_full || is_draining || fault == Some(Fault::Shed)
}

async fn run(state: &State, head: &RequestHead, fault: Option<Fault>) {
    let order = head
        .headers
        .text("idempotency-key")
        .unwrap_or("none")
        .to_owned();
    let total = {
        let mut counts = lock(&state.counts);
        *counts.runs.entry(order).or_default() += 1;
        counts.total += 1;
        counts.total
    };
    let mut work = state.cfg.work;
    if total <= state.cfg.cold_requests {
        work *= 3;
    }
    if let Some(Fault::Slow(more)) = fault {
        work += more;
    }
    if !work.is_zero() {
        task::sleep(work).await;
    }
}
