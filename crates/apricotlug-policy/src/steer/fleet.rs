//! Backend servers as an instance knows them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use apricotlug_model::{Backend, HashMap, MonoTime};

use super::{
    choose::{Cost, Wanted},
    entry::{BackendKey, Ended, Entry},
    gauge::{ServiceTime, TIME_GAIN},
    ranks::Ranks,
    regions::RegionSplit,
};

/// Weight of a new observation of whether a backend server still knew an object.
const KNOWN_GAIN: f64 = 0.04;

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(super) entries: Vec<Entry>,
    ids: HashMap<String, BackendKey>,
    pub(super) services: HashMap<String, Vec<BackendKey>>,
    times: HashMap<String, ServiceTime>,
    pub(super) busy: HashMap<String, f64>,
    ways: HashMap<String, f64>,
    /// Data centres of each region that have, or had, a backend server.
    pub(super) places: BTreeMap<String, BTreeSet<String>>,
    pub(super) ranks: HashMap<String, Ranks>,
    pub(super) splits: HashMap<String, RegionSplit>,
    /// Choices made, a source of spread for requests about no object.
    pub(super) turn: u64,
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
                let is_placed_alike = entry.is_listed
                    && entry.backend.data_centre == backend.data_centre
                    && entry.backend.version == backend.version;
                entry.is_listed = true;
                entry.backend = backend;
                entry.cold.set(cold_until);
                if !is_placed_alike {
                    let service = entry.backend.service.clone();
                    self.ranks.remove(&service);
                }
                return key;
            }
            self.remove_key(key);
        }
        let key = BackendKey(self.entries.len() as u32);
        self.ids.insert(backend.id.clone(), key);
        self.ranks.remove(&backend.service);
        self.places
            .entry(region.to_owned())
            .or_default()
            .insert(backend.data_centre.clone());
        self.services
            .entry(backend.service.clone())
            .or_default()
            .push(key);
        self.entries.push(Entry::new(backend, region, cold_until));
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
        self.ranks.remove(&service);
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
