//! Admission of requests: routes them, identifies their client accounts and checks their rates.

use std::{sync::Arc, time::Duration};

use apricotlug_adapter::{RequestMetadata, decode_request};
use apricotlug_http::RequestHead;
use apricotlug_model::{AccountKey, MonoTime, Plan, PlanAccount, PlanRoute, RouteKey};
use apricotlug_policy::steer::{Rank, RankedRequest, object_hash};
use rand::RngExt;

use crate::shared::{OperatorView, Shared};

/// Fraction of the time limit for withdrawing a key after which an instance that cannot read the
/// store refuses all keys. The rest covers requests in flight.
const FRESHNESS_FRACTION: f64 = 0.9;

/// Delay before a retry, in milliseconds, while this instance has no plan or no fresh store data.
const NOT_READY_RETRY_MS: u64 = 250;

/// Delay before a retry, in milliseconds, while this instance is leaving. Others are there already.
const LEAVING_RETRY_MS: u64 = 50;

/// Time that a caller must have waited in earlier attempts to count as one that comes back. Shorter
/// times are differences between callers.
const MIN_RETURN_WAIT_MS: u64 = 40;

/// Refusal of a request that was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status code.
    pub status: u16,
    /// HTTP reason phrase.
    pub reason_phrase: &'static str,
    /// Reason code for logs and metrics.
    pub code: &'static str,
    /// Delay after which the caller may retry, in milliseconds; `None` if the response gives none.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    pub(crate) fn new(status: u16, reason_phrase: &'static str, code: &'static str) -> Self {
        Self {
            status,
            reason_phrase,
            code,
            retry_ms: None,
        }
    }

    /// Returns the refusal of a request that this instance could not wait for, because it is leaving.
    pub(crate) fn leaving() -> Self {
        Self::new(503, "Service Unavailable", "leaving").with_retry_ms(LEAVING_RETRY_MS)
    }

    pub(crate) fn with_retry_ms(mut self, ms: u64) -> Self {
        self.retry_ms = Some(ms);
        self
    }
}

/// Request that was admitted.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Plan in force when the request was admitted.
    pub plan: Arc<Plan>,
    /// Data centres whose backend servers must not receive requests.
    pub evacuated: Vec<String>,
    /// Key of the route in the plan.
    pub route: RouteKey,
    /// Client account; `None` for anonymous requests.
    pub account: Option<AccountKey>,
    /// Service that handles the request, drawn by the route's traffic split.
    pub service: String,
    /// Metadata that the caller sent in headers.
    pub metadata: RequestMetadata,
    /// Hash of the object that the request concerns; `None` if it names none or the route has no
    /// affinity.
    pub object: Option<u64>,
    /// What decides its order under scarcity.
    pub ranked: RankedRequest,
    /// Time by which a response meets the route's target latency, less the time that the caller has
    /// probably waited already.
    pub target_latency_at: MonoTime,
    /// Time after which the caller no longer waits for a response.
    pub deadline: MonoTime,
}

impl AdmittedRequest {
    /// Returns the route from the plan.
    #[must_use]
    pub fn route(&self) -> &PlanRoute {
        &self.plan.routes[self.route]
    }

    /// Returns the client account from the plan; `None` for anonymous requests.
    #[must_use]
    pub fn account(&self) -> Option<&PlanAccount> {
        self.account.map(|key| &self.plan.accounts[key])
    }
}

/// Request that a route and an account have, and that may be admitted.
#[derive(Debug)]
pub struct CheckedRequest {
    plan: Arc<Plan>,
    metadata: RequestMetadata,
    route: RouteKey,
    account: Option<AccountKey>,
    caller_leaves_at: MonoTime,
}

/// Routes and identifies a request by the given plan, and takes nothing of any limit.
///
/// # Errors
/// Returns the refusal for the caller if the request is not admitted whatever its body is.
pub fn check(
    shared: &Shared,
    view: &OperatorView,
    head: &RequestHead,
    arrived_at: MonoTime,
) -> Result<CheckedRequest, Refusal> {
    let not_ready =
        || Refusal::new(503, "Service Unavailable", "no_plan").with_retry_ms(NOT_READY_RETRY_MS);
    let plan = view.state.plan.clone().ok_or_else(not_ready)?;
    let metadata = decode_request(head);
    let host = head.headers.text("host").unwrap_or_default();
    let route_key = plan
        .route(host, head.path())
        .or_else(|| plan.route(host.split(':').next().unwrap_or_default(), head.path()))
        .ok_or_else(|| {
            definite_refusal(shared, view, Refusal::new(404, "Not Found", "no_route"))
        })?;
    let account = identify(shared, view, &plan, &plan.routes[route_key], &metadata)?;
    let time_budget = metadata.time_budget_ms.map(Duration::from_millis);
    let caller_leaves_at = time_budget.map_or(MonoTime::MAX, |span| arrived_at.after(span));
    if let Some(leave) = shared.leave()
        && !leave.accepts(shared.clock.now(), caller_leaves_at)
    {
        return Err(Refusal::leaving());
    }
    Ok(CheckedRequest {
        plan,
        metadata,
        route: route_key,
        account,
        caller_leaves_at,
    })
}

