//! Choice of the backend server in large deployments, limited to the homes of the object.
//!
//! An object has one home in each region, and a hash assigns the object to a region, so that few
//! requests find it cold. Objects with large answers have a home in each data centre, so that these
//! answers stay near. Hashing alone spreads the load evenly over the homes; the known load moves
//! only requests that would wait.

use apricotlug_model::{HashMap, MonoTime};

use super::{
    affinity::rank_weight,
    choose::{Choice, ChoiceRequest, NoBackend, scarcity},
    entry::BackendKey,
    estimate::RequestTimes,
    fleet::Fleet,
    ranking::{HomeScope, Ranking, rank},
    regions::{RegionLoad, RegionSplit},
};

/// Probability that an object is warm at its home.
const WARM_AT_HOME: f64 = 0.8;

/// Probability that an object is warm at the substitute of its home.
const WARM_AT_SUBSTITUTE: f64 = 0.3;

/// Excess of the first choice's utilisation over the second's from which the first objects move,
/// and the further excess at which all objects have moved.
const MOVE_MIN_EXCESS: f64 = 0.15;
const MOVE_EXCESS_RANGE: f64 = 0.6;

/// Salt of the hash that determines how early an object moves.
const MOVE_SALT: u64 = 0x5eed_0f7e_9107_0002;

/// Expected wait, as a share of the route's target latency, from which a request may leave its
/// region.
const SPILL_WAIT: f64 = 0.3;

/// Salt of the hash that assigns an object to a region.
const REGION_SALT: u64 = 0x5eed_0f7e_9107_0001;

impl Fleet {
    /// Chooses among the homes of the request's object. Returns `None` if none of them may serve
    /// it.
    pub(super) fn choose_among_homes(
        &mut self,
        request: &ChoiceRequest<'_>,
        times: &RequestTimes,
        now: MonoTime,
    ) -> Option<Choice> {
        self.choices = self.choices.wrapping_add(1);
        let object = request
            .object
            .unwrap_or_else(|| rank_weight(self.choices, request.share.own()));
        let ranking = Ranking {
            object,
            version_filter: request.version_filter,
            scope: if request.is_large {
                HomeScope::DataCentre
            } else {
                HomeScope::Region
            },
        };
        let ranked = self.ranked(request, &ranking);
        let region = self.assigned_region(request, object, now)?;
        let homes = self.ordered_homes(request, &ranking, &ranked, &region, now);
        let scarcity = self.last_scarcity(request.service);
        let choice = self.choose_by_region(request, &region, &ranked, times, &homes, scarcity, now);
        choice.ok()
    }

    /// Returns the region that the shares of the regions assign to an object.
    pub(super) fn assigned_region(
        &mut self,
        request: &ChoiceRequest<'_>,
        object: u64,
        now: MonoTime,
    ) -> Option<String> {
        self.update_split(request, now);
        let split = self.splits.get_mut(request.service)?;
        split.on_request();
        let fraction = object_fraction(object, REGION_SALT);
        Some(
            split
                .region_of(fraction)
                .unwrap_or(request.region)
                .to_owned(),
        )
    }

    /// Chooses the backend server with the lowest expected cost among `keys` in the assigned
    /// region. A few requests may go to another region with free capacity for a shorter wait.
    ///
    /// # Errors
    /// Returns the reason if none of `keys` can be chosen.
    #[expect(clippy::too_many_arguments, reason = "inputs of one decision")]
    pub(super) fn choose_by_region(
        &mut self,
        request: &ChoiceRequest<'_>,
        region: &str,
        keys: &[BackendKey],
        times: &RequestTimes,
        homes: &[(BackendKey, f64)],
        scarcity: f64,
        now: MonoTime,
    ) -> Result<Choice, NoBackend> {
        let in_region = |key: &BackendKey| self.entry(*key).region == region;
        let in_region_keys = keys.iter().copied().filter(in_region);
        let best = self.lowest_cost(request, in_region_keys, times, homes, scarcity, now);
        let split = self.splits.get(request.service);
        let may_spill = split.is_some_and(RegionSplit::may_spill);
        if let Ok(best) = best
            && (best.wait_ms < f64::from(times.target_ms) * SPILL_WAIT || !may_spill)
        {
            return Ok(best);
        }
        let has_capacity = |key: &BackendKey| {
            best.is_err() || split.is_some_and(|split| split.has_capacity(&self.entry(*key).region))
        };
        let others = keys.iter().copied();
        let others = others.filter(|key| !in_region(key) && has_capacity(key));
        let other = self.lowest_cost(request, others, times, homes, scarcity, now);
        match (best, other) {
            (Ok(best), Ok(other)) if other.expected_ms < best.expected_ms => {
                if let Some(split) = self.splits.get_mut(request.service) {
                    split.on_spill();
                }
                Ok(other)
            }
            (Ok(best), _) => Ok(best),
            (Err(_), Ok(other)) => Ok(other),
            (Err(NoBackend::Full), Err(_)) | (Err(_), Err(NoBackend::Full)) => Err(NoBackend::Full),
            (Err(reason), Err(_)) => Err(reason),
        }
    }

