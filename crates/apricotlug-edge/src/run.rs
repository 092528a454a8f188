//! Places a request, sends it, sends it again where that is allowed, and delivers the answer.

use std::{sync::Arc, time::Duration};

use apricotlug_http::Conn;
use apricotlug_model::{Bundle, EndpointKey, MonoTime, Repeat, Route, RouteKey};
use apricotlug_policy::{
    order::{AttemptState, Disposition},
    placement::{self, Choice, NoPlace, Outcome, Want},
};

use crate::{
    answer::{self, Refusal},
    attempt::{self, Answer, Failure, Target},
    caller::{End, Next, finish_refused},
    deliver::deliver,
    exchange::{Exchange, RequestBody},
    order,
    shared::Shared,
};

/// Part of the time left that a first attempt may take where another could follow.
const FIRST_ATTEMPT_PART: u32 = 2;

/// Shortest time left with which another attempt is worthwhile.
const MIN_LEFT: Duration = Duration::from_millis(20);

/// Slot of a backend server, settled when dropped.
struct Permit<'a> {
    shared: &'a Shared,
    choice: Choice,
    outcome: Outcome,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.shared
            .gate
            .settle(&self.choice, self.outcome, self.shared.clock.now());
    }
}

/// What is known after all attempts of a request.
struct Tried {
    state: AttemptState,
    attempts: u32,
    used: Vec<EndpointKey>,
}

/// Runs a request and answers its caller.
pub async fn run(
    conn: &mut Conn,
    shared: &Shared,
    bundle: &Arc<Bundle>,
    ex: &Exchange,
    mut body: RequestBody,
) -> End {
    let mut tried = Tried {
        state: AttemptState::NotSent,
        attempts: 0,
        used: Vec::new(),
    };
    let mut bundle = Arc::clone(bundle);
    let mut route = ex.route;
    let repeat = bundle.routes[route].repeat;
    loop {
        let mut permit = match place(shared, &bundle, &bundle.routes[route], ex, &tried) {
            Ok(permit) => permit,
            Err(no_place) if no_place.reason == placement::Refusal::OtherBundle => {
                let Some((other, key)) = reroute(shared, ex) else {
                    let refusal = no_place_refusal(shared, &tried, no_place);
                    return give_up(conn, shared, ex, &body, &tried, &refusal).await;
                };
                (bundle, route) = (other, key);
                tried.used.clear();
                continue;
            }
            Err(no_place) => {
                let refusal = no_place_refusal(shared, &tried, no_place);
                return give_up(conn, shared, ex, &body, &tried, &refusal).await;
            }
        };
        tried.attempts += 1;
        let sent_at = shared.clock.now();
        let target = target(shared, &bundle, ex, &permit, repeat, sent_at);
        let attempt = attempt::run(ex, &mut body, conn, target, &shared.pool, &shared.clock).await;
        match attempt {
            Ok(answer) => {
                shared.metrics.on_attempt("answered");
                let latency = shared.clock.now().since(sent_at);
                let server_error = answer.head.status >= 500;
                permit.outcome = Outcome::Answered {
                    latency,
                    server_error,
                };
                return finish(conn, shared, ex, answer, permit, &tried).await;
            }
            Err(failure) => {
                shared.metrics.on_attempt(failure.why);
                permit.outcome = failure.outcome;
                tried.state = tried.state.and(failure.state);
                tried.used.push(permit.choice.endpoint);
                drop(permit);
                log_failure(&bundle, ex, &tried, &failure);
                if let Some(refusal) = final_refusal(shared, ex, &body, &tried, &failure, repeat) {
                    return give_up(conn, shared, ex, &body, &tried, &refusal).await;
                }
            }
        }
    }
}

/// Returns the bundle in force and the route of the request in it.
fn reroute(shared: &Shared, ex: &Exchange) -> Option<(Arc<Bundle>, RouteKey)> {
    let bundle = shared.view.load().bundle.clone()?;
    let route = bundle.route(ex.head.path())?;
    Some((bundle, route))
}

fn place<'a>(
    shared: &'a Shared,
    bundle: &Bundle,
    route: &Route,
    ex: &Exchange,
    tried: &Tried,
) -> Result<Permit<'a>, NoPlace> {
    let want = Want {
        service: route.service,
        version: None,
        exclude: &tried.used,
    };
    let choice = shared.gate.place(bundle, &want, shared.clock.now())?;
    let endpoint = &bundle.endpoints[choice.endpoint];
    tracing::info!(
        kind = "placement",
        request = ex.id,
        endpoint = endpoint.id,
        version = bundle.versions[endpoint.version].id,
        candidates = choice.candidates,
        reason = ?choice.reason,
    );
    Ok(Permit {
        shared,
        choice,
        outcome: Outcome::Cancelled,
    })
}

