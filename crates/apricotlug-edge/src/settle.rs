//! Ends a request: delivers the response or refusal, records the order, and returns the connection
//! to the pool.

use apricotlug_http::Conn;
use apricotlug_policy::{
    order::{AttemptState, StoredAnswer},
    placement::{Outcome, TransferredBytes},
};

use crate::{
    attempt::BackendResponse,
    deliver::{collect, deliver},
    exchange::{Exchange, RequestBody},
    order,
    refusal::{self, Refusal},
    run::{PendingResponse, Unanswered},
    shared::Shared,
};

/// Whether the caller's connection stays open after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It is reused for the next request.
    KeepAlive,
    /// It is closed.
    Close,
}

/// Result of a request, for the log and the metrics.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd {
    /// HTTP status sent to the caller.
    pub status: u16,
    /// Result code for the log and the request metric.
    pub result: &'static str,
    /// Number of attempts made; zero where no backend server was called.
    pub attempts: u32,
    /// Body bytes passed on; zero unless a backend server's response was delivered completely.
    pub bytes: u64,
    /// Whether the caller's connection stays open.
    pub connection: ConnectionAction,
}

impl RequestEnd {
    fn closing(status: u16, result: &'static str, attempts: u32) -> Self {
        Self {
            status,
            result,
            attempts,
            bytes: 0,
            connection: ConnectionAction::Close,
        }
    }
}

/// Delivers a backend server's response to the caller.
pub async fn answered(
    conn: &mut Conn,
    shared: &Shared,
    exchange: &Exchange,
    response: PendingResponse<'_>,
) -> RequestEnd {
    let PendingResponse {
        mut answer,
        mut permit,
        attempts,
    } = response;
    let status = answer.head.status;
    let is_closing =
        !answer.is_request_complete || exchange.is_closing || shared.drain.is_leaving();
    let max_kept_bytes = if exchange.order.is_some() {
        shared.decisions.kept_answer_bytes()
    } else {
        0
    };
    let Ok(delivered) = deliver(exchange, &mut answer, conn, is_closing, max_kept_bytes).await
    else {
        order::record_unanswered(shared, exchange, AttemptState::PerhapsRun);
        return RequestEnd::closing(status, "caller_gone", attempts);
    };
    if !delivered.is_complete {
        permit.outcome = Outcome::Broken;
        order::record_unanswered(shared, exchange, AttemptState::PerhapsRun);
        return RequestEnd::closing(status, "answer_cut", attempts);
    }
    permit.charge_bytes(TransferredBytes {
        sent: exchange.sent_bytes(),
        received: delivered.bytes,
    });
    order::record_answered(shared, exchange, delivered.kept);
    drop(permit);
    return_to_pool(shared, answer).await;
    if !delivered.may_keep_alive {
        conn.linger().await;
    }
    let connection = if delivered.may_keep_alive {
        ConnectionAction::KeepAlive
    } else {
        ConnectionAction::Close
    };
    RequestEnd {
        status,
        result: "answered",
        attempts,
        bytes: delivered.bytes,
        connection,
    }
}

/// Reads the complete answer to a request that another instance forwarded.
///
/// # Errors
/// Returns the refusal for the caller where the answer is truncated or exceeds `max_bytes`.
pub async fn collected(
    shared: &Shared,
    exchange: &Exchange,
    response: PendingResponse<'_>,
    max_bytes: usize,
) -> Result<StoredAnswer, Refusal> {
    let PendingResponse {
        mut answer,
        mut permit,
        ..
    } = response;
    let Ok(kept) = collect(exchange, &mut answer, max_bytes).await else {
        permit.outcome = Outcome::Broken;
        order::record_unanswered(shared, exchange, AttemptState::PerhapsRun);
        return Err(order::outcome_unknown());
    };
    drop(permit);
    let Some(kept) = kept else {
        order::record_answered(shared, exchange, None);
        return Err(order::answer_not_kept());
    };
    order::record_answered(shared, exchange, Some(kept.clone()));
    return_to_pool(shared, answer).await;
    Ok(kept)
}

async fn return_to_pool(shared: &Shared, answer: BackendResponse) {
    if !answer.is_request_complete || !answer.echoes_request_id || !answer.head.is_keep_alive() {
        return;
    }
    if let Ok(addr) = answer.conn.peer_addr() {
        shared.pool.put(addr, answer.conn).await;
    }
}

/// Refuses a request that got no response from a backend server.
pub async fn unanswered(
    conn: &mut Conn,
    shared: &Shared,
    exchange: &Exchange,
    body: &RequestBody,
    end: Unanswered,
) -> RequestEnd {
    order::record_unanswered(shared, exchange, end.state);
    refused(conn, shared, exchange, body, &end.refusal, end.attempts).await
}

/// Refuses an admitted request.
pub async fn refused(
    conn: &mut Conn,
    shared: &Shared,
    exchange: &Exchange,
    body: &RequestBody,
    refusal: &Refusal,
    attempts: u32,
) -> RequestEnd {
    let is_closing = must_close(shared, exchange, body);
    let bytes = refusal.encode(&exchange.id, shared.clock.unix(), is_closing);
    let end = RequestEnd::closing(refusal.status, refusal.outcome.as_str(), attempts);
    send_and_end(conn, &bytes, is_closing, end).await
}

/// Answers a repeat of an order with the stored answer.
pub async fn repeated(
    conn: &mut Conn,
    shared: &Shared,
    exchange: &Exchange,
    body: &RequestBody,
    answer: &StoredAnswer,
) -> RequestEnd {
    let is_closing = must_close(shared, exchange, body);
    let bytes = order::encode_repeat(exchange, answer, is_closing);
    send_and_end(
        conn,
        &bytes,
        is_closing,
        RequestEnd::closing(answer.status, "repeated", 0),
    )
    .await
}

fn must_close(shared: &Shared, exchange: &Exchange, body: &RequestBody) -> bool {
    exchange.is_closing || !body.reader.is_done() || shared.drain.is_leaving()
}

async fn send_and_end(
    conn: &mut Conn,
    bytes: &[u8],
    is_closing: bool,
    end: RequestEnd,
) -> RequestEnd {
    match refusal::send(conn, bytes, is_closing).await {
        Ok(()) if !is_closing => RequestEnd {
            connection: ConnectionAction::KeepAlive,
            ..end
        },
        _ => end,
    }
}
