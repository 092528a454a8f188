//! State of an attempt to run a request on a backend server, and whether a retry is allowed.

use apricotlug_model::Repeat;

/// How far an attempt is known to have come. Ordered from least to most execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// No byte of the request was written, or the backend server reported that it did not run.
    NotSent,
    /// Bytes were written, but no complete answer arrived.
    PerhapsRun,
    /// A complete answer arrived.
    Answered,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPermission {
    /// The request may be retried.
    MayRetry,
    /// The request must not be retried. The caller gets an error that says that the outcome is
    /// unknown.
    OutcomeUnknown,
}

impl AttemptState {
    /// Returns whether a request may be retried after an attempt in this state.
    ///
    /// An idempotent request may be retried in any state. A request that must run at most once may
    /// be retried only if it certainly did not run.
    #[must_use]
    pub fn retry_permission(self, repeat: Repeat) -> RetryPermission {
        match (repeat, self) {
            (Repeat::Idempotent, _) | (Repeat::Once, Self::NotSent) => RetryPermission::MayRetry,
            (Repeat::Once, Self::PerhapsRun | Self::Answered) => RetryPermission::OutcomeUnknown,
        }
    }

    /// Combines the states of two attempts of a request: returns the one with more execution.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }
}
