//! Delivers responses to callers.

use apricotlug_adapter::refusal_head;
use apricotlug_http::{BodyWriter, Conn, Framing, HttpError, RequestHead, ResponseHead};

use crate::{admission::Refusal, attempt::BackendResponse};

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
/// # Errors
/// Returns an error if either connection fails before the end of the body. The caller's connection
/// must then be closed, so that the truncated response cannot be taken for a complete one.
pub async fn deliver(
    conn: &mut Conn,
    req: &RequestHead,
    response: BackendResponse,
    is_closing: bool,
) -> Result<AfterResponse, HttpError> {
    match response.rest {
        None => deliver_buffered(conn, req, response.head, &response.body, is_closing).await,
        Some(_) => stream(conn, req, response, is_closing).await,
    }
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
    body: &[u8],
    is_closing: bool,
) -> Result<AfterResponse, HttpError> {
    let is_bodiless = req.method == "HEAD" || matches!(head.status, 204 | 304);
    let mut head = caller_head(head, is_closing);
    if !is_bodiless {
        Framing::Length(body.len() as u64).announce(&mut head.headers);
    }
    let mut bytes = head.encode();
    bytes.extend_from_slice(body);
    conn.write(&bytes).await?;
    Ok(if is_closing {
        AfterResponse::Close
    } else {
        AfterResponse::KeepAlive
    })
}

async fn stream(
    conn: &mut Conn,
    req: &RequestHead,
    response: BackendResponse,
    is_closing: bool,
) -> Result<AfterResponse, HttpError> {
    let Some((mut backend, mut reader)) = response.rest else {
        return Ok(AfterResponse::Close);
    };
    let has_length = matches!(response.framing, Framing::Length(_));
    // HTTP/1.0 has no chunked encoding: a body of unknown length ends when the connection closes.
    let ends_by_close = req.minor == 0 && !has_length;
    let is_closing = is_closing || ends_by_close;
    let framing = if ends_by_close {
        Framing::Empty
    } else {
        response.framing
    };
    let mut head = caller_head(response.head, is_closing);
    framing.announce(&mut head.headers);
    conn.write(&head.encode()).await?;
    let mut writer = BodyWriter::new(conn, framing);
    writer.write(&response.body).await?;
    while let Some(chunk) = reader.next(&mut backend).await? {
        writer.write(&chunk).await?;
    }
    writer.finish().await?;
    Ok(if is_closing {
        AfterResponse::Close
    } else {
        AfterResponse::KeepAlive
    })
}
