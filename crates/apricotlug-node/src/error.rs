//! Errors of starting an entry instance, following the bundle and evaluating bundles.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// Failure to start an entry instance, to follow the bundle or to evaluate one.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A listener could not be bound.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// Address from the settings.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] apricotlug_platform::Error),
    /// The manifest of a bundle is not valid JSON of the expected form.
    #[error("malformed manifest: {0}")]
    Manifest(#[from] serde_json::Error),
    /// The chunks do not form the bundle that the manifest describes.
    #[error(transparent)]
    Chunk(#[from] apricotlug_config::chunk::ChunkError),
    /// A call to the peer node failed.
    #[error(transparent)]
    Peer(#[from] apricotlug_peer::PeerError),
    /// The head, the manifest and the text give different versions.
    #[error("bundle version differs between head, manifest and text")]
    VersionMismatch,
    /// The thread that evaluates bundles has ended.
    #[error("the thread that evaluates bundles has ended")]
    LoaderGone,
    /// The text of a bundle was refused with these findings.
    #[error("bundle refused: {0}")]
    Bundle(apricotlug_model::Findings),
}
