//! One attempt to run a request on one backend server.

use std::{net::SocketAddr, pin::pin, time::Duration};

use apricotlug_http::{
    BodyReader, BodyWriter, Conn, Framing, HttpError, Limits, ResponseHead, response_framing,
};
use apricotlug_model::MonoTime;
use apricotlug_policy::{order::AttemptState, placement::Outcome};
use async_std::future::timeout;
use futures_lite::future;

use crate::{
    clock::Clock,
    exchange::{Exchange, RequestBody},
    pool::Pool,
    refusal::{OUTCOME_HEADER, REQUEST_ID_HEADER},
};

/// Time limit for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest response to an idempotent request that is read completely before any of it is passed
/// on, so that a truncated one can be retried. In bytes.
const MAX_PREFETCHED_BYTES: u64 = 64 * 1024;

/// Largest response, in bytes: no limit.
const MAX_RESPONSE_BYTES: u64 = u64::MAX;

/// Backend server and deadline of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Address of the backend server.
    pub addr: SocketAddr,
    /// Time by which the head of the response must have arrived.
    pub deadline: MonoTime,
    /// Whether a pooled connection may be used.
    pub may_reuse: bool,
}

/// Verified response head, and the connection that carries the body.
#[derive(Debug)]
pub struct BackendResponse {
    /// Head as the backend server sent it.
    pub head: ResponseHead,
    /// Framing of the response body.
    pub framing: Framing,
    /// Body bytes already read from `conn`.
    pub prefetched: Vec<u8>,
    /// Reads the rest of the body from `conn`.
    pub reader: BodyReader,
    /// Connection to the backend server.
    pub conn: Conn,
    /// Whether the complete request body was sent; if not, neither connection is reused.
    pub is_request_complete: bool,
    /// Whether the response carries the request's id; if not, the connection is not reused, since
    /// a late response on it could not be distinguished from the next one.
    pub echoes_request_id: bool,
}

/// Attempt that ended without a usable response.
#[derive(Debug)]
pub struct Failure {
    /// Whether the request was sent and may have run.
    pub state: AttemptState,
    /// Outcome to report to placement.
    pub outcome: Outcome,
    /// Reason code for the log and the attempt metric.
    pub reason: &'static str,
    /// Error on the caller's connection, after which no other attempt is made; `None` where the
    /// backend server failed.
    pub caller: Option<HttpError>,
}

impl Failure {
    fn new(state: AttemptState, outcome: Outcome, reason: &'static str) -> Self {
        Self {
            state,
            outcome,
            reason,
            caller: None,
        }
    }
}

/// Sends the request and waits for the verified head of the response.
///
/// # Errors
/// Returns the failure where no usable response arrived before the deadline.
pub async fn run(
    exchange: &Exchange,
    body: &mut RequestBody,
    caller: Option<&mut Conn>,
    target: Target,
    pool: &Pool,
    clock: &Clock,
) -> Result<BackendResponse, Failure> {
    let (mut conn, is_reused) = connect(target, pool, clock).await?;
    let sent = timeout(
        clock.remaining(target.deadline),
        send(exchange, body, caller, &mut conn),
    )
    .await;
    let (head, is_request_complete) = match sent {
        Ok(sent) => sent?,
        Err(_) => {
            return Err(Failure::new(
                AttemptState::PerhapsRun,
                Outcome::TimedOut,
                "timeout",
            ));
        }
    };
    let verified = verify(exchange, head, conn, is_request_complete, is_reused, target);
    let timed_out = || Failure::new(AttemptState::PerhapsRun, Outcome::TimedOut, "timeout");
    timeout(clock.remaining(target.deadline), verified)
        .await
        .map_err(|_| timed_out())?
}

/// Returns a connection, and whether it carried earlier exchanges.
async fn connect(target: Target, pool: &Pool, clock: &Clock) -> Result<(Conn, bool), Failure> {
    if target.may_reuse
        && let Some(conn) = pool.take(target.addr).await
    {
        return Ok((conn, true));
    }
    let connect_timeout = CONNECT_TIMEOUT.min(clock.remaining(target.deadline));
    let limits = Limits {
        idle: Duration::MAX,
        ..Limits::default()
    };
    Conn::connect(target.addr, limits, connect_timeout)
        .await
        .map(|conn| (conn, false))
        .map_err(|_| Failure::new(AttemptState::NotSent, Outcome::ConnectFailed, "connect"))
}

