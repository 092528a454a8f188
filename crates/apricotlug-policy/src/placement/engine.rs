//! Placement state: its life with bundles, shares, outcomes and reports.

use std::time::Duration;

use apricotlug_model::{
    Bundle, BundleVersion, DataCentreKey, EndpointKey, HashMap, InstanceId, MonoTime, RegionKey,
};

use super::{
    health::{EndpointState, Fault},
    index::{Index, StateIndex},
    link::{LinkBudget, Traffic},
    request::{LoadReport, Outcome, Ticket},
    share::{ShareHolder, SlotShares},
    shift::RegionShift,
};
use crate::limit::DelayedLimit;

/// Part of a version's endpoints that may be ejected for errors at once, in hundredths.
const MAX_EJECTED_PERCENT: usize = 50;
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Longest ejection of an unreachable endpoint where more than that part is ejected.
const MAX_CROWDED_EJECTION: Duration = Duration::from_secs(1);
/// Weight of a new sample in a version's typical latency.
const TYPICAL_WEIGHT: f32 = 0.05;
/// Time in which all instances install a bundle and the requests placed before it have ended.
const BUNDLE_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Placement state of one instance.
#[derive(Clone, Debug)]
pub struct Placement {
    pub(super) bundle_version: BundleVersion,
    pub(super) states: Vec<EndpointState>,
    pub(super) index: Index,
    pub(super) typical_us: Vec<f32>,
    pub(super) shifts: Vec<RegionShift>,
    pub(super) home_region: RegionKey,
    /// One-way delay to the nearest other region.
    pub(super) nearest_delay: Duration,
    pub(super) shifted_in_limit: DelayedLimit<u16, MonoTime>,
    pub(super) shifted_in: u16,
    home: DataCentreKey,
    holders: Vec<ShareHolder>,
    own: InstanceId,
    state_of: Vec<StateIndex>,
    state_by_id: HashMap<String, StateIndex>,
}

impl Placement {
    /// Returns the state of an instance in the data centre `home`. The bundle's endpoints are
    /// taken as warm: they serve other instances already.
    ///
    /// It splits the slots as if no other instance were alive: `set_slot_share` comes before the
    /// first request wherever others are.
    #[must_use]
    pub fn new(bundle: &Bundle, home: DataCentreKey, now: MonoTime) -> Self {
        let own = InstanceId {
            name: String::new(),
            incarnation: 0,
        };
        let holder = ShareHolder {
            id: own.clone(),
            data_centre: home,
        };
        let mut placement = Self {
            bundle_version: bundle.version,
            states: Vec::new(),
            index: Index::default(),
            typical_us: Vec::new(),
            shifts: Vec::new(),
            home_region: bundle.data_centres[home].region,
            nearest_delay: Duration::ZERO,
            shifted_in_limit: DelayedLimit::default(),
            shifted_in: 0,
            home,
            holders: vec![holder],
            own,
            state_of: Vec::new(),
            state_by_id: HashMap::default(),
        };
        placement.bring_in_endpoints(None, bundle, now);
        for state in &mut placement.states {
            state.skip_slow_start();
        }
        placement.apply_shares(bundle, now, now);
        placement
    }

    /// Carries the state over to another bundle by endpoint id. Endpoints that appear, or come
    /// back under another address, are cold. Tickets stay valid.
    ///
    /// # Panics
    /// When the home data centre's key lies outside of the new bundle.
    pub fn update(&mut self, old: &Bundle, new: &Bundle, now: MonoTime) {
        self.bundle_version = new.version;
        self.follow_home(old, new);
        let known = self.states.len();
        self.bring_in_endpoints(Some(old), new, now);
        self.open_new_endpoints(new, known, now);
        self.apply_shares(new, now.after(BUNDLE_SETTLE_TIME), now);
    }

    /// Splits the slots among the live instances `holders`, of which this one is `own`.
    ///
    /// Slots lost count at once. Slots gained count from `usable_at`, which must lie so far off
    /// that every other instance has heard of the change and the requests that it placed before
    /// have ended.
    pub fn set_slot_share(
        &mut self,
        bundle: &Bundle,
        holders: &[ShareHolder],
        own: &InstanceId,
        usable_at: MonoTime,
        now: MonoTime,
    ) {
        self.holders = holders.to_vec();
        self.own = own.clone();
        self.apply_shares(bundle, usable_at, now);
    }

