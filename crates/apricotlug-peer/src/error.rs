//! Errors of calls between instances.

use std::net::SocketAddr;

use thiserror::Error;

/// What can go wrong between instances.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The instance is not a known member.
    #[error("instance {0} is not a known member; read the list of members again")]
    UnknownInstance(String),
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect to {addr}: {reason}; nothing was sent")]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// What the system answered.
        reason: String,
    },
    /// The call was sent and its answer did not arrive by the deadline.
    #[error("no answer from {0} by the deadline; the call may have run")]
    Timeout(SocketAddr),
    /// The call was sent and the connection failed before its answer.
    #[error("call to {addr} failed: {reason}; the call may have run")]
    Call {
        /// Address of the peer.
        addr: SocketAddr,
        /// What the connection or the peer answered.
        reason: String,
    },
    /// Too many calls wait for an answer; nothing was sent.
    #[error("too many calls in flight; retry later")]
    Overloaded,
    /// A message breaks the protocol or one of its limits.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// A value exceeds its limit.
    #[error("{what} exceeds its limit of {limit}")]
    TooLarge {
        /// What was too large.
        what: &'static str,
        /// Limit, in bytes or entries.
        limit: usize,
    },
    /// The bundle that was published names a chunk that was not handed over.
    #[error("the bundle head names a chunk that was not handed over")]
    MissingChunk,
    /// The node has been stopped.
    #[error("the peer node has stopped")]
    Stopped,
    /// The listening socket or the node's thread could not be set up.
    #[error("cannot start the peer node: {0}")]
    Start(String),
}
