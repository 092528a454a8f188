//! Passes a verified answer on to the caller, and keeps a small one for repeats of an order.

use apricotlug_http::{BodyWriter, Conn, Framing, HttpError, ResponseHead};
use apricotlug_policy::order::KeptAnswer;

use crate::{
    attempt::Answer,
    exchange::Exchange,
    refusal::{OUTCOME_HEADER, REQUEST_ID_HEADER},
};

/// What became of an answer on its way to the caller.
#[derive(Debug)]
pub struct Delivered {
    /// Whether the backend server's leg was whole.
    pub is_whole: bool,
    /// Whether the caller's connection may carry another request.
    pub may_go_on: bool,
    /// Body bytes passed on.
    pub bytes: u64,
    /// The answer, where it was whole and small enough to keep.
    pub kept: Option<KeptAnswer>,
}

/// Returns the head as the caller gets it.
fn caller_head(ex: &Exchange, answer: &Answer, framing: Framing, is_closing: bool) -> ResponseHead {
    let mut head = answer.head.clone();
    head.headers.remove_hop_by_hop();
    head.headers.remove(REQUEST_ID_HEADER);
    head.headers.remove(OUTCOME_HEADER);
    head.headers.push(REQUEST_ID_HEADER, ex.id.as_str());
    let is_bodiless = ex.head.method == "HEAD" || matches!(head.status, 204 | 304);
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

/// Passes the answer on, body piece by piece.
///
/// Where the backend server's leg comes up short, the caller's connection must be closed before
/// the declared end of the body: `may_go_on` is false then, and the end is not written.
///
/// # Errors
/// Returns an error where the caller's leg fails.
pub async fn deliver(
    ex: &Exchange,
    answer: &mut Answer,
    caller: &mut Conn,
    is_closing: bool,
    keep_bytes: usize,
) -> Result<Delivered, HttpError> {
    let is_old_caller = ex.head.minor == 0;
    let has_no_length = matches!(answer.framing, Framing::Chunked | Framing::UntilClose);
    let is_closing = is_closing || (is_old_caller && has_no_length);
    let framing = if is_old_caller && has_no_length {
        Framing::Empty
    } else {
        answer.framing
    };
    let head = caller_head(ex, answer, framing, is_closing);
    let mut kept = Some(Vec::new());
    let mut bytes = 0;
    let mut out = head.encode();
    let mut writer = BodyWriter::new(caller, framing);
    loop {
        let piece = match next_piece(answer).await {
            Ok(Some(piece)) => piece,
            Ok(None) => break,
            Err(_) => {
                caller.write(&out).await?;
                return Ok(Delivered {
                    is_whole: false,
                    may_go_on: false,
                    bytes,
                    kept: None,
                });
            }
        };
        bytes += piece.len() as u64;
        keep(&mut kept, &piece, keep_bytes);
        if matches!(framing, Framing::Length(_)) && !out.is_empty() {
            // Head and first piece leave in one write.
            out.extend_from_slice(&piece);
            caller.write(&std::mem::take(&mut out)).await?;
            continue;
        }
        if !out.is_empty() {
            caller.write(&std::mem::take(&mut out)).await?;
        }
        writer.write(&piece).await?;
    }
    caller.write(&out).await?;
    writer.finish().await?;
    let kept = kept.map(|body| kept_answer(&head, body));
    Ok(Delivered {
        is_whole: true,
        may_go_on: !is_closing,
        bytes,
        kept,
    })
}

async fn next_piece(answer: &mut Answer) -> Result<Option<Vec<u8>>, HttpError> {
    if !answer.prefetched.is_empty() {
        return Ok(Some(std::mem::take(&mut answer.prefetched)));
    }
    answer.reader.next(&mut answer.conn).await
}

/// Reads the whole answer; `None` where it has more than `most` bytes.
///
/// # Errors
/// Returns an error where the backend server's leg comes up short.
pub async fn collect(
    ex: &Exchange,
    answer: &mut Answer,
    most: usize,
) -> Result<Option<KeptAnswer>, HttpError> {
    let head = caller_head(ex, answer, answer.framing, false);
    let mut kept = Some(Vec::new());
    while let Some(piece) = next_piece(answer).await? {
        keep(&mut kept, &piece, most);
    }
    Ok(kept.map(|body| kept_answer(&head, body)))
}

fn keep(kept: &mut Option<Vec<u8>>, piece: &[u8], most: usize) {
    let fits = kept
        .as_ref()
        .is_some_and(|held| held.len() + piece.len() <= most);
    if !fits {
        *kept = None;
    }
    if let Some(held) = kept {
        held.extend_from_slice(piece);
    }
}

fn kept_answer(head: &ResponseHead, body: Vec<u8>) -> KeptAnswer {
    let lines = head.headers.iter().filter(|(name, _)| {
        !name.eq_ignore_ascii_case("connection")
            && !name.eq_ignore_ascii_case("transfer-encoding")
            && !name.eq_ignore_ascii_case("content-length")
    });
    let headers = lines
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    KeptAnswer {
        status: head.status,
        headers,
        body,
    }
}
