//! Errors of one leg of an HTTP exchange.

use std::io;

use thiserror::Error;

/// Result with the error of this crate.
pub type Result<T, E = HttpError> = std::result::Result<T, E>;

/// What was being moved when time ran out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    /// Waiting for the first byte of a head on an idle connection.
    Idle,
    /// Reading a head.
    Head,
    /// Reading a body.
    Body,
    /// Writing.
    Write,
}

/// What can go wrong on one leg.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The peer closed the connection between messages.
    #[error("connection closed between messages")]
    Closed,
    /// The peer closed the connection inside a message.
    #[error("connection closed inside a message")]
    Truncated,
    /// No progress was made by the deadline.
    #[error("no progress by the deadline ({0:?})")]
    TimedOut(Leg),
    /// The head is larger than allowed.
    #[error("head larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body is larger than allowed.
    #[error("body larger than {0} bytes")]
    BodyTooLarge(u64),
    /// The message breaks the grammar, or its framing is ambiguous.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl HttpError {
    /// Returns the status that tells a caller what was wrong with its request, if any fits.
    #[must_use]
    pub fn caller_status(&self) -> Option<u16> {
        match self {
            Self::Closed
            | Self::Truncated
            | Self::Io(_)
            | Self::TimedOut(Leg::Idle | Leg::Write) => None,
            Self::TimedOut(Leg::Head | Leg::Body) => Some(408),
            Self::HeadTooLarge(_) => Some(431),
            Self::BodyTooLarge(_) => Some(413),
            Self::Malformed(_) => Some(400),
        }
    }
}
