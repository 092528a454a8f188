//! Orders that another incarnation holds, and orders that are claimed in the platform.

use std::{future::Future, pin::Pin, sync::Arc};

use apricotlug_http::{BodyReader, Conn, Framing, Headers, RequestHead};
use apricotlug_model::{Bundle, InstanceId};
use apricotlug_policy::order::KeptAnswer;
use serde::{Deserialize, Serialize};

use crate::{
    exchange::{Exchange, RequestBody},
    order::{self, Claimed, NamedOrder, OrderName, begin, unknown},
    refusal::{OUTCOME_HEADER, Outcome, Refusal},
    run, settle,
    shared::Shared,
};

/// Largest body of an order that is passed on, in bytes.
const MAX_FORWARDED_BYTES: usize = 256 * 1024;

/// Boxed future of a call to the rest of the fleet.
pub type FleetFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// What became of an order that was passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// The holder answered with these bytes.
    Answered(Vec<u8>),
    /// The holder is gone or cannot be reached, or its answer did not arrive.
    NoAnswer,
}

/// Who may run the order of a caller's own key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyClaim {
    /// This incarnation, by this very call.
    New,
    /// This incarnation or another one, by an earlier call.
    HeldBy(InstanceId),
    /// Nobody learned it: the platform cannot be asked.
    Unavailable,
}

/// The rest of the fleet and the platform, as the request path sees them.
pub trait Fleet: Send + Sync {
    /// Passes an order on to the incarnation that holds it.
    fn forward(&self, to: InstanceId, order: Vec<u8>) -> FleetFuture<'_, Forwarded>;

    /// Claims a caller's own key for this incarnation.
    fn claim(&self, account: String, key: String) -> FleetFuture<'_, KeyClaim>;
}

