//! Faults that a backend stand-in can be told to show.

use std::time::Duration;

/// Fault of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Answers 500 after running the request.
    ServerError,
    /// Runs so much longer.
    Slow(Duration),
    /// Runs the request, then closes after half of the declared body.
    CutAnswer,
    /// Sends bytes after the end of its answer.
    StrayBytes,
    /// Runs the request and never answers.
    Silent,
    /// Reads the head and closes without running the request or answering.
    CloseUnanswered,
    /// Answers with the answer of another request.
    CrossedAnswer,
    /// Refuses without running, and says so.
    Shed,
    /// Sends `100 Continue` and `103` heads before its answer.
    InterimHeads,
    /// Sends a body that ends where the connection does.
    UntilClose,
    /// Sends a length together with a transfer coding.
    AmbiguousFraming,
}

/// Fault shown on the requests whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// Prefix of the path; an empty one matches all.
    pub prefix: String,
    /// Requests in flight from which on the fault shows; 0 shows it always.
    pub from_load: usize,
    /// Fault.
    pub fault: Fault,
}

impl FaultRule {
    /// Creates a rule that always shows the fault on all paths.
    #[must_use]
    pub fn always(fault: Fault) -> Self {
        Self {
            prefix: String::new(),
            from_load: 0,
            fault,
        }
    }

    pub(super) fn applies(&self, path: &str, load: usize) -> bool {
        load >= self.from_load && path.starts_with(&self.prefix)
    }
}
