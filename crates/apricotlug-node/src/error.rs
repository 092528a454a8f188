//! Errors of an entry instance.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// What can keep an entry instance from starting or from following the bundle.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address could not be bound.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// Address from the settings.
        addr: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The platform could not be asked.
    #[error(transparent)]
    Platform(#[from] apricotlug_platform::Error),
    /// The manifest of a bundle is malformed.
    #[error("malformed manifest: {0}")]
    Manifest(#[from] serde_json::Error),
    /// A bundle could not be put together.
    #[error(transparent)]
    Chunk(#[from] apricotlug_config::chunk::ChunkError),
    /// The peer node failed.
    #[error(transparent)]
    Peer(#[from] apricotlug_peer::PeerError),
    /// The versions of the head, the manifest and the text differ.
    #[error("the versions of a bundle's head, manifest and text differ")]
    VersionMismatch,
    /// The thread that evaluates bundles has ended.
    #[error("the thread that evaluates bundles has ended")]
    LoaderGone,
    /// A bundle was refused.
    #[error("bundle refused: {0}")]
    Bundle(apricotlug_model::Findings),
}
