//! Chooses a backend server for a request, sends it, and retries where that is safe and useful.

use std::{sync::Arc, time::Duration};

use apricotlug_http::Framing;
use apricotlug_model::{MonoTime, PlanService};
use apricotlug_policy::steer::{
    AdmissionDecision, BackendKey, ChoiceRequest, NoBackend, RequestLimits, RequestOutcome,
    retry_after_ms, usable_cold_rate,
};
use async_std::task;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use rand::{RngExt, rngs::SmallRng};

use crate::{
    admission::{AdmittedRequest, Refusal},
    attempt::{AttemptError, BackendResponse, OutgoingRequest, Target, attempt},
    rank_admission::admit_by_rank,
    request_body::RequestBody,
    shared::Shared,
    slot::{SlotGuard, hedge_delay_ms},
    steering::name_hash,
    usage::{SentEnd, SentGuard},
};

/// Largest number of backend servers that cannot be reached before a request is refused.
const MAX_UNREACHABLE: u32 = 3;

/// Delay before a retry, in milliseconds, if no backend server is available.
const NO_BACKEND_RETRY_MS: u64 = 300;

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

struct Placement<'a> {
    slot: SlotGuard<'a>,
    target: Target,
    load: u32,
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
            match place(shared, request, &history) {
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
                && let Ok(placement) = place(shared, request, &history)
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

/// Chooses a backend server and takes a slot there, which is released when the result is dropped.
fn place<'a>(
    shared: &'a Shared,
    request: &'a AdmittedRequest,
    history: &AttemptHistory,
) -> Result<Placement<'a>, Refusal> {
    let settings = shared.settings();
    let now = shared.clock.now();
    let mut guard = shared.steering();
    let steering = &mut *guard;
    let versions = steering
        .moves
        .choose_versions(&request.service, &mut steering.rng, now);
    let target = versions.as_ref().map(|versions| versions.target.as_str());
    let mut is_target = versions.as_ref().is_some_and(|versions| versions.is_target);
    let mut may_fall_back = versions
        .as_ref()
        .is_some_and(|versions| versions.may_fall_back);
    let route = request.route();
    let account_home_regions: &[String] = request.account().map_or(&[], |account| &account.homes);
    let service: Option<&PlanService> = request.plan.services.get(&request.service);
    let limits = RequestLimits {
        left_ms: request.deadline.since(now).as_secs_f64() * 1_000.0,
        target_left_ms: request.target_latency_at.since(now).as_secs_f64() * 1_000.0,
        target_ms: route.target_ms.into(),
    };
    // Further attempts of an admitted request don't count as requests of its rank.
    let is_first = history.sent == 0 && history.unreachable == 0;
    let bounds = settings.bounds;
    let cold_rate = service.map_or(0.0, |service| {
        usable_cold_rate(service.cold_rate, bounds.cold_overage, bounds.cold_slack)
    });
    loop {
        let choice_request = ChoiceRequest {
            service: &request.service,
            route: &route.id,
            object: request.object,
            account: request.account().map(|account| name_hash(&account.id)),
            is_large: route.exchange == apricotlug_model::Exchange::Download,
            region: settings.region(),
            data_centre: &settings.data_centre,
            home_regions: [&route.homes, account_home_regions],
            evacuated: &request.evacuated,
            version_filter: target.map(|target| (target, is_target)),
            excluded: &history.keys,
            cold_rate,
            share: &steering.limit_share,
            is_large_deployment: steering.relays().is_needed,
        };
        let chosen = steering.fleet.choose(&choice_request, route.target_ms, now);
        if chosen.is_err() && std::mem::take(&mut may_fall_back) {
            is_target = !is_target;
            continue;
        }
        let choice = chosen.map_err(|reason| refuse_unplaced(&mut steering.rng, reason, limits))?;
        let admission = admit_by_rank(
            shared,
            (&mut steering.rank_gates, &steering.fleet, &mut steering.rng),
            request,
            limits,
            &choice,
            is_first,
        );
        let code = match admission.decision {
            AdmissionDecision::Admit => None,
            AdmissionDecision::TooLate => Some("too_late"),
            AdmissionDecision::Overloaded => Some("crowded"),
        };
        if let Some(code) = code {
            let draw = steering.rng.random::<f64>();
            let ms = retry_after_ms(limits, choice.expected_ms, draw);
            tracing::info!(
                kind = "not_placed",
                request = request.metadata.request_id,
                result = code,
                backend = steering.fleet.entry(choice.key).backend.id,
                load = steering.fleet.entry(choice.key).load(now),
                expected_ms = choice.expected_ms as u64,
                wait_ms = choice.wait_ms as u64,
                rank = %request.ranked.rank,
                wait_share = admission.wait_share,
                shortage = admission.shortage,
                is_returning = request.ranked.is_returning,
                target_left_ms = limits.target_left_ms as u64,
                left_ms = limits.left_ms as u64,
                retry_ms = ms
            );
            return Err(Refusal::new(503, "Service Unavailable", code).with_retry_ms(ms));
        }
        steering.fleet.on_send(&choice_request, choice.key, now);
        steering.fleet.on_work_sent(&choice, now);
        for figure in choice.learned_figures() {
            shared.metrics.on_learned_estimate(figure);
        }
        let entry = steering.fleet.entry(choice.key);
        if entry.cold.is_cold(now) {
            tracing::info!(
                kind = "cold_send",
                request = request.metadata.request_id,
                backend = entry.backend.id,
                cold_ms = entry.cold.remaining(now).as_millis() as u64,
                rate = choice_request.cold_rate,
                share = steering.limit_share.in_region(&entry.region),
                is_listed = steering.listed_instances().includes_self,
                listed_instances = steering.listed_instances().count,
                known_instances = steering.peers.count(),
                news_ms = shared.freshness.age_ms()
            );
        }
        return Ok(Placement {
            slot: SlotGuard {
                shared,
                request,
                choice,
                version: entry.backend.version.clone(),
                started_at: now,
                slow_ms: choice.slow_ms.max(route.target_ms.into()),
                outcome: None,
            },
            load: entry.load(now),
            target: Target {
                key: choice.key,
                id: entry.backend.id.clone(),
                addr: entry.backend.addr,
                data_centre: entry.backend.data_centre.clone(),
                is_cross_region: entry.region != settings.region(),
                deadline: request.deadline,
                may_repeat: route.exchange.may_repeat(),
            },
        });
    }
}

fn refuse_unplaced(rng: &mut SmallRng, reason: NoBackend, limits: RequestLimits) -> Refusal {
    match reason {
        NoBackend::None => Refusal::new(503, "Service Unavailable", "none_there")
            .with_retry_ms(NO_BACKEND_RETRY_MS),
        NoBackend::Full => {
            let draw = rng.random::<f64>();
            let ms = retry_after_ms(limits, limits.left_ms / 2.0, draw);
            Refusal::new(503, "Service Unavailable", "all_full").with_retry_ms(ms)
        }
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
