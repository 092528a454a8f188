//! The policy under test and the baselines that it is compared with.

use apricotlug_model::{Bundle, DataCentreKey, EndpointKey, MonoTime, ServiceKey};
use apricotlug_policy::{
    lookup::InstanceLoad,
    placement::{
        LoadReport, Outcome, PlacedRequest, Placement, PlacementConstraints, PlacementRefusal,
        Refusal, ShareHolder, Ticket,
    },
};
use rand::rngs::StdRng;

/// Kind of policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// Round robin over the region's endpoints.
    RoundRobin,
    /// Fewest outstanding requests, own or reported, among the region's endpoints.
    LeastOutstanding,
    /// Fewest own outstanding requests among the endpoints of the instance's data centre.
    NearestOnly,
    /// Better of two random endpoints, within the slot share.
    Apricotlug,
}

impl PolicyKind {
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::NearestOnly,
        Self::Apricotlug,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastOutstanding => "least outstanding",
            Self::NearestOnly => "nearest only",
            Self::Apricotlug => "apricotlug",
        }
    }
}

/// Policy state of one instance.
pub struct Policy {
    pub kind: PolicyKind,
    pub home: DataCentreKey,
    pub placement: Placement,
    next: usize,
    own_outstanding: Vec<u32>,
    reported_outstanding: Vec<u32>,
}

impl Policy {
    pub fn new(kind: PolicyKind, bundle: &Bundle, holders: &[ShareHolder], own: usize) -> Self {
        let start = MonoTime::default();
        let home = holders[own].data_centre;
        let mut placement = Placement::new(bundle, home, start);
        placement.set_slot_share(bundle, holders, &holders[own].id, start, start);
        Self {
            kind,
            home,
            placement,
            next: own,
            own_outstanding: vec![0; bundle.endpoints.len()],
            reported_outstanding: vec![0; bundle.endpoints.len()],
        }
    }

    pub fn place(
        &mut self,
        bundle: &Bundle,
        constraints: &PlacementConstraints<'_>,
        is_shifted_in: bool,
        arrived_at: MonoTime,
        now: MonoTime,
        rng: &mut StdRng,
    ) -> Result<(EndpointKey, Option<Ticket>), PlacementRefusal> {
        if self.kind == PolicyKind::Apricotlug {
            let placed = match is_shifted_in {
                true => self
                    .placement
                    .place_shifted_in(bundle, constraints, arrived_at, now, rng),
                false => self
                    .placement
                    .place_or_wait(bundle, constraints, arrived_at, now, rng),
            };
            return placed.map(
                |PlacedRequest {
                     endpoint, ticket, ..
                 }| (endpoint, Some(ticket)),
            );
        }
        let endpoint = self.choose(bundle, constraints).ok_or(PlacementRefusal {
            reason: Refusal::NoEndpoint,
            retry_at: now,
        })?;
        self.own_outstanding[usize::from(endpoint)] += 1;
        Ok((endpoint, None))
    }

    pub fn settle(
        &mut self,
        endpoint: EndpointKey,
        ticket: Option<Ticket>,
        outcome: Outcome,
        now: MonoTime,
    ) {
        match ticket {
            Some(ticket) => self.placement.settle(ticket, outcome, now),
            None => self.own_outstanding[usize::from(endpoint)] -= 1,
        }
    }

    /// Returns the load that the instance reports to the look-up.
    pub fn load(&self, bundle: &Bundle, instances: usize, now: MonoTime) -> InstanceLoad {
        let (outstanding, slots) = match self.kind {
            PolicyKind::Apricotlug => self.placement.load(now),
            _ => {
                let slots: u32 = bundle.endpoints.values().map(|e| u32::from(e.slots)).sum();
                (self.own_outstanding.iter().sum(), slots / instances as u32)
            }
        };
        InstanceLoad { outstanding, slots }
    }

    pub fn set_report(&mut self, endpoint: EndpointKey, report: LoadReport, now: MonoTime) {
        self.placement.set_report(endpoint, report, now);
        self.reported_outstanding[usize::from(endpoint)] = report.outstanding;
    }

    fn choose(
        &mut self,
        bundle: &Bundle,
        constraints: &PlacementConstraints<'_>,
    ) -> Option<EndpointKey> {
        let candidates = self.candidates(bundle, constraints.service, constraints.exclude);
        self.next += 1;
        let start = self.next % candidates.len().max(1);
        let key = |i: &usize| {
            let endpoint = usize::from(candidates[*i]);
            match self.kind {
                PolicyKind::LeastOutstanding => {
                    self.own_outstanding[endpoint].max(self.reported_outstanding[endpoint])
                }
                PolicyKind::NearestOnly => self.own_outstanding[endpoint],
                PolicyKind::RoundRobin | PolicyKind::Apricotlug => 0,
            }
        };
        let order = (0..candidates.len()).map(|i| (i + start) % candidates.len());
        order.min_by_key(key).map(|i| candidates[i])
    }

    fn candidates(
        &self,
        bundle: &Bundle,
        service: ServiceKey,
        exclude: &[EndpointKey],
    ) -> Vec<EndpointKey> {
        let region = bundle.data_centres[self.home].region;
        let is_near = |key: EndpointKey| match self.kind {
            PolicyKind::NearestOnly => bundle.data_centre_of(key) == self.home,
            _ => bundle.region_of(key) == region,
        };
        let endpoints = bundle.endpoints.iter();
        endpoints
            .filter(|(_, endpoint)| bundle.versions[endpoint.version].service == service)
            .filter(|(key, endpoint)| is_near(*key) && !endpoint.is_draining)
            .map(|(key, _)| key)
            .filter(|key| !exclude.contains(key))
            .collect()
    }
}
