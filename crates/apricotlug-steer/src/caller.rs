//! Callers' connections: reads requests and writes their responses in order.

use std::{sync::Arc, time::Duration};

use apricotlug_adapter::decode_request;
use apricotlug_http::{Conn, ConnPermit, HttpError, Limits, Phase, RequestHead, Step, Turn};
use apricotlug_model::{CallerLimits, MonoTime};
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::future;

use crate::{
    admission::{AdmittedRequest, Refusal, admit},
    attempt::OutgoingRequest,
    dispatch::{Dispatched, Outcome, buffered_framing, dispatch},
    receive::{ReceiveError, receive},
    response::{AfterResponse, DeliveryError, DeliveryLimits, deliver, refuse},
    shared::Shared,
};

/// Delay after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest time for a response body where the caller sends no time budget.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(600);

/// Longest time without progress while a body or a response is transferred.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(15);

/// Accepts connections until the instance stops accepting.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut turn = Turn::default();
    loop {
        turn.take(Step::Transfer).await;
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            shared.accepting_stopped().await;
            None
        });
        match accepted.await {
            Some(Ok((stream, _))) => {
                let Some(permit) = shared.conn_limits.callers.enter(&stream) else {
                    tracing::warn!(kind = "conn_refused");
                    continue;
                };
                let shared = Arc::clone(&shared);
                task::spawn(async move { serve(&shared, stream, permit).await });
            }
            Some(Err(e)) => {
                tracing::warn!(kind = "accept", error = %e);
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
            None => return,
        }
    }
}

fn conn_limits(caller_limits: CallerLimits) -> Limits {
    Limits {
        head_bytes: caller_limits.head_bytes,
        idle: Duration::from_millis(caller_limits.idle_ms.into()),
        head: Duration::from_millis(caller_limits.head_ms.into()),
        progress: PROGRESS_TIMEOUT,
    }
}

async fn serve(shared: &Arc<Shared>, stream: TcpStream, mut permit: ConnPermit) {
    let mut conn = Conn::new(stream, Limits::default());
    loop {
        permit.on_wait();
        let read_bytes = shared.conn_limits.waiting_read_bytes();
        conn.set_read_bytes(read_bytes);
        conn.set_lean(read_bytes.is_some());
        if !await_request(shared, &mut conn).await {
            return;
        }
        // The connection may have been idle since long before the plan came into force.
        let caller_limits = caller_limits(shared);
        conn.set_limits(conn_limits(caller_limits));
        let head = match conn.read_request().await {
            Err(e) if e.caller_status().is_none() => return,
            head => head,
        };
        let in_flight = shared.drain.count_request();
        let after = match head {
            Ok(head) => serve_one(shared, &mut conn, &mut permit, head, caller_limits).await,
            Err(e) => refuse_malformed(&mut conn, &e).await,
        };
        drop(in_flight);
        if after == AfterResponse::Close {
            permit.on_wait();
            conn.linger().await;
            return;
        }
    }
}

/// Returns the limits on callers of the plan in force.
fn caller_limits(shared: &Shared) -> CallerLimits {
    let operator_state = shared.operator_state();
    let plan = operator_state.plan.as_ref();
    plan.map_or_else(CallerLimits::default, |plan| plan.limits)
}

/// Waits until the first bytes of a request have arrived. Returns `false` if the connection ends, has
/// been idle for too long, or the instance stops accepting first.
async fn await_request(shared: &Shared, conn: &mut Conn) -> bool {
    let idle_since = shared.clock.now();
    while conn.buffered().is_empty() {
        // A plan that comes into force meanwhile may allow more.
        let max_idle = Duration::from_millis(caller_limits(shared).idle_ms.into());
        let remaining = shared.clock.remaining(idle_since.after(max_idle));
        if remaining.is_zero() {
            return false;
        }
        let arriving = async { Some(conn.fill(remaining, Phase::Idle).await) };
        let stopped = async {
            shared.accepting_stopped().await;
            None
        };
        match future::or(arriving, stopped).await {
            Some(Ok(1..) | Err(HttpError::TimedOut(Phase::Idle))) => {}
            Some(Ok(0) | Err(_)) | None => return false,
        }
    }
    true
}

