//! Backend servers as an instance knows them, and the choice among them.

use std::time::Duration;

use apricotlug_model::{Backend, BackendState, HashMap, MonoTime};

use super::{
    cold::ColdGate,
    gauge::{Health, ServiceTime, TIME_GAIN},
    warmth::{object_hash, rank_weight},
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

/// Weight of a new observation of whether a backend server still knew an object.
const KNOWN_GAIN: f64 = 0.04;

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

/// Most requests that run and wait at a backend server, in multiples of its slots.
const MOST_LOAD: f64 = 3.0;

/// Cost of answering from another region beside its delay, in milliseconds: bytes between regions
/// are scarce.
const REGION_MS: f64 = 10.0;

/// The same of a large answer.
const REGION_LARGE_MS: f64 = 200.0;

/// Cost of answering from another data centre of the region, in milliseconds.
const DATA_CENTRE_MS: f64 = 8.0;

/// The same of a large answer.
const DATA_CENTRE_LARGE_MS: f64 = 120.0;

/// Time for which a load that a backend server told counts.
const LOAD_FRESH: Duration = Duration::from_millis(400);

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
    hash: u64,
    told: Option<(MonoTime, u32)>,
    /// Part of the requests for objects seen lately that met them warm.
    known: f64,
    sent: HashMap<u64, MonoTime>,
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

    fn takes_requests(&self, now: MonoTime) -> bool {
        self.is_listed && self.backend.state == BackendState::Ready && !self.health.is_paused(now)
    }
}

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

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: Vec<Entry>,
    ids: HashMap<String, BackendKey>,
    services: HashMap<String, Vec<BackendKey>>,
    times: HashMap<String, ServiceTime>,
    busy: HashMap<String, f64>,
    ways: HashMap<String, f64>,
}

impl Fleet {
    /// Returns an entry.
    ///
    /// # Panics
    /// When the key belongs to another fleet.
    #[must_use]
    pub fn entry(&self, key: BackendKey) -> &Entry {
        &self.entries[key.0 as usize]
    }

    /// Returns an entry for changing it.
    ///
    /// # Panics
    /// When the key belongs to another fleet.
    pub fn entry_mut(&mut self, key: BackendKey) -> &mut Entry {
        &mut self.entries[key.0 as usize]
    }

