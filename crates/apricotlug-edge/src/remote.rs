//! Orders held by another incarnation, and orders claimed in the platform by idempotency key.

use std::{future::Future, pin::Pin, sync::Arc};

use apricotlug_http::{BodyReader, Conn, Framing, Headers, RequestHead};
use apricotlug_model::{Bundle, InstanceId};
use apricotlug_policy::order::StoredAnswer;
use serde::{Deserialize, Serialize};

use crate::{
    exchange::{Exchange, RequestBody},
    order::{self, ClaimResult, NamedOrder, OrderName, begin, outcome_unknown},
    refusal::{OUTCOME_HEADER, Outcome, Refusal},
    run, settle,
    shared::Shared,
};

/// Largest body of a forwarded order and of its answer, in bytes.
const MAX_FORWARDED_BYTES: usize = 256 * 1024;

/// Boxed future of a call to the rest of the fleet.
pub type FleetFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Result of forwarding an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// The holder answered with these bytes.
    Answered(Vec<u8>),
    /// The holder is unreachable, or its answer did not arrive.
    NoAnswer,
}

/// Result of claiming a caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyClaim {
    /// This call claimed the key for this incarnation.
    New,
    /// An earlier call claimed the key, for this incarnation or another one.
    HeldBy(InstanceId),
    /// The platform is unavailable, so the claim is unknown.
    Unavailable,
}

/// Calls of the request path to peers and to the platform.
pub trait Fleet: Send + Sync {
    /// Forwards an encoded order to the incarnation that holds it.
    fn forward(&self, to: InstanceId, order: Vec<u8>) -> FleetFuture<'_, Forwarded>;

    /// Claims a caller's idempotency key for this incarnation. `account` is empty on open routes.
    fn claim(&self, account: String, key: String) -> FleetFuture<'_, KeyClaim>;
}

