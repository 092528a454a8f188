//! Look-up directory of entry instances, and the HTTP application that answers look-ups and issues
//! order tokens.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
};

use apricotlug_edge::Shared;
use apricotlug_model::{Bundle, DataCentreKey, UnixTime};
use apricotlug_policy::{
    lookup::{Answer, Directory, InstanceEntry},
    order::OrderToken,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use tide::{Request, Response, StatusCode};

/// Largest number of order tokens issued by one call.
const MAX_TOKENS: u32 = 100;

#[derive(Debug)]
struct State {
    bundle: Arc<Bundle>,
    directory: Directory,
}

/// Directory of entry instances with their names and look-up addresses.
#[derive(Debug)]
pub struct LookupDirectory {
    state: Mutex<Option<State>>,
    /// Name and look-up address of each instance, by its address for callers.
    names: Mutex<Arc<BTreeMap<SocketAddr, InstanceAddress>>>,
    rng: Mutex<SmallRng>,
}

/// Name and look-up address of an entry instance, as listed in look-up answers.
#[derive(Clone, Debug)]
pub struct InstanceAddress {
    /// Name of the instance, from its settings.
    pub name: String,
    /// Address at which the instance answers look-ups and issues order tokens.
    pub lookup: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LookupDirectory {
    /// Creates an empty directory. `seed` seeds the random choice among instances and the nonces of
    /// order tokens.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: Mutex::default(),
            names: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Replaces the bundle and the entries of the fleet. `own` is this instance's data centre;
    /// `names` is keyed by the address for callers.
    pub fn update(
        &self,
        bundle: &Arc<Bundle>,
        own: DataCentreKey,
        entries: &[InstanceEntry],
        names: BTreeMap<SocketAddr, InstanceAddress>,
        now: UnixTime,
    ) {
        *lock(&self.names) = Arc::new(names);
        let mut state = lock(&self.state);
        let state = state.get_or_insert_with(|| State {
            bundle: Arc::clone(bundle),
            directory: Directory::new(bundle, own),
        });
        state.directory.update(&state.bundle, bundle, entries, now);
        state.bundle = Arc::clone(bundle);
    }

    /// Answers a look-up with the bundle's version; `None` before the first bundle.
    pub fn lookup(&self, client: IpAddr, now: UnixTime) -> Option<(u64, Answer)> {
        let mut state = lock(&self.state);
        let State { bundle, directory } = state.as_mut()?;
        let answer = directory.lookup(bundle, client, now, &mut *lock(&self.rng));
        Some((bundle.version.0, answer))
    }

    fn answer_json(&self, version: u64, answer: &Answer) -> Value {
        let names = Arc::clone(&lock(&self.names));
        let instances: Vec<Value> = answer
            .instances
            .iter()
            .map(|addr| {
                let named = names.get(addr);
                json!({
                    "addr": addr,
                    "name": named.map(|named| named.name.as_str()),
                    "lookup": named.map(|named| named.lookup),
                })
            })
            .collect();
        json!({
            "instances": instances,
            "expires_at_us": answer.expires_at.0,
            "bundle_version": version,
            "reason": format!("{:?}", answer.reason),
        })
    }

    fn issue_tokens(&self, shared: &Shared, count: u32) -> Value {
        let lifetime = shared.decisions.orders().limits().max_token_lifetime;
        let expires_at = shared.clock.unix().after(lifetime);
        let mut rng = lock(&self.rng);
        let mut new_token = || OrderToken {
            holder: shared.identity.clone(),
            expires_at,
            nonce: rng.random(),
        };
        let tokens: Vec<String> = (0..count).map(|_| new_token().to_string()).collect();
        json!({ "tokens": tokens, "expires_at_us": expires_at.0 })
    }
}

/// State shared by the handlers of look-ups and order tokens.
#[derive(Clone)]
pub struct LookupApi {
    /// State shared by all tasks of the instance.
    pub shared: Arc<Shared>,
    /// Directory that look-ups are answered from.
    pub lookups: Arc<LookupDirectory>,
}

/// Creates the application that answers look-ups and issues order tokens.
#[must_use]
pub fn app(api: LookupApi) -> tide::Server<LookupApi> {
    let mut app = tide::with_state(api);
    app.at("/v1/lookup").get(lookup);
    app.at("/v1/order-tokens").post(order_tokens);
    app.at("/ready").get(ready);
    app
}

async fn lookup(req: Request<LookupApi>) -> tide::Result {
    let api = req.state();
    let param = req.url().query_pairs().find(|(name, _)| name == "client");
    let client = match param {
        Some((_, text)) => text.parse().ok(),
        None => req
            .remote()
            .and_then(|addr| addr.parse::<SocketAddr>().ok())
            .map(|addr| addr.ip()),
    };
    let Some(client) = client else {
        return Ok(problem(
            StatusCode::BadRequest,
            "bad_client",
            "send client=IP-ADDRESS",
        ));
    };
    api.shared.metrics.on_lookup();
    let answered = api.lookups.lookup(client, api.shared.clock.unix());
    let Some((version, answer)) = answered else {
        let help = "this instance has no bundle yet; ask another";
        return Ok(problem(StatusCode::ServiceUnavailable, "no_bundle", help));
    };
    tracing::info!(
        kind = "lookup",
        client = %client,
        region = ?answer.region.map(|key| key.0),
        reason = ?answer.reason,
        instances = answer.instances.len(),
    );
    if answer.instances.is_empty() {
        let help = "no region has room; ask again shortly";
        return Ok(problem(StatusCode::ServiceUnavailable, "no_room", help));
    }
    Ok(json_response(
        StatusCode::Ok,
        &api.lookups.answer_json(version, &answer),
    ))
}

async fn order_tokens(req: Request<LookupApi>) -> tide::Result {
    let api = req.state();
    if api.shared.drain.is_leaving() {
        let help = "this instance is leaving; ask the look-up for another";
        return Ok(problem(StatusCode::ServiceUnavailable, "leaving", help));
    }
    let param = req.url().query_pairs().find(|(name, _)| name == "count");
    let count = param.map_or(Some(1), |(_, text)| text.parse().ok());
    match count {
        Some(count) if (1..=MAX_TOKENS).contains(&count) => Ok(json_response(
            StatusCode::Ok,
            &api.lookups.issue_tokens(&api.shared, count),
        )),
        _ => Ok(problem(
            StatusCode::BadRequest,
            "bad_count",
            "send count=1 to count=100",
        )),
    }
}

async fn ready(req: Request<LookupApi>) -> tide::Result {
    let shared = &req.state().shared;
    if shared.drain.is_leaving() {
        return Ok(problem(
            StatusCode::ServiceUnavailable,
            "leaving",
            "the instance is leaving",
        ));
    }
    if shared.view.load().bundle.is_none() {
        return Ok(problem(
            StatusCode::ServiceUnavailable,
            "no_bundle",
            "no bundle received yet",
        ));
    }
    Ok(json_response(StatusCode::Ok, &json!({ "ready": true })))
}

/// Creates a JSON response.
#[must_use]
pub fn json_response(status: StatusCode, value: &Value) -> Response {
    Response::builder(status)
        .content_type("application/json")
        .body(format!("{value}\n"))
        .build()
}

/// Creates an error response with a machine-readable code and a help line for people.
#[must_use]
pub fn problem(status: StatusCode, code: &str, help: &str) -> Response {
    json_response(status, &json!({ "code": code, "help": help }))
}
