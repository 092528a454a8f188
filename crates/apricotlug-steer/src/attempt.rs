//! One attempt to run a request on one backend server.

use std::{net::SocketAddr, time::Duration};

use apricotlug_adapter::{Told, decode_answer, encode_request};
use apricotlug_http::{
    BodyReader, Conn, Framing, HttpError, Limits, RequestHead, ResponseHead, response_framing,
};
use apricotlug_model::MonoTime;
use apricotlug_policy::steer::BackendKey;
use futures_lite::future;

use crate::shared::Shared;

/// Limits on the time to connect within the region and to another region.
const CONNECT: Duration = Duration::from_millis(350);
const CONNECT_FAR: Duration = Duration::from_millis(700);

/// Longest idle time after which a connection may carry a request that must not run twice. The
/// longer a connection was idle, the likelier it is that the other end has dropped it.
const ONCE_IDLE: Duration = Duration::from_millis(3_000);

/// Largest response body that is buffered in full before delivery starts, in bytes. An attempt
/// whose response breaks off within the buffer can be retried.
const MOST_PREFETCHED: u64 = 1 << 20;

/// Unexpected responses on one connection after which the attempt fails. Those before are skipped.
const MOST_STRAY: u32 = 3;

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
    pub is_far: bool,
    /// Time by which the response must have arrived.
    pub deadline: MonoTime,
    /// Whether the request is idempotent, so that it may run more than once.
    pub may_repeat: bool,
}

/// Request as it is sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// Caller's request head without hop-by-hop headers.
    pub head: &'a RequestHead,
    /// Complete body; empty if the request has none.
    pub body: &'a [u8],
    /// Framing of the body.
    pub framing: Framing,
    /// Id of the client account; `None` for anonymous callers.
    pub account: Option<&'a str>,
    /// Request id that the response must repeat; `None` if the caller sent none.
    pub id: Option<&'a str>,
}

/// Response of a backend server.
#[derive(Debug)]
pub struct Answer {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Metadata that the backend server sent in headers.
    pub told: Told,
    /// Framing of the body as received.
    pub framing: Framing,
    /// Part of the body that was read so far; all of it if `rest` is `None`.
    pub body: Vec<u8>,
    /// Connection and reader for the rest of the body; `None` if the body is complete.
    pub rest: Option<(Conn, BodyReader)>,
}

/// Why an attempt gave no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// Nothing was sent: no connection could be made, or no time was left.
    Unreachable,
    /// The backend server reported that it did not run the request.
    Refused {
        /// HTTP status of the report.
        status: u16,
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
    sending: Sending<'_>,
    target: &Target,
) -> Result<Answer, Failed> {
    let idle = if target.may_repeat {
        Duration::MAX
    } else {
        ONCE_IDLE
    };
    let pooled = shared.pool.take(target.key, idle, shared.clock.now()).await;
    if let Some(conn) = pooled {
        match exchange(shared, sending, target, conn).await {
            // The pooled connection was closed without a response, so whether the request ran is
            // unknown. An idempotent one is sent again on a new connection.
            Err(Failed::Unknown("closed_unanswered")) if target.may_repeat => {
                shared.pool.clear(target.key);
            }
            ended => return ended,
        }
    }
    let conn = connect(shared, target).await?;
    exchange(shared, sending, target, conn).await
}

async fn connect(shared: &Shared, target: &Target) -> Result<Conn, Failed> {
    let longest = if target.is_far { CONNECT_FAR } else { CONNECT };
    let started_at = shared.clock.now();
    let within = longest.min(shared.clock.left(target.deadline));
    let limits = Limits {
        idle: Duration::from_secs(600),
        head_bytes: 64 * 1024,
        ..Limits::default()
    };
    let conn = Conn::connect(target.addr, limits, within).await;
    let conn = conn.map_err(|_| Failed::Unreachable)?;
    let ms = shared.clock.now().since(started_at).as_secs_f64() * 1_000.0;
    shared.gate().fleet.on_connected(&target.data_centre, ms);
    Ok(conn)
}

async fn exchange(
    shared: &Shared,
    sending: Sending<'_>,
    target: &Target,
    mut conn: Conn,
) -> Result<Answer, Failed> {
    let left = shared.clock.left(target.deadline).as_millis() as u64;
    if left == 0 {
        return Err(Failed::Unreachable);
    }
    let bytes = encode(sending, &target.id, left);
    let (head, told, is_sent) = send(&mut conn, &bytes, sending, target).await?;
    if told.is_not_run {
        let status = head.status;
        let answer = read(shared, sending, target, conn, head, told, is_sent).await;
        if let (400, Ok(answer)) = (status, answer) {
            return Ok(answer);
        }
        return Err(Failed::Refused { status });
    }
    read(shared, sending, target, conn, head, told, is_sent).await
}

