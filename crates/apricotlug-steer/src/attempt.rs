//! One attempt to run a request on one backend server.

use std::{iter, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use apricotlug_adapter::{ResponseMetadata, decode_response, rewrite_request};
use apricotlug_http::{
    BodyReader, Conn, Framing, HttpError, Limits, RequestHead, ResponseHead, Stream, Turn,
    response_framing,
};
use apricotlug_model::MonoTime;
use apricotlug_policy::steer::BackendKey;
use async_std::future::timeout;
use futures_lite::future;

use crate::{body_buffer::BodyBuffer, request_body::RequestBody, shared::Shared};

/// Limits on the time to connect within the region and to another region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
const CROSS_REGION_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest idle time after which a connection may carry a request that must not run twice. The
/// longer a connection was idle, the likelier it is that the other end has dropped it.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(3_000);

/// Largest response body that is buffered in full before delivery starts, in bytes. An attempt
/// whose response breaks off within the buffer can be retried. Less is buffered while the buffers of
/// all requests together are full.
const MAX_BUFFERED_BYTES: u64 = 1 << 20;

/// Largest unexpected response that is skipped, in bytes.
const MAX_SKIPPED_BYTES: u64 = 64 * 1024;

/// Longest wait for the body of a refusal, after which its connection is closed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of unexpected responses on a connection that are skipped before the attempt fails.
const MAX_UNEXPECTED_RESPONSES: u32 = 3;

/// Backend server to which a request is sent, and the limits of the attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of the backend server in the fleet.
    pub key: BackendKey,
    /// Id of the backend server.
    pub id: String,
    /// Address on which the backend server accepts requests.
    pub addr: SocketAddr,
    /// Data centre of the backend server.
    pub data_centre: String,
    /// Whether the backend server is in another region.
    pub is_cross_region: bool,
    /// Time by which the response must have arrived.
    pub deadline: MonoTime,
    /// Whether the request is idempotent, so that it may run more than once.
    pub may_repeat: bool,
}

/// Request as it is sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// Caller's request head without hop-by-hop headers.
    pub head: &'a RequestHead,
    /// Complete body; empty if the request has none.
    pub body: &'a RequestBody,
    /// Framing of the body.
    pub framing: Framing,
    /// Id of the client account; `None` for anonymous callers.
    pub account: Option<&'a str>,
    /// Request id that the response must repeat; `None` if the caller sent none.
    pub id: Option<&'a str>,
}

/// Response of a backend server.
#[derive(Debug)]
pub struct BackendResponse {
    /// Key of the backend server in the fleet.
    pub key: BackendKey,
    /// Status line and headers.
    pub head: ResponseHead,
    /// Metadata that the backend server sent in headers.
    pub metadata: ResponseMetadata,
    /// Framing of the body as received.
    pub framing: Framing,
    /// Part of the body that was read so far; all of it if `rest` is `None`.
    pub body: BodyBuffer,
    /// Connection and reader for the rest of the body; `None` if the body is complete.
    pub rest: Option<(Conn, BodyReader)>,
}

/// Why an attempt gave no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// Nothing was sent: no connection could be made, or no time was left.
    Unreachable,
    /// The backend server reported that it did not run the request.
    Refused {
        /// HTTP status of the report.
        status: u16,
        /// Whether it also said for how long it wants no requests.
        is_deferral: bool,
    },
    /// The request may have run; the text is the reason code for logs and metrics.
    Unknown(&'static str),
}

/// Sends a request and reads the response.
///
/// # Errors
/// Returns whether the request may have run if no usable response arrived.
pub async fn attempt(
    shared: &Shared,
    request: OutgoingRequest<'_>,
    target: &Target,
) -> Result<BackendResponse, AttemptError> {
    let max_idle = if target.may_repeat {
        Duration::MAX
    } else {
        MAX_IDLE_NON_IDEMPOTENT
    };
    // Without an id, nothing tells a late response to an earlier request from the one to this.
    let pooled = match request.id {
        Some(_) => {
            let now = shared.clock.now();
            shared.pool.take(target.key, max_idle, now).await
        }
        None => None,
    };
    if let Some(conn) = pooled {
        match exchange(shared, request, target, conn, ConnUse::Again).await {
            // The pooled connection was closed without a response, so whether the request ran is
            // unknown. An idempotent one is sent again on a new connection.
            Err(AttemptError::Unknown("closed_unanswered")) if target.may_repeat => {
                shared.pool.clear(target.key);
            }
            result => return result,
        }
    }
    let conn = connect(shared, target).await?;
    exchange(shared, request, target, conn, ConnUse::First).await
}

