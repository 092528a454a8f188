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

/// Longest wait for a connection within the region, and to another one.
const CONNECT: Duration = Duration::from_millis(350);
const CONNECT_FAR: Duration = Duration::from_millis(700);

/// Longest idle time after which a connection carries a request that must not run twice: the
/// longer it was idle, the likelier it is that the other end has forgotten it.
const ONCE_IDLE: Duration = Duration::from_millis(3_000);

/// Largest answer that is read whole before it is passed on, in bytes, so that a broken one can be
/// asked for again.
const MOST_PREFETCHED: u64 = 1 << 20;

/// Answers to other requests that are skipped on a connection.
const MOST_STRAY: u32 = 3;

/// Where and how a request is sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Backend server.
    pub key: BackendKey,
    /// Its name.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is in another region.
    pub is_far: bool,
    /// Point by which the answer must have arrived.
    pub deadline: MonoTime,
    /// Whether the request may run again.
    pub may_repeat: bool,
}

/// Request as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// Head as the caller sent it, without what concerns one connection only.
    pub head: &'a RequestHead,
    /// Whole body.
    pub body: &'a [u8],
    /// How the body was announced.
    pub framing: Framing,
    /// Name of the client account.
    pub account: Option<&'a str>,
    /// Id that the answer must name.
    pub id: Option<&'a str>,
}

/// Answer of a backend server.
#[derive(Debug)]
pub struct Answer {
    /// Head.
    pub head: ResponseHead,
    /// What the head says beside.
    pub told: Told,
    /// Framing of the body.
    pub framing: Framing,
    /// Body as far as it was read.
    pub body: Vec<u8>,
    /// Reader of the rest, where there is one.
    pub rest: Option<(Conn, BodyReader)>,
}

/// How an attempt ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// No connection was made; nothing was sent.
    Unreachable,
    /// The backend server says that it did not run the request.
    Refused {
        /// Status with which it says so.
        status: u16,
    },
    /// The request may have run.
    Unknown(&'static str),
}

/// Sends a request and reads its answer.
///
/// # Errors
/// Returns what is known about the request where no usable answer came.
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
            // The other end had closed it: nothing tells that the request was read.
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

/// Writes the request while it reads the head of the answer. Returns whether all was written.
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
                    // An answer may have come before the other end closed.
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