async fn refuse_malformed(conn: &mut Conn, error: &HttpError) -> AfterResponse {
    let refusal = match error.caller_status() {
        Some(431) => Refusal::new(431, "Request Header Fields Too Large", "head_too_large"),
        Some(413) => Refusal::new(413, "Content Too Large", "body_too_large"),
        Some(408) => Refusal::new(408, "Request Timeout", "slow_caller"),
        _ => Refusal::new(400, "Bad Request", "malformed"),
    };
    tracing::info!(kind = "refusal", status = refusal.status, why = refusal.code, error = %error);
    // The caller may have disconnected; the connection is closed in either case.
    let _ = refuse(conn, &refusal, None, true).await;
    AfterResponse::Close
}

/// Refuses a request whose body was not read to its end, and closes the connection.
async fn refuse_unread(
    shared: &Shared,
    conn: &mut Conn,
    head: &RequestHead,
    refusal: &Refusal,
    arrived_at: MonoTime,
) -> AfterResponse {
    let id = decode_request(head).request_id;
    let latency = shared.clock.now().since(arrived_at);
    shared.metrics.on_request("-", refusal.code, latency);
    tracing::info!(
        kind = "request",
        request = id,
        route = "-",
        status = refusal.status,
        result = refusal.code,
        ms = latency.as_millis() as u64,
        body_bytes = shared.bodies.used()
    );
    // The caller may have disconnected; the connection is closed in either case.
    let _ = refuse(conn, refusal, id.as_deref(), true).await;
    AfterResponse::Close
}

async fn serve_one(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    permit: &mut ConnPermit,
    mut head: RequestHead,
    caller_limits: CallerLimits,
) -> AfterResponse {
    let arrived_at = shared.clock.now();
    let receiving = receive(shared, conn, permit, &head, caller_limits, arrived_at);
    let (framing, body) = match receiving.await {
        Ok(received) => received,
        Err(ReceiveError::Displaced) => {
            tracing::info!(kind = "conn_closed", result = "longest_silent");
            return AfterResponse::Close;
        }
        Err(ReceiveError::Http(e)) if e.caller_status().is_none() => return AfterResponse::Close,
        Err(ReceiveError::Http(e)) => return refuse_malformed(conn, &e).await,
        Err(ReceiveError::Refused(refusal)) => {
            return refuse_unread(shared, conn, &head, &refusal, arrived_at).await;
        }
    };
    let is_closing = !head.is_keep_alive();
    let view = shared.operator_view();
    let request = admit(shared, &view, &head, arrived_at);
    let decoded;
    let metadata = match &request {
        Ok(request) => &request.metadata,
        Err(_) => {
            decoded = decode_request(&head);
            &decoded
        }
    };
    let id = metadata.request_id.as_deref();
    head.headers.remove_hop_by_hop();
    head.headers.remove("expect");
    let (dispatched, route, account) = match &request {
        Ok(request) => {
            let outgoing = OutgoingRequest {
                head: &head,
                body: &body,
                framing: buffered_framing(framing, &body),
                account: request.account().map(|account| account.id.as_str()),
                id,
            };
            let Some(dispatched) =
                dispatch_unless_disconnected(shared, conn, request, outgoing).await
            else {
                log_cancelled(shared, request, arrived_at);
                return AfterResponse::Close;
            };
            let account = request.account().map(|account| account.id.as_str());
            (dispatched, request.route().id.as_str(), account)
        }
        Err(refusal) => {
            let dispatched = Dispatched {
                outcome: Outcome::Refused(refusal.clone()),
                backend: String::new(),
                attempts: 0,
            };
            (dispatched, "-", None)
        }
    };
    // The answer may take long to deliver.
    drop(body);
    let latency = shared.clock.now().since(arrived_at);
    let (status, code) = match &dispatched.outcome {
        Outcome::Answered(response) => (response.head.status, "answered"),
        Outcome::Refused(refusal) => (refusal.status, refusal.code),
    };
    if let (Ok(request), Outcome::Refused(refusal)) = (&request, &dispatched.outcome) {
        refund(shared, request, refusal);
    }
    shared.metrics.on_request(route, code, latency);
    // A refusal follows from what this instance knew of the operators' state.
    let last_read = shared.last_read().filter(|_| request.is_err());
    tracing::info!(
        kind = "request",
        request = id,
        route,
        has_key = metadata.api_key.is_some(),
        account,
        backend = dispatched.backend,
        status,
        result = code,
        attempts = dispatched.attempts,
        ms = latency.as_millis() as u64,
        plan = view.state.plan.as_ref().map(|plan| plan.version),
        news_ms = view.age_ms(),
        revision = last_read.map(|read| read.version.revision),
        read_from = last_read.map(|read| tracing::field::display(read.origin))
    );
    let is_closing = is_closing || shared.drain.is_leaving();
    let delivered = match dispatched.outcome {
        Outcome::Answered(response) => {
            let key = response.key;
            let limits = delivery_limits(shared, request.as_ref().ok(), arrived_at);
            let delivered = deliver(conn, &head, *response, is_closing, limits).await;
            if matches!(delivered, Err(DeliveryError::Backend(_))) {
                let now = shared.clock.now();
                shared
                    .steering()
                    .fleet
                    .entry_mut(key)
                    .health
                    .on_failure(now);
            }
            delivered
        }
        Outcome::Refused(refusal) => refuse(conn, &refusal, id, is_closing)
            .await
            .map_err(DeliveryError::Caller),
    };
    delivered.unwrap_or_else(|e| {
        tracing::info!(kind = "undelivered", request = id, error = %e);
        AfterResponse::Close
    })
}