/// Whether a connection has carried a request before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnUse {
    First,
    Again,
}

/// Returns whether a response belongs to a request. One that names no request belongs to it only
/// on a connection that has carried no other.
fn belongs_to(
    metadata: &ResponseMetadata,
    request: OutgoingRequest<'_>,
    conn_use: ConnUse,
) -> bool {
    match &metadata.request_id {
        Some(id) => Some(id.as_str()) == request.id,
        None => conn_use == ConnUse::First,
    }
}

async fn connect(shared: &Shared, target: &Target) -> Result<Conn, AttemptError> {
    let max_wait = if target.is_cross_region {
        CROSS_REGION_CONNECT_TIMEOUT
    } else {
        CONNECT_TIMEOUT
    };
    let started_at = shared.clock.now();
    let time_limit = max_wait.min(shared.clock.remaining(target.deadline));
    let limits = Limits {
        idle: Duration::from_secs(600),
        head_bytes: 64 * 1024,
        ..Limits::default()
    };
    let conn = Conn::connect(target.addr, limits, time_limit).await;
    let conn = conn.map_err(|_| AttemptError::Unreachable)?;
    let ms = shared.clock.now().since(started_at).as_secs_f64() * 1_000.0;
    shared
        .steering()
        .fleet
        .on_connected(&target.data_centre, ms);
    Ok(conn)
}

async fn exchange(
    shared: &Shared,
    request: OutgoingRequest<'_>,
    target: &Target,
    mut conn: Conn,
    conn_use: ConnUse,
) -> Result<BackendResponse, AttemptError> {
    let left_ms = shared.clock.remaining(target.deadline).as_millis() as u64;
    if left_ms == 0 {
        return Err(AttemptError::Unreachable);
    }
    let bytes = encode(request, &target.id, left_ms);
    conn.set_lean(shared.conn_limits.is_crowded());
    let (head, metadata, is_sent) = send(&mut conn, &bytes, request, target, conn_use).await?;
    record_announcements(shared, target, head.status, &metadata);
    if metadata.is_not_executed {
        let status = head.status;
        let is_deferral = metadata.pause_ms.is_some();
        let reading = read_response(shared, request, target, conn, head, metadata, is_sent);
        if let (400, Ok(Ok(response))) = (status, timeout(REFUSAL_BODY_TIMEOUT, reading).await) {
            return Ok(response);
        }
        return Err(AttemptError::Refused {
            status,
            is_deferral,
        });
    }
    read_response(shared, request, target, conn, head, metadata, is_sent).await
}

/// Records what a backend server says of itself in the head of any answer: that it is leaving, or
/// for how long it wants no requests.
fn record_announcements(
    shared: &Shared,
    target: &Target,
    status: u16,
    metadata: &ResponseMetadata,
) {
    // Status 421 comes from another backend server that now has the address.
    if status == 421 || !(metadata.is_leaving || metadata.pause_ms.is_some()) {
        return;
    }
    let until = metadata
        .pause_ms
        .map(|ms| shared.clock.now().after(Duration::from_millis(ms)));
    let mut steering = shared.steering();
    let is_new = metadata.is_leaving && steering.fleet.on_leaving(target.key);
    if let Some(until) = until {
        steering.fleet.entry_mut(target.key).on_deferral(until);
    }
    drop(steering);
    if is_new {
        tracing::info!(kind = "backend_leaving", backend = target.id);
    }
    if let Some(pause_ms) = metadata.pause_ms {
        tracing::info!(kind = "backend_deferral", backend = target.id, pause_ms);
    }
}

/// Encodes the head.
fn encode(request: OutgoingRequest<'_>, backend: &str, left_ms: u64) -> Vec<u8> {
    let mut head = request.head.clone();
    rewrite_request(&mut head, request.account, backend, left_ms);
    let framing = match request.framing {
        Framing::Empty => Framing::Empty,
        _ => Framing::Length(request.body.len() as u64),
    };
    framing.announce(&mut head.headers);
    head.encode()
}

/// Writes the encoded head and the body from where it lies.
async fn write_request(
    writer: &Stream,
    bytes: &[u8],
    body: &RequestBody,
    write_timeout: Duration,
) -> Result<(), HttpError> {
    let pieces: Vec<_> = iter::once(bytes).chain(body.pieces()).collect();
    writer
        .write_pieces(&pieces, write_timeout, &mut Turn::default())
        .await
}

/// How far a request has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Writing,
    Written,
    Failed,
}

