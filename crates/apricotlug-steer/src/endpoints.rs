//! HTTP endpoints for look-ups, readiness and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_adapter::{Asker, READY_PATH, decode_lookup, encode_addresses};
use apricotlug_http::serve_app;
use async_std::net::TcpListener;
use tide::{Body, Response, StatusCode};

use crate::{peers::CARRIER_PART, shared::Shared};

/// Longest time for which a look-up answer is valid. The settings may shorten it.
const GOOD_FOR: Duration = Duration::from_millis(2_000);

/// Most addresses in a look-up answer.
const MOST_ADDRESSES: usize = 64;

/// Fewest addresses for which an answer is limited to the caller's data centre. An answer with
/// fewer is widened to the region, because callers need another address if one fails.
const FEWEST_NEAR: usize = 1;

/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves look-ups until the listener fails.
///
/// # Errors
/// Returns an error if the listener cannot accept connections any more.
pub async fn serve_lookups(
    shared: Arc<Shared>,
    listener: TcpListener,
) -> Result<(), apricotlug_http::HttpError> {
    let mut app = tide::with_state(shared);
    app.at("/*")
        .get(|req: tide::Request<Arc<Shared>>| async move { Ok(lookup(&req)) });
    serve_app(listener, Arc::new(app)).await
}

/// Serves readiness and metrics until the listener fails.
///
/// # Errors
/// Returns an error if the listener cannot accept connections any more.
pub async fn serve_ready(
    shared: Arc<Shared>,
    listener: TcpListener,
) -> Result<(), apricotlug_http::HttpError> {
    let mut app = tide::with_state(shared);
    app.at("/*")
        .get(|req: tide::Request<Arc<Shared>>| async move { Ok(ready(&req)) });
    serve_app(listener, Arc::new(app)).await
}

fn ready(req: &tide::Request<Arc<Shared>>) -> Response {
    let shared = req.state();
    let path = req.url().path();
    if path == METRICS_PATH {
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(shared.metrics.page());
        return res;
    }
    if path != READY_PATH {
        return Response::new(StatusCode::NotFound);
    }
    let is_ready = shared.view().plan.is_some() && !shared.drain.is_leaving();
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
    let Some(asker) = decode_lookup(&target) else {
        return Response::new(StatusCode::NotFound);
    };
    shared.metrics.on_lookup();
    let addresses = addresses(shared, &asker);
    tracing::debug!(kind = "lookup", data_centre = asker.data_centre, ?addresses);
    let longest = Duration::from_millis(shared.settings().bounds.lookup_ms.into());
    let mut res = Response::new(StatusCode::Ok);
    let mut body = Body::from_bytes(encode_addresses(addresses, GOOD_FOR.min(longest)));
    body.set_mime(tide::http::mime::JSON);
    res.set_body(body);
    res
}

/// Instance that a look-up answer may list.
struct Live {
    data_centre: String,
    caller: SocketAddr,
    link_mbps: u32,
}

/// Returns the addresses to list for a caller: instances of its data centre, else of its region,
/// else all, without those whose link is much slower than the others'. A route's home regions do
/// not change the answer: callers connect within their own region and are served from there.
fn addresses(shared: &Shared, asker: &Asker) -> Vec<SocketAddr> {
    let settings = shared.settings();
    let now = shared.clock.now();
    let mut live: Vec<Live> = Vec::new();
    {
        let gate = shared.gate();
        let members = gate.peers.live(now);
        live.extend(members.map(|(_, member)| Live {
            data_centre: member.info.data_centre.clone(),
            caller: member.info.caller,
            link_mbps: member.info.link_mbps,
        }));
    }
    if !shared.drain.is_leaving() || live.is_empty() {
        live.push(Live {
            data_centre: settings.data_centre.clone(),
            caller: settings.listen.caller,
            link_mbps: settings.link_mbps as u32,
        });
    }
    let is_regional = |one: &Live| settings.region_of(&one.data_centre) == asker.region;
    let near = pick(&live, is_regional, |one| {
        one.data_centre == asker.data_centre
    });
    let region = pick(&live, is_regional, is_regional);
    let mut picked = match (near.len(), region.len()) {
        (FEWEST_NEAR.., _) => near,
        (_, 1..) => region,
        _ => pick(&live, |_| true, |_| true),
    };
    picked.sort();
    picked.truncate(MOST_ADDRESSES);
    picked
}

/// Returns the wanted instances whose link has at least `1 / MAX_LINK_RATIO` of the bandwidth of
/// the fastest link among the compared ones.
fn pick(
    live: &[Live],
    is_compared: impl Fn(&Live) -> bool,
    is_wanted: impl Fn(&Live) -> bool,
) -> Vec<SocketAddr> {
    let compared = live.iter().filter(|one| is_compared(one));
    let widest = compared.map(|one| one.link_mbps).max().unwrap_or_default();
    let wanted = live
        .iter()
        .filter(|one| is_wanted(one) && one.link_mbps.saturating_mul(CARRIER_PART) >= widest);
    wanted.map(|one| one.caller).collect()
}
