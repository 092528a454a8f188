//! Limit on the open connections of a listener. One that is full closes the connection that has
//! waited longest for its next request, so that silent callers keep nobody out.

use std::{
    collections::BTreeMap,
    net::Shutdown,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_std::net::TcpStream;

/// Open connections of a listener, and the most that there may be.
#[derive(Debug)]
pub struct ConnGate {
    max: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    /// Number of the next wait.
    next_wait: u64,
    /// Connections that carry no complete request, by the number of their wait.
    waiting: BTreeMap<u64, TcpStream>,
    closed: u64,
    refused: u64,
}

/// Numbers of a gate since its start, and now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Connections that are open.
    pub open: usize,
    /// Waiting connections that were closed for others.
    pub closed: u64,
    /// Connections that were refused, because all others carried requests.
    pub refused: u64,
}

impl ConnGate {
    /// Creates a gate for up to `max` connections.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max: max.max(1),
            state: Mutex::default(),
        }
    }

    /// Lets a connection in, which starts to wait for its first request. Returns `None` if it must be
    /// closed, because all others carry requests.
    #[must_use]
    pub fn enter(self: &Arc<Self>, stream: &TcpStream) -> Option<ConnPermit> {
        let mut state = self.state();
        if state.open >= self.max {
            let Some((_, longest)) = state.waiting.pop_first() else {
                state.refused += 1;
                return None;
            };
            // Its task sees the end of the stream. A failure means that it is closed already.
            let _ = longest.shutdown(Shutdown::Both);
            state.open -= 1;
            state.closed += 1;
        }
        state.open += 1;
        let wait = state.start_wait(stream);
        Some(ConnPermit {
            gate: Arc::clone(self),
            stream: stream.clone(),
            wait: Some(wait),
        })
    }

    /// Returns the numbers of the gate.
    #[must_use]
    pub fn counts(&self) -> GateCounts {
        let state = self.state();
        GateCounts {
            open: state.open,
            closed: state.closed,
            refused: state.refused,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn start_wait(&mut self, stream: &TcpStream) -> u64 {
        let wait = self.next_wait;
        self.next_wait += 1;
        self.waiting.insert(wait, stream.clone());
        wait
    }
}

/// Place of one connection, given up on drop.
#[derive(Debug)]
pub struct ConnPermit {
    gate: Arc<ConnGate>,
    stream: TcpStream,
    /// Number of the current wait; `None` while the connection carries a request.
    wait: Option<u64>,
}

impl ConnPermit {
    /// Records that the connection waits for a request, and may be closed for another.
    pub fn on_wait(&mut self) {
        if self.wait.is_none() {
            self.wait = Some(self.gate.state().start_wait(&self.stream));
        }
    }

    /// Records that more of a request has arrived: others have waited longer from now on. Returns `false`
    /// if the connection has been closed for another.
    #[must_use]
    pub fn on_progress(&mut self) -> bool {
        let is_open = self.on_request();
        if is_open {
            self.on_wait();
        }
        is_open
    }

    /// Records that the connection carries a complete request. Returns `false` if it has been closed for
    /// another.
    #[must_use]
    pub fn on_request(&mut self) -> bool {
        let wait = self.wait.take();
        let is_open = wait.is_none_or(|wait| self.gate.state().waiting.remove(&wait).is_some());
        if !is_open {
            self.wait = wait;
        }
        is_open
    }
}

impl Drop for ConnPermit {
    fn drop(&mut self) {
        let mut state = self.gate.state();
        // One that was closed for another is not counted any more.
        if self
            .wait
            .is_none_or(|wait| state.waiting.remove(&wait).is_some())
        {
            state.open -= 1;
        }
    }
}
