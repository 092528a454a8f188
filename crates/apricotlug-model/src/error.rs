//! The error enum shared by the crates.

use thiserror::Error;

use crate::Findings;

/// Result with the shared error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What can go wrong across crate borders.
#[derive(Debug, Error)]
pub enum Error {
    /// A bundle or settings file was refused; every finding is listed.
    #[error("{0}")]
    Refused(Findings),
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path as the operator gave it.
        path: String,
        /// What the system answered.
        source: std::io::Error,
    },
    /// Another writer changed the record first.
    #[error("conflict: {0}")]
    Conflict(String),
    /// The platform could not be asked, or its answer did not arrive.
    #[error("platform: {0}")]
    Platform(String),
    /// A peer could not be asked, or its answer did not arrive.
    #[error("peer: {0}")]
    Peer(String),
}
