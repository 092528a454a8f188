//! What an instance can read the store's items from, and the time limits of its reads.

use std::{net::SocketAddr, time::Duration};

use apricotlug_policy::steer::{ReadLimits, ReadSources};

use crate::shared::Shared;

/// Returns the limits by which every change of the store is in force in time.
pub fn read_limits(shared: &Shared) -> ReadLimits {
    let bounds = shared.settings().bounds;
    let in_force_ms = bounds.apply_ms.min(bounds.drain_ms);
    ReadLimits::new(Duration::from_millis(in_force_ms.into()))
}

/// Returns the instances that can be read from in place of the store.
pub fn read_sources(shared: &Shared) -> ReadSources {
    let now = shared.clock.now();
    let settings = shared.settings();
    let steering = shared.steering();
    let pick = |relays: &[SocketAddr]| {
        let index = shared.run as usize % relays.len().max(1);
        relays.get(index).copied()
    };
    let relays = steering.relays();
    // Before the first tick, the relays follow from the listed entries alone.
    let at_start = steering.peers.relays(&settings, now);
    let is_listed_at_start = steering.peers.listed_instances(&settings).includes_self;
    // Instances that poll a relay pass nothing on.
    let mut others: Vec<_> = steering
        .peers
        .live(now)
        .filter(|(_, member)| !relays.is_needed || relays.all.contains(&member.info.peer))
        .map(|(name, member)| {
            let is_cross_region = settings.region_of(&member.info.data_centre) != settings.region();
            (is_cross_region, name, member.info.peer)
        })
        .collect();
    others.sort_unstable();
    ReadSources {
        relay: pick(&relays.same_region).filter(|_| relays.is_needed && !relays.includes_self),
        // Instances that look-ups list wait for nobody before they serve.
        listing_relay: pick(&at_start.same_region)
            .filter(|_| !at_start.includes_self && !is_listed_at_start),
        others: others.into_iter().map(|(_, _, peer)| peer).collect(),
        is_listed: steering.listed_instances().includes_self,
    }
}
