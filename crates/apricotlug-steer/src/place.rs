//! Chooses the backend server of an attempt and decides whether the request may wait there.

use apricotlug_model::{MonoTime, PlanService};
use apricotlug_policy::steer::{
    AdmissionDecision, BackendKey, Choice, ChoiceRequest, Entry, NoBackend, RequestLimits,
    retry_after_ms, usable_cold_rate,
};
use rand::{RngExt, rngs::SmallRng};

use crate::{
    admission::{AdmittedRequest, Refusal},
    attempt::Target,
    rank_admission::{RankAdmission, admit_by_rank},
    shared::Shared,
    slot::SlotGuard,
    steering::{SteeringState, name_hash},
};

/// Delay before a retry, in milliseconds, if no backend server is available.
pub(crate) const NO_BACKEND_RETRY_MS: u64 = 300;

/// Backend server of an attempt, with its slot there.
pub(crate) struct Placement<'a> {
    /// Slot that the attempt holds.
    pub slot: SlotGuard<'a>,
    /// Backend server, and the limits of the attempt.
    pub target: Target,
    /// Requests that were known to run and wait there.
    pub load: u32,
}

/// Chooses a backend server, other than the `excluded` ones of earlier attempts, and takes a slot there,
/// which is released when the result is dropped. Further attempts of an admitted request, for which
/// `is_first` does not hold, don't count as requests of its rank.
///
/// # Errors
/// Returns the refusal for the caller if there is none, or if it would answer too late.
pub(crate) fn place<'a>(
    shared: &'a Shared,
    request: &'a AdmittedRequest,
    excluded: &[BackendKey],
    is_first: bool,
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
            excluded,
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
            let entry = steering.fleet.entry(choice.key);
            log_refused(
                request,
                (code, ms),
                (&choice, &admission),
                entry,
                limits,
                now,
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
            log_cold_send(shared, request, steering, entry, cold_rate, now);
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

fn log_refused(
    request: &AdmittedRequest,
    (code, retry_ms): (&str, u64),
    (choice, admission): (&Choice, &RankAdmission),
    entry: &Entry,
    limits: RequestLimits,
    now: MonoTime,
) {
    tracing::info!(
        kind = "not_placed",
        request = request.metadata.request_id,
        result = code,
        backend = entry.backend.id,
        load = entry.load(now),
        expected_ms = choice.expected_ms as u64,
        wait_ms = choice.wait_ms as u64,
        rank = %request.ranked.rank,
        wait_share = admission.wait_share,
        shortage = admission.shortage,
        is_returning = request.ranked.is_returning,
        target_left_ms = limits.target_left_ms as u64,
        left_ms = limits.left_ms as u64,
        retry_ms
    );
}

fn log_cold_send(
    shared: &Shared,
    request: &AdmittedRequest,
    steering: &SteeringState,
    entry: &Entry,
    rate: f64,
    now: MonoTime,
) {
    tracing::info!(
        kind = "cold_send",
        request = request.metadata.request_id,
        backend = entry.backend.id,
        cold_ms = entry.cold.remaining(now).as_millis() as u64,
        rate,
        share = steering.limit_share.in_region(&entry.region),
        is_listed = steering.listed_instances().includes_self,
        listed_instances = steering.listed_instances().count,
        known_instances = steering.peers.count(),
        news_ms = shared.freshness.age_ms()
    );
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
