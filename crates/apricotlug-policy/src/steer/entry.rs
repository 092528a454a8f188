//! One backend server as an instance knows it.

use std::time::Duration;

use apricotlug_model::{Backend, BackendState, HashMap, MonoTime};

use super::{cold::ColdGate, gauge::Health, warmth::object_hash};

/// Time for which a load that a backend server told counts.
const LOAD_FRESH: Duration = Duration::from_millis(400);

/// Weight of a new look in the average of what other instances send: the average goes over about
/// two seconds.
const MEAN_GAIN: f64 = 0.1;

/// Weight of the last word of the other instances against their average.
const HEARD_PART: f64 = 0.3;

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
    /// Requests of other instances there on average, and how often that was looked at.
    others_mean: f64,
    looks: u32,
    /// Part of the requests for objects seen lately that met them warm.
    pub(super) known: f64,
    pub(super) sent: HashMap<u64, MonoTime>,
}

impl Entry {
    /// Creates an entry of which nothing but its own word is known.
    pub(super) fn new(backend: Backend, region: &str, cold_until: MonoTime) -> Self {
        let mut cold = ColdGate::default();
        cold.set(cold_until);
        Self {
            hash: object_hash(&backend.service, &backend.id),
            backend,
            region: region.to_owned(),
            is_listed: true,
            health: Health::default(),
            cold,
            own: 0,
            others: 0,
            told: None,
            others_mean: 0.0,
            looks: 0,
            known: 1.0,
            sent: HashMap::default(),
        }
    }

    /// Returns the requests that run and wait there, as far as is known.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> u32 {
        let reported = self.own + self.others;
        match self.told {
            Some((at, told)) if now.since(at) < LOAD_FRESH => reported.max(told),
            _ => reported,
        }
    }

    /// Returns the requests that are expected to run and wait there, where what is heard of the
    /// other instances is older than most requests last: their average says more than the last word.
    pub(super) fn expected_load(&self, now: MonoTime) -> f64 {
        let heard = f64::from(self.others);
        let others = self.others_mean + (heard - self.others_mean) * HEARD_PART;
        let known = f64::from(self.own) + others;
        match self.told {
            Some((at, told)) if now.since(at) < LOAD_FRESH => {
                let age = now.since(at).as_secs_f64() / LOAD_FRESH.as_secs_f64();
                let told = f64::from(told).max(self.own.into());
                known * age + told * (1.0 - age)
            }
            _ => known,
        }
    }

    /// Returns the part of its slots that is in use on average.
    pub(super) fn mean_use(&self) -> f64 {
        (f64::from(self.own) + self.others_mean) / f64::from(self.backend.slots.max(1))
    }

    /// Takes up what is heard of the other instances into their average.
    pub(super) fn look(&mut self) {
        self.looks = self.looks.saturating_add(1);
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.looks));
        self.others_mean += (f64::from(self.others) - self.others_mean) * gain;
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