/// Request of an order as sent between instances. The client account's key is not sent: the
/// receiving instance trusts the sender's identification of the account.
#[derive(Debug, Serialize, Deserialize)]
struct OrderWire {
    request_id: String,
    account: Option<String>,
    method: String,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

/// Answer to a forwarded order, as sent between instances.
#[derive(Debug, Serialize, Deserialize)]
enum AnswerWire {
    Answered {
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
        body: Vec<u8>,
    },
    NotRun {
        code: String,
    },
    Ran,
    Unknown,
}

/// Forwards a request to the incarnation that holds its order.
pub async fn forward(
    shared: &Shared,
    bundle: &Bundle,
    exchange: &Exchange,
    body: &mut RequestBody,
    caller: &mut Conn,
    holder: &InstanceId,
) -> ClaimResult {
    let Some(fleet) = shared.fleet() else {
        return ClaimResult::Refuse(outcome_unknown());
    };
    if let Err(refusal) = read_body(body, caller).await {
        return ClaimResult::Refuse(refusal);
    }
    let wire = OrderWire {
        request_id: exchange.id.clone(),
        account: exchange.account.map(|key| bundle.accounts[key].id.clone()),
        method: exchange.head.method.clone(),
        target: exchange.head.target.clone(),
        headers: exchange
            .head
            .headers
            .iter()
            .map(|(n, v)| (n.to_owned(), v.to_owned()))
            .collect(),
        body: std::mem::take(&mut body.buffered),
    };
    let Ok(order) = serde_json::to_vec(&wire) else {
        return ClaimResult::Refuse(outcome_unknown());
    };
    let forwarded = fleet.forward(holder.clone(), order).await;
    tracing::info!(
        kind = "order_forwarded",
        request = exchange.id,
        holder = %holder,
        is_answered = matches!(forwarded, Forwarded::Answered(_)),
    );
    match forwarded {
        Forwarded::Answered(bytes) => decode_answer(&bytes),
        Forwarded::NoAnswer => ClaimResult::Refuse(outcome_unknown()),
    }
}

fn decode_answer(bytes: &[u8]) -> ClaimResult {
    match serde_json::from_slice(bytes) {
        Ok(AnswerWire::Answered {
            status,
            headers,
            body,
        }) => ClaimResult::Repeat(Arc::new(StoredAnswer {
            status,
            headers,
            body,
        })),
        Ok(AnswerWire::NotRun { .. }) => ClaimResult::Refuse(Refusal::not_run(
            503,
            "holder_refused",
            "the instance that holds the order refused it; come again shortly",
        )),
        Ok(AnswerWire::Ran) => ClaimResult::Refuse(order::answer_not_kept()),
        Ok(AnswerWire::Unknown) | Err(_) => ClaimResult::Refuse(outcome_unknown()),
    }
}

async fn read_body(body: &mut RequestBody, caller: &mut Conn) -> Result<(), Refusal> {
    let too_large = Refusal::not_run(
        413,
        "order_too_large_to_forward",
        "send it to the instance that issued the token",
    );
    loop {
        match body.reader.next(caller).await {
            Ok(None) => return Ok(()),
            Ok(Some(piece)) => {
                if body.buffered.len() + piece.len() > MAX_FORWARDED_BYTES {
                    return Err(too_large);
                }
                body.buffered.extend_from_slice(&piece);
            }
            Err(e) => {
                let incomplete = Refusal::not_run(400, "request_cut", "send the whole request");
                return Err(crate::refusal::for_http_error(&e).unwrap_or(incomplete));
            }
        }
    }
}

/// Claims the order of a caller's idempotency key, and runs, forwards or refuses it accordingly.
pub async fn claim(
    shared: &Shared,
    bundle: &Bundle,
    exchange: &Exchange,
    body: &mut RequestBody,
    caller: &mut Conn,
    order: &NamedOrder,
) -> ClaimResult {
    let unavailable = Refusal::not_run(
        503,
        "claim_unavailable",
        "send an order token, which needs no claim",
    );
    let Some(fleet) = shared.fleet() else {
        return ClaimResult::Refuse(unavailable);
    };
    let account = exchange
        .account
        .map_or("", |key| bundle.accounts[key].id.as_str());
    match fleet.claim(account.to_owned(), order.id.key.clone()).await {
        KeyClaim::New => {
            let lifetime = shared.decisions.orders().limits().max_token_lifetime;
            begin(shared, order, shared.clock.unix().after(lifetime))
        }
        // An expiry in the past starts no new run: only orders still in the table are answered.
        KeyClaim::HeldBy(holder) if holder == shared.identity => {
            begin(shared, order, shared.clock.unix())
        }
        KeyClaim::HeldBy(holder) => forward(shared, bundle, exchange, body, caller, &holder).await,
        KeyClaim::Unavailable => ClaimResult::Refuse(unavailable),
    }
}

/// Runs an order that another instance forwarded, or answers a repeat of it. Returns the encoded
/// answer.
pub async fn answer_order(shared: &Shared, order: &[u8]) -> Vec<u8> {
    let answer = match serde_json::from_slice::<OrderWire>(order) {
        Ok(wire) => run_forwarded(shared, wire).await,
        Err(_) => AnswerWire::NotRun {
            code: "malformed".to_owned(),
        },
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}

async fn run_forwarded(shared: &Shared, wire: OrderWire) -> AnswerWire {
    let not_run = |code: &str| AnswerWire::NotRun {
        code: code.to_owned(),
    };
    let Some(bundle) = shared.view.load().bundle.clone() else {
        return not_run("no_bundle");
    };
    let Some((exchange, body)) = exchange_from_wire(shared, &bundle, wire) else {
        return not_run("no_route");
    };
    let Some(order) = &exchange.order else {
        return not_run("no_order");
    };
    let claimed = match &order.name {
        OrderName::Token(token) if token.holder != shared.identity => return AnswerWire::Unknown,
        OrderName::Token(token) => begin(shared, order, token.expires_at),
        OrderName::Key(_) => begin(shared, order, shared.clock.unix()),
    };
    let refusal = match claimed {
        ClaimResult::Repeat(answer) => return encode_answer(&answer),
        ClaimResult::Refuse(refusal) => refusal,
        ClaimResult::Run => match run_local(shared, &bundle, &exchange, body).await {
            Ok(answer) => return encode_answer(&answer),
            Err(refusal) => refusal,
        },
    };
    match refusal.outcome {
        Outcome::NotRun => not_run(refusal.code),
        Outcome::Ran => AnswerWire::Ran,
        Outcome::Unknown => AnswerWire::Unknown,
    }
}

async fn run_local(
    shared: &Shared,
    bundle: &Arc<Bundle>,
    exchange: &Exchange,
    mut body: RequestBody,
) -> Result<StoredAnswer, Refusal> {
    let _in_flight = shared.drain.count_request();
    match run::await_response(shared, bundle, exchange, &mut body, None).await {
        Ok(response) => settle::collected(shared, exchange, response, MAX_FORWARDED_BYTES).await,
        Err(end) => {
            order::record_unanswered(shared, exchange, end.state);
            Err(end.refusal)
        }
    }
}

fn encode_answer(answer: &StoredAnswer) -> AnswerWire {
    AnswerWire::Answered {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body.clone(),
    }
}

fn exchange_from_wire(
    shared: &Shared,
    bundle: &Bundle,
    wire: OrderWire,
) -> Option<(Exchange, RequestBody)> {
    let mut headers = Headers::default();
    for (name, value) in wire.headers {
        headers.push(&name, value);
    }
    headers.remove(OUTCOME_HEADER);
    let head = RequestHead {
        method: wire.method,
        target: wire.target,
        minor: 1,
        headers,
    };
    let route = bundle.route(head.path())?;
    let account = match wire.account {
        Some(id) => Some(bundle.accounts.find(|account| account.id == id)?),
        None => None,
    };
    let name = account.map(|key| bundle.accounts[key].id.as_str());
    let order = order::parse_order(&bundle.routes[route], name, &head).ok()?;
    let framing = Framing::Length(wire.body.len() as u64);
    let arrived_at = shared.clock.now();
    let timeout = std::time::Duration::from_millis(bundle.routes[route].timeout_ms.into());
    let mut body = RequestBody::new(BodyReader::new(Framing::Empty, 0));
    body.buffered = wire.body;
    let mut exchange = Exchange {
        id: wire.request_id,
        head,
        framing,
        route,
        account,
        order,
        is_closing: false,
        caller: std::net::Ipv4Addr::UNSPECIFIED.into(),
        arrived_at,
        deadline: arrived_at.after(timeout),
    };
    framing.announce(&mut exchange.head.headers);
    Some((exchange, body))
}
