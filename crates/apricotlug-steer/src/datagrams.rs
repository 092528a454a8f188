//! Sends and receives datagrams between instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{net::UdpSocket, task};

use crate::{
    shared::Shared,
    wire::{MAX_BYTES, decode, encode},
};

/// Interval between datagrams to an instance of the same region if no relays are needed.
const TICK: Duration = Duration::from_millis(150);

/// Intervals between datagrams to an instance of another region, and between those of relays.
/// Traffic between regions is costly.
const FAR_TICKS: u64 = 3;

/// Sends datagrams until the process ends.
pub async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        task::sleep(TICK).await;
        sequence += 1;
        let (bytes, targets) = prepare(&shared, sequence);
        for target in targets {
            // A datagram that cannot be sent is treated like a lost one.
            if let Err(e) = socket.send_to(&bytes, target).await {
                tracing::debug!(kind = "pulse", %target, error = %e);
            }
        }
    }
}

fn prepare(shared: &Shared, sequence: u64) -> (Vec<u8>, Vec<SocketAddr>) {
    let settings = shared.settings();
    let now = shared.clock.now();
    let is_leaving = shared.drain.is_leaving();
    let mut gate = shared.gate();
    gate.tick(&settings, now);
    let pulse = gate.pulse(&settings.instance, shared.run, sequence, is_leaving);
    let hubs = gate.hubs();
    if hubs.is_needed {
        let is_due = hubs.is_own && sequence.is_multiple_of(FAR_TICKS);
        let targets = if is_due { hubs.all.clone() } else { Vec::new() };
        return (encode(&pulse), targets);
    }
    let targets = gate.peers.iter().enumerate().filter(|(i, (_, member))| {
        let is_far = settings.region_of(&member.info.data_centre) != settings.region();
        let every = if is_far { FAR_TICKS } else { 1 };
        (sequence + *i as u64).is_multiple_of(every)
    });
    let targets = targets.map(|(_, (_, member))| member.info.peer).collect();
    (encode(&pulse), targets)
}

/// Receives datagrams until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match decode(&buf[..len]) {
                Ok(pulse) => shared.gate().on_pulse(pulse, shared.clock.now()),
                Err(e) => tracing::warn!(kind = "bad_datagram", %from, error = %e),
            },
            Err(e) => {
                tracing::warn!(kind = "datagrams", error = %e);
                task::sleep(TICK).await;
            }
        }
    }
}
