//! Choice of the backend server with the lowest expected cost.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime};

use super::{
    affinity::rank_weight,
    entry::{BackendKey, Entry, MAX_LOAD_FACTOR},
    estimate::{Estimate, RequestTimes},
    fleet::Fleet,
    work_left::WorkComparison,
};
use crate::steer::limits::LimitShare;

/// Time for which an object counts as warm at the backend server that this instance sent it to.
const WARM_RETENTION: Duration = Duration::from_secs(30);

/// Probability that an object is warm at its first and its second choice in the own region.
const WARM_OWN_REGION: [f64; 2] = [0.8, 0.5];

/// Probability that an object is warm at its first choice in another region.
const WARM_OTHER_REGION: [f64; 1] = [0.3];

/// Probability that an object is warm at any other backend server.
const WARM_UNRANKED: f64 = 0.05;

/// Cost of an off-home request, in multiples of the time by which a cold request exceeds a warm
/// one: the backend server evicts another object for it.
const OFF_HOME_COST: f64 = 1.0;

/// Additional cost of a request that goes elsewhere than to the object's first choice, in the same
/// unit, multiplied by the share of requests for recently sent objects that found them cold there:
/// a backend server that evicts objects early is reserved for those whose first choice it is.
const EVICTION_COST: f64 = 4.0;

/// Utilisation of a service's slots from which time at its backend servers has a cost, and at which
/// that cost equals the cost of callers' time.
const SCARCITY_START: f64 = 0.5;
const SCARCITY_FULL: f64 = 0.95;

/// Maximum cost of time at backend servers, relative to the cost of callers' time.
const MAX_SCARCITY: f64 = 1.5;

/// Probability that an object is warm at a backend server that this instance recently sent it to.
const WARM_RECENT: f64 = 0.97;

/// Multiple of the usual service time from which an answer counts as slow, for objects recently
/// sent there, which may have been evicted, and for all others.
const SLOW_FACTOR_RECENT: f64 = 3.0;
const SLOW_FACTOR_OTHER: f64 = 1.9;

/// Time after the cold period during which no answer counts as slow.
const COLD_GRACE: Duration = Duration::from_millis(1_500);

/// Cost of a failure in milliseconds: the time that a caller loses by a retry.
const FAILURE_COST_MS: f64 = 1_500.0;

/// Extra cost of a fully used backend server over an idle one, as a share of the service time.
const FULL_LOAD_COST: f64 = 0.2;

/// Cost of answering from another region in addition to its latency, in milliseconds: bandwidth
/// between regions is scarce.
const OTHER_REGION_MS: f64 = 10.0;

/// The same for a large answer.
const OTHER_REGION_LARGE_MS: f64 = 200.0;

/// Cost of answering from another data centre of the region, in milliseconds.
const OTHER_DATA_CENTRE_MS: f64 = 8.0;

/// The same for a large answer.
const OTHER_DATA_CENTRE_LARGE_MS: f64 = 120.0;

/// Requirements of a request for the choice of its backend server.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Name of the service that answers.
    pub service: &'a str,
    /// Id of the request's route.
    pub route: &'a str,
    /// Hash of the requested object; `None` for requests without affinity to an object.
    pub object: Option<u64>,
    /// Hash of the client account; `None` for requests without one.
    pub account: Option<u64>,
    /// Whether a large answer is expected, which should not leave the data centre.
    pub is_large: bool,
    /// Region of this instance.
    pub region: &'a str,
    /// Data centre of this instance.
    pub data_centre: &'a str,
    /// Home regions of the route and of the client account. An empty list allows every region.
    pub home_regions: [&'a [String]; 2],
    /// Evacuated data centres, whose backend servers get no requests.
    pub evacuated: &'a [String],
    /// Version, with `true` where only that version may serve the request, and `false` where every
    /// other version may. `None` allows all versions.
    pub version_filter: Option<(&'a str, bool)>,
    /// Backend servers of earlier attempts, which are excluded.
    pub excluded: &'a [BackendKey],
    /// Requests per second that all instances together send to a cold backend server; 0 for no limit.
    pub cold_rate: f64,
    /// Part of `cold_rate` that this instance may use.
    pub share: &'a LimitShare,
    /// Whether there are so many instances that each sees only a small share of the load itself and
    /// receives reports of the rest late. The choice is then limited to the homes of the object.
    pub is_large_deployment: bool,
}

impl ChoiceRequest<'_> {
    /// Returns the number of requests assumed to run and wait at a backend server.
    fn load(&self, entry: &Entry, now: MonoTime) -> f64 {
        if self.is_large_deployment {
            entry.expected_load(now)
        } else {
            entry.load(now).into()
        }
    }
}

