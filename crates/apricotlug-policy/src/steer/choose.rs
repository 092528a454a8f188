//! Choice of the backend server whose answer costs least.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime};

use super::{
    entry::{BackendKey, Entry, MOST_LOAD},
    fleet::Fleet,
    gauge::ServiceTime,
    warmth::rank_weight,
};

/// Time for which an object counts as warm where this instance sent it.
const WARM: Duration = Duration::from_secs(30);

/// Chance that an object is warm at its first choice in the own region, and at its second.
const WARM_NEAR: [f64; 2] = [0.8, 0.5];

/// Chance that an object is warm at its first choice in another region.
const WARM_FAR: [f64; 1] = [0.3];

/// Chance that an object is warm at any other backend server.
const WARM_ELSEWHERE: f64 = 0.05;

/// Cost of sending an object where it is not at home, in parts of what a cold request takes
/// longer than a warm one: it makes that backend server forget another object.
const STRAY_PART: f64 = 1.0;

/// The same for each part of the requests for warm objects that met them cold there: a backend
/// server that forgets keeps to the objects whose first choice it is.
const FORGET_PART: f64 = 4.0;

/// Part of a service's slots in use from which time at its backend servers is scarce, and from
/// which it is as dear as the time of callers.
const SCARCE_FROM: f64 = 0.5;
const SCARCE_FULL: f64 = 0.95;

/// Most that time at backend servers costs against the time of callers.
const SCARCE_MOST: f64 = 1.5;

/// Chance that an object is warm where this instance sent it lately.
const WARM_SEEN: f64 = 0.97;

/// Multiple of the usual time of work from which an answer is slow, where the object was seen
/// there lately and may have been forgotten, and elsewhere.
const SLOW_SEEN: f64 = 3.0;
const SLOW_UNSEEN: f64 = 1.9;

/// Time after a cold start for which nothing counts as slow.
const COLD_AFTER: Duration = Duration::from_millis(1_500);

/// Cost of a failure in milliseconds: what a caller loses who must come again.
const FAIL_MS: f64 = 1_500.0;

/// Cost of a full backend server against an empty one, in parts of the service time.
const PRESSURE: f64 = 0.2;

/// Cost of answering from another region beside its delay, in milliseconds: bytes between regions
/// are scarce.
const REGION_MS: f64 = 10.0;

/// The same of a large answer.
const REGION_LARGE_MS: f64 = 200.0;

/// Cost of answering from another data centre of the region, in milliseconds.
const DATA_CENTRE_MS: f64 = 8.0;

/// The same of a large answer.
const DATA_CENTRE_LARGE_MS: f64 = 120.0;

/// What a request needs of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a str,
    /// Route.
    pub route: &'a str,
    /// Hash of the object that it is about; `None` where that does not matter.
    pub object: Option<u64>,
    /// Whether the answer is large.
    pub is_large: bool,
    /// Region of this instance.
    pub region: &'a str,
    /// Data centre of this instance.
    pub data_centre: &'a str,
    /// Regions that may serve it, where limited.
    pub homes: [&'a [String]; 2],
    /// Data centres whose backend servers get nothing.
    pub evacuated: &'a [String],
    /// Version, and whether that one may serve it or all others.
    pub versions: Option<(&'a str, bool)>,
    /// Backend servers that were tried already.
    pub tried: &'a [BackendKey],
    /// Requests per second that a cold backend server bears.
    pub cold_rate: f64,
    /// Instances, this one included, among which the rate of a cold backend server is split.
    pub instances: usize,
    /// Place of this instance among all.
    pub own_place: usize,
    /// Whether instances are so many that what each one sees of the load is a small part of it, and
    /// what it hears of the rest is old: it then chooses among the homes of the object only.
    pub is_wide: bool,
}

impl Wanted<'_> {
    /// Returns the requests that are taken to run and wait at a backend server.
    fn load(&self, entry: &Entry, now: MonoTime) -> f64 {
        if self.is_wide {
            entry.expected_load(now)
        } else {
            entry.load(now).into()
        }
    }
}

/// Expected cost of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Backend server.
    pub key: BackendKey,
    /// Milliseconds until its answer is expected.
    pub expected_ms: f64,
    /// Time that it is expected to wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// Chance that the object is warm there.
    pub warm: f64,
    /// Whether this instance sent the object there lately.
    pub is_seen: bool,
    /// Whether the times of the route are known well enough to refuse it for them.
    pub is_known: bool,
    /// Milliseconds from which its answer is slow whatever the object met there.
    pub slow_ms: f64,
}