fn target(
    shared: &Shared,
    bundle: &Bundle,
    ex: &Exchange,
    permit: &Permit<'_>,
    repeat: Repeat,
    now: MonoTime,
) -> Target {
    let may_repeat = repeat == Repeat::Idempotent;
    let left = shared.clock.left(ex.deadline);
    let deadline = if may_repeat {
        now.after(left / FIRST_ATTEMPT_PART)
    } else {
        ex.deadline
    };
    Target {
        addr: bundle.endpoints[permit.choice.endpoint].addr,
        deadline,
        // A fresh connection leaves fewer outcomes unknown than an idle one that may be dead.
        may_reuse: may_repeat,
    }
}

/// Returns the refusal that ends the request, or `None` where another attempt is allowed.
fn final_refusal(
    shared: &Shared,
    ex: &Exchange,
    body: &RequestBody,
    tried: &Tried,
    failure: &Failure,
    repeat: Repeat,
) -> Option<Refusal> {
    if let Some(e) = &failure.caller {
        let refusal = answer::malformed(e);
        let gone = Refusal::unknown(400, "request_cut", "send the whole request");
        return Some(refusal.map_or(gone, |refusal| Refusal {
            outcome: answer::Outcome::Unknown,
            ..refusal
        }));
    }
    let now = shared.clock.now();
    let is_allowed = failure.state.disposition(repeat) == Disposition::MayRetry
        && body.is_replayable
        && ex.deadline.since(now) > MIN_LEFT
        && shared.gate.may_retry(tried.attempts);
    if is_allowed {
        return None;
    }
    Some(match tried.state {
        AttemptState::NotSent => {
            let mut refusal = Refusal::not_run(503, "no_backend_server", "come again when told");
            refusal.retry_at = Some(shared.clock.unix().after(Duration::from_secs(1)));
            refusal
        }
        _ => Refusal::unknown(
            504,
            "outcome_unknown",
            "ask whether it was recorded before sending it again",
        ),
    })
}

fn no_place_refusal(shared: &Shared, tried: &Tried, no_place: NoPlace) -> Refusal {
    let mut refusal = match tried.state {
        AttemptState::NotSent => Refusal::not_run(503, "no_place", "come again when told"),
        _ => Refusal::unknown(
            504,
            "outcome_unknown",
            "ask whether it was recorded before sending it again",
        ),
    };
    refusal.retry_at = Some(shared.clock.to_unix(no_place.retry_at));
    refusal
}

fn log_failure(bundle: &Bundle, ex: &Exchange, tried: &Tried, failure: &Failure) {
    let endpoint = tried
        .used
        .last()
        .map_or("-", |key| bundle.endpoints[*key].id.as_str());
    tracing::info!(
        kind = "attempt_failed",
        request = ex.id,
        endpoint,
        why = failure.why,
        state = ?failure.state,
    );
}

async fn give_up(
    conn: &mut Conn,
    shared: &Shared,
    ex: &Exchange,
    body: &RequestBody,
    tried: &Tried,
    refusal: &Refusal,
) -> End {
    order::settle_unanswered(shared, ex, tried.state);
    finish_refused(conn, shared, ex, body, refusal, tried.attempts).await
}

async fn finish(
    conn: &mut Conn,
    shared: &Shared,
    ex: &Exchange,
    mut answer: Answer,
    mut permit: Permit<'_>,
    tried: &Tried,
) -> End {
    let status = answer.head.status;
    let is_closing = !answer.is_request_whole || ex.is_closing || shared.drain.is_leaving();
    let keep_bytes = if ex.order.is_some() {
        shared.gate.kept_answer_bytes()
    } else {
        0
    };
    let delivered = deliver(ex, &mut answer, conn, is_closing, keep_bytes).await;
    let attempts = tried.attempts;
    let delivered = match delivered {
        Ok(delivered) => delivered,
        Err(_) => {
            order::settle_unanswered(shared, ex, AttemptState::PerhapsRun);
            return End {
                status,
                result: "caller_gone",
                attempts,
                next: Next::Close,
            };
        }
    };
    if !delivered.is_whole {
        permit.outcome = Outcome::Broken;
        order::settle_unanswered(shared, ex, AttemptState::PerhapsRun);
        return End {
            status,
            result: "answer_cut",
            attempts,
            next: Next::Close,
        };
    }
    order::settle_answered(shared, ex, delivered.kept);
    drop(permit);
    if answer.is_request_whole && answer.head.is_keep_alive() {
        let addr = answer.conn.peer_addr();
        if let Ok(addr) = addr {
            shared.pool.put(addr, answer.conn).await;
        }
    }
    let next = match delivered.may_go_on {
        true => Next::KeepAlive,
        false => {
            conn.linger().await;
            Next::Close
        }
    };
    End {
        status,
        result: "answered",
        attempts,
        next,
    }
}
