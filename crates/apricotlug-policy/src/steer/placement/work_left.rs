//! Work that requests in flight still cause at a backend server, in milliseconds of one slot.

use apricotlug_model::MonoTime;

use super::skill::Skill;

/// Share of the standard deviation of service times that a request is at least expected to need
/// still, however long it has run.
const LONG_RUNNING_SHARE: f64 = 0.8;

/// Maximum work of one request that another instance reports, in milliseconds.
const MAX_REPORTED_MS: f64 = 60_000.0;

/// Weight of a new observation in the mean of known work.
const MEAN_GAIN: f64 = 0.01;

/// Share of the variance of waits that known work must explain to be used.
const MIN_EXPLAINED: f64 = 0.02;

/// Range of the work left, in multiples of the usual work of as many requests.
const RATIO_RANGE: [f64; 2] = [0.1, 10.0];

/// Request of this instance in flight.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    serial: u64,
    /// Time at which it was expected to get a slot.
    starts_at: MonoTime,
    service_ms: f64,
    spread: f64,
}

impl RunningRequest {
    /// Returns the expected rest of its service time, given that it has not ended yet.
    fn left_ms(&self, now: MonoTime) -> f64 {
        let elapsed_ms = now.since(self.starts_at).as_secs_f64() * 1_000.0;
        let min_ms = self.service_ms * self.spread * LONG_RUNNING_SHARE;
        (self.service_ms - elapsed_ms).max(min_ms)
    }
}

/// Known work of the requests in flight at one backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkLeft {
    own: Vec<RunningRequest>,
    /// Work that other instances report, and the number of requests that it is for.
    reported_ms: f64,
    reported_requests: u32,
}

impl WorkLeft {
    /// Records a request of this instance that is expected to get a slot at `starts_at` and to need
    /// it for `service_ms`, with a standard deviation of `spread` times that.
    pub(super) fn on_send(
        &mut self,
        serial: u64,
        starts_at: MonoTime,
        service_ms: f64,
        spread: f64,
    ) {
        self.own.push(RunningRequest {
            serial,
            starts_at,
            service_ms,
            spread: spread.clamp(0.0, 1.0),
        });
    }

    /// Records the end of a request.
    pub(super) fn on_end(&mut self, serial: u64) {
        self.own.retain(|request| request.serial != serial);
    }

    /// Returns the expected work left of this instance's requests, in milliseconds.
    pub(super) fn own_ms(&self, now: MonoTime) -> f64 {
        self.own.iter().map(|request| request.left_ms(now)).sum()
    }

    /// Adds another instance's report of `work_ms` for `requests`. Work that is not told, or is no
    /// usable number, counts as that of usual requests.
    pub(super) fn add_reported(&mut self, requests: u32, work_ms: f64) {
        if let Some(work_ms) = usable(requests, work_ms) {
            self.reported_ms += work_ms;
            self.reported_requests += requests;
        }
    }

    /// Removes a report that was added.
    pub(super) fn remove_reported(&mut self, requests: u32, work_ms: f64) {
        if let Some(work_ms) = usable(requests, work_ms) {
            self.reported_requests = self.reported_requests.saturating_sub(requests);
            self.reported_ms = if self.reported_requests == 0 {
                0.0
            } else {
                (self.reported_ms - work_ms).max(0.0)
            };
        }
    }

    /// Compares the known work with the usual one at a load of `load` requests at `slots` slots with
    /// a usual service time of `busy_ms`.
    pub(super) fn compare(
        &self,
        load: f64,
        slots: f64,
        busy_ms: f64,
        now: MonoTime,
    ) -> WorkComparison {
        if load <= 0.0 || busy_ms <= 0.0 {
            return WorkComparison::default();
        }
        // On average, half of the time of a running request is over.
        let running = load.min(slots);
        let usual_ms = (load - running * 0.5) / load * busy_ms;
        let part = |requests: f64, work_ms: f64| {
            (requests > 0.0).then(|| KnownWork {
                share: (requests / load).min(1.0),
                ratio: (work_ms / requests / usual_ms).clamp(RATIO_RANGE[0], RATIO_RANGE[1]),
            })
        };
        WorkComparison {
            own: part(self.own.len() as f64, self.own_ms(now)),
            reported: part(self.reported_requests.into(), self.reported_ms),
        }
    }
}

/// Known work of some of the requests at a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct KnownWork {
    /// Share of these requests in all that are there.
    share: f64,
    /// Their work in multiples of that of as many usual requests.
    ratio: f64,
}

/// Known work of a backend server against the usual one: that of this instance's own requests, and
/// what others report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct WorkComparison {
    pub own: Option<KnownWork>,
    pub reported: Option<KnownWork>,
}

/// What one kind of known work has been worth for the prediction of waits.
///
/// Work is compared with its own mean, so that figures that are always the same, or always too large
/// by the same factor, say nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkSkill {
    mean_ratio: f64,
    observations: u32,
    skill: Skill,
}

impl Default for WorkSkill {
    fn default() -> Self {
        Self {
            mean_ratio: 1.0,
            observations: 0,
            skill: Skill::default(),
        }
    }
}

impl WorkSkill {
    /// Returns the deviation of the work from the usual one, as a share of all work there.
    pub(super) fn deviation(&self, known: Option<KnownWork>) -> f64 {
        known.map_or(0.0, |known| {
            let ratio = known.ratio / self.mean_ratio;
            known.share * (ratio.clamp(RATIO_RANGE[0], RATIO_RANGE[1]) - 1.0)
        })
    }

    /// Returns the share of a deviation that comes true, 0 to 1.
    pub(super) fn weight(&self) -> f64 {
        self.skill.weight(MIN_EXPLAINED)
    }

    /// Records known work, and the predicted and the observed change of the wait.
    pub(super) fn observe(&mut self, known: KnownWork, predicted: f64, observed: f64) {
        self.observations = self.observations.saturating_add(1);
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.observations));
        self.mean_ratio += (known.ratio - self.mean_ratio) * gain;
        self.skill.observe(predicted, observed);
    }
}

fn usable(requests: u32, work_ms: f64) -> Option<f64> {
    let is_usable = requests > 0 && work_ms.is_finite() && work_ms > 0.0;
    is_usable.then(|| work_ms.min(f64::from(requests) * MAX_REPORTED_MS))
}
