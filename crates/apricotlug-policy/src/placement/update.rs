//! Updates of placement state to a new bundle or a new slot share.

use std::time::Duration;

use apricotlug_model::{Bundle, EndpointKey, HashMap, HashSet, InstanceId, MonoTime, RegionKey};

use crate::{
    limit::DelayedLimit,
    placement::{
        engine::Placement,
        health::EndpointState,
        index::{Index, StateIndex},
        link::LinkBudget,
        share::{ShareHolder, SlotShares},
        shift::RegionShift,
    },
};

/// Time within which all instances install a new bundle and the requests placed under the previous
/// one end.
const BUNDLE_SETTLE_TIME: Duration = Duration::from_secs(10);

impl Placement {
    /// Carries the state over to a new bundle by endpoint id. Endpoints that are new, or come back
    /// under another address, begin with slow start. Tickets stay valid.
    ///
    /// # Panics
    /// If the home data centre is not in the new bundle and its key is out of range there.
    pub fn update(&mut self, old: &Bundle, new: &Bundle, now: MonoTime) {
        self.bundle_version = new.version;
        self.remap_keys(old, new);
        let added = self.register_endpoints(Some(old), new, now);
        self.close_removed_endpoints(new, now);
        self.open_new_endpoints(new, &added, now);
        self.apply_shares(new, now.after(BUNDLE_SETTLE_TIME), now);
        if old.versions != new.versions {
            self.index.reset_home_returns();
        }
    }

    /// Splits the slots among the live instances `holders`. `own_id` identifies this instance; if
    /// it is not a holder, it gets no slots.
    ///
    /// Lost slots are given up immediately. Gained slots may be used from `usable_at`, which must
    /// be late enough that every other instance knows of the change and the requests that it placed
    /// before have ended.
    pub fn set_slot_share(
        &mut self,
        bundle: &Bundle,
        holders: &[ShareHolder],
        own_id: &InstanceId,
        usable_at: MonoTime,
        now: MonoTime,
    ) {
        self.holders = holders.to_vec();
        self.own_id = own_id.clone();
        self.apply_shares(bundle, usable_at, now);
    }

    fn remap_keys(&mut self, old: &Bundle, new: &Bundle) {
        let id = &old.data_centres[self.home].id;
        if let Some(home) = new.data_centres.find(|dc| dc.id == *id) {
            self.home = home;
        }
        self.home_region = new.data_centres[self.home].region;
        for holder in &mut self.holders {
            let id = &old.data_centres[holder.data_centre].id;
            if let Some(data_centre) = new.data_centres.find(|dc| dc.id == *id) {
                holder.data_centre = data_centre;
            }
        }
        for state in &mut self.states {
            let id = &old.regions[state.region].id;
            let region = new.regions.find(|region| region.id == *id);
            state.region = region.unwrap_or(self.home_region);
        }
        self.remap_shifts(old, new);
    }

    fn remap_shifts(&mut self, old: &Bundle, new: &Bundle) {
        let earlier = std::mem::take(&mut self.shifts);
        let mut kept: HashMap<&str, RegionShift> = HashMap::default();
        for (region, shift) in old.regions.values().zip(earlier) {
            kept.insert(&region.id, shift);
        }
        let shifts = new
            .regions
            .values()
            .map(|region| kept.remove(region.id.as_str()));
        self.shifts = shifts.map(Option::unwrap_or_default).collect();
    }

    /// Adds or updates the state of every endpoint in the bundle. Returns the indices of new ones.
    pub(super) fn register_endpoints(
        &mut self,
        old: Option<&Bundle>,
        new: &Bundle,
        now: MonoTime,
    ) -> Vec<StateIndex> {
        self.typical_latency_us = carry_over_typical_latency(old, new, &self.typical_latency_us);
        self.state_of.clear();
        let mut added = Vec::new();
        for (key, endpoint) in new.endpoints.iter() {
            let region = new.region_of(key);
            let known = self.state_by_id.get(&endpoint.id).copied();
            let index = known.unwrap_or_else(|| self.add_state(&endpoint.id, key, region, now));
            if known.is_none() {
                added.push(index);
            }
            let state = &mut self.states[index as usize];
            let earlier = old.and_then(|old| old.endpoints.get(state.key));
            if earlier.is_some_and(|e| e.id == endpoint.id && e.addr != endpoint.addr) {
                state.reset(now);
            }
            state.key = key;
            state.region = region;
            state.version = endpoint.version.into();
            state.is_draining = endpoint.is_draining;
            state.removed_at = None;
            self.state_of.push(index);
        }
        added
    }

