//! Delivers responses to callers.

use std::{iter, time::Duration};

use apricotlug_adapter::refusal_head;
use apricotlug_edge::Clock;
use apricotlug_http::{
    BodyReader, BodyWriter, Conn, Framing, HttpError, Phase, RequestHead, ResponseHead,
};
use apricotlug_model::MonoTime;
use async_std::future::timeout;
use thiserror::Error;

use crate::{admission::Refusal, attempt::BackendResponse, body_buffer::BodyBuffer};

/// Largest body without a length that is sent to an HTTP/1.0 caller, in bytes. It must be read whole
/// first, since its end on the caller's connection looks like that of a broken one; it is given up
/// while the buffers of all requests together are full.
const MAX_UNFRAMED_BYTES: usize = 16 << 20;

/// Longest silence of a backend server within a body, once the time of its route is over.
const MAX_LATE_SILENCE: Duration = Duration::from_millis(200);

/// Until when a body that is still under way is delivered.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryLimits {
    /// Clock of the deadlines.
    pub clock: Clock,
    /// Time at which the route's timeout is over. A body on which bytes still come is delivered on.
    pub timeout_at: MonoTime,
    /// Time after which the caller no longer waits.
    pub caller_leaves_at: MonoTime,
}

/// Why a response was not delivered completely.
#[derive(Debug, Error)]
pub enum DeliveryError {
    /// The caller's connection failed.
    #[error("caller's connection: {0}")]
    Caller(#[from] HttpError),
    /// The backend server did not send a whole body in time.
    #[error("backend server's body: {0}")]
    Backend(HttpError),
}

/// Whether the caller's connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// The connection accepts another request.
    KeepAlive,
    /// The connection must be closed.
    Close,
}

/// Delivers a refusal that the system itself generates.
///
/// # Errors
/// Returns an error if writing to the caller's connection fails.
pub async fn refuse(
    conn: &mut Conn,
    refusal: &Refusal,
    id: Option<&str>,
    is_closing: bool,
) -> Result<AfterResponse, HttpError> {
    let mut head = refusal_head(refusal.status, refusal.reason_phrase, id, refusal.retry_ms);
    head.headers.push("content-length", "0");
    if is_closing {
        head.headers.push("connection", "close");
    }
    conn.write(&head.encode()).await?;
    Ok(if is_closing {
        AfterResponse::Close
    } else {
        AfterResponse::KeepAlive
    })
}

/// Delivers a backend server's response.
///
/// A body that is still under way is cut off when its caller no longer waits, or when its backend
/// server falls silent and the route's timeout is over: it may never end.
///
/// # Errors
/// Returns an error if either connection fails before the end of the body. The caller's connection
/// must then be closed, so that the truncated response cannot be taken for a complete one.
pub async fn deliver(
    conn: &mut Conn,
    req: &RequestHead,
    response: BackendResponse,
    is_closing: bool,
    limits: DeliveryLimits,
) -> Result<AfterResponse, DeliveryError> {
    if response.rest.is_none() {
        return deliver_buffered(conn, req, response.head, &response.body, is_closing).await;
    }
    let time_limit = limits.clock.remaining(limits.caller_leaves_at);
    timeout(time_limit, stream(conn, req, response, is_closing, limits))
        .await
        .unwrap_or(Err(DeliveryError::Backend(HttpError::TimedOut(
            Phase::Body,
        ))))
}

fn caller_head(mut head: ResponseHead, is_closing: bool) -> ResponseHead {
    head.headers.remove_hop_by_hop();
    head.headers.remove("transfer-encoding");
    if is_closing {
        head.headers.push("connection", "close");
    }
    head
}

async fn deliver_buffered(
    conn: &mut Conn,
    req: &RequestHead,
    head: ResponseHead,
    body: &BodyBuffer,
    is_closing: bool,
) -> Result<AfterResponse, DeliveryError> {
    let is_bodiless = req.method == "HEAD" || matches!(head.status, 204 | 304);
    let mut head = caller_head(head, is_closing);
    if !is_bodiless {
        Framing::Length(body.len() as u64).announce(&mut head.headers);
    }
    let head = head.encode();
    let pieces: Vec<_> = iter::once(head.as_slice()).chain(body.pieces()).collect();
    conn.write_pieces(&pieces).await?;
    Ok(if is_closing {
        AfterResponse::Close
    } else {
        AfterResponse::KeepAlive
    })
}

async fn next_piece(
    backend: &mut Conn,
    reader: &mut BodyReader,
    limits: DeliveryLimits,
) -> Result<Option<Vec<u8>>, DeliveryError> {
    let remaining = limits.clock.remaining(limits.timeout_at);
    timeout(remaining.max(MAX_LATE_SILENCE), reader.next(backend))
        .await
        .unwrap_or(Err(HttpError::TimedOut(Phase::Body)))
        .map_err(DeliveryError::Backend)
}

async fn stream(
    conn: &mut Conn,
    req: &RequestHead,
    response: BackendResponse,
    is_closing: bool,
    limits: DeliveryLimits,
) -> Result<AfterResponse, DeliveryError> {
    let Some((mut backend, mut reader)) = response.rest else {
        return Ok(AfterResponse::Close);
    };
    let has_length = matches!(response.framing, Framing::Length(_));
    if req.minor == 0 && !has_length {
        // HTTP/1.0 has no chunked encoding.
        let mut body = response.body;
        while let Some(chunk) = next_piece(&mut backend, &mut reader, limits).await? {
            if !body.push(&chunk) || body.len() > MAX_UNFRAMED_BYTES {
                let error = HttpError::BodyTooLarge(MAX_UNFRAMED_BYTES as u64);
                return Err(DeliveryError::Backend(error));
            }
        }
        return deliver_buffered(conn, req, response.head, &body, is_closing).await;
    }
    let framing = response.framing;
    let mut head = caller_head(response.head, is_closing);
    framing.announce(&mut head.headers);
    conn.write(&head.encode()).await?;
    let mut writer = BodyWriter::new(conn, framing);
    for piece in response.body.pieces() {
        writer.write(piece).await?;
    }
    // The rest may take long to deliver.
    drop(response.body);
    while let Some(chunk) = next_piece(&mut backend, &mut reader, limits).await? {
        writer.write(&chunk).await?;
    }
    writer.finish().await?;
    Ok(if is_closing {
        AfterResponse::Close
    } else {
        AfterResponse::KeepAlive
    })
}
