//! Faults that can be injected into a backend stand-in.

use std::time::Duration;

/// Fault with which a backend stand-in handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Runs the request and responds with status 500.
    ServerError,
    /// Runs the request for this much longer than configured.
    Slow(Duration),
    /// Runs the request and closes the connection after half of the declared body.
    CutAnswer,
    /// Sends an unexpected second response after the end of the first.
    StrayBytes,
    /// Runs the request and never responds.
    Silent,
    /// Reads the head and closes the connection without running the request or responding.
    CloseUnanswered,
    /// Responds with the request identifier of another request.
    CrossedAnswer,
    /// Refuses the request with the outcome `not-run` and does not run it.
    Shed,
    /// Sends `100 Continue` and `103 Early Hints` heads before the final response.
    InterimHeads,
    /// Sends a body without declared framing, which ends when the connection closes.
    UntilClose,
    /// Sends `content-length` together with `transfer-encoding`.
    AmbiguousFraming,
    /// Runs the request, sends this text in place of a response and closes the connection. `{id}` in it
    /// stands for the request's identifier.
    Text(&'static str),
    /// Sends the text as `Text` does, as soon as the head of the request has arrived, and closes the
    /// connection while a part of the body is unread, which resets it. For long bodies only.
    ResetUpload(&'static str),
}

/// Rule that injects a fault into the requests whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// Prefix of the path; an empty one matches all paths.
    pub prefix: String,
    /// Smallest number of requests in flight, this one included, at which the rule applies; 0 means
    /// always.
    pub from_load: usize,
    /// Fault to inject.
    pub fault: Fault,
}

impl FaultRule {
    /// Creates a rule that always injects the fault on all paths.
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
