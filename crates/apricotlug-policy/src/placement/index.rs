//! Index of endpoints by version and service, nearest first.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{Bundle, DataCentreKey, EndpointKey, RegionKey, ServiceKey, VersionKey};

use super::{health::EndpointState, request::PlacementConstraints, shift::HomeReturn};

/// Index of an endpoint's state in `Placement::states`.
pub(super) type StateIndex = u32;

/// Endpoints of one version or service at which this instance has a slot share.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// Endpoints of the home data centre.
    pub(super) home: Vec<StateIndex>,
    /// Endpoints of other data centres of the home region.
    pub(super) region: Vec<StateIndex>,
    /// Endpoints of other regions, the nearest region first.
    pub(super) other_regions: Vec<(RegionKey, Vec<StateIndex>)>,
    /// Whether requests go to the home region, or return to it gradually.
    pub(super) home_return: HomeReturn,
}

impl Group {
    /// Iterates over all endpoints, nearest first.
    pub(super) fn members(&self) -> impl Iterator<Item = StateIndex> {
        let other_regions = self.other_regions.iter().flat_map(|(_, members)| members);
        self.home
            .iter()
            .chain(&self.region)
            .chain(other_regions)
            .copied()
    }

    /// Iterates over the endpoints of the home region.
    pub(super) fn local(&self) -> impl Iterator<Item = StateIndex> {
        self.home.iter().chain(&self.region).copied()
    }
}

/// Groups of all versions, and of services with several serving versions. A version serves unless
/// a version move is bringing it in.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    /// One group per version in bundle order, then one per service. A service's group is empty
    /// if it has one serving version, whose group is used instead.
    pub(super) groups: Vec<Group>,
    group_of_service: Vec<usize>,
}

impl Index {
    /// Builds the groups. `state_of` maps endpoint keys to indices in `states`. Endpoints without a
    /// slot share are left out.
    pub(super) fn build(
        bundle: &Bundle,
        home: DataCentreKey,
        state_of: &[StateIndex],
        states: &[EndpointState],
    ) -> Self {
        let versions = bundle.versions.len();
        let serving: Vec<_> = bundle.services.keys().map(|s| serving(bundle, s)).collect();
        let mut rows = vec![Vec::new(); versions + serving.len()];
        for (key, endpoint) in bundle.endpoints.iter() {
            let state = state_of[usize::from(key)];
            if states[state as usize].limit.target() == 0 {
                continue;
            }
            rows[usize::from(endpoint.version)].push((key, state));
            let service = bundle.versions[endpoint.version].service;
            let is_merged = serving[usize::from(service)].len() > 1;
            if is_merged && bundle.versions[endpoint.version].incoming.is_none() {
                rows[versions + usize::from(service)].push((key, state));
            }
        }
        let group_of_service = serving
            .iter()
            .enumerate()
            .map(|(i, serving)| match serving[..] {
                [only] => usize::from(only),
                _ => versions + i,
            });
        Self {
            group_of_service: group_of_service.collect(),
            groups: rows.iter().map(|rows| group(bundle, home, rows)).collect(),
        }
    }

    /// Ends all shifts away from the home region and all gradual returns to it.
    pub(super) fn reset_home_returns(&mut self) {
        for group in &mut self.groups {
            group.home_return = HomeReturn::default();
        }
    }

    /// Returns the index of the group that fits `constraints`; `None` for an unknown service.
    pub(super) fn group_of(&self, constraints: &PlacementConstraints<'_>) -> Option<usize> {
        match constraints.version {
            Some(version) => Some(usize::from(version)),
            None => self
                .group_of_service
                .get(usize::from(constraints.service))
                .copied(),
        }
    }
}

fn serving(bundle: &Bundle, service: ServiceKey) -> Vec<VersionKey> {
    let versions = bundle.services[service].versions.iter().copied();
    versions
        .filter(|version| bundle.versions[*version].incoming.is_none())
        .collect()
}

fn group(bundle: &Bundle, home: DataCentreKey, rows: &[(EndpointKey, StateIndex)]) -> Group {
    let home_region = bundle.data_centres[home].region;
    let mut group = Group::default();
    let mut other_regions: BTreeMap<(Duration, RegionKey), Vec<StateIndex>> = BTreeMap::new();
    for &(key, state) in rows {
        let region = bundle.region_of(key);
        if bundle.data_centre_of(key) == home {
            group.home.push(state);
        } else if region == home_region {
            group.region.push(state);
        } else {
            let delay = delay(bundle, home_region, region);
            other_regions
                .entry((delay, region))
                .or_default()
                .push(state);
        }
    }
    let other_regions = other_regions.into_iter();
    group.other_regions = other_regions
        .map(|((_, region), members)| (region, members))
        .collect();
    group
}

fn delay(bundle: &Bundle, from: RegionKey, to: RegionKey) -> Duration {
    let link = bundle.links.get(&(from, to));
    link.map_or(Duration::MAX, |link| {
        Duration::from_micros(link.delay_us.into())
    })
}
