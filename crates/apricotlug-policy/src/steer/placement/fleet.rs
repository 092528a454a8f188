//! State that an instance keeps of all backend servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use apricotlug_model::{Backend, HashMap, MonoTime};

use super::{
    choose::{Choice, ChoiceRequest},
    entry::{BackendKey, Entry, RequestOutcome},
    estimate::{ServiceCosts, learn},
    measurements::{Health, ServiceTime, TIME_GAIN},
    ranking::RankingCache,
    regions::RegionSplit,
};
use crate::steer::limits::LimitShare;

/// Weight of a new observation in the moving average of the share of recently sent objects that
/// were found warm.
const WARM_RATIO_GAIN: f64 = 0.04;

/// All backend servers that were ever registered, with the measured times of routes and network
/// paths. Removed ones keep their key.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(super) entries: Vec<Entry>,
    /// Last key of each id, of removed backend servers too.
    ids: HashMap<String, BackendKey>,
    /// Ids of backend servers that said that they are leaving, with the start time of the process
    /// that said so. They outlast the entry, which may lapse in the store and come back.
    leaving: HashMap<String, u64>,
    pub(super) services: HashMap<String, Vec<BackendKey>>,
    /// Service times by route.
    times: HashMap<String, ServiceTime>,
    /// Moving average of the service time in milliseconds, by service.
    pub(super) busy_ms_by_service: HashMap<String, f64>,
    /// What was learned of the cost of requests, by service.
    pub(super) costs: HashMap<String, ServiceCosts>,
    /// Network round-trip time in milliseconds, by data centre.
    round_trips_ms: HashMap<String, f64>,
    /// Data centres, by region, in which a backend server is or was registered.
    pub(super) data_centres: BTreeMap<String, BTreeSet<String>>,
    pub(super) rankings: HashMap<String, RankingCache>,
    pub(super) splits: HashMap<String, RegionSplit>,
    /// Number of choices made, from which requests without an object get a pseudo-random one.
    pub(super) choices: u64,
}

impl Fleet {
    /// Returns the entry of a backend server, registered or removed.
    ///
    /// # Panics
    /// Panics if the key belongs to another fleet.
    #[must_use]
    pub fn entry(&self, key: BackendKey) -> &Entry {
        &self.entries[key.0 as usize]
    }

    /// Returns a mutable reference to the entry of a backend server, registered or removed.
    ///
    /// # Panics
    /// Panics if the key belongs to another fleet.
    pub fn entry_mut(&mut self, key: BackendKey) -> &mut Entry {
        &mut self.entries[key.0 as usize]
    }

