//! Errors of an HTTP exchange on one connection.

use std::io;

use thiserror::Error;

/// Result with the error of this crate.
pub type Result<T, E = HttpError> = std::result::Result<T, E>;

/// Phase of an exchange in which its time limit ran out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waiting for the first byte of a head on an idle connection.
    Idle,
    /// Reading a head.
    Head,
    /// Reading a body.
    Body,
    /// Connecting, or writing a head or a body.
    Write,
}

/// Error while reading or writing messages on one connection.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The peer closed the connection before the first byte of a message.
    #[error("connection closed between messages")]
    Closed,
    /// The peer closed the connection before the end of a message.
    #[error("connection closed inside a message")]
    Truncated,
    /// No byte was transferred, or a head was not complete, within the time limit of the phase.
    #[error("no progress by the deadline ({0:?})")]
    TimedOut(Phase),
    /// The head or the trailer exceeds the limit, in bytes.
    #[error("head larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body exceeds the limit, in bytes.
    #[error("body larger than {0} bytes")]
    BodyTooLarge(u64),
    /// The message violates the HTTP/1.1 grammar, or its framing is ambiguous.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl HttpError {
    /// Returns the status code of the response to the caller whose request caused the error, or
    /// `None` if no response is due: the connection is closed, has failed or carries no request.
    #[must_use]
    pub fn caller_status(&self) -> Option<u16> {
        match self {
            Self::Closed
            | Self::Truncated
            | Self::Io(_)
            | Self::TimedOut(Phase::Idle | Phase::Write) => None,
            Self::TimedOut(Phase::Head | Phase::Body) => Some(408),
            Self::HeadTooLarge(_) => Some(431),
            Self::BodyTooLarge(_) => Some(413),
            Self::Malformed(_) => Some(400),
        }
    }
}
