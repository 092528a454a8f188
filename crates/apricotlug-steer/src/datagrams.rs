//! Sends and receives datagrams between instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_http::{Step, Turn};
use async_std::{net::UdpSocket, task};

use crate::{
    shared::Shared,
    wire::{MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram},
};

/// Interval between datagrams to an instance of the same region if no relays are needed.
const TICK_INTERVAL: Duration = Duration::from_millis(150);

/// Intervals between datagrams to an instance of another region, and between those of relays.
/// Traffic between regions is costly.
const CROSS_REGION_TICKS: u64 = 3;

/// Sends datagrams until the process ends.
pub async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        task::sleep(TICK_INTERVAL).await;
        sequence += 1;
        let (bytes, targets) = next_datagram(&shared, sequence);
        for target in targets {
            // A datagram that cannot be sent is treated like a lost one.
            if let Err(e) = socket.send_to(&bytes, target).await {
                tracing::debug!(kind = "pulse", %target, error = %e);
            }
        }
    }
}

fn next_datagram(shared: &Shared, sequence: u64) -> (Vec<u8>, Vec<SocketAddr>) {
    let settings = shared.settings();
    let now = shared.clock.now();
    let is_leaving = shared.drain.is_leaving();
    let mut steering = shared.steering();
    steering.tick(&settings, now);
    let datagram = steering.datagram(&settings.instance, shared.run, sequence, is_leaving);
    let relays = steering.relays();
    if relays.is_needed {
        let is_due = relays.includes_self && sequence.is_multiple_of(CROSS_REGION_TICKS);
        let targets = if is_due {
            relays.all.clone()
        } else {
            Vec::new()
        };
        return (encode_datagram(&datagram), targets);
    }
    let targets = steering
        .peers
        .iter()
        .enumerate()
        .filter(|(i, (_, member))| {
            let is_cross_region = settings.region_of(&member.info.data_centre) != settings.region();
            let ticks = if is_cross_region {
                CROSS_REGION_TICKS
            } else {
                1
            };
            (sequence + *i as u64).is_multiple_of(ticks)
        });
    let targets = targets.map(|(_, (_, member))| member.info.peer).collect();
    (encode_datagram(&datagram), targets)
}

/// Receives datagrams until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut turn = Turn::default();
    loop {
        turn.take(Step::Transfer).await;
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match decode_datagram(&buf[..len]) {
                Ok(datagram) => shared.steering().on_datagram(datagram, shared.clock.now()),
                Err(e) => tracing::warn!(kind = "bad_datagram", %from, error = %e),
            },
            Err(e) => {
                tracing::warn!(kind = "datagrams", error = %e);
                task::sleep(TICK_INTERVAL).await;
            }
        }
    }
}