/// Request for an order as it travels between instances. The key of the client account stays
/// behind: the instance that received it vouches for the account.
#[derive(Debug, Serialize, Deserialize)]
struct OrderWire {
    request_id: String,
    account: Option<String>,
    method: String,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

/// Answer to it.
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

/// Passes a request on to the incarnation that holds its order.
pub async fn forward(
    shared: &Shared,
    bundle: &Bundle,
    ex: &Exchange,
    body: &mut RequestBody,
    caller: &mut Conn,
    holder: &InstanceId,
) -> Claimed {
    let Some(fleet) = shared.fleet() else {
        return Claimed::Refuse(unknown());
    };
    if let Err(refusal) = read_whole(body, caller).await {
        return Claimed::Refuse(refusal);
    }
    let wire = OrderWire {
        request_id: ex.id.clone(),
        account: ex.account.map(|key| bundle.accounts[key].id.clone()),
        method: ex.head.method.clone(),
        target: ex.head.target.clone(),
        headers: ex
            .head
            .headers
            .iter()
            .map(|(n, v)| (n.to_owned(), v.to_owned()))
            .collect(),
        body: std::mem::take(&mut body.kept),
    };
    let Ok(order) = serde_json::to_vec(&wire) else {
        return Claimed::Refuse(unknown());
    };
    let forwarded = fleet.forward(holder.clone(), order).await;
    tracing::info!(
        kind = "order_forwarded",
        request = ex.id,
        holder = %holder,
        is_answered = matches!(forwarded, Forwarded::Answered(_)),
    );
    match forwarded {
        Forwarded::Answered(bytes) => claimed_from(&bytes),
        Forwarded::NoAnswer => Claimed::Refuse(unknown()),
    }
}

fn claimed_from(bytes: &[u8]) -> Claimed {
    match serde_json::from_slice(bytes) {
        Ok(AnswerWire::Answered {
            status,
            headers,
            body,
        }) => Claimed::Repeat(Arc::new(KeptAnswer {
            status,
            headers,
            body,
        })),
        Ok(AnswerWire::NotRun { .. }) => Claimed::Refuse(Refusal::not_run(
            503,
            "holder_refused",
            "the instance that holds the order refused it; come again shortly",
        )),
        Ok(AnswerWire::Ran) => Claimed::Refuse(order::ran_unkept()),
        Ok(AnswerWire::Unknown) | Err(_) => Claimed::Refuse(unknown()),
    }
}

async fn read_whole(body: &mut RequestBody, caller: &mut Conn) -> Result<(), Refusal> {
    let too_large = Refusal::not_run(
        413,
        "order_too_large_to_forward",
        "send it to the instance that issued the token",
    );
    loop {
        match body.reader.next(caller).await {
            Ok(None) => return Ok(()),
            Ok(Some(piece)) => {
                if body.kept.len() + piece.len() > MAX_FORWARDED_BYTES {
                    return Err(too_large);
                }
                body.kept.extend_from_slice(&piece);
            }
            Err(e) => {
                let cut = Refusal::not_run(400, "request_cut", "send the whole request");
                return Err(crate::refusal::malformed(&e).unwrap_or(cut));
            }
        }
    }
}

/// Claims the order of a caller's own key: runs it here, passes it on, or refuses it.
pub async fn claim(
    shared: &Shared,
    bundle: &Bundle,
    ex: &Exchange,
    body: &mut RequestBody,
    caller: &mut Conn,
    order: &NamedOrder,
) -> Claimed {
    let unavailable = Refusal::not_run(
        503,
        "claim_unavailable",
        "send an order token, which needs no claim",
    );
    let Some(fleet) = shared.fleet() else {
        return Claimed::Refuse(unavailable);
    };
    let account = ex
        .account
        .map_or("", |key| bundle.accounts[key].id.as_str());
    match fleet.claim(account.to_owned(), order.id.key.clone()).await {
        KeyClaim::New => {
            let life = shared.gate.orders().limits().token_life;
            begin(shared, order, shared.clock.unix().after(life))
        }
        // An expiry that has passed starts no run: only what is remembered is answered.
        KeyClaim::HeldBy(holder) if holder == shared.identity => {
            begin(shared, order, shared.clock.unix())
        }
        KeyClaim::HeldBy(holder) => forward(shared, bundle, ex, body, caller, &holder).await,
        KeyClaim::Unavailable => Claimed::Refuse(unavailable),
    }
}

/// Runs an order that another instance passed on, or answers its repeat.
pub async fn answer(shared: &Shared, order: &[u8]) -> Vec<u8> {
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
    let Some((ex, body)) = exchange(shared, &bundle, wire) else {
        return not_run("no_route");
    };
    let Some(order) = &ex.order else {
        return not_run("no_order");
    };
    let claimed = match &order.name {
        OrderName::Token(token) if token.holder != shared.identity => return AnswerWire::Unknown,
        OrderName::Token(token) => begin(shared, order, token.expires_at),
        OrderName::Key(_) => begin(shared, order, shared.clock.unix()),
    };
    let refusal = match claimed {
        Claimed::Repeat(answer) => return answered(&answer),
        Claimed::Refuse(refusal) => refusal,
        Claimed::Run => match run_here(shared, &bundle, &ex, body).await {
            Ok(answer) => return answered(&answer),
            Err(refusal) => refusal,
        },
    };
    match refusal.outcome {
        Outcome::NotRun => not_run(refusal.code),
        Outcome::Ran => AnswerWire::Ran,
        Outcome::Unknown => AnswerWire::Unknown,
    }
}

async fn run_here(
    shared: &Shared,
    bundle: &Arc<Bundle>,
    ex: &Exchange,
    mut body: RequestBody,
) -> Result<KeptAnswer, Refusal> {
    let _in_flight = shared.drain.enter();
    match run::obtain(shared, bundle, ex, &mut body, None).await {
        Ok(obtained) => settle::collected(shared, ex, obtained, MAX_FORWARDED_BYTES).await,
        Err(end) => {
            order::settle_unanswered(shared, ex, end.state);
            Err(end.refusal)
        }
    }
}

fn answered(answer: &KeptAnswer) -> AnswerWire {
    AnswerWire::Answered {
        status: answer.status,
        headers: answer.headers.clone(),
        body: answer.body.clone(),
    }
}

fn exchange(shared: &Shared, bundle: &Bundle, wire: OrderWire) -> Option<(Exchange, RequestBody)> {
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
    let order = order::named(&bundle.routes[route], name, &head).ok()?;
    let framing = Framing::Length(wire.body.len() as u64);
    let arrived_at = shared.clock.now();
    let timeout = std::time::Duration::from_millis(bundle.routes[route].timeout_ms.into());
    let mut body = RequestBody::new(BodyReader::new(Framing::Empty, 0));
    body.kept = wire.body;
    let mut ex = Exchange {
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
    framing.announce(&mut ex.head.headers);
    Some((ex, body))
}
