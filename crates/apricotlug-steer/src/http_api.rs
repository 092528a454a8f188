//! HTTP endpoints for look-ups, readiness and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_adapter::{LookupQuery, READINESS_PATH, decode_lookup, encode_lookup_answer};
use apricotlug_http::{AppLimits, ConnGate, serve_app};
use async_std::net::TcpListener;
use tide::{Body, Response, StatusCode};

use crate::{peers::MAX_LINK_RATIO, shared::Shared};

/// Longest time for which a look-up answer is valid. The settings may shorten it.
const MAX_VALIDITY: Duration = Duration::from_millis(2_000);

/// Most addresses in a look-up answer.
const MAX_ADDRESSES: usize = 64;

/// Fewest addresses for which a look-up answer is limited to the caller's data centre. An answer
/// with fewer is widened to the region, because callers need another address if one fails.
const MIN_DATA_CENTRE_ADDRESSES: usize = 1;

/// Longest body of a request here, in bytes. None has a use for one.
const MAX_BODY_BYTES: u64 = 4 * 1024;

/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";

fn limits(gate: &Arc<ConnGate>) -> AppLimits {
    AppLimits {
        body_bytes: MAX_BODY_BYTES,
        gate: Arc::clone(gate),
    }
}

/// Serves look-ups.
pub async fn serve_lookups(shared: Arc<Shared>, listener: TcpListener) {
    let limits = limits(&shared.conn_limits.lookups);
    let mut app = tide::with_state(shared);
    app.at("/*")
        .get(|req: tide::Request<Arc<Shared>>| async move { Ok(lookup(&req)) });
    serve_app(listener, Arc::new(app), limits).await;
}

/// Serves readiness and metrics.
pub async fn serve_ready(shared: Arc<Shared>, listener: TcpListener) {
    let limits = limits(&shared.conn_limits.ready);
    let mut app = tide::with_state(shared);
    app.at("/*")
        .get(|req: tide::Request<Arc<Shared>>| async move { Ok(readiness(&req)) });
    serve_app(listener, Arc::new(app), limits).await;
}

fn readiness(req: &tide::Request<Arc<Shared>>) -> Response {
    let shared = req.state();
    let path = req.url().path();
    if path == METRICS_PATH {
        let mut res = Response::new(StatusCode::Ok);
        let held_bytes = shared.change_log.held_bytes();
        shared.metrics.set_change_log_bytes(held_bytes);
        let buffered_bytes = shared.buffered_bytes.get();
        shared.metrics.set_answer_buffer_bytes(buffered_bytes);
        let conns = shared.conn_limits.callers.counts();
        shared.metrics.set_caller_state(
            shared.bodies.used(),
            conns.open,
            conns.closed,
            conns.refused,
        );
        let plan = shared.operator_state().plan.clone();
        shared.metrics.set_read_state(
            plan.map(|plan| plan.version),
            shared.last_read().map(|read| read.version),
            shared.freshness.age_ms(),
        );
        if let Some(usage) = &shared.usage {
            let (fence, held) = usage.held();
            shared.metrics.set_duty(fence, held.as_millis() as u64);
        }
        res.set_body(shared.metrics.page());
        return res;
    }
    if path != READINESS_PATH {
        return Response::new(StatusCode::NotFound);
    }
    let is_ready = shared.operator_state().plan.is_some() && !shared.drain.is_leaving();
    Response::new(if is_ready {
        StatusCode::Ok
    } else {
        StatusCode::ServiceUnavailable
    })
}

fn lookup(req: &tide::Request<Arc<Shared>>) -> Response {
    let shared = req.state();
    let url = req.url();
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let Some(caller) = decode_lookup(&target) else {
        return Response::new(StatusCode::NotFound);
    };
    shared.metrics.on_lookup();
    let addresses = addresses(shared, &caller);
    tracing::debug!(
        kind = "lookup",
        data_centre = caller.data_centre,
        ?addresses
    );
    let max_validity = Duration::from_millis(shared.settings().bounds.lookup_ms.into());
    let mut res = Response::new(StatusCode::Ok);
    let mut body = Body::from_bytes(encode_lookup_answer(
        addresses,
        MAX_VALIDITY.min(max_validity),
    ));
    body.set_mime(tide::http::mime::JSON);
    res.set_body(body);
    res
}

/// Instance that a look-up answer may list.
struct Candidate {
    data_centre: String,
    caller: SocketAddr,
    link_mbps: u32,
}

/// Returns the addresses to list for a caller: instances of its data centre, else of its region,
/// else all, without those whose link is much slower than the others'. A route's home regions do
/// not change the answer: callers connect within their own region and are served from there.
fn addresses(shared: &Shared, caller: &LookupQuery) -> Vec<SocketAddr> {
    let settings = shared.settings();
    let now = shared.clock.now();
    let mut candidates: Vec<Candidate> = Vec::new();
    {
        let steering = shared.steering();
        let members = steering.peers.live(now);
        candidates.extend(members.map(|(_, member)| Candidate {
            data_centre: member.info.data_centre.clone(),
            caller: member.info.caller,
            link_mbps: member.info.link_mbps,
        }));
    }
    if !shared.drain.is_leaving() || candidates.is_empty() {
        candidates.push(Candidate {
            data_centre: settings.data_centre.clone(),
            caller: settings.listen.caller,
            link_mbps: settings.link_mbps as u32,
        });
    }
    let is_in_region =
        |candidate: &Candidate| settings.region_of(&candidate.data_centre) == caller.region;
    let in_data_centre = select_addresses(&candidates, is_in_region, |candidate| {
        candidate.data_centre == caller.data_centre
    });
    let in_region = select_addresses(&candidates, is_in_region, is_in_region);
    let mut picked = match (in_data_centre.len(), in_region.len()) {
        (MIN_DATA_CENTRE_ADDRESSES.., _) => in_data_centre,
        (_, 1..) => in_region,
        _ => select_addresses(&candidates, |_| true, |_| true),
    };
    picked.sort();
    picked.truncate(MAX_ADDRESSES);
    picked
}

/// Returns the eligible instances whose link has at least `1 / MAX_LINK_RATIO` of the bandwidth of
/// the fastest link among the compared ones.
fn select_addresses(
    candidates: &[Candidate],
    is_compared: impl Fn(&Candidate) -> bool,
    is_eligible: impl Fn(&Candidate) -> bool,
) -> Vec<SocketAddr> {
    let compared = candidates.iter().filter(|candidate| is_compared(candidate));
    let fastest = compared
        .map(|candidate| candidate.link_mbps)
        .max()
        .unwrap_or_default();
    let eligible = candidates.iter().filter(|candidate| {
        is_eligible(candidate) && candidate.link_mbps.saturating_mul(MAX_LINK_RATIO) >= fastest
    });
    eligible.map(|candidate| candidate.caller).collect()
}
