//! Routes, identifies and admits a request.

use std::{sync::Arc, time::Duration};

use apricotlug_adapter::{Asked, decode_request};
use apricotlug_http::RequestHead;
use apricotlug_model::{AccountKey, MonoTime, Plan, PlanAccount, PlanRoute, RouteKey};
use apricotlug_policy::steer::object_hash;
use rand::RngExt;

use crate::shared::Shared;

/// Part of the time within which a withdrawn key must stop after which an instance without news
/// refuses all keys. The rest covers requests on their way.
const NEWS_PART: f64 = 0.9;

/// Time after which a caller may try again where nothing is known yet.
const NOTHING_KNOWN_MS: u64 = 250;

/// Refusal of a request that did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: &'static str,
    /// Why, for logs.
    pub why: &'static str,
    /// Time after which the caller may try again, in milliseconds.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    pub(crate) fn new(status: u16, reason: &'static str, why: &'static str) -> Self {
        Self {
            status,
            reason,
            why,
            retry_ms: None,
        }
    }

    pub(crate) fn later(mut self, ms: u64) -> Self {
        self.retry_ms = Some(ms);
        self
    }
}

/// Admitted request.
#[derive(Debug)]
pub struct Job {
    /// Plan under which it was admitted.
    pub plan: Arc<Plan>,
    /// Data centres whose backend servers get nothing.
    pub evacuated: Vec<String>,
    /// Route.
    pub route: RouteKey,
    /// Client account; `None` on open routes without a key.
    pub account: Option<AccountKey>,
    /// Service that answers.
    pub service: String,
    /// What it says of itself.
    pub asked: Asked,
    /// Hash of the object that it is about.
    pub object: Option<u64>,
    /// Point up to which an answer has its full worth, as far as is known.
    pub target_at: MonoTime,
    /// Point after which no answer is of use.
    pub deadline: MonoTime,
}

impl Job {
    /// Returns the route.
    #[must_use]
    pub fn route(&self) -> &PlanRoute {
        &self.plan.routes[self.route]
    }

    /// Returns the client account.
    #[must_use]
    pub fn account(&self) -> Option<&PlanAccount> {
        self.account.map(|key| &self.plan.accounts[key])
    }
}

/// Routes, identifies and admits a request.
///
/// # Errors
/// Returns what the caller is told where it is refused.
pub fn prepare(shared: &Shared, head: &RequestHead, arrived_at: MonoTime) -> Result<Job, Refusal> {
    let view = shared.view();
    let nothing_known =
        || Refusal::new(503, "Service Unavailable", "no_plan").later(NOTHING_KNOWN_MS);
    let plan = view.plan.clone().ok_or_else(nothing_known)?;
    let asked = decode_request(head);
    let host = head.headers.text("host").unwrap_or_default();
    let route_key = plan
        .route(host, head.path())
        .or_else(|| plan.route(host.split(':').next().unwrap_or_default(), head.path()))
        .ok_or(Refusal::new(404, "Not Found", "no_route"))?;
    let route = &plan.routes[route_key];
    let account = identify(shared, &plan, route, &asked)?;
    let now = shared.clock.now();
    let mut gate = shared.gate();
    let draw = gate.rng.random::<f64>();
    let service = draw_part(route, draw).to_owned();
    if let Some(key) = account {
        let id = &plan.accounts[key].id;
        gate.quotas.admit(id, now).map_err(|ms| {
            tracing::info!(
                kind = "over_rate",
                request = asked.id,
                account = id,
                route = route.id,
                retry_ms = ms
            );
            Refusal::new(429, "Too Many Requests", "over_rate").later(ms)
        })?;
    }
    gate.again(&service).on_request(now);
    let wait_ms = asked.wait_ms.unwrap_or(u64::MAX);
    let timeout_ms = u64::from(route.timeout_ms);
    let deadline = arrived_at.after(Duration::from_millis(wait_ms.min(timeout_ms)));
    let spent_ms = gate.waits.spent_ms(&route.id, asked.wait_ms);
    drop(gate);
    let target_ms = u64::from(route.target_ms).saturating_sub(spent_ms);
    let object = asked.object.as_deref().filter(|_| route.has_affinity);
    Ok(Job {
        object: object.map(|object| object_hash(&service, object)),
        evacuated: view.evacuated.clone(),
        route: route_key,
        account,
        service,
        asked,
        target_at: arrived_at.after(Duration::from_millis(target_ms)),
        deadline,
        plan,
    })
}

fn identify(
    shared: &Shared,
    plan: &Plan,
    route: &PlanRoute,
    asked: &Asked,
) -> Result<Option<AccountKey>, Refusal> {
    let account = asked
        .key
        .as_ref()
        .and_then(|key| plan.keys.get(key))
        .copied();
    if !plan.has_accounts() || (route.is_open && account.is_none()) {
        return Ok(None);
    }
    let Some(account) = account else {
        return Err(Refusal::new(401, "Unauthorized", "unknown_key"));
    };
    let bounds = shared.settings().bounds;
    let longest = Duration::from_millis(bounds.revoke_ms.into()).mul_f64(NEWS_PART);
    let is_fresh = shared.news.age().is_some_and(|age| age < longest);
    if bounds.is_revocation_strict && !is_fresh && !route.is_open {
        return Err(Refusal::new(503, "Service Unavailable", "no_news").later(NOTHING_KNOWN_MS));
    }
    // Without news an open route serves nobody by name.
    Ok(Some(account).filter(|_| is_fresh || !bounds.is_revocation_strict))
}

/// Returns the service for a draw between 0 and 1.
fn draw_part(route: &PlanRoute, draw: f64) -> &str {
    let all: f64 = route.parts.iter().map(|part| part.weight).sum();
    let mut left = draw * all;
    for part in &route.parts {
        left -= part.weight;
        if left < 0.0 {
            return &part.service;
        }
    }
    route.parts.last().map_or("", |part| &part.service)
}