/// Chosen backend server with the expected times of the request there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Key of the chosen backend server.
    pub key: BackendKey,
    /// Milliseconds until the answer is expected.
    pub expected_ms: f64,
    /// Milliseconds that the request is expected to wait for a slot.
    pub wait_ms: f64,
    /// Probability that the object is warm there, 0 to 1.
    pub warm: f64,
    /// Whether this instance recently sent the object there.
    pub is_recent: bool,
    /// Whether the route has enough observations to refuse a request for its expected latency.
    pub is_known: bool,
    /// Milliseconds from which the answer counts as slow whether the object was warm or cold.
    pub slow_ms: f64,
    /// How the expected times came about.
    pub estimate: Estimate,
}

/// Reason why no backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoBackend {
    /// No backend server may serve the request.
    None,
    /// All backend servers that may serve the request are full.
    Full,
}

impl Fleet {
    /// Chooses the backend server with the lowest expected cost. `target_ms` is the target latency
    /// of the route, from which its first estimates derive.
    ///
    /// # Errors
    /// Returns the reason if no backend server can be chosen.
    pub fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        target_ms: u32,
        now: MonoTime,
    ) -> Result<Choice, NoBackend> {
        let times = self.request_times(request, target_ms);
        if request.is_large_deployment
            && let Some(choice) = self.choose_among_homes(request, &times, now)
        {
            return Ok(choice);
        }
        let homes = self.homes(request, now);
        let scarcity = self.scarcity(request, now);
        let all: Vec<_> = self
            .of_service(request.service)
            .map(|(key, _)| key)
            .collect();
        self.choices = self.choices.wrapping_add(1);
        let object = request
            .object
            .unwrap_or_else(|| rank_weight(self.choices, request.share.own()));
        let region = self
            .assigned_region(request, object, now)
            .unwrap_or_default();
        self.choose_by_region(request, &region, &all, &times, &homes, scarcity, now)
    }

    /// Chooses the backend server with the lowest expected cost among `keys`.
    pub(super) fn lowest_cost(
        &self,
        request: &ChoiceRequest<'_>,
        keys: impl Iterator<Item = BackendKey>,
        times: &RequestTimes,
        homes: &[(BackendKey, f64)],
        scarcity: f64,
        now: MonoTime,
    ) -> Result<Choice, NoBackend> {
        let mut best: Option<(f64, Choice)> = None;
        let mut reason = NoBackend::None;
        for key in keys {
            let entry = self.entry(key);
            if !self.may_serve(request, key, entry, now) {
                continue;
            }
            reason = NoBackend::Full;
            if request.load(entry, now) >= f64::from(entry.backend.slots) * MAX_LOAD_FACTOR {
                continue;
            }
            let (cost, choice) = self.cost(request, (key, entry), times, homes, scarcity, now);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice).ok_or(reason)
    }

    pub(super) fn may_serve(
        &self,
        request: &ChoiceRequest<'_>,
        key: BackendKey,
        entry: &Entry,
        now: MonoTime,
    ) -> bool {
        let is_allowed_region = request
            .home_regions
            .iter()
            .all(|regions| regions.is_empty() || regions.contains(&entry.region));
        let is_open = !request.evacuated.contains(&entry.backend.data_centre);
        let is_allowed_version = request
            .version_filter
            .is_none_or(|(version, is_required)| (entry.backend.version == version) == is_required);
        entry.takes_requests(now)
            && is_allowed_region
            && is_open
            && is_allowed_version
            && !request.excluded.contains(&key)
            && entry
                .cold
                .may_send(now, request.cold_rate, &entry.region, request.share)
    }

    /// Returns the cost of time at the service's backend servers relative to the cost of callers'
    /// time; 0 while many slots are free.
    fn scarcity(&self, request: &ChoiceRequest<'_>, now: MonoTime) -> f64 {
        let (mut load, mut slots) = (0, 0);
        for (_, entry) in self.of_service(request.service) {
            let is_open = !request.evacuated.contains(&entry.backend.data_centre);
            if is_open && entry.takes_requests(now) {
                load += entry.load(now).min(entry.backend.slots);
                slots += entry.backend.slots;
            }
        }
        scarcity(f64::from(load) / f64::from(slots.max(1)))
    }

    /// Returns the homes of the object with the probability that it is warm there: the first two
    /// choices in the own region, then the first choice of each other region.
    fn homes(&self, request: &ChoiceRequest<'_>, now: MonoTime) -> Vec<(BackendKey, f64)> {
        let Some(object) = request.object else {
            return Vec::new();
        };
        let mut top_by_region: HashMap<&str, Vec<(u64, BackendKey)>> = HashMap::default();
        for (key, entry) in self.of_service(request.service) {
            let is_open = !request.evacuated.contains(&entry.backend.data_centre);
            if !is_open || !entry.takes_requests(now) {
                continue;
            }
            let weight = rank_weight(entry.hash, object);
            let top = top_by_region.entry(entry.region.as_str()).or_default();
            let at = top.partition_point(|(other, _)| *other > weight);
            top.insert(at, (weight, key));
            top.truncate(WARM_OWN_REGION.len());
        }
        let own_region = top_by_region.remove(request.region).unwrap_or_default();
        let own_region = own_region.into_iter().zip(WARM_OWN_REGION);
        let other_regions = top_by_region
            .values()
            .flat_map(|top| top.iter().copied().zip(WARM_OTHER_REGION));
        own_region
            .chain(other_regions)
            .map(|((_, key), probability)| (key, probability))
            .collect()
    }

    /// Returns the probability that the object is warm at a backend server, and the cost of sending
    /// it there in multiples of the time by which a cold request exceeds a warm one.
    fn warm_estimate(
        request: &ChoiceRequest<'_>,
        key: BackendKey,
        entry: &Entry,
        homes: &[(BackendKey, f64)],
        now: MonoTime,
    ) -> (f64, f64) {
        let Some(object) = request.object else {
            return (0.0, 0.0);
        };
        let rank = homes.iter().position(|(other, _)| *other == key);
        let is_recent = entry
            .last_sent
            .get(&object)
            .is_some_and(|at| now.since(*at) < WARM_RETENTION);
        let eviction = (1.0 - entry.warm_ratio) * EVICTION_COST;
        match (rank, is_recent) {
            (Some(0), true) => (WARM_RECENT * entry.warm_ratio, 0.0),
            (Some(0), false) => (homes[0].1 * entry.warm_ratio, 0.0),
            (_, true) => (WARM_RECENT * entry.warm_ratio, eviction),
            (Some(rank), false) => (homes[rank].1 * entry.warm_ratio, eviction),
            (None, false) => (WARM_UNRANKED, OFF_HOME_COST + eviction),
        }
    }

    fn cost(
        &self,
        request: &ChoiceRequest<'_>,
        (key, entry): (BackendKey, &Entry),
        times: &RequestTimes,
        homes: &[(BackendKey, f64)],
        scarcity: f64,
        now: MonoTime,
    ) -> (f64, Choice) {
        let slots = f64::from(entry.backend.slots);
        let load = request.load(entry, now);
        let (warm, off_home) = Self::warm_estimate(request, key, entry, homes, now);
        let slowness = entry.health.slowness(now);
        let time = times.route;
        let reading = entry.speed.reading(now);
        let speed_factor = times.speed.factor(reading);
        let service_ms = time.mean_ms(warm) * slowness * times.factor * speed_factor;
        let busy_ms = times.busy_ms * slowness * speed_factor;
        let count_wait_ms = (load + 1.0 - slots).max(0.0) / slots * busy_ms;
        let work = if count_wait_ms > 0.0 {
            entry.work.compare(load, slots, busy_ms, now)
        } else {
            WorkComparison::default()
        };
        let wait_ms = times.wait_ms(count_wait_ms, &work);
        let is_same_region = entry.region == request.region;
        let round_trip_ms = self.round_trip_ms(&entry.backend.data_centre, is_same_region);
        let expected_ms = round_trip_ms + wait_ms + service_ms;
        let is_first = homes.first().is_none_or(|(first, _)| *first == key);
        let off_home_region_ms = if request.is_large_deployment && !is_same_region && !is_first {
            OTHER_DATA_CENTRE_MS
        } else {
            0.0
        };
        let network_cost_ms = network_cost_ms(request, entry) + off_home_region_ms;
        let cold_extra_ms = (time.cold_ms - time.warm_ms) * times.factor;
        let backend_time_ms = cold_extra_ms * (off_home + 1.0 - warm) * scarcity;
        let load_ms =
            load_factor(load, slots, request.is_large_deployment) * FULL_LOAD_COST * busy_ms;
        let failure_ms = entry.health.failure_rate(now) * FAILURE_COST_MS;
        let late_ms = times.late_risk_ms(expected_ms, service_ms);
        let cost = expected_ms + network_cost_ms + backend_time_ms + load_ms + failure_ms + late_ms;
        let is_recent = warm >= WARM_RECENT * entry.warm_ratio && request.object.is_some();
        let usual_ms = if is_recent {
            service_ms * SLOW_FACTOR_RECENT
        } else {
            time.cold_ms * times.factor * speed_factor * SLOW_FACTOR_OTHER
        };
        let was_cold = entry.cold.is_cold(now.before(COLD_GRACE));
        let choice = Choice {
            key,
            slow_ms: if was_cold {
                f64::MAX
            } else {
                round_trip_ms + wait_ms + usual_ms
            },
            expected_ms,
            wait_ms,
            warm,
            is_recent,
            is_known: time.is_known(),
            estimate: Estimate {
                serial: self.choices,
                keys: times.keys,
                cost_factor: times.factor,
                speed_factor,
                service_ms,
                count_wait_ms,
                work,
                reading,
                spread: times.spread,
            },
        };
        (cost, choice)
    }
}

