//! Errors of calls to the platform.

use std::io;

use thiserror::Error;

/// Result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a call brought no usable answer.
#[derive(Debug, Error)]
pub enum Error {
    /// No address accepted a connection.
    #[error("no platform address accepts connections ({0}); check them in the settings")]
    Unreachable(io::Error),
    /// The connection broke after the request may have been sent.
    #[error("the platform's answer did not arrive: {0}")]
    Broken(String),
    /// The answer's body ended before its declared length.
    #[error("the platform's answer was cut: {received} of {declared} bytes")]
    Cut {
        /// Length that the head declared, in bytes.
        declared: usize,
        /// Bytes that arrived.
        received: usize,
    },
    /// The platform limits the rate of calls.
    #[error("the platform refused the call over its rate; lower the call budget in the settings")]
    RateLimited,
    /// The platform refused the request without running it.
    #[error("the platform refused the call with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        message: String,
    },
    /// The platform failed while it ran the request.
    #[error("the platform failed with status {status}: {message}")]
    Failed {
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        message: String,
    },
    /// An answer could not be understood.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(String),
    /// A value exceeds what the platform holds under one key.
    #[error("a value of {bytes} bytes exceeds the platform's {limit}; split it")]
    TooLarge {
        /// Length of the value with its envelope, in bytes.
        bytes: usize,
        /// Largest length, in bytes.
        limit: usize,
    },
    /// The history that a watch asked for is gone; list the keys and watch from there.
    #[error("the history before revision {0} is compacted; list the keys and watch from there")]
    Compacted(i64),
    /// The lease has run out or was revoked; stop what depends on it.
    #[error("the lease is lost; stop what depends on it and acquire a new one")]
    LeaseLost,
}

impl Error {
    /// Tells whether the request surely had no effect.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Unreachable(_)
                | Self::RateLimited
                | Self::Refused { .. }
                | Self::TooLarge { .. }
                | Self::LeaseLost
                | Self::Compacted(_)
        )
    }

    /// Tells whether the same request may succeed later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Unreachable(_)
                | Self::Broken(_)
                | Self::Cut { .. }
                | Self::RateLimited
                | Self::Failed { .. }
                | Self::Malformed(_)
        )
    }
}

impl From<Error> for apricotlug_model::Error {
    fn from(e: Error) -> Self {
        Self::Platform(e.to_string())
    }
}
