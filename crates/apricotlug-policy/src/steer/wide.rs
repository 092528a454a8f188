//! Choice among many backend servers by many instances.
//!
//! An object has one home in each region, and a region that is drawn for it: few requests meet it
//! cold. Objects with large answers have one in each data centre, so that these stay near. Homes
//! take an even part of the load by hashing alone; load that is known moves only what would wait.

use std::cmp::Reverse;

use apricotlug_model::{HashMap, MonoTime};

use super::{
    choose::{Cost, Wanted, scarcity},
    entry::BackendKey,
    fleet::Fleet,
    gauge::ServiceTime,
    ranks::{Place, Ranking, rank},
    regions::RegionLoad,
    warmth::rank_weight,
};

/// Chance that an object is warm at its home in a data centre.
const WARM_HOME: f64 = 0.8;

/// Wait, in parts of the route's target, from which a request may leave its region.
const SPILL_WAIT: f64 = 0.3;

/// Salt of the draw that gives an object its region.
const REGION_SALT: u64 = 0x5eed_0f7e_9107_0001;

impl Fleet {
    /// Chooses among the homes of the request's object. `None` where none of them may serve it.
    pub(super) fn choose_wide(
        &mut self,
        wanted: &Wanted<'_>,
        time: ServiceTime,
        target_ms: u32,
        now: MonoTime,
    ) -> Option<Cost> {
        self.turn = self.turn.wrapping_add(1);
        let object = wanted
            .object
            .unwrap_or_else(|| rank_weight(self.turn, wanted.own_place as u64));
        let ranking = Ranking {
            object,
            versions: wanted.versions,
            place: if wanted.is_large {
                Place::DataCentre
            } else {
                Place::Region
            },
        };
        let order = self.order(wanted, &ranking);
        self.look(wanted, now);
        let split = self.splits.get_mut(wanted.service)?;
        split.on_request();
        let may_spill = split.may_spill();
        let draw = rank_weight(REGION_SALT, object) as f64 / u64::MAX as f64;
        let region = split.region_of(draw).unwrap_or(wanted.region).to_owned();
        let homes = self.wide_homes(wanted, &ranking, &order, &region, now);
        let scarcity = self.known_scarcity(wanted.service);
        let in_region = |key: &BackendKey| self.entry(*key).region == region;
        let near = order.iter().copied().filter(in_region);
        let best = self.cheapest(wanted, near, time, &homes, scarcity, now);
        if let Ok(best) = best
            && (best.wait_ms < f64::from(target_ms) * SPILL_WAIT || !may_spill)
        {
            return Some(best);
        }
        let is_lost = best.is_err();
        let split = self.splits.get(wanted.service)?;
        let has_room = |key: &BackendKey| is_lost || split.has_room(&self.entry(*key).region);
        let far = order.iter().copied();
        let far = far.filter(|key| !in_region(key) && has_room(key));
        let other = self.cheapest(wanted, far, time, &homes, scarcity, now);
        match (best, other) {
            (Ok(best), Ok(other)) if other.expected_ms < best.expected_ms => {
                if let Some(split) = self.splits.get_mut(wanted.service) {
                    split.on_spill();
                }
                Some(other)
            }
            (Ok(best), _) => Some(best),
            (Err(_), other) => other.ok(),
        }
    }

    fn order(&mut self, wanted: &Wanted<'_>, ranking: &Ranking<'_>) -> Vec<BackendKey> {
        let kept = self.ranks.get(wanted.service);
        if let Some(order) = kept.and_then(|ranks| ranks.get(ranking)) {
            return order.to_vec();
        }
        let order = rank(self.of_service(wanted.service), ranking);
        if wanted.object.is_some() {
            let ranks = self.ranks.entry(wanted.service.to_owned()).or_default();
            ranks.put(ranking, order.clone());
        }
        order
    }

    /// Returns the homes of an object: the first of each place that takes requests, those of its
    /// region before others.
    fn wide_homes(
        &self,
        wanted: &Wanted<'_>,
        ranking: &Ranking<'_>,
        order: &[BackendKey],
        region: &str,
        now: MonoTime,
    ) -> Vec<(BackendKey, f64)> {
        let mut homes: Vec<(BackendKey, f64)> = Vec::new();
        let mut last = "";
        for key in order {
            let entry = self.entry(*key);
            let place = ranking.place.of(entry);
            let is_open = !wanted.evacuated.contains(&entry.backend.data_centre);
            if place == last || !is_open || !entry.takes_requests(now) {
                continue;
            }
            last = place;
            homes.push((*key, WARM_HOME));
        }
        // The nearest home comes first; far away, the one that ranks highest.
        let is_far = region != wanted.region;
        let weight = |key: BackendKey| rank_weight(self.entry(key).hash, ranking.object);
        homes.sort_by_key(|(key, _)| {
            let entry = self.entry(*key);
            let is_other = entry.region != region;
            let is_distant = !is_far && entry.backend.data_centre != wanted.data_centre;
            (is_other, is_distant, Reverse(weight(*key)))
        });
        homes
    }

    /// Looks at the load of all regions where that is due.
    fn look(&mut self, wanted: &Wanted<'_>, now: MonoTime) {
        let split = self.splits.get(wanted.service);
        if split.is_some_and(|split| !split.is_due(now)) {
            return;
        }
        let loads = self.region_loads(wanted, now);
        let split = self.splits.entry(wanted.service.to_owned()).or_default();
        split.look(wanted.region, &loads, now);
    }

    fn region_loads(&self, wanted: &Wanted<'_>, now: MonoTime) -> Vec<RegionLoad> {
        let all: usize = self.places.values().map(|places| places.len()).sum();
        let mut loads: HashMap<&str, RegionLoad> = HashMap::default();
        for (region, places) in &self.places {
            let load = RegionLoad {
                region: region.clone(),
                callers: places.len() as f64 / all.max(1) as f64,
                slots: 0.0,
                load: 0.0,
            };
            loads.insert(region, load);
        }
        for (_, entry) in self.of_service(wanted.service) {
            let is_open = !wanted.evacuated.contains(&entry.backend.data_centre);
            if is_open
                && entry.takes_requests(now)
                && let Some(load) = loads.get_mut(entry.region.as_str())
            {
                load.slots += f64::from(entry.backend.slots);
                load.load += f64::from(entry.own + entry.others);
            }
        }
        let mut loads: Vec<_> = loads.into_values().collect();
        loads.sort_by(|one, other| one.region.cmp(&other.region));
        loads
    }

    /// Returns what time at the service's backend servers costs by the last look at the load.
    fn known_scarcity(&self, service: &str) -> f64 {
        self.splits
            .get(service)
            .map_or(0.0, |split| scarcity(split.used()))
    }
}
