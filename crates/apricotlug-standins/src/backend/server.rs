//! Server loop and request counters of the backend stand-in.

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
    answer::{Form, Response},
    fault::{Fault, FaultRule},
};

/// Limit on the recorded request heads, in bytes; a head that would exceed it is left out.
const MAX_RECORDED_HEAD_BYTES: usize = 4 * 1024 * 1024;

/// Settings of a backend stand-in.
#[derive(Clone, Debug)]
pub struct BackendConfig {
    /// Name, sent in response bodies as `endpoint`.
    pub id: String,
    /// Version of the service, sent in response bodies.
    pub version: String,
    /// Number of requests that may be in flight at once; further ones are refused as not run.
    pub slots: usize,
    /// Time for which a request runs.
    pub work: Duration,
    /// Number of requests after the start that run three times as long; 0 means no cold start.
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

/// Running backend stand-in. Only `stop` ends it: after a drop it continues to accept connections.
#[derive(Debug)]
pub struct BackendStandIn {
    addr: SocketAddr,
    state: Arc<State>,
    accept: Option<task::JoinHandle<()>>,
}

impl BackendStandIn {
    /// Starts a stand-in on the address; port 0 picks a free port.
    ///
    /// # Errors
    /// Returns the error of the operating system if the address cannot be bound.
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

    /// Returns the address on which it listens, with the port that was picked.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the configured name.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.state.cfg.id
    }

    /// Returns the configured version of the service.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.state.cfg.version
    }

    /// Replaces the fault rules; the first that applies to a request is used.
    pub fn set_faults(&self, faults: Vec<FaultRule>) {
        *lock(&self.state.faults) = faults;
    }

    /// Starts or ends a drain. While it drains, the stand-in refuses all requests as not run.
    pub fn set_draining(&self, is_draining: bool) {
        self.state.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Returns how often each order ran, by idempotency key; requests without one are under `none`.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, usize> {
        lock(&self.state.counts).runs.clone()
    }

    /// Returns the number of requests that ran, those that still run included.
    #[must_use]
    pub fn total(&self) -> usize {
        lock(&self.state.counts).total
    }

    /// Returns the number of requests that were refused as not run.
    #[must_use]
    pub fn shed(&self) -> usize {
        lock(&self.state.counts).shed
    }

    /// Returns the largest number of requests in flight at once, refused ones included.
    #[must_use]
    pub fn most_in_flight(&self) -> usize {
        lock(&self.state.counts).most_in_flight
    }

    /// Returns the request heads received so far, encoded as HTTP/1.1, up to 4 MiB in total.
    #[must_use]
    pub fn received_heads(&self) -> Vec<u8> {
        lock(&self.state.counts).heads.clone()
    }

    /// Stops accepting connections; open ones stay open.
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
    let in_flight = InFlight::start(state);
    let fault = find_fault(state, head.path(), in_flight.load);
    if fault == Some(Fault::CloseUnanswered) {
        return Ok(false);
    }
    if let Some(Fault::ResetUpload(text)) = fault {
        run(state, &head, fault).await;
        // A close resets the connection only where something is unread.
        conn.socket().peek(&mut [0]).await?;
        return send_text(conn, &head, text).await;
    }
    let mut reader = BodyReader::new(request_framing(&head)?, u64::MAX);
    let mut received_bytes = 0;
    while let Some(piece) = reader.next(conn).await? {
        received_bytes += piece.len() as u64;
    }
    if is_refused(state, &head, in_flight.load, fault) {
        lock(&state.counts).shed += 1;
        return Response::not_run(&head).send(conn, Form::Complete).await;
    }
    run(state, &head, fault).await;
    let response = Response::completed(&state.cfg, &head, received_bytes, fault);
    match fault {
        Some(Fault::Silent) => std::future::pending().await,
        Some(Fault::Text(text)) => send_text(conn, &head, text).await,
        Some(Fault::CutAnswer) => response.send(conn, Form::Truncated).await,
        Some(Fault::StrayBytes) => response.send(conn, Form::ExtraResponse).await,
        Some(Fault::InterimHeads) => response.send(conn, Form::Interim).await,
        Some(Fault::UntilClose) => response.send(conn, Form::UntilClose).await,
        Some(Fault::AmbiguousFraming) => response.send(conn, Form::Ambiguous).await,
        _ => response.send(conn, Form::Complete).await,
    }
}

/// Sends the text of a fault, after which the connection is closed.
async fn send_text(conn: &mut Conn, head: &RequestHead, text: &str) -> Result<bool, HttpError> {
    let id = head.headers.text("apricotlug-request-id").unwrap_or("");
    conn.write(text.replace("{id}", id).as_bytes()).await?;
    Ok(false)
}

/// Guard that counts a request as in flight until it is dropped. `load` is the number of requests
/// in flight when this one arrived, itself included.
struct InFlight<'a> {
    state: &'a State,
    load: usize,
}

impl<'a> InFlight<'a> {
    fn start(state: &'a State) -> Self {
        let load = state.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        let mut counts = lock(&state.counts);
        counts.most_in_flight = counts.most_in_flight.max(load);
        Self { state, load }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn record_head(state: &State, head: &RequestHead) {
    let bytes = head.encode();
    let mut counts = lock(&state.counts);
    if counts.heads.len() + bytes.len() <= MAX_RECORDED_HEAD_BYTES {
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

fn is_refused(state: &State, head: &RequestHead, load: usize, fault: Option<Fault>) -> bool {
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
    let key = head
        .headers
        .text("idempotency-key")
        .unwrap_or("none")
        .to_owned();
    let total = {
        let mut counts = lock(&state.counts);
        *counts.runs.entry(key).or_default() += 1;
        counts.total += 1;
        counts.total
    };
    let mut work = state.cfg.work;
    if total <= state.cfg.cold_requests {
        work *= 3;
    }
    if let Some(Fault::Slow(extra)) = fault {
        work += extra;
    }
    if !work.is_zero() {
        task::sleep(work).await;
    }
}