    /// Frees the slot of a placed request and learns from how the request ended.
    pub fn settle(&mut self, ticket: Ticket, outcome: Outcome, now: MonoTime) {
        let Some(state) = self.states.get_mut(ticket.state as usize) else {
            return;
        };
        let fault = state.settle(outcome, now);
        if state.region != self.home_region {
            self.shifts[usize::from(state.region)].release(now);
        }
        if ticket.is_shifted_in {
            self.shifted_in = self.shifted_in.saturating_sub(1);
        }
        self.learn_typical(ticket.state, outcome);
        if let Some(fault) = fault {
            self.eject(ticket.state, fault, now);
        }
    }

    /// Returns the endpoints whose ejection has ended. Probes bring them back without requests.
    #[must_use]
    pub fn due_probes(&self, now: MonoTime) -> Vec<EndpointKey> {
        let states = self.state_of.iter().map(|i| &self.states[*i as usize]);
        let due = states.filter(|state| state.is_probe_due(now) && !state.is_leaving());
        due.map(|state| state.key).collect()
    }

    /// Takes in the outcome of a probe that occupied no slot.
    pub fn settle_probe(&mut self, endpoint: EndpointKey, outcome: Outcome, now: MonoTime) {
        let Some(&index) = self.state_of.get(usize::from(endpoint)) else {
            return;
        };
        let fault = self.states[index as usize].settle_probe(outcome, now);
        if let Some(fault) = fault {
            self.eject(index, fault, now);
        }
    }

    /// Takes in an endpoint's word on its own state.
    ///
    /// A wish to drain counts until a later report takes it back. Health counts while own
    /// outcomes are absent.
    pub fn report(&mut self, endpoint: EndpointKey, report: LoadReport, _now: MonoTime) {
        if let Some(state) = self.state_of.get(usize::from(endpoint)) {
            self.states[*state as usize].set_report(report);
        }
    }

    /// Charges the bytes that a request moved to the links between the regions.
    pub fn account_bytes(&mut self, ticket: Ticket, traffic: Traffic, now: MonoTime) {
        let Some(state) = self.states.get(ticket.state as usize) else {
            return;
        };
        if state.region != self.home_region {
            self.shifts[usize::from(state.region)].charge(traffic, now);
        }
    }