    fn ranked(&mut self, request: &ChoiceRequest<'_>, ranking: &Ranking<'_>) -> Vec<BackendKey> {
        let cached = self.rankings.get(request.service);
        if let Some(ranked) = cached.and_then(|rankings| rankings.get(ranking)) {
            return ranked.to_vec();
        }
        let ranked = rank(self.of_service(request.service), ranking);
        if request.object.is_some() {
            let rankings = self.rankings.entry(request.service.to_owned()).or_default();
            rankings.insert(ranking, ranked.clone());
        }
        ranked
    }

    /// Returns the homes of an object: the first two backend servers that take requests in each
    /// region or data centre, those of the object's region first.
    fn ordered_homes(
        &self,
        request: &ChoiceRequest<'_>,
        ranking: &Ranking<'_>,
        ranked: &[BackendKey],
        region: &str,
        now: MonoTime,
    ) -> Vec<(BackendKey, f64)> {
        let open = ranked.iter().copied().filter(|key| {
            let entry = self.entry(*key);
            let is_open = !request.evacuated.contains(&entry.backend.data_centre);
            is_open && entry.takes_requests(now)
        });
        let open: Vec<_> = open.collect();
        let scopes = open.chunk_by(|one, other| {
            ranking.scope.name_of(self.entry(*one)) == ranking.scope.name_of(self.entry(*other))
        });
        let homes = scopes.flat_map(|scope| self.homes_of(ranking.object, scope));
        let mut homes: Vec<(BackendKey, f64)> = homes.collect();
        // The home in the object's region comes first, and for large answers the nearest one.
        let is_far = region != request.region;
        homes.sort_by_key(|(key, _)| {
            let entry = self.entry(*key);
            let is_other = entry.region != region;
            let is_distant = !is_far && entry.backend.data_centre != request.data_centre;
            (is_other, is_distant)
        });
        homes
    }

    /// Returns the home of an object in a region or data centre and its substitute. An object moves
    /// to its second choice when the first has a higher average utilisation. The required
    /// difference varies by object, so that objects move one by one until both are equally
    /// utilised.
    fn homes_of(&self, object: u64, scope: &[BackendKey]) -> [(BackendKey, f64); 2] {
        let first = scope[0];
        let second = *scope.get(1).unwrap_or(&first);
        let margin = MOVE_MIN_EXCESS + object_fraction(object, MOVE_SALT) * MOVE_EXCESS_RANGE;
        let excess = self.entry(first).mean_utilisation() - self.entry(second).mean_utilisation();
        if excess > margin {
            [(second, WARM_AT_HOME), (first, WARM_AT_SUBSTITUTE)]
        } else {
            [(first, WARM_AT_HOME), (second, WARM_AT_SUBSTITUTE)]
        }
    }

    /// Updates the regional shares of a service from the load of all regions, if due.
    fn update_split(&mut self, request: &ChoiceRequest<'_>, now: MonoTime) {
        let split = self.splits.get(request.service);
        if split.is_some_and(|split| !split.is_due(now)) {
            return;
        }
        for key in self.services.get(request.service).into_iter().flatten() {
            self.entries[key.0 as usize].sample_other_requests();
        }
        let loads = self.region_loads(request, now);
        let split = self.splits.entry(request.service.to_owned()).or_default();
        split.update(request.region, &loads, now);
    }

    fn region_loads(&self, request: &ChoiceRequest<'_>, now: MonoTime) -> Vec<RegionLoad> {
        let all: usize = self
            .data_centres
            .values()
            .map(|data_centres| data_centres.len())
            .sum();
        let mut loads: HashMap<&str, RegionLoad> = HashMap::default();
        for (region, data_centres) in &self.data_centres {
            let load = RegionLoad {
                region: region.clone(),
                callers: data_centres.len() as f64 / all.max(1) as f64,
                slots: 0.0,
                load: 0.0,
            };
            loads.insert(region, load);
        }
        for (_, entry) in self.of_service(request.service) {
            let is_open = !request.evacuated.contains(&entry.backend.data_centre);
            if is_open
                && entry.has_capacity(now)
                && let Some(load) = loads.get_mut(entry.region.as_str())
            {
                load.slots += f64::from(entry.backend.slots);
                load.load += f64::from(entry.own_requests + entry.other_requests);
            }
        }
        let mut loads: Vec<_> = loads.into_values().collect();
        loads.sort_by(|one, other| one.region.cmp(&other.region));
        loads
    }

    /// Returns the cost of time at the service's backend servers as of the last update of its
    /// shares.
    fn last_scarcity(&self, service: &str) -> f64 {
        self.splits
            .get(service)
            .map_or(0.0, |split| scarcity(split.utilisation()))
    }
}

/// Returns a number from 0 to 1 that is the same for an object on all instances.
fn object_fraction(object: u64, salt: u64) -> f64 {
    rank_weight(salt, object) as f64 / u64::MAX as f64
}
