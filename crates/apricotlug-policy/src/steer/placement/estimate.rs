//! Expected times of a request, and what its answer teaches.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime};

use super::{
    affinity::object_hash,
    choose::{Choice, ChoiceRequest},
    fleet::Fleet,
    machine_speed::{SpeedReading, SpeedSkill},
    measurements::ServiceTime,
    work_cost::{CostKeys, FIRST_SPREAD, WorkCosts},
    work_left::{WorkComparison, WorkSkill},
};

/// Cost of a late answer, in multiples of the route's target latency.
const LATE_COST: f64 = 1.0;

/// Smallest expected wait, as a share of that by the number of requests.
const MIN_WAIT_RATIO: f64 = 0.1;

/// Smallest standard deviation of an answer's time, as a share of its expected service time.
const MIN_SPREAD: f64 = 0.05;

/// Largest wait, as a share of the service time, after which an answer tells the service time.
const MAX_TELLING_WAIT: f64 = 0.5;

/// What was learned of the cost of the requests of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceCosts {
    pub costs: WorkCosts,
    pub speed: SpeedSkill,
    /// What the work left of this instance's own requests is worth, against their number.
    pub own_work: WorkSkill,
    /// The same of the work that other instances report.
    pub reported_work: WorkSkill,
}

/// Times that are expected of a request, whichever backend server gets it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTimes {
    /// Service times of its route.
    pub route: ServiceTime,
    /// Target latency of its route, in milliseconds.
    pub target_ms: u32,
    /// Mean service time of all requests of its service, in milliseconds.
    pub busy_ms: f64,
    /// Keys under which its cost is learned.
    pub keys: CostKeys,
    /// Service time in multiples of the route's.
    pub factor: f64,
    /// Standard deviation of its service time, in multiples of the expected one.
    pub spread: f64,
    /// What the work left of own requests is worth.
    pub own_work: WorkSkill,
    /// What the work that others report is worth.
    pub reported_work: WorkSkill,
    /// Whether requests of its service are known to cost different amounts.
    pub is_uneven: bool,
    /// What the figures of machines are worth.
    pub speed: SpeedSkill,
}

impl RequestTimes {
    /// Returns the expected wait by the work left, given that by the number of requests.
    pub(super) fn wait_ms(&self, count_wait_ms: f64, work: &WorkComparison) -> f64 {
        if !self.is_uneven || count_wait_ms <= 0.0 {
            return count_wait_ms;
        }
        let own = self.own_work.deviation(work.own) * self.own_work.weight();
        let reported = self.reported_work.deviation(work.reported) * self.reported_work.weight();
        count_wait_ms * (1.0 + own + reported).max(MIN_WAIT_RATIO)
    }

    /// Returns the cost in milliseconds of the risk that an answer expected after `expected_ms`, of
    /// them `service_ms` of service, misses the target; 0 where costs are not known to differ.
    pub(super) fn late_risk_ms(&self, expected_ms: f64, service_ms: f64) -> f64 {
        if !self.is_uneven {
            return 0.0;
        }
        let target_ms = f64::from(self.target_ms);
        let spread_ms = (service_ms * self.spread.max(MIN_SPREAD)).max(1.0);
        // Logistic approximation of the normal distribution.
        let late = 1.0 / (1.0 + (-1.7 * (expected_ms - target_ms) / spread_ms).exp());
        late * target_ms * LATE_COST
    }
}

/// How the expected times of a choice came about.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Number of the choice.
    pub(super) serial: u64,
    /// Keys under which the request's cost is learned.
    pub(super) keys: CostKeys,
    /// Service time of the request in multiples of its route's.
    pub cost_factor: f64,
    /// The same by the present speed of the backend server's machine.
    pub speed_factor: f64,
    /// Expected service time in milliseconds.
    pub service_ms: f64,
    /// Expected wait in milliseconds by the number of requests alone.
    pub count_wait_ms: f64,
    pub(super) work: WorkComparison,
    pub(super) reading: Option<SpeedReading>,
    pub(super) spread: f64,
}

impl Choice {
    /// Returns the milliseconds until the answer is expected without what was learned of the cost of the
    /// account's or object's requests. A refusal rests on no more than that: without answers, a cost
    /// that has fallen would stay unknown.
    #[must_use]
    pub fn least_expected_ms(&self) -> f64 {
        let Estimate {
            service_ms,
            cost_factor,
            ..
        } = self.estimate;
        self.expected_ms - service_ms * (1.0 - 1.0 / cost_factor.max(1.0))
    }

