//! Errors of calls between instances.

use std::net::SocketAddr;

use thiserror::Error;

/// Errors of peer calls and of the peer node.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The instance is not a known member.
    #[error("instance {0} is not a known member; read the list of members again")]
    UnknownInstance(String),
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect to {addr}: {reason}; nothing was sent")]
    Connect {
        /// Socket address of the peer.
        addr: SocketAddr,
        /// Error message of the operating system, or that the attempt timed out.
        reason: String,
    },
    /// The call was sent and no answer arrived by the deadline.
    #[error("no answer from {0} by the deadline; the call may have run")]
    Timeout(SocketAddr),
    /// The call was sent and the connection failed before the answer arrived.
    #[error("call to {addr} failed: {reason}; the call may have run")]
    Call {
        /// Socket address of the peer.
        addr: SocketAddr,
        /// Error message of the connection or of the peer.
        reason: String,
    },
    /// Too many calls are in flight, here or at the peer; the call was not run.
    #[error("too many calls in flight; retry later")]
    Overloaded,
    /// A message breaks the protocol or one of its limits.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// A value exceeds its limit.
    #[error("{what} exceeds its limit of {limit}")]
    TooLarge {
        /// Kind of value that exceeds its limit.
        what: &'static str,
        /// Limit, in bytes or entries.
        limit: usize,
    },
    /// The head of a published bundle names a chunk that was not passed in.
    #[error("the bundle head names a chunk that was not handed over")]
    MissingChunk,
    /// The node has been stopped.
    #[error("the peer node has stopped")]
    Stopped,
    /// The listening socket or the thread of the node could not be created.
    #[error("cannot start the peer node: {0}")]
    Start(String),
}
