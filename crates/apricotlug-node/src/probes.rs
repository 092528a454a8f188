//! Probes endpoints whose ejection has ended, so that they come back without risking a request.

use std::{sync::Arc, time::Duration};

use apricotlug_edge::Shared;
use apricotlug_policy::placement::Outcome;
use async_std::{future::timeout, net::TcpStream, task};

/// Pause between two looks for endpoints to probe.
const PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Probes endpoints for ever. A probe is a connection that is opened and closed.
pub async fn run(shared: Arc<Shared>) {
    loop {
        task::sleep(PERIOD).await;
        let Some(bundle) = shared.view.load().bundle.clone() else {
            continue;
        };
        let now = shared.clock.now();
        let due = shared
            .gate
            .with_placement(|placement| placement.due_probes(now));
        for key in due.unwrap_or_default() {
            let Some(endpoint) = bundle.endpoints.get(key) else {
                continue;
            };
            let sent_at = shared.clock.now();
            let connected = timeout(CONNECT, TcpStream::connect(endpoint.addr)).await;
            let now = shared.clock.now();
            let outcome = match connected {
                Ok(Ok(_)) => Outcome::Answered {
                    latency: now.since(sent_at),
                    server_error: false,
                },
                _ => Outcome::ConnectFailed,
            };
            let is_current = shared.view.load().bundle.as_ref().map(|b| b.version);
            if is_current == Some(bundle.version) {
                shared
                    .gate
                    .with_placement(|p| p.settle_probe(key, outcome, now));
            }
        }
    }
}