/// Returns until when a body that is still under way is delivered to the caller of a request.
fn delivery_limits(
    shared: &Shared,
    request: Option<&AdmittedRequest>,
    arrived_at: MonoTime,
) -> DeliveryLimits {
    let time_budget = request
        .and_then(|request| request.metadata.time_budget_ms)
        .map_or(MAX_DELIVERY_TIME, Duration::from_millis);
    let caller_leaves_at = arrived_at.after(time_budget.min(MAX_DELIVERY_TIME));
    DeliveryLimits {
        clock: shared.clock,
        timeout_at: request.map_or(caller_leaves_at, |request| request.deadline),
        caller_leaves_at,
    }
}

/// Refunds the quota of a request that no backend server ran.
fn refund(shared: &Shared, request: &AdmittedRequest, refusal: &Refusal) {
    if let (Some(account), 503) = (request.account(), refusal.status) {
        shared.steering().quotas.refund(&account.id);
    }
}

fn log_cancelled(shared: &Shared, request: &AdmittedRequest, arrived_at: MonoTime) {
    let latency = shared.clock.now().since(arrived_at);
    shared
        .metrics
        .on_request(&request.route().id, "caller_left", latency);
    tracing::info!(
        kind = "request",
        request = request.metadata.request_id,
        route = request.route().id,
        result = "caller_left",
        ms = latency.as_millis() as u64
    );
}

/// Runs a request, and cancels it if its caller disconnects. Returns `None` if it was cancelled. A
/// request that must not run twice is never cancelled.
async fn dispatch_unless_disconnected(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    request: &AdmittedRequest,
    outgoing: OutgoingRequest<'_>,
) -> Option<Dispatched> {
    let dispatching = dispatch(shared, request, outgoing);
    if !request.route().exchange.may_repeat() {
        return Some(dispatching.await);
    }
    future::or(async { Some(dispatching.await) }, async {
        conn.closed().await;
        None
    })
    .await
}
