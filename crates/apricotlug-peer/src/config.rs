//! Settings of a peer node and the callbacks into the rest of the process.

use std::net::SocketAddr;

use apricotlug_model::{InstanceId, UnixTime};
use futures::future::BoxFuture;

use crate::{Addresses, Transfer};

/// Settings with which a peer node starts.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// Name and incarnation of this run.
    pub id: InstanceId,
    /// Name of the data centre of this instance.
    pub data_centre: String,
    /// Addresses advertised to other instances. Port 0 of `peer` is replaced by the port that the
    /// listening socket is bound to.
    pub addresses: Addresses,
    /// Socket address that the RPC listener binds to; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Peer addresses used to join the fleet; empty for none.
    pub seeds: Vec<SocketAddr>,
    /// Wall clock at start; orders the runs of one instance name.
    pub started: UnixTime,
}

/// Callbacks for peer calls that other parts of the process handle.
pub trait PeerHandler: Send + Sync + 'static {
    /// Applies a transfer. Called once for each transfer id; must not block.
    fn apply_transfer(&self, transfer: Transfer);

    /// Runs an order that is bound to this run, or finds its earlier result, and returns the bytes
    /// of the answer.
    fn answer_order(&self, order: Vec<u8>) -> BoxFuture<'static, Vec<u8>>;
}