/// Routes, identifies and admits a request by the given plan and evacuations.
///
/// # Errors
/// Returns the refusal for the caller if the request is not admitted.
pub fn admit(
    shared: &Shared,
    view: &OperatorView,
    head: &RequestHead,
    arrived_at: MonoTime,
) -> Result<AdmittedRequest, Refusal> {
    let CheckedRequest {
        plan,
        metadata,
        route: route_key,
        account,
        caller_leaves_at,
    } = check(shared, view, head, arrived_at)?;
    let route = &plan.routes[route_key];
    let now = shared.clock.now();
    let mut steering = shared.steering();
    let draw = steering.rng.random::<f64>();
    let service = draw_service(route, draw).to_owned();
    if let Some(key) = account {
        let id = &plan.accounts[key].id;
        steering.quotas.admit(id, now).map_err(|ms| {
            tracing::info!(
                kind = "over_rate",
                request = metadata.request_id,
                account = id,
                route = route.id,
                retry_ms = ms
            );
            Refusal::new(429, "Too Many Requests", "over_rate").with_retry_ms(ms)
        })?;
    }
    steering.retry_budget(&service).on_request(now);
    let timeout = Duration::from_millis(route.timeout_ms.into());
    let deadline = caller_leaves_at.min(arrived_at.after(timeout));
    let waited_ms = steering
        .caller_waits
        .waited_ms(&route.id, metadata.time_budget_ms);
    drop(steering);
    let target_ms = u64::from(route.target_ms).saturating_sub(waited_ms);
    let object = metadata.object.as_deref().filter(|_| route.has_affinity);
    let ranked_account = account.map(|key| &plan.accounts[key]);
    Ok(AdmittedRequest {
        ranked: RankedRequest {
            rank: Rank::of(&plan, route, ranked_account),
            account: ranked_account.map_or(0, |account| object_hash("", &account.id)),
            is_returning: waited_ms >= MIN_RETURN_WAIT_MS,
        },
        object: object.map(|object| object_hash(&service, object)),
        evacuated: view.state.evacuated.clone(),
        route: route_key,
        account,
        service,
        metadata,
        target_latency_at: arrived_at.after(Duration::from_millis(target_ms)),
        deadline,
        plan,
    })
}

/// Returns a refusal that the caller takes for final, or a temporary one while a plan may be in force
/// that this instance has not read: a route or key that is not known here may be in it.
fn definite_refusal(shared: &Shared, view: &OperatorView, refusal: Refusal) -> Refusal {
    let apply = Duration::from_millis(shared.settings().bounds.apply_ms.into());
    if view.has_all_before(apply) {
        return refusal;
    }
    Refusal::new(503, "Service Unavailable", "stale_plan").with_retry_ms(NOT_READY_RETRY_MS)
}

/// Returns the account of a request; `None` where the plan has no accounts, or where the route is open
/// and the caller sent no key. A request that names an account never runs as an anonymous one: the
/// account's home regions and rate bind it on open routes too.
fn identify(
    shared: &Shared,
    view: &OperatorView,
    plan: &Plan,
    route: &PlanRoute,
    metadata: &RequestMetadata,
) -> Result<Option<AccountKey>, Refusal> {
    if !plan.has_accounts() || (route.is_open && metadata.api_key.is_none()) {
        return Ok(None);
    }
    let account = metadata
        .api_key
        .as_ref()
        .and_then(|key| plan.keys.get(key))
        .copied();
    let Some(account) = account else {
        let refusal = Refusal::new(401, "Unauthorized", "unknown_key");
        return Err(definite_refusal(shared, view, refusal));
    };
    let bounds = shared.settings().bounds;
    let max_age = Duration::from_millis(bounds.revoke_ms.into()).mul_f64(FRESHNESS_FRACTION);
    if bounds.is_revocation_strict && !view.has_all_before(max_age) {
        return Err(
            Refusal::new(503, "Service Unavailable", "no_news").with_retry_ms(NOT_READY_RETRY_MS)
        );
    }
    Ok(Some(account))
}

/// Returns the service for a draw from 0 to 1.
fn draw_service(route: &PlanRoute, draw: f64) -> &str {
    let total_weight: f64 = route.parts.iter().map(|part| part.weight).sum();
    let mut remaining = draw * total_weight;
    for part in &route.parts {
        remaining -= part.weight;
        if remaining < 0.0 {
            return &part.service;
        }
    }
    route.parts.last().map_or("", |part| &part.service)
}
