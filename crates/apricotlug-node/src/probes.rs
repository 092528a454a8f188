//! Probes endpoints whose ejection has ended, so that no request is risked on one that is still
//! down.

use std::{sync::Arc, time::Duration};

use apricotlug_edge::Shared;
use apricotlug_policy::placement::Outcome;
use async_std::{future::timeout, net::TcpStream, task};

/// Pause between two checks for endpoints to probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time limit of a probe's connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes endpoints in an endless loop. A probe opens a TCP connection and closes it.
pub async fn run(shared: Arc<Shared>) {
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let Some(bundle) = shared.view.load().bundle.clone() else {
            continue;
        };
        let now = shared.clock.now();
        let endpoints = shared
            .decisions
            .with_placement(|placement| placement.due_probes(now));
        for key in endpoints.unwrap_or_default() {
            let Some(endpoint) = bundle.endpoints.get(key) else {
                continue;
            };
            let sent_at = shared.clock.now();
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.addr)).await;
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
                    .decisions
                    .with_placement(|p| p.settle_probe(key, outcome, now));
            }
        }
    }
}
