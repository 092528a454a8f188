//! Places a request, sends it, and retries it where that is allowed.

use std::{sync::Arc, time::Duration};

use apricotlug_http::Conn;
use apricotlug_model::{Bundle, EndpointKey, MonoTime, Repeat, RouteKey};
use apricotlug_policy::{
    order::{AttemptState, RetryPermission},
    placement::{self, Outcome, PlacementRefusal},
};

use crate::{
    attempt::{self, BackendResponse, Failure, Target},
    exchange::{Exchange, RequestBody},
    move_tracker::{AttemptResult, VersionDraw},
    order::outcome_unknown,
    place::{Permit, PlacementRequest, place},
    refusal::{self, Refusal},
    shared::Shared,
};

/// Divisor of the remaining time that gives the time limit of an attempt of an idempotent request,
/// so that time for another attempt remains.
const ATTEMPT_TIME_DIVISOR: u32 = 2;

/// Shortest remaining time with which another attempt is made.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// Time after which a caller may retry where no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Response whose body is still to be read, and the slot that it occupies until then.
#[derive(Debug)]
pub struct PendingResponse<'a> {
    /// Verified head, and the connection with the body.
    pub answer: BackendResponse,
    /// Slot of the backend server that answers.
    pub permit: Permit<'a>,
    /// Number of attempts made.
    pub attempts: u32,
}

/// Request that got no response from a backend server.
#[derive(Debug)]
pub struct Unanswered {
    /// Refusal to send to the caller.
    pub refusal: Refusal,
    /// State of all attempts combined: `NotSent` only where no attempt was sent.
    pub state: AttemptState,
    /// Number of attempts made.
    pub attempts: u32,
}

/// Attempts made so far: combined state, number, and endpoints used.
struct AttemptHistory {
    state: AttemptState,
    attempts: u32,
    tried_endpoints: Vec<EndpointKey>,
}

impl AttemptHistory {
    fn unanswered(&self, refusal: Refusal) -> Unanswered {
        Unanswered {
            refusal,
            state: self.state,
            attempts: self.attempts,
        }
    }
}

/// Runs a request until the head of a response arrives. The rest of the body is read from `caller`;
/// `None` where the complete body is already buffered.
///
/// # Errors
/// Returns the refusal to send to the caller where no response arrived.
pub async fn await_response<'a>(
    shared: &'a Shared,
    bundle: &Arc<Bundle>,
    exchange: &Exchange,
    body: &mut RequestBody,
    mut caller: Option<&mut Conn>,
) -> Result<PendingResponse<'a>, Unanswered> {
    let mut history = AttemptHistory {
        state: AttemptState::NotSent,
        attempts: 0,
        tried_endpoints: Vec::new(),
    };
    let mut bundle = Arc::clone(bundle);
    let mut route = exchange.route;
    let repeat = bundle.routes[route].repeat;
    let mut draw = draw_version(shared, &bundle, route);
    shared.decisions.on_request(shared.clock.now());
    loop {
        let version = if history.attempts == 0 {
            draw.version
        } else {
            draw.fallback
        };
        let placement_request = PlacementRequest {
            bundle: &bundle,
            route: &bundle.routes[route],
            version,
        };
        let mut permit = match place(
            shared,
            placement_request,
            exchange,
            &history.tried_endpoints,
        )
        .await
        {
            Ok(permit) => permit,
            Err(placement_refusal)
                if placement_refusal.reason == placement::Refusal::OtherBundle =>
            {
                let rerouted = reroute(shared, exchange);
                let refusal =
                    || history.unanswered(http_refusal(shared, &history, placement_refusal));
                (bundle, route) = rerouted.ok_or_else(refusal)?;
                history.tried_endpoints.clear();
                draw = draw_version(shared, &bundle, route);
                continue;
            }
            Err(placement_refusal) if version != draw.fallback => {
                // The fallback's result is not evidence on the drawn version.
                tracing::debug!(
                    request = exchange.id,
                    reason = ?placement_refusal.reason,
                    "cannot place on the drawn version; using the fallback version"
                );
                draw = draw.without_draw();
                continue;
            }
            Err(placement_refusal) => {
                return Err(history.unanswered(http_refusal(shared, &history, placement_refusal)));
            }
        };
        history.attempts += 1;
        let sent_at = shared.clock.now();
        let target = target(shared, &bundle, exchange, &permit, repeat, sent_at);
        let conn = caller.as_deref_mut();
        match attempt::run(exchange, body, conn, target, &shared.pool, &shared.clock).await {
            Ok(answer) => {
                shared.metrics.on_attempt("answered");
                let latency = shared.clock.now().since(sent_at);
                let server_error = answer.head.status >= 500;
                let result = AttemptResult {
                    endpoint: permit.endpoint(),
                    is_error: server_error,
                    latency,
                };
                record_attempt(shared, &bundle, route, &draw, &history, result);
                permit.outcome = Outcome::Answered {
                    latency,
                    server_error,
                };
                return Ok(PendingResponse {
                    answer,
                    permit,
                    attempts: history.attempts,
                });
            }
            Err(failure) => {
                shared.metrics.on_attempt(failure.reason);
                permit.outcome = failure.outcome;
                let latency = shared.clock.now().since(sent_at);
                let is_error = !matches!(failure.outcome, Outcome::Cancelled | Outcome::Shed);
                let result = AttemptResult {
                    endpoint: permit.endpoint(),
                    is_error,
                    latency,
                };
                record_attempt(shared, &bundle, route, &draw, &history, result);
                history.state = history.state.combine(failure.state);
                history.tried_endpoints.push(permit.endpoint());
                drop(permit);
                log_failure(&bundle, exchange, &history, &failure);
                if let Some(refusal) =
                    final_refusal(shared, exchange, body, &history, &failure, repeat)
                {
                    return Err(history.unanswered(refusal));
                }
            }
        }
    }
}

