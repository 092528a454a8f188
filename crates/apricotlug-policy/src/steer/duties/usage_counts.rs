//! Requests that backend servers began to run for this instance, by client account and window.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::UnixTime;

use super::record::{WindowCounts, window_end, window_number};

/// Windows before the start that are reported as empty, so that a holder does not wait for them.
const EMPTY_WINDOWS: u64 = 2;

/// Windows before the present one up to which windows are closed, after a lasting step of the clock.
const MAX_WINDOWS_BACK: u64 = 32;

/// Request that was sent and has not ended.
#[derive(Debug)]
pub struct SentRequest {
    account: String,
    window: u64,
}

#[derive(Clone, Debug, Default)]
struct OpenWindow {
    began: BTreeMap<String, u64>,
    in_flight: BTreeMap<String, u64>,
}

/// Counts of one instance. A window is closed when all requests have ended that were sent before its
/// end, or after a limit; those that are still in flight then count as begun in it.
#[derive(Clone, Debug)]
pub struct UsageCounts {
    window: Duration,
    close_limit: Duration,
    next_to_close: u64,
    open: BTreeMap<u64, OpenWindow>,
}

impl UsageCounts {
    /// Creates the counts of an instance that starts at `now`.
    #[must_use]
    pub fn new(window: Duration, close_limit: Duration, now: UnixTime) -> Self {
        let current = window_number(now, window);
        Self {
            window,
            close_limit,
            next_to_close: current.saturating_sub(EMPTY_WINDOWS),
            open: BTreeMap::new(),
        }
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, account: &str, now: UnixTime) -> SentRequest {
        let window = window_number(now, self.window).max(self.next_to_close);
        let open = self.open.entry(window).or_default();
        add(&mut open.in_flight, account);
        SentRequest {
            account: account.to_owned(),
            window,
        }
    }

    /// Records that a request has ended, and when it most likely began to run; `None` if it did not.
    pub fn on_end(&mut self, sent: SentRequest, began_at: Option<UnixTime>) {
        // Counted when its window was closed.
        let Some(open) = self.open.get_mut(&sent.window) else {
            return;
        };
        if let Some(in_flight) = open.in_flight.get_mut(&sent.account) {
            *in_flight -= 1;
            if *in_flight == 0 {
                open.in_flight.remove(&sent.account);
            }
        }
        if let Some(at) = began_at {
            let window = window_number(at, self.window).max(sent.window);
            let open = self.open.entry(window).or_default();
            add(&mut open.began, &sent.account);
        }
    }

    /// Closes the windows that are over, and returns them.
    pub fn close(&mut self, now: UnixTime) -> Vec<WindowCounts> {
        let mut closed = Vec::new();
        let oldest = window_number(now, self.window).saturating_sub(MAX_WINDOWS_BACK);
        if self.next_to_close < oldest {
            closed.extend(self.open.range(..oldest).map(|(number, _)| *number));
            self.next_to_close = oldest;
        }
        let mut closed: Vec<_> = closed.into_iter().map(|number| self.take(number)).collect();
        loop {
            let end = window_end(self.next_to_close, self.window);
            let has_in_flight = self
                .open
                .get(&self.next_to_close)
                .is_some_and(|open| !open.in_flight.is_empty());
            let is_over = end.is_past(now);
            if !is_over || (has_in_flight && now.since(end) < self.close_limit) {
                return closed;
            }
            closed.push(self.close_next());
        }
    }

    /// Closes all windows, the present one too, before the process ends.
    pub fn close_all(&mut self) -> Vec<WindowCounts> {
        let mut closed = Vec::new();
        while !self.open.is_empty() {
            closed.push(self.close_next());
        }
        closed
    }

    fn close_next(&mut self) -> WindowCounts {
        let number = self.next_to_close;
        self.next_to_close += 1;
        self.take(number)
    }

    fn take(&mut self, number: u64) -> WindowCounts {
        let open = self.open.remove(&number).unwrap_or_default();
        let mut counts = open.began;
        for (account, requests) in open.in_flight {
            *counts.entry(account).or_default() += requests;
        }
        WindowCounts { number, counts }
    }
}

fn add(counts: &mut BTreeMap<String, u64>, account: &str) {
    match counts.get_mut(account) {
        Some(requests) => *requests += 1,
        None => {
            counts.insert(account.to_owned(), 1);
        }
    }
}
