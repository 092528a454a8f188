//! Pages for operators: status, readiness and metrics.

use std::sync::Arc;

use apricotlug_edge::Shared;
use apricotlug_peer::PeerHandle;
use serde_json::{Value, json};
use tide::{Request, Response, StatusCode};

use crate::lookups::json_response;

/// State of the operators' pages.
#[derive(Clone)]
pub struct AdminPages {
    /// State of the instance.
    pub shared: Arc<Shared>,
    /// Peer node.
    pub peers: PeerHandle,
}

/// Creates the application that serves operators.
#[must_use]
pub fn app(pages: AdminPages) -> tide::Server<AdminPages> {
    let mut app = tide::with_state(pages);
    app.at("/metrics").get(metrics);
    app.at("/v1/status").get(status);
    app
}

async fn metrics(req: Request<AdminPages>) -> tide::Result {
    let page = req.state().shared.metrics.page();
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain")
        .body(page)
        .build())
}

async fn status(req: Request<AdminPages>) -> tide::Result {
    Ok(json_response(
        StatusCode::Ok,
        &describe(&req.state().shared),
    ))
}

fn describe(shared: &Shared) -> Value {
    let view = shared.view.load();
    json!({
        "instance": shared.identity.name,
        "incarnation": format!("{:016x}", shared.identity.incarnation),
        "data_centre": shared.data_centre,
        "bundle_version": view.bundle.as_ref().map(|bundle| bundle.version.0),
        "withdrawn_keys": view.withdrawn.len(),
        "is_leaving": shared.drain.is_leaving(),
        "requests_in_flight": shared.drain.in_flight(),
        "orders_remembered": shared.gate.orders().len(),
    })
}
