//! Chooses a backend server for a request, sends it, and retries where that is safe and useful.

use std::{sync::Arc, time::Duration};

use apricotlug_http::Framing;
use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{BackendKey, RequestOutcome};
use async_std::task;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};

use crate::{
    admission::{AdmittedRequest, Refusal},
    attempt::{AttemptError, BackendResponse, OutgoingRequest, Target, attempt},
    place::{NO_BACKEND_RETRY_MS, Placement, place},
    request_body::RequestBody,
    shared::Shared,
    slot::hedge_delay_ms,
    usage::{SentEnd, SentGuard},
};

/// Largest number of backend servers that cannot be reached before a request is refused.
const MAX_UNREACHABLE: u32 = 3;

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// A backend server responded.
    Answered(Box<BackendResponse>),
    /// The request was refused, or whether it ran is unknown.
    Refused(Refusal),
}

/// Request whose attempts have ended.
#[derive(Debug)]
pub struct Dispatched {
    /// Response or refusal for the caller.
    pub outcome: Outcome,
    /// Id of the backend server of the last attempt; empty if there was none.
    pub backend: String,
    /// Number of attempts that connected to a backend server.
    pub attempts: u32,
}

/// Attempt that has ended.
struct FinishedAttempt {
    target: Target,
    version: String,
    result: Result<BackendResponse, AttemptError>,
    ms: f64,
    is_slow: bool,
}

/// Results of the attempts so far.
#[derive(Default)]
struct AttemptHistory {
    keys: Vec<BackendKey>,
    sent: u32,
    unreachable: u32,
    may_have_run: bool,
    last_backend: String,
    error_response: Option<Box<BackendResponse>>,
    code: &'static str,
}

impl AttemptHistory {
    /// Returns whether no attempt has been made yet.
    fn is_first(&self) -> bool {
        self.sent == 0 && self.unreachable == 0
    }
}

/// Runs a request until a response arrives or no attempt is left.
pub async fn dispatch(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    outgoing: OutgoingRequest<'_>,
) -> Dispatched {
    let mut history = AttemptHistory::default();
    let mut in_flight: FuturesUnordered<BoxFuture<'_, FinishedAttempt>> = FuturesUnordered::new();
    let mut hedge_at = MonoTime::MAX;
    loop {
        if in_flight.is_empty() {
            match place(shared, request, &history.keys, history.is_first()) {
                Ok(placement) => {
                    hedge_at = start_attempt(
                        shared,
                        request,
                        outgoing,
                        placement,
                        &mut history,
                        &mut in_flight,
                    )
                }
                Err(refusal) => return give_up(history, refusal),
            }
        }
        let wake_at = hedge_at.min(request.deadline);
        let timer = task::sleep(shared.clock.remaining(wake_at));
        let finished = futures::select! {
            finished = in_flight.next().fuse() => finished,
            () = timer.fuse() => None,
        };
        let Some(finished) = finished else {
            if request.deadline.is_past(shared.clock.now()) {
                drop(in_flight);
                return give_up(history, Refusal::new(504, "Gateway Timeout", "timeout"));
            }
            hedge_at = MonoTime::MAX;
            if may_hedge(shared, request, &history)
                && let Ok(placement) = place(shared, request, &history.keys, history.is_first())
                && shared
                    .steering()
                    .take_retry(&request.service, shared.clock.now())
            {
                start_attempt(
                    shared,
                    request,
                    outgoing,
                    placement,
                    &mut history,
                    &mut in_flight,
                );
                hedge_at = MonoTime::MAX;
            }
            continue;
        };
        if let Some(response) = record_attempt(shared, request, finished, &mut history) {
            return Dispatched {
                outcome: Outcome::Answered(response),
                backend: history.last_backend,
                attempts: history.sent,
            };
        }
        if in_flight.is_empty() && !may_retry(shared, request, &history) {
            return give_up(
                history,
                Refusal::new(503, "Service Unavailable", "no_more_attempts"),
            );
        }
    }
}

