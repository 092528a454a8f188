//! State that an instance keeps of one backend server.

use std::time::Duration;

use apricotlug_model::{Backend, BackendState, HashMap, MonoTime};

use super::{
    affinity::object_hash, machine_speed::MachineSpeed, measurements::Health, work_left::WorkLeft,
};
use crate::steer::limits::ColdGate;

/// Time for which a load reported by the backend server itself is used.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(400);

/// Weight of a new sample in the moving average of the other instances' requests, which spans about
/// two seconds.
const OTHER_REQUESTS_MEAN_GAIN: f64 = 0.1;

/// Weight of the other instances' last reports against their moving average, 0 to 1.
const LAST_REPORT_WEIGHT: f64 = 0.3;

/// Maximum number of running and waiting requests of a backend server, in multiples of its slots.
pub(super) const MAX_LOAD_FACTOR: f64 = 3.0;

/// Key of a backend server in a [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendKey(pub u32);

/// Backend server with its observed load and health.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Description that the backend server registered.
    pub backend: Backend,
    /// Region of its data centre.
    pub region: String,
    /// Whether its registration is in force.
    pub is_registered: bool,
    /// Health derived from its answers.
    pub health: Health,
    /// Request rate limit while it is cold.
    pub cold: ColdGate,
    /// Number of requests that this instance has in progress there.
    pub own_requests: u32,
    /// Number of requests that other instances report to have in progress there.
    pub other_requests: u32,
    /// Whether the backend server has said in an answer that it is leaving.
    pub(super) is_leaving: bool,
    /// Time until which the backend server asked this instance to send it nothing.
    pub(super) deferred_until: MonoTime,
    pub(super) hash: u64,
    /// Last load that the backend server reported, with the time of the report.
    pub(super) reported_load: Option<(MonoTime, u32)>,
    /// Moving average of `other_requests`.
    other_requests_mean: f64,
    /// Number of samples in `other_requests_mean`.
    samples: u32,
    /// Moving average of the share, 0 to 1, of requests for recently sent objects that found them
    /// warm.
    pub(super) warm_ratio: f64,
    /// Known work of the requests in flight.
    pub(super) work: WorkLeft,
    /// Present speed of its machine.
    pub(super) speed: MachineSpeed,
    /// Time of this instance's last request for each object, by object hash.
    pub(super) last_sent: HashMap<u64, MonoTime>,
}

impl Entry {
    /// Creates an entry with no observations beside the registered description.
    pub(super) fn new(backend: Backend, region: &str, cold_until: MonoTime) -> Self {
        let mut cold = ColdGate::default();
        cold.on_record(cold_until);
        Self {
            hash: object_hash(&backend.service, &backend.id),
            backend,
            region: region.to_owned(),
            is_registered: true,
            health: Health::default(),
            cold,
            own_requests: 0,
            other_requests: 0,
            is_leaving: false,
            deferred_until: MonoTime::default(),
            reported_load: None,
            other_requests_mean: 0.0,
            samples: 0,
            warm_ratio: 1.0,
            work: WorkLeft::default(),
            speed: MachineSpeed::default(),
            last_sent: HashMap::default(),
        }
    }

