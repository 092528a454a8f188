//! What an instance takes of its machine: memory for bodies, and connections of each kind.

use std::sync::Arc;

use apricotlug_config::SiteMachine;
use apricotlug_http::ConnGate;
use rustix::process::{Resource, getrlimit};

/// Memory that a process uses without bodies, in bytes: its state, its answers to other instances
/// and the buffers of its connections.
const BASE_BYTES: u64 = 42 << 20;

/// Least room for bodies, in bytes, however small the machine.
const MIN_ROOM_BYTES: u64 = 8 << 20;

/// Descriptors that are for files; sockets share the others.
const FILE_DESCRIPTORS: usize = 200;

/// Fewest descriptors for sockets with which an instance works.
const MIN_SOCKETS: usize = 64;

/// Most descriptors that are counted on where the operating system allows more.
const MAX_DESCRIPTORS: usize = 65_536;

/// Callers' connections for each MB of memory. Each may hold a buffer of 16 KiB.
const CALLERS_PER_MB: usize = 8;

/// Callers' connections beyond which those that wait for a request hold no more than
/// `CROWDED_READ_BYTES`.
const CROWD: usize = 256;

/// Largest read of the head of a request while there are many connections.
const CROWDED_READ_BYTES: usize = 1024;

/// Limits on the connections of an instance.
#[derive(Debug)]
pub struct ConnLimits {
    /// Callers.
    pub callers: Arc<ConnGate>,
    /// Look-ups.
    pub lookups: Arc<ConnGate>,
    /// Readiness and metrics.
    pub ready: Arc<ConnGate>,
    /// Other instances.
    pub peers: Arc<ConnGate>,
    /// Most idle connections to backend servers.
    pub pooled: usize,
}

impl ConnLimits {
    /// Divides the descriptors of a machine for sockets. Three eighths are for callers, an eighth for
    /// look-ups and other instances each, a thirty-second for readiness and a quarter for idle
    /// connections to backend servers; requests in flight have the rest.
    #[must_use]
    pub fn new(machine: SiteMachine) -> Self {
        let descriptors = machine.descriptors.map_or_else(own_limit, |n| n as usize);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let sockets = sockets.clamp(MIN_SOCKETS, MAX_DESCRIPTORS);
        let callers = (sockets * 3 / 8).min(machine.memory_mb as usize * CALLERS_PER_MB);
        Self {
            callers: Arc::new(ConnGate::new(callers)),
            lookups: Arc::new(ConnGate::new(sockets / 8)),
            ready: Arc::new(ConnGate::new(sockets / 32)),
            peers: Arc::new(ConnGate::new(sockets / 8)),
            pooled: sockets / 4,
        }
    }

    /// Returns whether so many callers are connected that connections hold no buffers while they
    /// wait.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.callers.counts().open > CROWD
    }

    /// Returns the largest read for a caller that waits for a request; `None` for the usual one.
    #[must_use]
    pub fn waiting_read_bytes(&self) -> Option<usize> {
        self.is_crowded().then_some(CROWDED_READ_BYTES)
    }
}

/// Returns the bytes of a machine's memory that bodies may take.
#[must_use]
pub fn room_bytes(machine: SiteMachine) -> u64 {
    (u64::from(machine.memory_mb) << 20)
        .saturating_sub(BASE_BYTES)
        .max(MIN_ROOM_BYTES)
}

fn own_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(MAX_DESCRIPTORS, |limit| limit as usize)
}
