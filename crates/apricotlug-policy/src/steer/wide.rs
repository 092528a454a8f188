//! Choice among many backend servers by many instances.
//!
//! An object has one home in each region, and a region that is drawn for it: few requests meet it
//! cold. Objects with large answers have one in each data centre, so that these stay near. Homes
//! take an even part of the load by hashing alone; load that is known moves only what would wait.

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

/// Chance that an object is warm where it goes when its home is crowded.
const WARM_SECOND: f64 = 0.3;

/// How much fuller than its second choice an object's first one is, in parts of its slots, before
/// the first objects move, and how much more until all have moved.
const MOVE_FROM: f64 = 0.15;
const MOVE_SPAN: f64 = 0.6;

/// Salt of the draw that gives an object its place in that order.
const MOVE_SALT: u64 = 0x5eed_0f7e_9107_0002;

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
        let draw = spread(object, REGION_SALT);
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
        let open = order.iter().copied().filter(|key| {
            let entry = self.entry(*key);
            let is_open = !wanted.evacuated.contains(&entry.backend.data_centre);
            is_open && entry.takes_requests(now)
        });
        let open: Vec<_> = open.collect();
        let places = open.chunk_by(|one, other| {
            ranking.place.of(self.entry(*one)) == ranking.place.of(self.entry(*other))
        });
        let homes = places.flat_map(|place| self.homes_of(ranking.object, place));
        let mut homes: Vec<(BackendKey, f64)> = homes.collect();
        // The home in the region of the object comes first, the nearest one of large answers.
        let is_far = region != wanted.region;
        homes.sort_by_key(|(key, _)| {
            let entry = self.entry(*key);
            let is_other = entry.region != region;
            let is_distant = !is_far && entry.backend.data_centre != wanted.data_centre;
            (is_other, is_distant)
        });
        homes
    }

    /// Returns the home of an object in a place and the one that stands in for it. An object moves
    /// from a first choice that is fuller than the second on average; how much fuller differs from
    /// object to object, so that they move one by one until both are alike.
    fn homes_of(&self, object: u64, place: &[BackendKey]) -> [(BackendKey, f64); 2] {
        let first = place[0];
        let second = *place.get(1).unwrap_or(&first);
        let margin = MOVE_FROM + spread(object, MOVE_SALT) * MOVE_SPAN;
        let more = self.entry(first).mean_use() - self.entry(second).mean_use();
        if more > margin {
            [(second, WARM_HOME), (first, WARM_SECOND)]
        } else {
            [(first, WARM_HOME), (second, WARM_SECOND)]
        }
    }

    /// Looks at the load of all regions where that is due.
    fn look(&mut self, wanted: &Wanted<'_>, now: MonoTime) {
        let split = self.splits.get(wanted.service);
        if split.is_some_and(|split| !split.is_due(now)) {
            return;
        }
        for key in self.services.get(wanted.service).into_iter().flatten() {
            self.entries[key.0 as usize].look();
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

/// Returns a draw between 0 and 1 that is the same for an object everywhere.
fn spread(object: u64, salt: u64) -> f64 {
    rank_weight(salt, object) as f64 / u64::MAX as f64
}
