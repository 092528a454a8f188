//! Exchanges figures with a relay while the store's items are read elsewhere.
//!
//! A relay that is behind the store, or was not in reach for a moment, is not polled for some seconds.
//! Its figures of the other instances are as good as before, and it needs those of this one: without
//! them, each side sets a part of every account's rate aside for the other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task;

use super::client::poll;
use crate::shared::Shared;

/// Interval at which figures are exchanged while the relay is not polled.
const INTERVAL: Duration = Duration::from_millis(450);

/// Exchanges figures with a relay whenever the last report is old, until the process ends.
pub async fn exchange_figures(shared: Arc<Shared>) {
    let mut conn = None;
    // Changes only after a failure: each other relay's first report starts a new count.
    let mut offset = 0;
    loop {
        task::sleep(INTERVAL).await;
        let Some(relay) = due_relay(&shared, offset) else {
            continue;
        };
        let known = shared.last_read().map(|read| read.version);
        let known = known.unwrap_or_default();
        match poll(&shared, &mut conn, relay, known, Duration::ZERO).await {
            // The items are left to the reads of the store.
            Ok(response) => {
                let now = shared.clock.now();
                shared.steering().on_relay_response(&response, now);
            }
            Err(error) => {
                tracing::debug!(kind = "figures", %relay, %error);
                offset += 1;
            }
        }
    }
}

/// Returns the relay to exchange figures with, the one of the region that is polled or the `offset`th
/// after it; `None` where the last report is recent enough.
fn due_relay(shared: &Shared, offset: usize) -> Option<SocketAddr> {
    let steering = shared.steering();
    if !steering.lacks_relay_report(shared.clock.now()) {
        return None;
    }
    let relays = &steering.relays().same_region;
    let index = (shared.run as usize).wrapping_add(offset) % relays.len().max(1);
    relays.get(index).copied()
}