    fn add_state(
        &mut self,
        id: &str,
        key: EndpointKey,
        region: RegionKey,
        now: MonoTime,
    ) -> StateIndex {
        let state = EndpointState::cold(key, region, now);
        let index = match self.free_states.pop() {
            Some(index) => {
                self.states[index as usize] = state;
                index
            }
            None => {
                self.states.push(state);
                StateIndex::try_from(self.states.len() - 1).unwrap_or(StateIndex::MAX)
            }
        };
        self.state_by_id.insert(id.to_owned(), index);
        index
    }

    /// Drops the slot share of endpoints that left the bundle, and frees their states once all
    /// tickets are settled and no instance uses the previous bundle any more.
    fn close_removed_endpoints(&mut self, bundle: &Bundle, now: MonoTime) {
        let ids: HashSet<&str> = bundle.endpoints.values().map(|e| e.id.as_str()).collect();
        let (states, free_states) = (&mut self.states, &mut self.free_states);
        self.state_by_id.retain(|id, index| {
            if ids.contains(id.as_str()) {
                return true;
            }
            let state = &mut states[*index as usize];
            state.limit = DelayedLimit::default();
            let removed_at = *state.removed_at.get_or_insert(now);
            let is_kept = state.outstanding > 0 || now < removed_at.after(BUNDLE_SETTLE_TIME);
            if !is_kept {
                free_states.push(*index);
            }
            is_kept
        });
    }

    /// Makes the slot share of new endpoints usable immediately, as no instance has used them.
    fn open_new_endpoints(&mut self, bundle: &Bundle, added: &[StateIndex], now: MonoTime) {
        if added.is_empty() {
            return;
        }
        let shares = SlotShares::split(bundle, &self.holders, &self.own_id);
        for index in added {
            let state = &mut self.states[*index as usize];
            state.limit.set(shares.slots(state.key), now, now);
        }
    }

    pub(super) fn apply_shares(&mut self, bundle: &Bundle, usable_at: MonoTime, now: MonoTime) {
        let shares = SlotShares::split(bundle, &self.holders, &self.own_id);
        for (key, index) in bundle.endpoints.keys().zip(&self.state_of) {
            let state = &mut self.states[*index as usize];
            state.limit.set(shares.slots(key), usable_at, now);
        }
        let shifted_in = u16::try_from(shares.shifted_in).unwrap_or(u16::MAX);
        self.shifted_in_limit.set(shifted_in, usable_at, now);
        self.apply_region_shares(bundle, &shares, now);
        let earlier = std::mem::take(&mut self.index);
        self.index = Index::build(bundle, self.home, &self.state_of, &self.states);
        for (group, earlier) in self.index.groups.iter_mut().zip(earlier.groups) {
            group.home_return = earlier.home_return;
        }
    }

    fn apply_region_shares(&mut self, bundle: &Bundle, shares: &SlotShares, now: MonoTime) {
        let delays = bundle
            .links
            .iter()
            .filter(|((from, _), _)| *from == self.home_region);
        let nearest_us = delays.map(|(_, link)| link.delay_us).min().unwrap_or(0);
        self.nearest_delay = Duration::from_micros(nearest_us.into());
        self.shifts
            .resize_with(bundle.regions.len(), RegionShift::default);
        for (region, shift) in bundle.regions.keys().zip(&mut self.shifts) {
            let placed = self.states.iter().filter(|state| state.region == region);
            shift.outstanding = placed.map(|state| u32::from(state.outstanding)).sum();
            let outbound = bundle.links.get(&(self.home_region, region));
            let inbound = bundle.links.get(&(region, self.home_region));
            shift.set_links(
                LinkBudget::new(outbound, shares.link_holders, now),
                LinkBudget::new(inbound, shares.link_holders, now),
            );
            let slots = bundle
                .endpoints
                .keys()
                .filter(|key| bundle.region_of(*key) == region);
            shift.slots = slots.map(|key| u32::from(shares.slots(key))).sum();
        }
    }
}

fn carry_over_typical_latency(
    old: Option<&Bundle>,
    new: &Bundle,
    typical_latency_us: &[f32],
) -> Vec<f32> {
    let name = |bundle: &Bundle, i: usize| {
        let version = &bundle.versions[i.into()];
        (
            bundle.services[version.service].id.clone(),
            version.id.clone(),
        )
    };
    let earlier: HashMap<_, _> = match old {
        Some(old) => (0..typical_latency_us.len())
            .map(|i| (name(old, i), typical_latency_us[i]))
            .collect(),
        None => HashMap::default(),
    };
    (0..new.versions.len())
        .map(|i| earlier.get(&name(new, i)).copied().unwrap_or(0.0))
        .collect()
}
