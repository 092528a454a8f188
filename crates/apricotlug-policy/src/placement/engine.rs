//! Placement state of an instance, updated by request outcomes, load reports and probes.

use std::time::Duration;

use apricotlug_model::{
    Bundle, BundleVersion, DataCentreKey, EndpointKey, HashMap, InstanceId, MonoTime, RegionKey,
};

use crate::{
    limit::DelayedLimit,
    placement::{
        health::{EndpointState, Fault},
        index::{Index, StateIndex},
        link::TransferredBytes,
        request::{LoadReport, Outcome, Ticket},
        share::ShareHolder,
        shift::RegionShift,
    },
};

/// Largest percentage of a version's endpoints that may be ejected for errors at once.
const MAX_EJECTED_PERCENT: usize = 50;
/// Longest ejection while at most `MAX_EJECTED_PERCENT` of the version's endpoints are ejected.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Longest ejection of an unreachable endpoint while more than `MAX_EJECTED_PERCENT` are ejected.
const MAX_EJECTION_ABOVE_LIMIT: Duration = Duration::from_secs(1);
/// Weight of a new sample in the moving average of a version's latency.
const TYPICAL_LATENCY_WEIGHT: f32 = 0.05;

/// Placement state of one instance.
#[derive(Clone, Debug)]
pub struct Placement {
    pub(super) bundle_version: BundleVersion,
    pub(super) states: Vec<EndpointState>,
    pub(super) index: Index,
    pub(super) typical_latency_us: Vec<f32>,
    pub(super) shifts: Vec<RegionShift>,
    pub(super) home_region: RegionKey,
    /// One-way delay to the nearest other region; zero without links to other regions.
    pub(super) nearest_delay: Duration,
    pub(super) shifted_in_limit: DelayedLimit<u16, MonoTime>,
    pub(super) shifted_in: u16,
    pub(super) home: DataCentreKey,
    pub(super) holders: Vec<ShareHolder>,
    pub(super) own_id: InstanceId,
    pub(super) state_of: Vec<StateIndex>,
    pub(super) state_by_id: HashMap<String, StateIndex>,
    /// Indices into `states` that no endpoint uses any more and that may be reused.
    pub(super) free_states: Vec<StateIndex>,
}

impl Placement {
    /// Creates the placement state of an instance in the data centre `home`. Endpoints in the
    /// bundle skip slow start because they already serve other instances.
    ///
    /// All slots are assigned to this instance. If other instances are alive, `set_slot_share` must
    /// be called before the first request is placed.
    #[must_use]
    pub fn new(bundle: &Bundle, home: DataCentreKey, now: MonoTime) -> Self {
        let mut placement = Self::without_slots(bundle, home, now);
        placement.holders = vec![ShareHolder {
            id: placement.own_id.clone(),
            data_centre: home,
        }];
        placement.apply_shares(bundle, now, now);
        placement
    }

    /// Creates the placement state of an instance that holds no slots until `set_slot_share` is
    /// called. Used when other instances may be alive, as they may still hold every slot.
    #[must_use]
    pub fn without_slots(bundle: &Bundle, home: DataCentreKey, now: MonoTime) -> Self {
        let own_id = InstanceId {
            name: String::new(),
            incarnation: 0,
        };
        let mut placement = Self {
            bundle_version: bundle.version,
            states: Vec::new(),
            index: Index::default(),
            typical_latency_us: Vec::new(),
            shifts: Vec::new(),
            home_region: bundle.data_centres[home].region,
            nearest_delay: Duration::ZERO,
            shifted_in_limit: DelayedLimit::default(),
            shifted_in: 0,
            home,
            holders: Vec::new(),
            own_id,
            state_of: Vec::new(),
            state_by_id: HashMap::default(),
            free_states: Vec::new(),
        };
        placement.register_endpoints(None, bundle, now);
        for state in &mut placement.states {
            state.skip_slow_start();
        }
        placement.apply_shares(bundle, now, now);
        placement
    }

