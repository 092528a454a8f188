//! Ends a request: delivers its answer or its refusal, records its order, returns connections.

use apricotlug_http::Conn;
use apricotlug_policy::{
    order::{AttemptState, KeptAnswer},
    placement::{Outcome, Traffic},
};

use crate::{
    attempt::Answer,
    deliver::{collect, deliver},
    exchange::{Exchange, RequestBody},
    order,
    refusal::{self, Refusal},
    run::{Obtained, Unanswered},
    shared::Shared,
};

/// Whether the caller's connection goes on after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It may carry another request.
    KeepAlive,
    /// It is closed.
    Close,
}

/// What a request came to, for the log and the metrics.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// Status that the caller got.
    pub status: u16,
    /// What became of the request.
    pub result: &'static str,
    /// Attempts made.
    pub attempts: u32,
    /// Body bytes passed on.
    pub bytes: u64,
    /// Whether the caller's connection goes on.
    pub next: Next,
}

impl End {
    fn closing(status: u16, result: &'static str, attempts: u32) -> Self {
        Self {
            status,
            result,
            attempts,
            bytes: 0,
            next: Next::Close,
        }
    }
}

/// Delivers an answer to the caller.
pub async fn answered(
    conn: &mut Conn,
    shared: &Shared,
    ex: &Exchange,
    obtained: Obtained<'_>,
) -> End {
    let Obtained {
        mut answer,
        mut permit,
        attempts,
    } = obtained;
    let status = answer.head.status;
    let is_closing = !answer.is_request_whole || ex.is_closing || shared.drain.is_leaving();
    let keep_bytes = if ex.order.is_some() {
        shared.gate.kept_answer_bytes()
    } else {
        0
    };
    let Ok(delivered) = deliver(ex, &mut answer, conn, is_closing, keep_bytes).await else {
        order::settle_unanswered(shared, ex, AttemptState::PerhapsRun);
        return End::closing(status, "caller_gone", attempts);
    };
    if !delivered.is_whole {
        permit.outcome = Outcome::Broken;
        order::settle_unanswered(shared, ex, AttemptState::PerhapsRun);
        return End::closing(status, "answer_cut", attempts);
    }
    permit.account_bytes(Traffic {
        sent: ex.sent_bytes(),
        received: delivered.bytes,
    });
    order::settle_answered(shared, ex, delivered.kept);
    drop(permit);
    reuse(shared, answer).await;
    if !delivered.may_go_on {
        conn.linger().await;
    }
    let next = if delivered.may_go_on {
        Next::KeepAlive
    } else {
        Next::Close
    };
    End {
        status,
        result: "answered",
        attempts,
        bytes: delivered.bytes,
        next,
    }
}

/// Reads the whole answer to a request that another instance passed on.
///
/// # Errors
/// Returns what its caller is told where the answer is cut or too large to pass back.
pub async fn collected(
    shared: &Shared,
    ex: &Exchange,
    obtained: Obtained<'_>,
    most: usize,
) -> Result<KeptAnswer, Refusal> {
    let Obtained {
        mut answer,
        mut permit,
        ..
    } = obtained;
    let Ok(kept) = collect(ex, &mut answer, most).await else {
        permit.outcome = Outcome::Broken;
        order::settle_unanswered(shared, ex, AttemptState::PerhapsRun);
        return Err(order::unknown());
    };
    drop(permit);
    let Some(kept) = kept else {
        order::settle_answered(shared, ex, None);
        return Err(order::ran_unkept());
    };
    order::settle_answered(shared, ex, Some(kept.clone()));
    reuse(shared, answer).await;
    Ok(kept)
}

async fn reuse(shared: &Shared, answer: Answer) {
    if !answer.is_request_whole || !answer.is_echoed || !answer.head.is_keep_alive() {
        return;
    }
    if let Ok(addr) = answer.conn.peer_addr() {
        shared.pool.put(addr, answer.conn).await;
    }
}

/// Answers a request that got no answer from a backend server.
pub async fn unanswered(
    conn: &mut Conn,
    shared: &Shared,
    ex: &Exchange,
    body: &RequestBody,
    end: Unanswered,
) -> End {
    order::settle_unanswered(shared, ex, end.state);
    refused(conn, shared, ex, body, &end.refusal, end.attempts).await
}

/// Refuses an admitted request.
pub async fn refused(
    conn: &mut Conn,
    shared: &Shared,
    ex: &Exchange,
    body: &RequestBody,
    refusal: &Refusal,
    attempts: u32,
) -> End {
    let is_closing = is_closing(shared, ex, body);
    let bytes = refusal.encode(&ex.id, shared.clock.unix(), is_closing);
    let end = End::closing(refusal.status, refusal.outcome.as_str(), attempts);
    reply(conn, &bytes, is_closing, end).await
}

/// Answers the repeat of an order from memory.
pub async fn repeated(
    conn: &mut Conn,
    shared: &Shared,
    ex: &Exchange,
    body: &RequestBody,
    answer: &KeptAnswer,
) -> End {
    let is_closing = is_closing(shared, ex, body);
    let bytes = order::encode_repeat(ex, answer, is_closing);
    reply(
        conn,
        &bytes,
        is_closing,
        End::closing(answer.status, "repeated", 0),
    )
    .await
}

fn is_closing(shared: &Shared, ex: &Exchange, body: &RequestBody) -> bool {
    ex.is_closing || !body.reader.is_done() || shared.drain.is_leaving()
}

async fn reply(conn: &mut Conn, bytes: &[u8], is_closing: bool, end: End) -> End {
    match refusal::send(conn, bytes, is_closing).await {
        Ok(()) if !is_closing => End {
            next: Next::KeepAlive,
            ..end
        },
        _ => end,
    }
}