/// Starts an attempt. Returns the time at which a hedged attempt may follow.
fn start_attempt<'a>(
    shared: &'a Arc<Shared>,
    request: &'a AdmittedRequest,
    outgoing: OutgoingRequest<'a>,
    placement: Placement<'a>,
    history: &mut AttemptHistory,
    in_flight: &mut FuturesUnordered<BoxFuture<'a, FinishedAttempt>>,
) -> MonoTime {
    history.keys.push(placement.slot.choice.key);
    history.sent += 1;
    history.last_backend.clone_from(&placement.target.id);
    let expected = placement.slot.choice.expected_ms;
    let hedge_ms = hedge_delay_ms(expected);
    let started_at = shared.clock.now();
    in_flight.push(run_attempt(shared, request, outgoing, placement).boxed());
    started_at.after(Duration::from_secs_f64(hedge_ms / 1_000.0))
}

async fn run_attempt(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    outgoing: OutgoingRequest<'_>,
    placement: Placement<'_>,
) -> FinishedAttempt {
    let mut slot = placement.slot;
    let choice = slot.choice;
    let sent = shared
        .usage
        .as_ref()
        .zip(outgoing.account)
        .map(|(usage, account)| SentGuard::new(usage, account, choice.wait_ms, choice.expected_ms));
    let result = attempt(shared, outgoing, &placement.target).await;
    if let Some(sent) = sent {
        sent.end(sent_end(&result));
    }
    let ms = slot.elapsed_ms();
    let is_slow = slot.is_slow();
    let answer = result.as_ref().ok().map(|response| &response.metadata);
    tracing::info!(
        kind = "sent",
        request = request.metadata.request_id,
        service = request.service,
        route = request.route().id,
        account = request.account().map(|account| account.id.as_str()),
        object = request.metadata.object,
        backend = placement.target.id,
        data_centre = placement.target.data_centre,
        load = placement.load,
        reported_load = answer
            .and_then(|answer| answer.load)
            .map(|(running, waiting, _)| running + waiting),
        work_percent = answer.and_then(|answer| answer.work_percent),
        warm = choice.warm,
        cost_factor = choice.estimate.cost_factor,
        speed_factor = choice.estimate.speed_factor,
        count_wait_ms = choice.estimate.count_wait_ms as u64,
        wait_ms = choice.wait_ms as u64,
        expected_ms = choice.expected_ms as u64,
        ms = ms as u64
    );
    slot.outcome = Some(match &result {
        Ok(response) if response.head.status >= 500 => RequestOutcome::Failed,
        Ok(_) => RequestOutcome::Answered(ms),
        Err(AttemptError::Unreachable) => RequestOutcome::Unreachable,
        Err(AttemptError::Refused {
            is_deferral: true, ..
        }) => RequestOutcome::Deferred,
        Err(AttemptError::Refused { .. }) => RequestOutcome::Refused,
        Err(AttemptError::Unknown(_)) => RequestOutcome::Failed,
    });
    if let Ok(response) = &result {
        record_load(shared, choice.key, response, shared.clock.now());
    }
    FinishedAttempt {
        target: placement.target,
        version: slot.version.clone(),
        result,
        ms,
        is_slow,
    }
}

/// Returns whether a backend server began to run the request of an attempt.
fn sent_end(result: &Result<BackendResponse, AttemptError>) -> SentEnd {
    match result {
        Ok(response) if response.metadata.is_not_executed => SentEnd::NotRun,
        Ok(_) => SentEnd::Answered,
        Err(AttemptError::Unreachable | AttemptError::Refused { .. }) => SentEnd::NotRun,
        Err(AttemptError::Unknown(_)) => SentEnd::Unknown,
    }
}