/// Why no backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlace {
    /// None is there that may serve it.
    None,
    /// All that may serve it are full.
    Full,
}

impl Fleet {
    /// Chooses the backend server whose answer costs least.
    ///
    /// # Errors
    /// Returns why none can be chosen.
    pub fn choose(
        &mut self,
        wanted: &Wanted<'_>,
        target_ms: u32,
        now: MonoTime,
    ) -> Result<Cost, NoPlace> {
        let time = self.times(wanted.route, target_ms);
        if wanted.is_wide
            && let Some(choice) = self.choose_wide(wanted, time, target_ms, now)
        {
            return Ok(choice);
        }
        let homes = self.homes(wanted, now);
        let scarcity = self.scarcity(wanted, now);
        let all = self.of_service(wanted.service).map(|(key, _)| key);
        self.cheapest(wanted, all, time, &homes, scarcity, now)
    }

    /// Chooses the cheapest of some backend servers.
    pub(super) fn cheapest(
        &self,
        wanted: &Wanted<'_>,
        keys: impl Iterator<Item = BackendKey>,
        time: ServiceTime,
        homes: &[(BackendKey, f64)],
        scarcity: f64,
        now: MonoTime,
    ) -> Result<Cost, NoPlace> {
        let busy_ms = self.busy.get(wanted.service).copied();
        let busy_ms = busy_ms.unwrap_or(time.busy_ms);
        let mut best: Option<(f64, Cost)> = None;
        let mut reason = NoPlace::None;
        for key in keys {
            let entry = self.entry(key);
            if !self.may_serve(wanted, key, entry, now) {
                continue;
            }
            reason = NoPlace::Full;
            if wanted.load(entry, now) >= f64::from(entry.backend.slots) * MOST_LOAD {
                continue;
            }
            let (cost, choice) =
                self.cost(wanted, (key, entry), (time, busy_ms), homes, scarcity, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice).ok_or(reason)
    }

    pub(super) fn may_serve(
        &self,
        wanted: &Wanted<'_>,
        key: BackendKey,
        entry: &Entry,
        now: MonoTime,
    ) -> bool {
        let is_home = wanted
            .homes
            .iter()
            .all(|homes| homes.is_empty() || homes.contains(&entry.region));
        let is_open = !wanted.evacuated.contains(&entry.backend.data_centre);
        let is_version = wanted
            .versions
            .is_none_or(|(version, is_wanted)| (entry.backend.version == version) == is_wanted);
        let own = (wanted.own_place + entry.hash as usize) % wanted.instances.max(1);
        entry.takes_requests(now)
            && is_home
            && is_open
            && is_version
            && !wanted.tried.contains(&key)
            && entry
                .cold
                .may_send(now, wanted.cold_rate, wanted.instances, own)
    }

    /// Returns what time at the service's backend servers costs against the time of callers: nothing
    /// while many slots are free.
    fn scarcity(&self, wanted: &Wanted<'_>, now: MonoTime) -> f64 {
        let (mut load, mut slots) = (0, 0);
        for (_, entry) in self.of_service(wanted.service) {
            let is_open = !wanted.evacuated.contains(&entry.backend.data_centre);
            if is_open && entry.takes_requests(now) {
                load += entry.load(now).min(entry.backend.slots);
                slots += entry.backend.slots;
            }
        }
        scarcity(f64::from(load) / f64::from(slots.max(1)))
    }

    /// Returns the backend servers at which the object is at home, with the chance that it is warm
    /// there: the first two choices in the own region, and the first in each other one. The first
    /// of all comes first.
    fn homes(&self, wanted: &Wanted<'_>, now: MonoTime) -> Vec<(BackendKey, f64)> {
        let Some(object) = wanted.object else {
            return Vec::new();
        };
        let mut firsts: HashMap<&str, Vec<(u64, BackendKey)>> = HashMap::default();
        for (key, entry) in self.of_service(wanted.service) {
            let is_open = !wanted.evacuated.contains(&entry.backend.data_centre);
            if !is_open || !entry.takes_requests(now) {
                continue;
            }
            let weight = rank_weight(entry.hash, object);
            let top = firsts.entry(entry.region.as_str()).or_default();
            let place = top.partition_point(|(other, _)| *other > weight);
            top.insert(place, (weight, key));
            top.truncate(WARM_NEAR.len());
        }
        let near = firsts.remove(wanted.region).unwrap_or_default();
        let near = near.into_iter().zip(WARM_NEAR);
        let far = firsts
            .values()
            .flat_map(|top| top.iter().copied().zip(WARM_FAR));
        near.chain(far)
            .map(|((_, key), chance)| (key, chance))
            .collect()
    }

    /// Returns the chance that the object is warm at a backend server, and the cost of sending it
    /// there in parts of what a cold request takes longer.
    fn warmth(
        wanted: &Wanted<'_>,
        key: BackendKey,
        entry: &Entry,
        homes: &[(BackendKey, f64)],
        now: MonoTime,
    ) -> (f64, f64) {
        let Some(object) = wanted.object else {
            return (0.0, 0.0);
        };
        let rank = homes.iter().position(|(other, _)| *other == key);
        let is_seen = entry
            .sent
            .get(&object)
            .is_some_and(|at| now.since(*at) < WARM);
        let crowd = (1.0 - entry.known) * FORGET_PART;
        match (rank, is_seen) {
            (Some(0), true) => (WARM_SEEN * entry.known, 0.0),
            (Some(0), false) => (homes[0].1 * entry.known, 0.0),
            (_, true) => (WARM_SEEN * entry.known, crowd),
            (Some(rank), false) => (homes[rank].1 * entry.known, crowd),
            (None, false) => (WARM_ELSEWHERE, STRAY_PART + crowd),
        }
    }

    fn cost(
        &self,
        wanted: &Wanted<'_>,
        (key, entry): (BackendKey, &Entry),
        (time, busy_ms): (ServiceTime, f64),
        homes: &[(BackendKey, f64)],
        scarcity: f64,
        now: MonoTime,
    ) -> (f64, Cost) {
        let slots = f64::from(entry.backend.slots);
        let load = wanted.load(entry, now);
        let (warm, stray) = Self::warmth(wanted, key, entry, homes, now);
        let slowness = entry.health.slowness(now);
        let service_ms = time.mean_ms(warm) * slowness;
        let busy_ms = busy_ms * slowness;
        let wait_ms = (load + 1.0 - slots).max(0.0) / slots * busy_ms;
        let is_same_region = entry.region == wanted.region;
        let way_ms = self.way_ms(&entry.backend.data_centre, is_same_region);
        let expected_ms = way_ms + wait_ms + service_ms;
        let is_first = homes.first().is_none_or(|(first, _)| *first == key);
        let astray_ms = if wanted.is_wide && !is_same_region && !is_first {
            DATA_CENTRE_MS
        } else {
            0.0
        };
        let far_ms = far_ms(wanted, entry) + astray_ms;
        let stray_ms = (time.cold_ms - time.warm_ms) * (stray + 1.0 - warm) * scarcity;
        let pressure_ms = fullness(load, slots, wanted.is_wide) * PRESSURE * busy_ms;
        let fail_ms = entry.health.fail(now) * FAIL_MS;
        let cost = expected_ms + far_ms + stray_ms + pressure_ms + fail_ms;
        let is_seen = warm >= WARM_SEEN * entry.known && wanted.object.is_some();
        let usual_ms = if is_seen {
            service_ms * SLOW_SEEN
        } else {
            time.cold_ms * SLOW_UNSEEN
        };
        let was_cold = entry.cold.is_cold(now.before(COLD_AFTER));
        let choice = Cost {
            key,
            slow_ms: if was_cold {
                f64::MAX
            } else {
                way_ms + wait_ms + usual_ms
            },
            expected_ms,
            wait_ms,
            warm,
            is_seen,
            is_known: time.is_known(),
        };
        (cost, choice)
    }
}

/// Returns what time at backend servers costs where so large a part of the slots is in use.
pub(super) fn scarcity(used: f64) -> f64 {
    ((used - SCARCE_FROM) / (SCARCE_FULL - SCARCE_FROM)).clamp(0.0, SCARCE_MOST)
}

/// Returns how full a backend server counts, 0 for an empty one. Among many instances a load below
/// half of the slots is chance and no reason to leave an object's home.
fn fullness(load: f64, slots: f64, is_wide: bool) -> f64 {
    let used = load / slots;
    if is_wide {
        (used - 0.5).max(0.0) * 2.0
    } else {
        used
    }
}

/// Returns the cost of an answer's way beside its time, in milliseconds.
fn far_ms(wanted: &Wanted<'_>, entry: &Entry) -> f64 {
    let is_same_region = entry.region == wanted.region;
    let is_same_data_centre = entry.backend.data_centre == wanted.data_centre;
    match (is_same_region, is_same_data_centre, wanted.is_large) {
        (false, _, false) => REGION_MS,
        (false, _, true) => REGION_LARGE_MS,
        (true, true, _) => 0.0,
        (true, false, false) => DATA_CENTRE_MS,
        (true, false, true) => DATA_CENTRE_LARGE_MS,
    }
}