    /// Iterates over the learned figures that changed the expected times: `cost` of the account or
    /// object, `speed` of the machine, `work` that is left at the backend server.
    pub fn learned_figures(&self) -> impl Iterator<Item = &'static str> {
        let estimate = &self.estimate;
        let figures = [
            (estimate.cost_factor != 1.0, "cost"),
            (estimate.speed_factor != 1.0, "speed"),
            (self.wait_ms != estimate.count_wait_ms, "work"),
        ];
        let used = figures.into_iter().filter(|(is_used, _)| *is_used);
        used.map(|(_, figure)| figure)
    }
}

impl Fleet {
    /// Returns the times that are expected of a request on a route with a target latency of
    /// `target_ms`.
    pub(super) fn request_times(
        &mut self,
        request: &ChoiceRequest<'_>,
        target_ms: u32,
    ) -> RequestTimes {
        let route = self.times(request.route, target_ms);
        let keys = CostKeys {
            route: object_hash("", request.route),
            account: request.account,
            object: request.object,
        };
        let busy_ms = self.busy_ms_by_service.get(request.service).copied();
        let learned = self.costs.get(request.service);
        let costs = learned.map(|learned| &learned.costs);
        let speed = learned.map(|learned| learned.speed).unwrap_or_default();
        let is_uneven = speed.is_used() || costs.is_some_and(WorkCosts::is_used);
        RequestTimes {
            route,
            target_ms,
            busy_ms: busy_ms.unwrap_or(route.busy_ms),
            keys,
            factor: costs.map_or(1.0, |costs| costs.factor(keys)),
            spread: costs.map_or(FIRST_SPREAD, WorkCosts::spread),
            own_work: learned.map(|learned| learned.own_work).unwrap_or_default(),
            reported_work: learned
                .map(|learned| learned.reported_work)
                .unwrap_or_default(),
            is_uneven,
            speed,
        }
    }

    /// Records that the request of a choice was sent, so that the work that it causes is known.
    pub fn on_work_sent(&mut self, choice: &Choice, now: MonoTime) {
        let estimate = choice.estimate;
        let wait = Duration::from_secs_f64(choice.wait_ms.max(0.0) / 1_000.0);
        let entry = self.entry_mut(choice.key);
        entry.work.on_send(
            estimate.serial,
            now.after(wait),
            estimate.service_ms,
            estimate.spread,
        );
    }
}

/// Learns from the service time of an answered request, in milliseconds and without its wait.
pub(super) fn learn(
    costs: &mut HashMap<String, ServiceCosts>,
    service: &str,
    choice: &Choice,
    work_ms: f64,
) {
    let estimate = &choice.estimate;
    if !costs.contains_key(service) {
        costs.insert(service.to_owned(), ServiceCosts::default());
    }
    let Some(learned) = costs.get_mut(service) else {
        return;
    };
    let usual_ms = estimate.service_ms / (estimate.cost_factor * estimate.speed_factor);
    if !(usual_ms > 0.0 && work_ms.is_finite()) {
        return;
    }
    if estimate.count_wait_ms > 0.0 {
        learn_waits(learned, choice, work_ms);
    }
    if estimate.count_wait_ms > usual_ms * MAX_TELLING_WAIT {
        return;
    }
    let ratio = work_ms / (usual_ms * estimate.speed_factor);
    let ratio = learned.costs.observe(estimate.keys, ratio);
    if let (Some(ratio), Some(reading)) = (ratio, estimate.reading) {
        let ratio = ratio * estimate.speed_factor / estimate.cost_factor;
        learned.speed.observe(reading, ratio);
    }
}

/// Learns from the wait of an answered request what known work is worth.
fn learn_waits(learned: &mut ServiceCosts, choice: &Choice, work_ms: f64) {
    let estimate = &choice.estimate;
    // Requests that are expected to be short tell waits best, so that these count more.
    let scale = estimate.count_wait_ms / estimate.service_ms.max(1.0);
    let late_ms = work_ms + choice.wait_ms - estimate.count_wait_ms - estimate.service_ms;
    let mut observed = late_ms / estimate.service_ms.max(1.0);
    let kinds = [
        (&mut learned.own_work, estimate.work.own),
        (&mut learned.reported_work, estimate.work.reported),
    ];
    for (skill, known) in kinds {
        if let Some(known) = known {
            let predicted = skill.deviation(Some(known)) * scale;
            skill.observe(known, predicted, observed);
            observed -= predicted * skill.weight();
        }
    }
}
