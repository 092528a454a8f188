//! Serves callers' connections: frames, identifies and admits each request, then runs or refuses
//! it.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use apricotlug_http::{
    BodyReader, Conn, Framing, HttpError, RequestHead, Step, Turn, request_framing,
};
use apricotlug_model::{Bundle, MonoTime};
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};

use crate::{
    decisions::{AdmissionTry, NotAdmitted},
    exchange::{Exchange, RequestBody, log_end},
    identify::{Unidentified, identify},
    order::{self, ClaimResult},
    refusal::{self, DEADLINE_HEADER, REQUEST_ID_HEADER, Refusal},
    run,
    settle::{self, ConnectionAction, RequestEnd},
    shared::Shared,
    token_wait::{MAX_WAIT, POLL_INTERVAL},
};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024 * 1024;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const NO_BUNDLE: Refusal =
    Refusal::not_run(503, "no_bundle", "ask the look-up for another instance");

const NO_ROUTE: Refusal = Refusal::not_run(404, "no_route", "use a path that the bundle routes");

/// Accepts callers' connections for as long as the task runs.
pub async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut turn = Turn::default();
    loop {
        turn.take(Step::Transfer).await;
        match listener.accept().await {
            Ok((stream, peer)) => {
                task::spawn(serve(stream, peer, Arc::clone(&shared)));
            }
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept connection");
                // The likely cause is a lack of file descriptors, which closing connections free.
                task::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, peer: SocketAddr, shared: Arc<Shared>) {
    let mut conn = Conn::new(stream, shared.limits);
    while serve_one(&mut conn, peer, &shared).await == ConnectionAction::KeepAlive {}
}

async fn serve_one(conn: &mut Conn, peer: SocketAddr, shared: &Shared) -> ConnectionAction {
    let head = conn.read_request().await;
    let arrived_at = shared.clock.now();
    let _in_flight = shared.drain.count_request();
    let id = shared.next_request_id();
    let head = match head {
        Ok(head) => head,
        Err(e) => return refuse_malformed(conn, shared, &id, &e).await,
    };
    let framing = match request_framing(&head) {
        Ok(framing) => framing,
        Err(e) => return refuse_malformed(conn, shared, &id, &e).await,
    };
    let expects_continue = head
        .headers
        .list("expect")
        .iter()
        .any(|e| e == "100-continue");
    let is_closing = !head.is_keep_alive() || shared.drain.is_leaving();
    let arrival = Arrival {
        id: id.clone(),
        framing,
        caller: peer.ip(),
        arrived_at,
        is_closing,
    };
    let (bundle, exchange) = match admit(shared, head, arrival).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            // An unread body must not be parsed as the next request.
            let is_closing = is_closing || framing != Framing::Empty;
            return refuse(conn, shared, &id, &refusal, is_closing).await;
        }
    };
    if expects_continue && conn.write(CONTINUE).await.is_err() {
        return ConnectionAction::Close;
    }
    let end = run_or_repeat(conn, shared, &bundle, &exchange).await;
    let latency = shared.clock.now().since(exchange.arrived_at);
    log_end(&exchange, &bundle, &end, latency);
    shared
        .metrics
        .on_request(&bundle.routes[exchange.route].id, end.result, latency);
    end.connection
}

async fn refuse_malformed(
    conn: &mut Conn,
    shared: &Shared,
    id: &str,
    error: &HttpError,
) -> ConnectionAction {
    let Some(refusal) = refusal::for_http_error(error) else {
        return ConnectionAction::Close;
    };
    refuse(conn, shared, id, &refusal, true).await
}

async fn refuse(
    conn: &mut Conn,
    shared: &Shared,
    id: &str,
    refusal: &Refusal,
    is_closing: bool,
) -> ConnectionAction {
    tracing::info!(
        kind = "refusal",
        request = id,
        status = refusal.status,
        code = refusal.code
    );
    shared.metrics.on_request("-", refusal.code, Duration::ZERO);
    let bytes = refusal.encode(id, shared.clock.unix(), is_closing);
    match refusal::send(conn, &bytes, is_closing).await {
        Ok(()) if !is_closing => ConnectionAction::KeepAlive,
        _ => ConnectionAction::Close,
    }
}

/// Properties of a request that its head does not carry.
struct Arrival {
    id: String,
    framing: Framing,
    caller: IpAddr,
    arrived_at: MonoTime,
    is_closing: bool,
}