    /// Returns the known number of running and waiting requests of all instances.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> u32 {
        let counted = self.own_requests + self.other_requests;
        match self.reported_load {
            Some((at, reported_load)) if now.since(at) < LOAD_REPORT_TTL => {
                counted.max(reported_load)
            }
            _ => counted,
        }
    }

    /// Returns whether the backend server reported its load itself a short time ago.
    #[must_use]
    pub fn has_reported_load(&self, now: MonoTime) -> bool {
        self.reported_load
            .is_some_and(|(at, _)| now.since(at) < LOAD_REPORT_TTL)
    }

    /// Returns the expected number of running and waiting requests where reports of the other
    /// instances are older than the duration of most requests: their moving average then predicts
    /// the load better than their last reports.
    pub(super) fn expected_load(&self, now: MonoTime) -> f64 {
        let last_report = f64::from(self.other_requests);
        let others = self.other_requests_mean
            + (last_report - self.other_requests_mean) * LAST_REPORT_WEIGHT;
        let counted = f64::from(self.own_requests) + others;
        match self.reported_load {
            Some((at, reported_load)) if now.since(at) < LOAD_REPORT_TTL => {
                let age = now.since(at).as_secs_f64() / LOAD_REPORT_TTL.as_secs_f64();
                let reported_load = f64::from(reported_load).max(self.own_requests.into());
                counted * age + reported_load * (1.0 - age)
            }
            _ => counted,
        }
    }

    /// Returns the average share of its slots in use; above 1 where requests wait.
    pub(super) fn mean_utilisation(&self) -> f64 {
        (f64::from(self.own_requests) + self.other_requests_mean)
            / f64::from(self.backend.slots.max(1))
    }

    /// Adds the other instances' reported requests to their moving average.
    pub(super) fn sample_other_requests(&mut self) {
        self.samples = self.samples.saturating_add(1);
        let gain = OTHER_REQUESTS_MEAN_GAIN.max(1.0 / f64::from(self.samples));
        self.other_requests_mean +=
            (f64::from(self.other_requests) - self.other_requests_mean) * gain;
    }

    /// Records the load that the backend server reported with an answer, in requests. The answered
    /// request itself is not counted.
    pub fn on_load_report(&mut self, now: MonoTime, running: u32, waiting: u32) {
        self.reported_load = Some((now, running.saturating_add(waiting).saturating_sub(1)));
    }

    /// Records how long work takes on its machine at the moment, in percent of the usual time.
    /// Ignores what is no positive number.
    pub fn on_speed_report(&mut self, now: MonoTime, percent: f64) {
        self.speed.on_report(now, percent);
    }

    /// Returns the expected work left of this instance's requests there, in milliseconds of one
    /// slot.
    #[must_use]
    pub fn own_work_ms(&self, now: MonoTime) -> f64 {
        self.work.own_ms(now)
    }

    /// Adds the requests that another instance has in progress there, and the work that is left of
    /// them in milliseconds; 0 where it is not told.
    pub fn add_reported(&mut self, requests: u32, work_ms: f64) {
        self.other_requests += requests;
        self.work.add_reported(requests, work_ms);
    }

    /// Removes a report that was added.
    pub fn remove_reported(&mut self, requests: u32, work_ms: f64) {
        self.other_requests = self.other_requests.saturating_sub(requests);
        self.work.remove_reported(requests, work_ms);
    }

    /// Records that another backend server answered at its address: sending pauses for a time in
    /// which the removal of this one should be reported.
    pub fn on_misdirected(&mut self, now: MonoTime) {
        self.health.on_gone(now);
    }

    /// Records that it refused a request. Below a known load of its slots it cannot be full, so the
    /// refusal counts as a failure of the backend server.
    pub fn on_refused(&mut self, now: MonoTime) {
        if self.load(now) < self.backend.slots {
            self.health.on_failure(now);
        } else {
            self.reported_load = Some((
                now,
                self.backend.slots.saturating_mul(MAX_LOAD_FACTOR as u32),
            ));
        }
    }

    /// Records that the backend server wants no requests from this instance for some time. A later
    /// answer can extend that time, but not shorten it.
    pub fn on_deferral(&mut self, until: MonoTime) {
        self.deferred_until = self.deferred_until.max(until);
    }

    pub(super) fn takes_requests(&self, now: MonoTime) -> bool {
        self.has_capacity(now) && self.deferred_until.is_past(now)
    }

    /// Returns whether its slots count as capacity of its region. Those of a backend server that is
    /// only deferring requests do: it is full for a moment, and the region keeps its share.
    pub(super) fn has_capacity(&self, now: MonoTime) -> bool {
        self.is_registered
            && !self.is_leaving
            && self.backend.state == BackendState::Ready
            && !self.health.is_paused(now)
    }
}

/// Outcome of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// A complete answer; milliseconds until its head arrived.
    Answered(f64),
    /// An error status or an incomplete answer.
    Failed,
    /// No answer for so long that the request was given up; milliseconds that it took.
    Overdue(f64),
    /// No connection could be made.
    Unreachable,
    /// The backend server refused the request without processing it.
    Refused,
    /// The backend server refused the request without processing it and said for how long it wants
    /// no others. That is neither a failure nor slowness.
    Deferred,
    /// The caller closed the request before it ended.
    Cancelled,
}