fn draw_version(shared: &Shared, bundle: &Bundle, route: RouteKey) -> VersionDraw {
    let service = bundle.routes[route].service;
    let (now, unix) = (shared.clock.now(), shared.clock.unix());
    shared
        .decisions
        .draw(&shared.moves, bundle, service, now, unix)
}

/// Counts the result of the first attempt as evidence for or against its version.
fn record_attempt(
    shared: &Shared,
    bundle: &Bundle,
    route: RouteKey,
    draw: &VersionDraw,
    history: &AttemptHistory,
    result: AttemptResult,
) {
    if history.attempts == 1 {
        let now = shared.clock.now();
        shared.moves.settle(bundle, draw, route, result, now);
    }
}

/// Returns the bundle in force and the route of the request in it.
fn reroute(shared: &Shared, exchange: &Exchange) -> Option<(Arc<Bundle>, RouteKey)> {
    let bundle = shared.view.load().bundle.clone()?;
    let route = bundle.route(exchange.head.path())?;
    Some((bundle, route))
}

fn target(
    shared: &Shared,
    bundle: &Bundle,
    exchange: &Exchange,
    permit: &Permit<'_>,
    repeat: Repeat,
    now: MonoTime,
) -> Target {
    let is_idempotent = repeat == Repeat::Idempotent;
    let remaining = shared.clock.remaining(exchange.deadline);
    let deadline = if is_idempotent {
        now.after(remaining / ATTEMPT_TIME_DIVISOR)
    } else {
        exchange.deadline
    };
    Target {
        addr: bundle.endpoints[permit.endpoint()].addr,
        deadline,
        // A pooled connection may be dead, which would leave the outcome of a request that must not
        // be retried unknown.
        may_reuse: is_idempotent,
    }
}

/// Returns the refusal that ends the request, or `None` where another attempt is allowed.
fn final_refusal(
    shared: &Shared,
    exchange: &Exchange,
    body: &RequestBody,
    history: &AttemptHistory,
    failure: &Failure,
    repeat: Repeat,
) -> Option<Refusal> {
    if let Some(e) = &failure.caller {
        let incomplete = Refusal::unknown(400, "request_cut", "send the whole request");
        let refusal = refusal::for_http_error(e).unwrap_or(incomplete);
        return Some(Refusal {
            outcome: refusal::Outcome::Unknown,
            ..refusal
        });
    }
    let now = shared.clock.now();
    let is_allowed = failure.state.retry_permission(repeat) == RetryPermission::MayRetry
        && body.is_replayable
        && exchange.deadline.since(now) > MIN_RETRY_TIME
        && shared.decisions.may_retry(
            now,
            exchange.deadline,
            history.attempts,
            repeat,
            failure.state,
        );
    if is_allowed {
        return None;
    }
    Some(match history.state {
        AttemptState::NotSent => {
            let mut refusal = Refusal::not_run(503, "no_backend_server", "come again when told");
            refusal.retry_at = Some(shared.clock.unix().after(DEFAULT_RETRY_AFTER));
            refusal
        }
        AttemptState::PerhapsRun | AttemptState::Answered => outcome_unknown(),
    })
}

fn http_refusal(
    shared: &Shared,
    history: &AttemptHistory,
    placement_refusal: PlacementRefusal,
) -> Refusal {
    let mut refusal = match history.state {
        AttemptState::NotSent => Refusal::not_run(503, "no_place", "come again when told"),
        AttemptState::PerhapsRun | AttemptState::Answered => outcome_unknown(),
    };
    refusal.retry_at = Some(shared.clock.to_unix(placement_refusal.retry_at));
    refusal
}

fn log_failure(bundle: &Bundle, exchange: &Exchange, history: &AttemptHistory, failure: &Failure) {
    let endpoint = history
        .tried_endpoints
        .last()
        .map_or("-", |key| bundle.endpoints[*key].id.as_str());
    tracing::info!(
        kind = "attempt_failed",
        request = exchange.id,
        endpoint,
        why = failure.reason,
        state = ?failure.state,
    );
}