fn encode(sending: Sending<'_>, backend: &str, left_ms: u64) -> Vec<u8> {
    let mut head = sending.head.clone();
    encode_request(&mut head, sending.account, backend, left_ms);
    let framing = match sending.framing {
        Framing::Empty => Framing::Empty,
        _ => Framing::Length(sending.body.len() as u64),
    };
    framing.announce(&mut head.headers);
    let mut bytes = head.encode();
    bytes.extend_from_slice(sending.body);
    bytes
}

enum First {
    Sent(Result<(), HttpError>),
    Head(Result<ResponseHead, HttpError>),
}

/// Writes the request while reading the head of the response. The returned flag tells whether the
/// whole request was written.
async fn send(
    conn: &mut Conn,
    bytes: &[u8],
    sending: Sending<'_>,
    target: &Target,
) -> Result<(ResponseHead, Told, bool), Failed> {
    let mut is_sent = false;
    let writer = conn.writer();
    let progress = conn.limits().progress;
    for _ in 0..MOST_STRAY {
        let head = if is_sent {
            conn.read_response().await
        } else {
            let mut writing = Box::pin(apricotlug_http::write_to(&writer, bytes, progress));
            let mut reading = Box::pin(conn.read_response());
            let first = future::or(async { First::Head(reading.as_mut().await) }, async {
                First::Sent(writing.as_mut().await)
            });
            match first.await {
                First::Head(head) => head,
                First::Sent(sent) => {
                    is_sent = sent.is_ok();
                    // The other end may have responded before it closed its side.
                    reading.await
                }
            }
        };
        let head = head.map_err(|e| match e {
            HttpError::Closed | HttpError::Io(_) => Failed::Unknown("closed_unanswered"),
            HttpError::Truncated => Failed::Unknown("cut_head"),
            _ => Failed::Unknown("answer_head"),
        })?;
        let told = decode_answer(&head);
        if told.id.is_none() || sending.id.is_none() || told.id.as_deref() == sending.id {
            return Ok((head, told, is_sent));
        }
        tracing::info!(
            kind = "stray_answer",
            backend = target.id,
            request = sending.id,
            names = told.id
        );
        skip(conn, sending, &head).await?;
    }
    Err(Failed::Unknown("stray_answers"))
}

async fn skip(conn: &mut Conn, sending: Sending<'_>, head: &ResponseHead) -> Result<(), Failed> {
    let broken = |_| Failed::Unknown("stray_answer");
    let framing = response_framing(&sending.head.method, head).map_err(broken)?;
    let mut reader = BodyReader::new(framing, u64::MAX);
    while reader.next(conn).await.map_err(broken)?.is_some() {}
    Ok(())
}

async fn read(
    shared: &Shared,
    sending: Sending<'_>,
    target: &Target,
    mut conn: Conn,
    head: ResponseHead,
    told: Told,
    is_sent: bool,
) -> Result<Answer, Failed> {
    let is_success = (200..300).contains(&head.status);
    if is_success && (!told.is_signed || (sending.id.is_some() && told.id.is_none())) {
        return Err(Failed::Unknown("unsigned"));
    }
    let framing =
        response_framing(&sending.head.method, &head).map_err(|_| Failed::Unknown("framing"))?;
    let mut reader = BodyReader::new(framing, u64::MAX);
    let mut body = Vec::new();
    let is_large = matches!(framing, Framing::Length(len) if len > MOST_PREFETCHED);
    while !is_large && (body.len() as u64) < MOST_PREFETCHED {
        match reader.next(&mut conn).await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break,
            Err(_) => return Err(Failed::Unknown("answer_body")),
        }
    }
    if is_large || !reader.is_done() {
        return Ok(Answer {
            head,
            told,
            framing,
            body,
            rest: Some((conn, reader)),
        });
    }
    let may_reuse = is_sent && head.is_keep_alive() && framing != Framing::UntilClose;
    if may_reuse && told.id.is_some() {
        shared
            .pool
            .put(target.key, conn, told.idle_s, shared.clock.now())
            .await;
    }
    Ok(Answer {
        head,
        told,
        framing,
        body,
        rest: None,
    })
}