/// Which finished first: sending the request, or reading the response head.
enum FirstEvent {
    Sent(Result<(), SendError>),
    Head(Result<ResponseHead, HttpError>),
}

enum SendError {
    Caller(HttpError),
    Backend,
}

async fn send(
    exchange: &Exchange,
    body: &mut RequestBody,
    caller: Option<&mut Conn>,
    conn: &mut Conn,
) -> Result<(ResponseHead, bool), Failure> {
    let writer = BodyWriter::new(conn, exchange.framing);
    let mut bytes = exchange.head.encode();
    if !body.buffered.is_empty() && matches!(exchange.framing, Framing::Length(_)) {
        bytes.extend_from_slice(&body.buffered);
    }
    if conn.write(&bytes).await.is_err() {
        return Err(broken_connection("write"));
    }
    let mut sending = pin!(send_body(exchange, body, caller, writer));
    let mut reading = pin!(conn.read_response());
    let first = future::or(async { FirstEvent::Head(reading.as_mut().await) }, async {
        FirstEvent::Sent(sending.as_mut().await)
    });
    match first.await {
        FirstEvent::Head(Ok(head)) => Ok((head, false)),
        FirstEvent::Head(Err(_)) => Err(broken_connection("answer_head")),
        FirstEvent::Sent(Ok(())) => {
            let head = reading
                .await
                .map_err(|_| broken_connection("answer_head"))?;
            Ok((head, true))
        }
        // The backend server may have closed its side after an early response.
        FirstEvent::Sent(Err(SendError::Backend)) => {
            let head = reading.await.map_err(|_| broken_connection("write"))?;
            Ok((head, false))
        }
        FirstEvent::Sent(Err(SendError::Caller(e))) => {
            let mut failure = broken_connection("caller_body");
            failure.outcome = Outcome::Cancelled;
            failure.caller = Some(e);
            Err(failure)
        }
    }
}

fn broken_connection(reason: &'static str) -> Failure {
    Failure::new(AttemptState::PerhapsRun, Outcome::Broken, reason)
}

async fn send_body(
    exchange: &Exchange,
    body: &mut RequestBody,
    caller: Option<&mut Conn>,
    mut writer: BodyWriter,
) -> Result<(), SendError> {
    // The buffered bytes of a body with a declared length were sent together with the head.
    if !body.buffered.is_empty() && !matches!(exchange.framing, Framing::Length(_)) {
        writer
            .write(&body.buffered)
            .await
            .map_err(|_| SendError::Backend)?;
    }
    if let Some(caller) = caller {
        while let Some(piece) = body.reader.next(caller).await.map_err(SendError::Caller)? {
            body.buffer(&piece);
            writer.write(&piece).await.map_err(|_| SendError::Backend)?;
        }
    }
    writer.finish().await.map_err(|_| SendError::Backend)
}

async fn verify(
    exchange: &Exchange,
    head: ResponseHead,
    mut conn: Conn,
    is_request_complete: bool,
    is_reused: bool,
    target: Target,
) -> Result<BackendResponse, Failure> {
    let response_id = head.headers.text(REQUEST_ID_HEADER);
    let echoes_request_id = response_id == Some(exchange.id.as_str());
    if !echoes_request_id && (is_reused || response_id.is_some()) {
        return Err(broken_connection("crossed_answer"));
    }
    let framing =
        response_framing(&exchange.head.method, &head).map_err(|_| broken_connection("framing"))?;
    let mut reader = BodyReader::new(framing, MAX_RESPONSE_BYTES);
    let is_refusal = head.status == 503 && head.headers.text(OUTCOME_HEADER) == Some("not-run");
    if is_refusal {
        while let Ok(Some(_)) = reader.next(&mut conn).await {}
        return Err(Failure::new(
            AttemptState::NotSent,
            Outcome::Shed,
            "not_run",
        ));
    }
    let mut prefetched = Vec::new();
    if target.may_reuse && matches!(framing, Framing::Length(len) if len <= MAX_PREFETCHED_BYTES) {
        while let Some(piece) = reader
            .next(&mut conn)
            .await
            .map_err(|_| broken_connection("answer_body"))?
        {
            prefetched.extend_from_slice(&piece);
        }
    }
    Ok(BackendResponse {
        head,
        framing,
        prefetched,
        reader,
        conn,
        is_request_complete,
        echoes_request_id,
    })
}
