//! One backend server as an instance knows it.

use std::time::Duration;

use apricotlug_model::{Backend, BackendState, HashMap, MonoTime};

use super::{cold::ColdGate, gauge::Health};

/// Time for which a load that a backend server told counts.
const LOAD_FRESH: Duration = Duration::from_millis(400);

/// Most requests that run and wait at a backend server, in multiples of its slots.
pub(super) const MOST_LOAD: f64 = 3.0;

/// Key of a backend server in a [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendKey(pub u32);

/// Backend server and what is known of it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What it tells of itself.
    pub backend: Backend,
    /// Region of its data centre.
    pub region: String,
    /// Whether its entry stands.
    pub is_listed: bool,
    /// Health as its answers show it.
    pub health: Health,
    /// Bound on requests while it is cold.
    pub cold: ColdGate,
    /// Requests that this instance has there.
    pub own: u32,
    /// Requests that other instances have there, as they report.
    pub others: u32,
    pub(super) hash: u64,
    pub(super) told: Option<(MonoTime, u32)>,
    /// Part of the requests for objects seen lately that met them warm.
    pub(super) known: f64,
    pub(super) sent: HashMap<u64, MonoTime>,
}

impl Entry {
    /// Returns the requests that run and wait there, as far as is known.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> u32 {
        let reported = self.own + self.others;
        match self.told {
            Some((at, told)) if now.since(at) < LOAD_FRESH => reported.max(told),
            _ => reported,
        }
    }

    /// Takes up the load that it told.
    pub fn on_load(&mut self, now: MonoTime, running: u32, waiting: u32) {
        self.told = Some((now, (running + waiting).saturating_sub(1)));
    }

    /// Takes up that another backend server has its address: nothing is sent there for a while,
    /// in which the list tells of its end.
    pub fn on_misdirected(&mut self, now: MonoTime) {
        self.health.on_gone(now);
    }

    /// Takes up that it turned a request away. Where it cannot be full by all that is known, that is
    /// a fault of its own.
    pub fn on_refused(&mut self, now: MonoTime) {
        if self.load(now) < self.backend.slots {
            self.health.on_failure(now);
        } else {
            self.told = Some((now, self.backend.slots * MOST_LOAD as u32));
        }
    }

    pub(super) fn takes_requests(&self, now: MonoTime) -> bool {
        self.is_listed && self.backend.state == BackendState::Ready && !self.health.is_paused(now)
    }
}

/// How a request at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// A whole answer; milliseconds to its head.
    Answered(f64),
    /// An answer that tells of a failure, or a broken one.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// It turned the request away unread.
    Refused,
    /// The caller left.
    Cancelled,
}