fn record_load(shared: &Shared, key: BackendKey, response: &BackendResponse, now: MonoTime) {
    let mut steering = shared.steering();
    let entry = steering.fleet.entry_mut(key);
    if let Some((running, waiting, _)) = response.metadata.load {
        entry.on_load_report(now, running, waiting);
    }
    if let Some(percent) = response.metadata.work_percent {
        entry.on_speed_report(now, percent);
    }
    if let Some(cold_remaining_ms) = response.metadata.cold_remaining_ms {
        entry
            .cold
            .set_cold_until(now.after(Duration::from_millis(cold_remaining_ms.into())));
    }
}

/// Records an attempt that has ended. Returns its response if that one is final.
fn record_attempt(
    shared: &Shared,
    request: &AdmittedRequest,
    finished: FinishedAttempt,
    history: &mut AttemptHistory,
) -> Option<Box<BackendResponse>> {
    let code = match finished.result {
        Ok(response) if response.head.status < 500 => return Some(Box::new(response)),
        Ok(response) => {
            history.may_have_run = true;
            history.error_response = Some(Box::new(response));
            "failed"
        }
        Err(AttemptError::Unreachable) => {
            history.sent -= 1;
            history.unreachable += 1;
            "unreachable"
        }
        Err(AttemptError::Refused { status: 421, .. }) => {
            // The address now belongs to another backend server.
            shared
                .steering()
                .fleet
                .entry_mut(finished.target.key)
                .on_misdirected(shared.clock.now());
            "misdirected"
        }
        Err(AttemptError::Refused { .. }) => "refused",
        Err(AttemptError::Unknown(code)) => {
            history.may_have_run = true;
            code
        }
    };
    history.code = code;
    shared.metrics.on_attempt(code);
    tracing::info!(
        kind = "attempt",
        request = request.metadata.request_id,
        backend = finished.target.id,
        version = finished.version,
        result = code,
        ms = finished.ms as u64,
        is_slow = finished.is_slow
    );
    if history.error_response.is_some() && !request.route().exchange.may_repeat() {
        return history.error_response.take();
    }
    None
}

fn may_retry(shared: &Shared, request: &AdmittedRequest, history: &AttemptHistory) -> bool {
    if history.code == "unreachable" {
        return history.unreachable < MAX_UNREACHABLE;
    }
    let is_allowed = !history.may_have_run || request.route().exchange.may_repeat();
    let now = shared.clock.now();
    is_allowed
        && history.sent < request.route().attempts
        && !request.deadline.is_past(now)
        && shared.steering().take_retry(&request.service, now)
}

fn may_hedge(shared: &Shared, request: &AdmittedRequest, history: &AttemptHistory) -> bool {
    request.route().exchange.may_repeat()
        && history.sent < request.route().attempts
        && !request.deadline.is_past(shared.clock.now())
}

/// Returns the outcome for the caller if no attempt gave a final response.
fn give_up(mut history: AttemptHistory, refusal: Refusal) -> Dispatched {
    let outcome = match history.error_response.take() {
        Some(response) => Outcome::Answered(response),
        None if history.may_have_run && refusal.status == 503 => {
            Outcome::Refused(Refusal::new(502, "Bad Gateway", history.code))
        }
        None => {
            let was_sent = history.sent > 0;
            let retry_ms = refusal
                .retry_ms
                .or((refusal.status == 503).then_some(NO_BACKEND_RETRY_MS));
            Outcome::Refused(Refusal {
                code: if was_sent && refusal.status == 503 {
                    history.code
                } else {
                    refusal.code
                },
                retry_ms,
                ..refusal
            })
        }
    };
    Dispatched {
        outcome,
        backend: history.last_backend,
        attempts: history.sent,
    }
}

/// Returns the framing for a body that was read completely.
#[must_use]
pub fn buffered_framing(framing: Framing, body: &RequestBody) -> Framing {
    match framing {
        Framing::Empty => Framing::Empty,
        _ => Framing::Length(body.len() as u64),
    }
}