enum FirstDone {
    Sent(Result<(), HttpError>),
    Head(Result<ResponseHead, HttpError>),
}

/// Writes the request while reading the head of the response. The returned flag tells whether the
/// whole request was written.
async fn send(
    conn: &mut Conn,
    bytes: &[u8],
    request: OutgoingRequest<'_>,
    target: &Target,
    conn_use: ConnUse,
) -> Result<(ResponseHead, ResponseMetadata, bool), AttemptError> {
    let mut progress = Progress::Writing;
    let writer = conn.writer();
    let write_timeout = conn.limits().progress;
    // One future for all responses: it knows which byte is next.
    let mut writing = pin!(write_request(&writer, bytes, request.body, write_timeout));
    for _ in 0..MAX_UNEXPECTED_RESPONSES {
        let head = if progress == Progress::Writing {
            let mut reading = pin!(conn.read_response());
            let first = future::or(async { FirstDone::Head(reading.as_mut().await) }, async {
                FirstDone::Sent(writing.as_mut().await)
            });
            match first.await {
                FirstDone::Head(head) => head,
                FirstDone::Sent(sent) => {
                    progress = match sent {
                        Ok(()) => Progress::Written,
                        Err(_) => Progress::Failed,
                    };
                    // The other end may have responded before it closed its side.
                    reading.await
                }
            }
        } else {
            conn.read_response().await
        };
        let head = head.map_err(|e| match e {
            HttpError::Closed | HttpError::Io(_) => AttemptError::Unknown("closed_unanswered"),
            HttpError::Truncated => AttemptError::Unknown("cut_head"),
            _ => AttemptError::Unknown("answer_head"),
        })?;
        let metadata = decode_response(&head);
        if belongs_to(&metadata, request, conn_use) {
            return Ok((head, metadata, progress == Progress::Written));
        }
        tracing::info!(
            kind = "stray_answer",
            backend = target.id,
            request = request.id,
            names = metadata.request_id
        );
        skip_response(conn, request, &head).await?;
    }
    Err(AttemptError::Unknown("stray_answers"))
}

async fn skip_response(
    conn: &mut Conn,
    request: OutgoingRequest<'_>,
    head: &ResponseHead,
) -> Result<(), AttemptError> {
    let unexpected = |_| AttemptError::Unknown("stray_answer");
    let framing = response_framing(&request.head.method, head).map_err(unexpected)?;
    if framing == Framing::UntilClose {
        return Err(AttemptError::Unknown("stray_answer"));
    }
    let mut reader = BodyReader::new(framing, MAX_SKIPPED_BYTES);
    while reader.next(conn).await.map_err(unexpected)?.is_some() {}
    Ok(())
}

async fn read_response(
    shared: &Shared,
    request: OutgoingRequest<'_>,
    target: &Target,
    mut conn: Conn,
    head: ResponseHead,
    metadata: ResponseMetadata,
    is_sent: bool,
) -> Result<BackendResponse, AttemptError> {
    let is_success = (200..300).contains(&head.status);
    if is_success
        && (!metadata.is_signed || (request.id.is_some() && metadata.request_id.is_none()))
    {
        return Err(AttemptError::Unknown("unsigned"));
    }
    let framing = response_framing(&request.head.method, &head)
        .map_err(|_| AttemptError::Unknown("framing"))?;
    let mut reader = BodyReader::new(framing, u64::MAX);
    let mut body = BodyBuffer::new(Arc::clone(&shared.buffered_bytes));
    let is_large = matches!(framing, Framing::Length(len) if len > MAX_BUFFERED_BYTES);
    let mut may_buffer = !is_large;
    while may_buffer {
        match reader.next(&mut conn).await {
            Ok(Some(chunk)) => {
                may_buffer = body.push(&chunk) && (body.len() as u64) < MAX_BUFFERED_BYTES;
            }
            Ok(None) => break,
            Err(_) => return Err(AttemptError::Unknown("answer_body")),
        }
    }
    if is_large || !reader.is_done() {
        return Ok(BackendResponse {
            key: target.key,
            head,
            metadata,
            framing,
            body,
            rest: Some((conn, reader)),
        });
    }
    let may_reuse = is_sent && head.is_keep_alive() && framing != Framing::UntilClose;
    if may_reuse && metadata.request_id.is_some() {
        shared
            .pool
            .put(target.key, conn, metadata.keep_alive_s, shared.clock.now())
            .await;
    }
    Ok(BackendResponse {
        key: target.key,
        head,
        metadata,
        framing,
        body,
        rest: None,
    })
}
