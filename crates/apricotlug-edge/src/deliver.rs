//! Passes a verified response on to the caller, and keeps a small one for repeats of an order.

use apricotlug_http::{BodyWriter, Conn, Framing, HttpError, ResponseHead};
use apricotlug_policy::order::StoredAnswer;

use crate::{
    attempt::BackendResponse,
    exchange::Exchange,
    refusal::{OUTCOME_HEADER, REQUEST_ID_HEADER},
};

/// Result of passing a response on to the caller.
#[derive(Debug)]
pub struct Delivered {
    /// Whether the backend server sent the complete response.
    pub is_complete: bool,
    /// Whether the caller's connection may be reused for another request.
    pub may_keep_alive: bool,
    /// Body bytes read from the backend server.
    pub bytes: u64,
    /// Answer for repeats; `None` where the response was incomplete or too large to keep.
    pub kept: Option<StoredAnswer>,
}

/// Returns the response head to send to the caller.
fn caller_head(
    exchange: &Exchange,
    answer: &BackendResponse,
    framing: Framing,
    is_closing: bool,
) -> ResponseHead {
    let mut head = answer.head.clone();
    head.headers.remove_hop_by_hop();
    head.headers.remove(REQUEST_ID_HEADER);
    head.headers.remove(OUTCOME_HEADER);
    head.headers.push(REQUEST_ID_HEADER, exchange.id.as_str());
    let is_bodiless = exchange.head.method == "HEAD" || matches!(head.status, 204 | 304);
    if is_bodiless {
        head.headers.remove("transfer-encoding");
    } else {
        framing.announce(&mut head.headers);
    }
    if is_closing {
        head.headers.push("connection", "close");
    }
    head
}

/// Streams the response to the caller.
///
/// Where the backend server's response is truncated, the end of the body is not written and
/// `may_keep_alive` is false, so that the caller sees a truncated response too; to an HTTP/1.0 caller,
/// for which a close would be the end, the connection is reset. At most `max_kept_bytes` of body are
/// kept for repeats.
///
/// # Errors
/// Returns an error where writing to the caller fails.
pub async fn deliver(
    exchange: &Exchange,
    answer: &mut BackendResponse,
    caller: &mut Conn,
    is_closing: bool,
    max_kept_bytes: usize,
) -> Result<Delivered, HttpError> {
    let is_http_1_0 = exchange.head.minor == 0;
    let has_unknown_length = matches!(answer.framing, Framing::Chunked | Framing::UntilClose);
    let ends_with_close = is_http_1_0 && has_unknown_length;
    let is_closing = is_closing || ends_with_close;
    let framing = if ends_with_close {
        Framing::Empty
    } else {
        answer.framing
    };
    let head = caller_head(exchange, answer, framing, is_closing);
    let mut kept = Some(Vec::new());
    let mut bytes = 0;
    let mut unsent = head.encode();
    let mut writer = BodyWriter::new(caller, framing);
    loop {
        let piece = match next_piece(answer).await {
            Ok(Some(piece)) => piece,
            Ok(None) => break,
            Err(_) => {
                if ends_with_close {
                    caller.reset_on_close()?;
                } else {
                    caller.write(&unsent).await?;
                }
                return Ok(Delivered {
                    is_complete: false,
                    may_keep_alive: false,
                    bytes,
                    kept: None,
                });
            }
        };
        bytes += piece.len() as u64;
        append_limited(&mut kept, &piece, max_kept_bytes);
        if matches!(framing, Framing::Length(_)) && !unsent.is_empty() {
            // Sends the head and the first piece in one write.
            unsent.extend_from_slice(&piece);
            caller.write(&std::mem::take(&mut unsent)).await?;
            continue;
        }
        if !unsent.is_empty() {
            caller.write(&std::mem::take(&mut unsent)).await?;
        }
        writer.write(&piece).await?;
    }
    caller.write(&unsent).await?;
    writer.finish().await?;
    let kept = kept.map(|body| kept_answer(&head, body));
    Ok(Delivered {
        is_complete: true,
        may_keep_alive: !is_closing,
        bytes,
        kept,
    })
}

async fn next_piece(answer: &mut BackendResponse) -> Result<Option<Vec<u8>>, HttpError> {
    if !answer.prefetched.is_empty() {
        return Ok(Some(std::mem::take(&mut answer.prefetched)));
    }
    answer.reader.next(&mut answer.conn).await
}

/// Reads the complete response; `None` where its body exceeds `max_bytes`.
///
/// # Errors
/// Returns an error where the backend server's response is truncated.
pub async fn collect(
    exchange: &Exchange,
    answer: &mut BackendResponse,
    max_bytes: usize,
) -> Result<Option<StoredAnswer>, HttpError> {
    let head = caller_head(exchange, answer, answer.framing, false);
    let mut kept = Some(Vec::new());
    while let Some(piece) = next_piece(answer).await? {
        append_limited(&mut kept, &piece, max_bytes);
    }
    Ok(kept.map(|body| kept_answer(&head, body)))
}

fn append_limited(kept: &mut Option<Vec<u8>>, piece: &[u8], max_bytes: usize) {
    let fits = kept
        .as_ref()
        .is_some_and(|buffer| buffer.len() + piece.len() <= max_bytes);
    if !fits {
        *kept = None;
    }
    if let Some(buffer) = kept {
        buffer.extend_from_slice(piece);
    }
}

fn kept_answer(head: &ResponseHead, body: Vec<u8>) -> StoredAnswer {
    let kept_headers = head.headers.iter().filter(|(name, _)| {
        !name.eq_ignore_ascii_case("connection")
            && !name.eq_ignore_ascii_case("transfer-encoding")
            && !name.eq_ignore_ascii_case("content-length")
    });
    let headers = kept_headers
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    StoredAnswer {
        status: head.status,
        headers,
        body,
    }
}
