//! Guard of one request that was sent to a backend server, by which it is counted once.

use std::time::Duration;

use apricotlug_model::BootTime;
use apricotlug_policy::steer::SentRequest;

use super::state::Usage;
use crate::freshness::StoreFreshness;

/// Request that was sent for a client account. When dropped, it counts as begun.
#[derive(Debug)]
pub struct SentGuard<'a> {
    usage: &'a Usage,
    sent: Option<SentRequest>,
    sent_at: BootTime,
    wait: Duration,
    expected: Duration,
}

/// What is known of a request that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentEnd {
    /// It ran, and was answered now.
    Answered,
    /// It may have run.
    Unknown,
    /// It did not run.
    NotRun,
}

impl<'a> SentGuard<'a> {
    /// Begins to count a request that is expected to wait for `wait_ms` of `expected_ms`.
    pub fn new(usage: &'a Usage, account: &str, wait_ms: f64, expected_ms: f64) -> Self {
        let span = |ms: f64| Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default();
        let sent_at = StoreFreshness::now();
        let mut state = usage.lock();
        let wall = state.anchor.unix(sent_at);
        let sent = state.counts.on_sent(account, wall);
        Self {
            usage,
            sent: Some(sent),
            sent_at,
            wait: span(wait_ms),
            expected: span(expected_ms),
        }
    }

    /// Ends the count.
    pub fn end(mut self, end: SentEnd) {
        self.settle(end);
    }

    fn settle(&mut self, end: SentEnd) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        let now = StoreFreshness::now();
        let elapsed = now.since(self.sent_at);
        // An answered request waited for the same part of its time as was expected.
        let waited = match end {
            SentEnd::Answered if self.expected.is_zero() => Some(Duration::ZERO),
            SentEnd::Answered => {
                let part = self.wait.as_secs_f64() / self.expected.as_secs_f64();
                Some(elapsed.mul_f64(part.clamp(0.0, 1.0)))
            }
            SentEnd::Unknown => Some(self.wait.min(elapsed)),
            SentEnd::NotRun => None,
        };
        let mut state = self.usage.lock();
        let began_at = waited.map(|waited| state.anchor.unix(self.sent_at.after(waited)));
        state.counts.on_end(sent, began_at);
    }
}

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        self.settle(SentEnd::Unknown);
    }
}