/// Routes, identifies and admits a request. One over its account's rate waits up to `MAX_WAIT` for
/// a token.
async fn admit(
    shared: &Shared,
    mut head: RequestHead,
    arrival: Arrival,
) -> Result<(Arc<Bundle>, Exchange), Refusal> {
    if matches!(arrival.framing, Framing::Length(len) if len > MAX_BODY_BYTES) {
        return Err(Refusal::not_run(
            413,
            "body_too_large",
            "send a smaller body",
        ));
    }
    let wait_until = arrival.arrived_at.after(MAX_WAIT);
    let mut token_wait = None;
    let mut admission_try = AdmissionTry::First;
    let (bundle, route, account) = loop {
        let view = shared.view.load();
        let bundle = view.bundle.clone().ok_or(NO_BUNDLE)?;
        let route = bundle.route(head.path()).ok_or(NO_ROUTE)?;
        let account = identify(&view, &bundle.routes[route], &head).map_err(identify_refusal)?;
        let Some(account) = account else {
            break (bundle, route, None);
        };
        let now = shared.clock.now();
        match shared.decisions.admit(&bundle, account, admission_try, now) {
            Ok(()) => break (bundle, route, Some(account)),
            Err(NotAdmitted::OtherBundle) => {}
            Err(NotAdmitted::OverRate { retry_at }) => {
                token_wait = token_wait.or_else(|| shared.token_waits.start(account));
                if token_wait.is_none() || wait_until.is_past(now) {
                    return Err(over_rate_refusal(shared, retry_at));
                }
                admission_try = AdmissionTry::Waiting;
                // Peers may lend tokens before this instance's own refill.
                let poll_at = retry_at.min(now.after(POLL_INTERVAL)).min(wait_until);
                task::sleep(shared.clock.remaining(poll_at)).await;
            }
        }
    };
    head.headers.remove("authorization");
    let name = account.map(|key| bundle.accounts[key].id.as_str());
    let order = order::parse_order(&bundle.routes[route], name, &head)?;
    let timeout = Duration::from_millis(bundle.routes[route].timeout_ms.into());
    let deadline = arrival.arrived_at.after(timeout);
    let deadline_us = shared.clock.to_unix(deadline).0;
    let exchange = Exchange {
        head: backend_head(head, arrival.framing, &arrival.id, deadline_us),
        id: arrival.id,
        framing: arrival.framing,
        route,
        account,
        order,
        is_closing: arrival.is_closing,
        caller: arrival.caller,
        arrived_at: arrival.arrived_at,
        deadline,
    };
    Ok((bundle, exchange))
}

fn over_rate_refusal(shared: &Shared, retry_at: MonoTime) -> Refusal {
    let mut refusal = Refusal::not_run(429, "over_rate", "come again when told");
    refusal.retry_at = Some(shared.clock.to_unix(retry_at));
    refusal
}

fn identify_refusal(error: Unidentified) -> Refusal {
    match error {
        Unidentified::Missing => {
            Refusal::not_run(401, "no_key", "send `authorization: Bearer ID.SECRET`")
        }
        Unidentified::Unknown => Refusal::not_run(401, "unknown_key", "check the key"),
        Unidentified::Withdrawn => {
            Refusal::not_run(401, "withdrawn_key", "ask the operators for a new key")
        }
        Unidentified::SecretRepeated => {
            Refusal::not_run(400, "repeated_key", "send the key in `authorization` only")
        }
    }
}

fn backend_head(
    mut head: RequestHead,
    framing: Framing,
    id: &str,
    deadline_us: u64,
) -> RequestHead {
    head.headers.remove_hop_by_hop();
    head.headers.remove("expect");
    head.headers.remove(REQUEST_ID_HEADER);
    head.headers.remove(DEADLINE_HEADER);
    head.headers.push(REQUEST_ID_HEADER, id);
    head.headers.push(DEADLINE_HEADER, deadline_us.to_string());
    framing.announce(&mut head.headers);
    head
}

/// Runs an admitted request, or answers a repeat of its order with the stored answer.
async fn run_or_repeat(
    conn: &mut Conn,
    shared: &Shared,
    bundle: &Arc<Bundle>,
    exchange: &Exchange,
) -> RequestEnd {
    let mut body = RequestBody::new(BodyReader::new(exchange.framing, MAX_BODY_BYTES));
    match order::claim(shared, bundle, exchange, &mut body, conn).await {
        ClaimResult::Run => {
            match run::await_response(shared, bundle, exchange, &mut body, Some(&mut *conn)).await {
                Ok(response) => settle::answered(conn, shared, exchange, response).await,
                Err(end) => settle::unanswered(conn, shared, exchange, &body, end).await,
            }
        }
        ClaimResult::Repeat(answer) => {
            settle::repeated(conn, shared, exchange, &body, &answer).await
        }
        ClaimResult::Refuse(refusal) => {
            settle::refused(conn, shared, exchange, &body, &refusal, 0).await
        }
    }
}