    /// Returns the requests that this instance has placed, and the slots that it may occupy at
    /// healthy endpoints of its region. Look-ups weigh instances by them.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> (u32, u32) {
        let local = self.states.iter().filter(|s| s.region == self.home_region);
        let usable = local.filter(|state| state.fault().is_none() && !state.is_leaving());
        let slots = usable.map(|state| u32::from(state.limit.at(now))).sum();
        let outstanding = self.states.iter().map(|s| u32::from(s.outstanding)).sum();
        (outstanding, slots)
    }

    /// Returns the requests that this instance has at an endpoint.
    #[must_use]
    pub fn outstanding(&self, endpoint: EndpointKey) -> u16 {
        let state = self.state_of.get(usize::from(endpoint));
        state.map_or(0, |state| self.states[*state as usize].outstanding)
    }

    /// Returns the slots of an endpoint that this instance may occupy at `now`.
    #[must_use]
    pub fn slot_limit(&self, endpoint: EndpointKey, now: MonoTime) -> u16 {
        let state = self.state_of.get(usize::from(endpoint));
        state.map_or(0, |state| self.states[*state as usize].limit.at(now))
    }

    /// Tells whether an endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self, endpoint: EndpointKey) -> bool {
        let state = self.state_of.get(usize::from(endpoint));
        state.is_some_and(|state| self.states[*state as usize].fault().is_some())
    }

    fn follow_home(&mut self, old: &Bundle, new: &Bundle) {
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
        self.follow_shifts(old, new);
    }

    fn follow_shifts(&mut self, old: &Bundle, new: &Bundle) {
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

    fn bring_in_endpoints(&mut self, old: Option<&Bundle>, new: &Bundle, now: MonoTime) {
        self.typical_us = typical_by_id(old, new, &self.typical_us);
        let earlier = std::mem::take(&mut self.state_of);
        for (key, endpoint) in new.endpoints.iter() {
            let region = new.region_of(key);
            let index = self.state_index(&endpoint.id, key, region, now);
            let state = &mut self.states[index as usize];
            let before = earlier.iter().position(|state| *state == index);
            let has_moved = before
                .zip(old)
                .is_some_and(|(i, old)| old.endpoints[i.into()].addr != endpoint.addr);
            if has_moved {
                state.reset(now);
            }
            state.key = key;
            state.region = region;
            state.version = endpoint.version.into();
            state.is_draining = endpoint.is_draining;
            self.state_of.push(index);
        }
    }

    fn state_index(
        &mut self,
        id: &str,
        key: EndpointKey,
        region: RegionKey,
        now: MonoTime,
    ) -> StateIndex {
        if let Some(index) = self.state_by_id.get(id) {
            return *index;
        }
        let index = StateIndex::try_from(self.states.len()).unwrap_or(StateIndex::MAX);
        self.states.push(EndpointState::cold(key, region, now));
        self.state_by_id.insert(id.to_owned(), index);
        index
    }

    /// Opens the share of endpoints that no instance has used before. States from `known` on are
    /// theirs.
    fn open_new_endpoints(&mut self, bundle: &Bundle, known: usize, now: MonoTime) {
        if self.states.len() == known {
            return;
        }
        let shares = SlotShares::split(bundle, &self.holders, &self.own);
        for state in &mut self.states[known..] {
            state.limit.set(shares.slots(state.key), now, now);
        }
    }

    fn apply_shares(&mut self, bundle: &Bundle, usable_at: MonoTime, now: MonoTime) {
        let shares = SlotShares::split(bundle, &self.holders, &self.own);
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
            let outward = bundle.links.get(&(self.home_region, region));
            let inward = bundle.links.get(&(region, self.home_region));
            shift.set_links(
                LinkBudget::new(outward, shares.link_parts, now),
                LinkBudget::new(inward, shares.link_parts, now),
            );
            let slots = bundle
                .endpoints
                .keys()
                .filter(|key| bundle.region_of(*key) == region);
            shift.slots = slots.map(|key| u32::from(shares.slots(key))).sum();
        }
    }

    fn learn_typical(&mut self, state: StateIndex, outcome: Outcome) {
        let Outcome::Answered {
            latency,
            server_error: false,
        } = outcome
        else {
            return;
        };
        let sample = latency.as_secs_f32() * 1e6;
        let version = self.states[state as usize].version;
        if let Some(typical) = self.typical_us.get_mut(version) {
            *typical = match *typical > 0.0 {
                true => *typical + TYPICAL_WEIGHT * (sample - *typical),
                false => sample,
            };
        }
    }

    fn eject(&mut self, state: StateIndex, fault: Fault, now: MonoTime) {
        let version = self.states[state as usize].version;
        let Some(group) = self.index.groups.get(version) else {
            return;
        };
        let members = group.members().count();
        let others = group
            .members()
            .filter(|&member| member != state && self.states[member as usize].fault().is_some());
        let is_crowded = (others.count() + 1) * 100 > MAX_EJECTED_PERCENT * members;
        let longest = match (fault, is_crowded) {
            (_, false) => MAX_EJECTION,
            (Fault::Unreachable, true) => MAX_CROWDED_EJECTION,
            (Fault::Errors, true) => return,
        };
        self.states[state as usize].eject(fault, longest, now);
    }
}

fn typical_by_id(old: Option<&Bundle>, new: &Bundle, typical_us: &[f32]) -> Vec<f32> {
    let name = |bundle: &Bundle, i: usize| {
        let version = &bundle.versions[i.into()];
        (
            bundle.services[version.service].id.clone(),
            version.id.clone(),
        )
    };
    let earlier: HashMap<_, _> = match old {
        Some(old) => (0..typical_us.len())
            .map(|i| (name(old, i), typical_us[i]))
            .collect(),
        None => HashMap::default(),
    };
    (0..new.versions.len())
        .map(|i| earlier.get(&name(new, i)).copied().unwrap_or(0.0))
        .collect()
}