    /// Releases the slot of a placed request and updates the endpoint's health from its outcome.
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
        self.update_typical_latency(ticket.state, outcome);
        if let Some(fault) = fault {
            self.eject(ticket.state, fault, now);
        }
    }

    /// Returns the endpoints whose ejection has ended and that no request is testing. Probes can
    /// restore them without client requests.
    #[must_use]
    pub fn due_probes(&self, now: MonoTime) -> Vec<EndpointKey> {
        let states = self.state_of.iter().map(|i| &self.states[*i as usize]);
        let due = states.filter(|state| state.is_probe_due(now) && !state.is_leaving());
        due.map(|state| state.key).collect()
    }

    /// Updates an endpoint's health from the outcome of a probe. Probes occupy no slot.
    pub fn settle_probe(&mut self, endpoint: EndpointKey, outcome: Outcome, now: MonoTime) {
        let Some(&index) = self.state_of.get(usize::from(endpoint)) else {
            return;
        };
        let fault = self.states[index as usize].settle_probe(outcome, now);
        if let Some(fault) = fault {
            self.eject(index, fault, now);
        }
    }

    /// Stores an endpoint's report of its own state.
    ///
    /// A reported drain is honoured until a later report withdraws it. Reported health is ignored
    /// once the report is stale, and while the last outcome that this instance observed at the
    /// endpoint was a success.
    pub fn set_report(&mut self, endpoint: EndpointKey, report: LoadReport, _now: MonoTime) {
        if let Some(state) = self.state_of.get(usize::from(endpoint)) {
            self.states[*state as usize].set_report(report);
        }
    }

    /// Charges the bytes that a request transferred to the links between the regions. Requests
    /// within the home region are not charged.
    pub fn charge_bytes(&mut self, ticket: Ticket, bytes: TransferredBytes, now: MonoTime) {
        let Some(state) = self.states.get(ticket.state as usize) else {
            return;
        };
        if state.region != self.home_region {
            self.shifts[usize::from(state.region)].charge(bytes, now);
        }
    }

    /// Returns the number of requests that this instance has placed and not settled, and the
    /// number of slots that it may occupy at endpoints of its region that are neither ejected nor
    /// draining. Look-ups weight instances by these values.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> (u32, u32) {
        let local = self.states.iter().filter(|s| s.region == self.home_region);
        let usable = local.filter(|state| state.fault().is_none() && !state.is_leaving());
        let slots = usable.map(|state| u32::from(state.limit.at(now))).sum();
        let outstanding = self.states.iter().map(|s| u32::from(s.outstanding)).sum();
        (outstanding, slots)
    }

    /// Returns the number of this instance's unsettled requests at an endpoint.
    #[must_use]
    pub fn outstanding(&self, endpoint: EndpointKey) -> u16 {
        let state = self.state_of.get(usize::from(endpoint));
        state.map_or(0, |state| self.states[*state as usize].outstanding)
    }

    /// Returns the number of an endpoint's slots that this instance may occupy at `now`.
    #[must_use]
    pub fn slot_limit(&self, endpoint: EndpointKey, now: MonoTime) -> u16 {
        let state = self.state_of.get(usize::from(endpoint));
        state.map_or(0, |state| self.states[*state as usize].limit.at(now))
    }

    /// Returns whether an endpoint is ejected or has not recovered since its ejection ended.
    #[must_use]
    pub fn is_ejected(&self, endpoint: EndpointKey) -> bool {
        let state = self.state_of.get(usize::from(endpoint));
        state.is_some_and(|state| self.states[*state as usize].fault().is_some())
    }

    fn update_typical_latency(&mut self, state: StateIndex, outcome: Outcome) {
        let Outcome::Answered {
            latency,
            server_error: false,
        } = outcome
        else {
            return;
        };
        let sample = latency.as_secs_f32() * 1e6;
        let version = self.states[state as usize].version;
        if let Some(typical) = self.typical_latency_us.get_mut(version) {
            *typical = match *typical > 0.0 {
                true => *typical + TYPICAL_LATENCY_WEIGHT * (sample - *typical),
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
        let is_above_limit = (others.count() + 1) * 100 > MAX_EJECTED_PERCENT * members;
        let longest = match (fault, is_above_limit) {
            (_, false) => MAX_EJECTION,
            (Fault::Unreachable, true) => MAX_EJECTION_ABOVE_LIMIT,
            (Fault::Errors, true) => return,
        };
        self.states[state as usize].eject(fault, longest, now);
    }
}
