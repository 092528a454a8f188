//! Placement state: outcomes, reports, probes and what they change.

use std::time::Duration;

use apricotlug_model::{
    Bundle, BundleVersion, DataCentreKey, EndpointKey, HashMap, InstanceId, MonoTime, RegionKey,
};

use crate::{
    limit::DelayedLimit,
    placement::{
        health::{EndpointState, Fault},
        index::{Index, StateIndex},
        link::Traffic,
        request::{LoadReport, Outcome, Ticket},
        share::ShareHolder,
        shift::RegionShift,
    },
};

/// Part of a version's endpoints that may be ejected for errors at once, in hundredths.
const MAX_EJECTED_PERCENT: usize = 50;
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Longest ejection of an unreachable endpoint where more than that part is ejected.
const MAX_CROWDED_EJECTION: Duration = Duration::from_secs(1);
/// Weight of a new sample in a version's typical latency.
const TYPICAL_WEIGHT: f32 = 0.05;

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
    pub(super) home: DataCentreKey,
    pub(super) holders: Vec<ShareHolder>,
    pub(super) own: InstanceId,
    pub(super) state_of: Vec<StateIndex>,
    pub(super) state_by_id: HashMap<String, StateIndex>,
    /// States that no endpoint uses any more.
    pub(super) free_states: Vec<StateIndex>,
}

impl Placement {
    /// Returns the state of an instance in the data centre `home`. The bundle's endpoints are
    /// taken as warm: they serve other instances already.
    ///
    /// It splits the slots as if no other instance were alive: `set_slot_share` comes before the
    /// first request wherever others are.
    #[must_use]
    pub fn new(bundle: &Bundle, home: DataCentreKey, now: MonoTime) -> Self {
        let mut placement = Self::without_share(bundle, home, now);
        placement.holders = vec![ShareHolder {
            id: placement.own.clone(),
            data_centre: home,
        }];
        placement.apply_shares(bundle, now, now);
        placement
    }

    /// Returns the state of an instance that holds no slot until `set_slot_share` is called. A
    /// process that starts beside others begins with it: they may hold every slot still.
    #[must_use]
    pub fn without_share(bundle: &Bundle, home: DataCentreKey, now: MonoTime) -> Self {
        let own = InstanceId {
            name: String::new(),
            incarnation: 0,
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
            holders: Vec::new(),
            own,
            state_of: Vec::new(),
            state_by_id: HashMap::default(),
            free_states: Vec::new(),
        };
        placement.bring_in_endpoints(None, bundle, now);
        for state in &mut placement.states {
            state.skip_slow_start();
        }
        placement.apply_shares(bundle, now, now);
        placement
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
