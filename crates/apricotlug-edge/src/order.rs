//! Orders, whose requests run at most once: decides which incarnation may run them, and answers
//! repeats.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use apricotlug_http::{Conn, Framing, RequestHead, ResponseHead};
use apricotlug_model::{Bundle, Repeat, Route, UnixTime};
use apricotlug_policy::order::{AttemptState, BeginOutcome, OrderId, OrderToken, StoredAnswer};

use crate::{
    exchange::{Exchange, RequestBody},
    refusal::{Outcome, Refusal},
    remote,
    shared::Shared,
};

/// Header that carries an order token.
pub const TOKEN_HEADER: &str = "apricotlug-order";

/// Header that carries the caller's own idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Name by which a caller identifies the order of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderName {
    /// Token issued by an instance.
    Token(OrderToken),
    /// Idempotency key chosen by the caller.
    Key(String),
}

/// Order that a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedOrder {
    /// Token or key that the caller sent.
    pub name: OrderName,
    /// Key in the table of orders.
    pub id: OrderId,
    /// Digest of method, target and content length; detects a reuse for another request.
    pub request: u64,
}

/// Decision on a request that may belong to an order.
#[derive(Debug)]
pub enum ClaimResult {
    /// Run it on this instance.
    Run,
    /// Send the stored answer to an earlier request of the order.
    Repeat(Arc<StoredAnswer>),
    /// Refuse it, with the outcome known so far.
    Refuse(Refusal),
}

/// Reads the order that a request names; `None` where it names none. Idempotent routes have no
/// orders.
///
/// # Errors
/// Returns a refusal where the token or key is malformed.
pub fn parse_order(
    route: &Route,
    account: Option<&str>,
    head: &RequestHead,
) -> Result<Option<NamedOrder>, Refusal> {
    if route.repeat == Repeat::Idempotent {
        return Ok(None);
    }
    let (name, key) = if let Some(text) = head.headers.text(TOKEN_HEADER) {
        let token: OrderToken = text.parse().map_err(|_| {
            Refusal::not_run(
                400,
                "malformed_token",
                "send a token as an instance issued it",
            )
        })?;
        (OrderName::Token(token), format!("token {text}"))
    } else if let Some(text) = head.headers.text(KEY_HEADER) {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(Refusal::not_run(
                400,
                "malformed_key",
                "send a key of 1 to 200 bytes",
            ));
        }
        (OrderName::Key(text.to_owned()), format!("key {text}"))
    } else {
        return Ok(None);
    };
    let request = digest(head);
    Ok(Some(NamedOrder {
        name,
        id: OrderId {
            account: account.map(str::to_owned),
            key,
        },
        request,
    }))
}

fn digest(head: &RequestHead) -> u64 {
    let mut hasher = DefaultHasher::new();
    head.method.hash(&mut hasher);
    head.target.hash(&mut hasher);
    head.headers.get("content-length").hash(&mut hasher);
    hasher.finish()
}

/// Decides whether this instance runs the request, forwards its order or refuses it.
pub async fn claim(
    shared: &Shared,
    bundle: &Arc<Bundle>,
    exchange: &Exchange,
    body: &mut RequestBody,
    caller: &mut Conn,
) -> ClaimResult {
    let Some(order) = &exchange.order else {
        return ClaimResult::Run;
    };
    match &order.name {
        OrderName::Token(token) if token.holder == shared.identity => {
            begin(shared, order, token.expires_at)
        }
        OrderName::Token(token) => {
            remote::forward(shared, bundle, exchange, body, caller, &token.holder).await
        }
        OrderName::Key(_) => remote::claim(shared, bundle, exchange, body, caller, order).await,
    }
}

/// Begins an order that is bound to this incarnation, or answers a repeat of it.
pub fn begin(shared: &Shared, order: &NamedOrder, expires_at: UnixTime) -> ClaimResult {
    let now = shared.clock.unix();
    match shared
        .decisions
        .orders()
        .begin(order.id.clone(), order.request, expires_at, now)
    {
        BeginOutcome::Run => ClaimResult::Run,
        BeginOutcome::Answered(answer) => ClaimResult::Repeat(answer),
        BeginOutcome::InProgress => ClaimResult::Refuse(Refusal {
            status: 409,
            code: "order_running",
            outcome: Outcome::Unknown,
            help: "ask again for its answer with the same token",
            retry_at: Some(now),
        }),
        BeginOutcome::AnsweredNotStored => ClaimResult::Refuse(answer_not_kept()),
        BeginOutcome::OutcomeUnknown => ClaimResult::Refuse(outcome_unknown()),
        BeginOutcome::RequestMismatch => ClaimResult::Refuse(Refusal::not_run(
            422,
            "order_mismatch",
            "use a token or key for one request only",
        )),
        BeginOutcome::InvalidExpiry => ClaimResult::Refuse(Refusal::not_run(
            400,
            "malformed_token",
            "send a token as an instance issued it",
        )),
        BeginOutcome::TableFull => ClaimResult::Refuse(Refusal::not_run(
            503,
            "orders_full",
            "ask the look-up for another instance",
        )),
    }
}

/// Returns the refusal of a request that may have run.
#[must_use]
pub fn outcome_unknown() -> Refusal {
    let help = "ask whether it was recorded before sending it again";
    Refusal::unknown(504, "outcome_unknown", help)
}

/// Returns the refusal of a request that ran, but whose answer was too large to keep.
#[must_use]
pub fn answer_not_kept() -> Refusal {
    Refusal {
        status: 409,
        code: "order_ran",
        outcome: Outcome::Ran,
        help: "it ran once; its answer was too large to keep",
        retry_at: None,
    }
}

/// Encodes a stored answer as the response to a repeat of its order.
#[must_use]
pub fn encode_repeat(exchange: &Exchange, answer: &StoredAnswer, is_closing: bool) -> Vec<u8> {
    let mut head = ResponseHead::new(answer.status, "Repeated");
    for (name, value) in &answer.headers {
        head.headers.push(name, value.clone());
    }
    head.headers.push("apricotlug-repeat", "1");
    Framing::Length(answer.body.len() as u64).announce(&mut head.headers);
    if is_closing {
        head.headers.push("connection", "close");
    }
    let mut bytes = head.encode();
    if exchange.head.method != "HEAD" {
        bytes.extend_from_slice(&answer.body);
    }
    bytes
}

/// Records in the table of orders that a request ended without a complete answer.
pub fn record_unanswered(shared: &Shared, exchange: &Exchange, state: AttemptState) {
    let Some(order) = &exchange.order else { return };
    match state {
        AttemptState::NotSent => shared.decisions.orders().set_not_run(&order.id),
        AttemptState::PerhapsRun | AttemptState::Answered => {
            shared.decisions.orders().set_outcome_unknown(&order.id);
        }
    }
}

/// Records in the table of orders that a request was answered; `None` where the answer is not
/// kept.
pub fn record_answered(shared: &Shared, exchange: &Exchange, kept: Option<StoredAnswer>) {
    let Some(order) = &exchange.order else { return };
    match kept {
        Some(answer) => shared
            .decisions
            .orders()
            .finish_with_answer(&order.id, answer),
        None => shared
            .decisions
            .orders()
            .finish_without_stored_answer(&order.id),
    }
}
