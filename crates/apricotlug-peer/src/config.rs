//! What a peer node is started with.

use std::net::SocketAddr;

use apricotlug_model::{InstanceId, UnixTime};
use futures::future::BoxFuture;

use crate::{Addresses, Transfer};

/// Settings of a peer node.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// Name and incarnation of this run.
    pub id: InstanceId,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Addresses under which others reach this instance. Port 0 of `peer` stands for the port
    /// that the listening socket gets.
    pub addresses: Addresses,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Peer addresses to start from.
    pub seeds: Vec<SocketAddr>,
    /// Wall clock at start; orders the runs of a name.
    pub started: UnixTime,
}

/// What the process does with calls that concern other parts of it.
pub trait PeerHandler: Send + Sync + 'static {
    /// Applies a transfer. Called once for each transfer id; must not block.
    fn apply_transfer(&self, transfer: Transfer);

    /// Runs or looks up an order that is bound to this run, and returns the answer's bytes.
    fn answer_order(&self, order: Vec<u8>) -> BoxFuture<'static, Vec<u8>>;
}