/// Returns the cost of time at backend servers, relative to callers' time, at a utilisation of
/// their slots.
pub(super) fn scarcity(utilisation: f64) -> f64 {
    ((utilisation - SCARCITY_START) / (SCARCITY_FULL - SCARCITY_START)).clamp(0.0, MAX_SCARCITY)
}

/// Returns the utilisation that enters the cost, 0 for an idle backend server. With many instances
/// a load below half of the slots is random variation and no reason to leave an object's home.
fn load_factor(load: f64, slots: f64, is_large_deployment: bool) -> f64 {
    let utilisation = load / slots;
    if is_large_deployment {
        (utilisation - 0.5).max(0.0) * 2.0
    } else {
        utilisation
    }
}

/// Returns the cost of an answer's network path in addition to its latency, in milliseconds.
fn network_cost_ms(request: &ChoiceRequest<'_>, entry: &Entry) -> f64 {
    let is_same_region = entry.region == request.region;
    let is_same_data_centre = entry.backend.data_centre == request.data_centre;
    match (is_same_region, is_same_data_centre, request.is_large) {
        (false, _, false) => OTHER_REGION_MS,
        (false, _, true) => OTHER_REGION_LARGE_MS,
        (true, true, _) => 0.0,
        (true, false, false) => OTHER_DATA_CENTRE_MS,
        (true, false, true) => OTHER_DATA_CENTRE_LARGE_MS,
    }
}