    /// Returns the key of the backend server with an id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<BackendKey> {
        self.ids.get(id).copied()
    }

    /// Iterates over all entries.
    pub fn iter(&self) -> impl Iterator<Item = (BackendKey, &Entry)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(i, entry)| (BackendKey(i as u32), entry))
    }

    /// Iterates over the backend servers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (BackendKey, &Entry)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, self.entry(*key)))
    }

    /// Takes up an entry as its backend server wrote it.
    pub fn list(&mut self, backend: Backend, region: &str, now: MonoTime) -> BackendKey {
        let cold_until = now.after(Duration::from_millis(backend.cold_ms.into()));
        if let Some(key) = self.ids.get(&backend.id).copied() {
            let entry = self.entry_mut(key);
            let is_same = entry.backend.born_ms == backend.born_ms
                && entry.backend.service == backend.service
                && entry.backend.addr == backend.addr;
            if is_same {
                entry.is_listed = true;
                entry.backend = backend;
                entry.cold.set(cold_until);
                return key;
            }
            self.remove_key(key);
        }
        let key = BackendKey(self.entries.len() as u32);
        let mut cold = ColdGate::default();
        cold.set(cold_until);
        self.ids.insert(backend.id.clone(), key);
        self.services
            .entry(backend.service.clone())
            .or_default()
            .push(key);
        self.entries.push(Entry {
            hash: object_hash(&backend.service, &backend.id),
            backend,
            region: region.to_owned(),
            is_listed: true,
            health: Health::default(),
            cold,
            own: 0,
            others: 0,
            told: None,
            known: 1.0,
            sent: HashMap::default(),
        });
        key
    }

    /// Takes an entry off the list.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.ids.get(id).copied() {
            self.remove_key(key);
        }
    }

    fn remove_key(&mut self, key: BackendKey) {
        let entry = self.entry_mut(key);
        entry.is_listed = false;
        entry.sent = HashMap::default();
        let (id, service) = (entry.backend.id.clone(), entry.backend.service.clone());
        if self.ids.get(&id) == Some(&key) {
            self.ids.remove(&id);
        }
        if let Some(keys) = self.services.get_mut(&service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Takes up that a data centre's evacuation is over: its backend servers are cold for the time
    /// that `cold_ms` tells for a service, unless they say otherwise.
    pub fn on_evacuation_over(
        &mut self,
        data_centre: &str,
        now: MonoTime,
        cold_ms: impl Fn(&str) -> u32,
    ) {
        for entry in &mut self.entries {
            if entry.is_listed && entry.backend.data_centre == data_centre {
                let span = Duration::from_millis(cold_ms(&entry.backend.service).into());
                entry.cold.set(now.after(span));
            }
        }
    }

    /// Returns the milliseconds of the way to a data centre and back.
    #[must_use]
    pub fn way_ms(&self, data_centre: &str, is_same_region: bool) -> f64 {
        let unknown = if is_same_region { 3.0 } else { 80.0 };
        self.ways.get(data_centre).copied().unwrap_or(unknown)
    }

    /// Takes up the time that a connection to a data centre took.
    pub fn on_connected(&mut self, data_centre: &str, ms: f64) {
        let way = self.ways.entry(data_centre.to_owned()).or_insert(ms);
        // The shortest time is the way itself; it rises slowly where the way has grown longer.
        *way = ms.min(*way * 1.02 + 0.01);
    }

    /// Returns the service times of a route.
    pub fn times(&mut self, route: &str, target_ms: u32) -> ServiceTime {
        if let Some(time) = self.times.get(route) {
            return *time;
        }
        let time = ServiceTime::expected(target_ms);
        self.times.insert(route.to_owned(), time);
        time
    }

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
        let busy_ms = self
            .busy
            .get(wanted.service)
            .copied()
            .unwrap_or(time.busy_ms);
        let homes = self.homes(wanted, now);
        let scarcity = self.scarcity(wanted, now);
        let mut best: Option<(f64, Cost)> = None;
        let mut reason = NoPlace::None;
        for (key, entry) in self.of_service(wanted.service) {
            if !self.may_serve(wanted, key, entry, now) {
                continue;
            }
            reason = NoPlace::Full;
            let slots = f64::from(entry.backend.slots);
            let load = f64::from(entry.load(now));
            if load >= slots * MOST_LOAD {
                continue;
            }
            let (cost, choice) =
                self.cost(wanted, (key, entry), (time, busy_ms), &homes, scarcity, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice).ok_or(reason)
    }

    fn may_serve(
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
        let used = f64::from(load) / f64::from(slots.max(1));
        ((used - SCARCE_FROM) / (SCARCE_FULL - SCARCE_FROM)).clamp(0.0, SCARCE_MOST)
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
        let load = f64::from(entry.load(now));
        let (warm, stray) = Self::warmth(wanted, key, entry, homes, now);
        let slowness = entry.health.slowness(now);
        let service_ms = time.mean_ms(warm) * slowness;
        let busy_ms = busy_ms * slowness;
        let wait_ms = (load + 1.0 - slots).max(0.0) / slots * busy_ms;
        let is_same_region = entry.region == wanted.region;
        let way_ms = self.way_ms(&entry.backend.data_centre, is_same_region);
        let expected_ms = way_ms + wait_ms + service_ms;
        let far_ms = far_ms(wanted, entry);
        let stray_ms = (time.cold_ms - time.warm_ms) * (stray + 1.0 - warm) * scarcity;
        let pressure_ms = load / slots * PRESSURE * busy_ms;
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

    /// Notes a request that is sent.
    pub fn on_send(&mut self, wanted: &Wanted<'_>, key: BackendKey, now: MonoTime) {
        let (rate, instances) = (wanted.cold_rate, wanted.instances);
        let entry = self.entry_mut(key);
        entry.own += 1;
        entry.cold.on_send(now, rate, instances);
        if let Some((_, told)) = &mut entry.told {
            *told += 1;
        }
        if let Some(object) = wanted.object {
            entry.sent.insert(object, now);
        }
    }

    /// Notes that a request ended. `choice` is what was expected of it.
    pub fn on_end(&mut self, choice: &Cost, route: &str, ended: Ended, now: MonoTime) {
        let entry = self.entry_mut(choice.key);
        entry.own = entry.own.saturating_sub(1);
        match ended {
            Ended::Answered(ms) => {
                entry
                    .health
                    .on_success(now, ms / choice.expected_ms.max(1.0));
                let service = entry.backend.service.clone();
                let data_centre = entry.backend.data_centre.clone();
                let way_ms = self.way_ms(&data_centre, true).min(ms);
                let work_ms = ms - way_ms - choice.wait_ms;
                let time = self.times.get_mut(route);
                let was_warm = time.and_then(|time| time.observe(work_ms, choice.wait_ms));
                let busy_ms = self.busy.entry(service).or_insert(work_ms.max(1.0));
                *busy_ms += (work_ms.max(1.0) - *busy_ms) * TIME_GAIN;
                if let (Some(was_warm), true) = (was_warm, choice.is_seen) {
                    let entry = self.entry_mut(choice.key);
                    let known = f64::from(u8::from(was_warm));
                    entry.known += (known - entry.known) * KNOWN_GAIN;
                }
            }
            Ended::Failed => entry.health.on_failure(now),
            Ended::Unreachable => entry.health.on_unreachable(now),
            Ended::Refused => entry.on_refused(now),
            Ended::Cancelled => {}
        }
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
