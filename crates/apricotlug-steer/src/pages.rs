//! Look-ups of where to connect, readiness and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_adapter::{Asker, READY_PATH, decode_lookup, encode_addresses};
use apricotlug_http::serve_app;
use async_std::net::TcpListener;
use tide::{Body, Response, StatusCode};

use crate::shared::Shared;

/// Time for which a look-up's answer is good, unless the installation sets a shorter one.
const GOOD_FOR: Duration = Duration::from_millis(2_000);

/// Most addresses in an answer.
const MOST_ADDRESSES: usize = 64;

/// Fewest addresses with which an answer is limited to the caller's data centre: where one
/// fails, callers need another.
const FEWEST_NEAR: usize = 1;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves look-ups for ever.
///
/// # Errors
/// Returns what the system reports when it can accept no more.
pub async fn serve_lookups(
    shared: Arc<Shared>,
    listener: TcpListener,
) -> Result<(), apricotlug_http::HttpError> {
    let mut app = tide::with_state(shared);
    app.at("/*")
        .get(|req: tide::Request<Arc<Shared>>| async move { Ok(lookup(&req)) });
    serve_app(listener, Arc::new(app)).await
}

/// Serves readiness and metrics for ever.
///
/// # Errors
/// Returns what the system reports when it can accept no more.
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

/// Returns the instances for a caller: those of its data centre, else those of its region, else
/// all. Callers of a route with homes stay in their own region too: they are served from there.
fn addresses(shared: &Shared, asker: &Asker) -> Vec<SocketAddr> {
    let settings = shared.settings();
    let now = shared.clock.now();
    let mut live: Vec<(String, SocketAddr)> = Vec::new();
    {
        let gate = shared.gate();
        let members = gate.peers.live(now);
        live.extend(members.map(|(_, m)| (m.info.data_centre.clone(), m.info.caller)));
    }
    if !shared.drain.is_leaving() || live.is_empty() {
        live.push((settings.data_centre.clone(), settings.listen.caller));
    }
    let near = pick(&live, |data_centre| data_centre == asker.data_centre);
    let region = pick(&live, |data_centre| {
        settings.region_of(data_centre) == asker.region
    });
    let mut picked = match (near.len(), region.len()) {
        (FEWEST_NEAR.., _) => near,
        (_, 1..) => region,
        _ => pick(&live, |_| true),
    };
    picked.sort();
    picked.truncate(MOST_ADDRESSES);
    picked
}

fn pick(live: &[(String, SocketAddr)], is_wanted: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
    let wanted = live
        .iter()
        .filter(|(data_centre, _)| is_wanted(data_centre));
    wanted.map(|(_, addr)| *addr).collect()
}