    /// Returns the key of the registered backend server with an id, or `None`.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<BackendKey> {
        let key = self.ids.get(id).copied();
        key.filter(|key| self.entry(*key).is_registered)
    }

    /// Iterates over all entries, those of removed backend servers included.
    pub fn iter(&self) -> impl Iterator<Item = (BackendKey, &Entry)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(i, entry)| (BackendKey(i as u32), entry))
    }

    /// Iterates over the registered backend servers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (BackendKey, &Entry)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, self.entry(*key)))
    }

    /// Adds or updates the registration of a backend server. One that was removed and comes back gets
    /// its former entry. A restart, another service or another address under the same id, and a
    /// return in another data centre, remove the former entry and start a new one.
    pub fn register(&mut self, backend: Backend, region: &str, now: MonoTime) -> BackendKey {
        let cold_until = now.after(Duration::from_millis(backend.cold_ms.into()));
        if let Some(key) = self.ids.get(&backend.id).copied() {
            let entry = self.entry_mut(key);
            let is_same = entry.backend.born_ms == backend.born_ms
                && entry.backend.service == backend.service
                && entry.backend.addr == backend.addr;
            let was_registered = entry.is_registered;
            let is_same_place = entry.backend.data_centre == backend.data_centre;
            if is_same && (was_registered || is_same_place) {
                let is_ranked_alike =
                    was_registered && is_same_place && entry.backend.version == backend.version;
                entry.is_registered = true;
                entry.backend = backend;
                entry.cold.on_record(cold_until);
                let service = entry.backend.service.clone();
                if !is_ranked_alike {
                    self.rankings.remove(&service);
                }
                if !was_registered {
                    // Its failures are those of the time in which it was away.
                    self.entry_mut(key).health = Health::default();
                    self.services.entry(service).or_default().push(key);
                }
                return key;
            }
            self.remove_key(key);
        }
        let key = BackendKey(self.entries.len() as u32);
        self.ids.insert(backend.id.clone(), key);
        self.rankings.remove(&backend.service);
        self.data_centres
            .entry(region.to_owned())
            .or_default()
            .insert(backend.data_centre.clone());
        self.services
            .entry(backend.service.clone())
            .or_default()
            .push(key);
        let is_leaving = self.leaving.get(&backend.id) == Some(&backend.born_ms);
        let mut entry = Entry::new(backend, region, cold_until);
        entry.is_leaving = is_leaving;
        self.entries.push(entry);
        key
    }

    /// Removes the registration with an id; does nothing if there is none.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.find(id) {
            self.remove_key(key);
        }
    }

    fn remove_key(&mut self, key: BackendKey) {
        let entry = self.entry_mut(key);
        entry.is_registered = false;
        entry.last_sent = HashMap::default();
        let service = entry.backend.service.clone();
        self.rankings.remove(&service);
        if let Some(keys) = self.services.get_mut(&service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Records that a backend server said that it is leaving: it gets no further requests until it
    /// has started again. Returns whether that was not known yet.
    pub fn on_leaving(&mut self, key: BackendKey) -> bool {
        let entry = self.entry_mut(key);
        let is_new = !std::mem::replace(&mut entry.is_leaving, true);
        let (id, born_ms) = (entry.backend.id.clone(), entry.backend.born_ms);
        self.leaving.insert(id, born_ms);
        is_new
    }

    /// Marks the backend servers of a data centre as cold after its evacuation, for at least the
    /// milliseconds that `cold_ms` returns for their service. Their own later records override
    /// this.
    pub fn on_evacuation_over(
        &mut self,
        data_centre: &str,
        now: MonoTime,
        cold_ms: impl Fn(&str) -> u32,
    ) {
        for entry in &mut self.entries {
            if entry.is_registered && entry.backend.data_centre == data_centre {
                let span = Duration::from_millis(cold_ms(&entry.backend.service).into());
                entry.cold.set_cold_until(now.after(span));
            }
        }
    }

    /// Starts and ends this instance's turns at cold backend servers.
    pub fn update_cold(&mut self, now: MonoTime, share: &LimitShare) {
        for entry in &mut self.entries {
            let Entry {
                cold, region, hash, ..
            } = entry;
            cold.update(now, *hash, region, share);
        }
    }

    /// Returns the network round-trip time to a data centre in milliseconds, or a default if it has
    /// not been measured.
    #[must_use]
    pub fn round_trip_ms(&self, data_centre: &str, is_same_region: bool) -> f64 {
        let default_ms = if is_same_region { 3.0 } else { 80.0 };
        self.round_trips_ms
            .get(data_centre)
            .copied()
            .unwrap_or(default_ms)
    }

    /// Records the time in milliseconds that connecting to a data centre took.
    pub fn on_connected(&mut self, data_centre: &str, ms: f64) {
        let round_trip_ms = self
            .round_trips_ms
            .entry(data_centre.to_owned())
            .or_insert(ms);
        // The shortest time is the round trip; the estimate rises slowly if the path becomes
        // longer.
        *round_trip_ms = ms.min(*round_trip_ms * 1.02 + 0.01);
    }

    /// Returns the service times of a route, initially derived from its target latency in
    /// milliseconds.
    pub fn times(&mut self, route: &str, target_ms: u32) -> ServiceTime {
        if let Some(time) = self.times.get(route) {
            return *time;
        }
        let time = ServiceTime::expected(target_ms);
        self.times.insert(route.to_owned(), time);
        time
    }

    /// Records that a request was sent.
    pub fn on_send(&mut self, request: &ChoiceRequest<'_>, key: BackendKey, now: MonoTime) {
        let entry = self.entry_mut(key);
        entry.own_requests += 1;
        let Entry { cold, region, .. } = entry;
        cold.on_send(now, request.cold_rate, region, request.share);
        if let Some((_, reported_load)) = &mut entry.reported_load {
            *reported_load += 1;
        }
        if let Some(object) = request.object {
            entry.last_sent.insert(object, now);
        }
    }

    /// Records the outcome of a request. `choice` holds the times that were expected of it.
    pub fn on_end(&mut self, choice: &Choice, route: &str, outcome: RequestOutcome, now: MonoTime) {
        let entry = self.entry_mut(choice.key);
        entry.own_requests = entry.own_requests.saturating_sub(1);
        entry.work.on_end(choice.estimate.serial);
        match outcome {
            RequestOutcome::Answered(ms) => {
                entry
                    .health
                    .on_success(now, ms / choice.expected_ms.max(1.0));
                let service = entry.backend.service.clone();
                let data_centre = entry.backend.data_centre.clone();
                let round_trip_ms = self.round_trip_ms(&data_centre, true).min(ms);
                let work_ms = ms - round_trip_ms - choice.wait_ms;
                let time = self.times.get_mut(route);
                let estimate = &choice.estimate;
                let factor = estimate.cost_factor * estimate.speed_factor;
                let was_warm = time.and_then(|time| time.observe(work_ms, choice.wait_ms, factor));
                let busy_ms = self
                    .busy_ms_by_service
                    .entry(service.clone())
                    .or_insert(work_ms.max(1.0));
                *busy_ms += (work_ms.max(1.0) - *busy_ms) * TIME_GAIN;
                learn(&mut self.costs, &service, choice, work_ms);
                if let (Some(was_warm), true) = (was_warm, choice.is_recent) {
                    let entry = self.entry_mut(choice.key);
                    let observed = f64::from(u8::from(was_warm));
                    entry.warm_ratio += (observed - entry.warm_ratio) * WARM_RATIO_GAIN;
                }
            }
            RequestOutcome::Failed => entry.health.on_failure(now),
            RequestOutcome::Overdue(ms) => {
                entry
                    .health
                    .on_overdue(now, ms / choice.expected_ms.max(1.0));
            }
            RequestOutcome::Unreachable => entry.health.on_unreachable(now),
            RequestOutcome::Refused => entry.on_refused(now),
            RequestOutcome::Deferred | RequestOutcome::Cancelled => {}
        }
    }
}
