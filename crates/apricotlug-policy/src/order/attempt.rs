//! What is known about one attempt to run a request on a backend server.

use apricotlug_model::Repeat;

/// What is known about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// No byte of the request was written, or the backend server said that it did not run.
    NotSent,
    /// Bytes were written and no whole answer arrived.
    PerhapsRun,
    /// A whole answer arrived.
    Answered,
}

/// What may be done after an attempt without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The request may be sent again.
    MayRetry,
    /// The caller is told that the outcome is unknown.
    OutcomeUnknown,
}

impl AttemptState {
    /// Tells what may be done after an attempt in this state.
    ///
    /// An idempotent request may go again in any state; one that runs at most once only where it
    /// certainly did not run.
    #[must_use]
    pub fn disposition(self, repeat: Repeat) -> Disposition {
        match (repeat, self) {
            (Repeat::Idempotent, _) | (Repeat::Once, Self::NotSent) => Disposition::MayRetry,
            (Repeat::Once, Self::PerhapsRun | Self::Answered) => Disposition::OutcomeUnknown,
        }
    }

    /// Combines the states of all attempts of a request: the one that says most was done.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }
}
