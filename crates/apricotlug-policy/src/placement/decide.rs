//! The placement decision.

use std::time::Duration;

use apricotlug_model::{Bundle, MonoTime};
use rand::Rng;

use super::{
    engine::Placement,
    health::{EndpointState, Fault},
    index::{Group, StateIndex},
    pick::{Picked, Picker},
    request::{
        PlaceReason, PlacedRequest, PlacementConstraints, PlacementRefusal, Refusal, Ticket,
    },
};

/// Ratio of score to the version's typical latency above which the endpoint picked in the home
/// data centre is compared with one from the region's other data centres.
const SLOW_FACTOR: f32 = 2.0;
/// Retry delay where no better estimate is available, and upper bound of estimated slot waits.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time that a request waits for a slot in the home region before it is shifted, as a percentage
/// of the round trip to the nearest other region.
const SHIFT_WAIT_PERCENT: u32 = 50;
/// Shortest retry delay.
const MIN_SLOT_WAIT: Duration = Duration::from_millis(1);

/// Regions in which a request may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Locality {
    /// The home region only, as long as it has a healthy endpoint.
    HomeRegion,
    /// The home region, then other regions.
    AnyRegion,
    /// Other regions only.
    OtherRegions,
}

/// Selected endpoint, with the details that the placement reports.
struct Selection {
    state: StateIndex,
    candidates: usize,
    reason: PlaceReason,
}

impl Placement {
    /// Places a request without a wait limit. For clients of the home region, or if the client's
    /// region doesn't matter.
    ///
    /// # Errors
    /// Returns why the request was not placed and when to retry. No slot was occupied.
    pub fn place(
        &mut self,
        bundle: &Bundle,
        constraints: &PlacementConstraints<'_>,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Result<PlacedRequest, PlacementRefusal> {
        let selection = self.find(bundle, constraints, Locality::AnyRegion, now, rng)?;
        Ok(self.occupy(&selection, false, now))
    }

    /// Places a request that arrived at `arrived_at` and may wait for a slot. It is shifted to
    /// another region only after it has waited about as long as the shift would add in latency;
    /// until then it is refused as `Full` if the home region has no free slot.
    ///
    /// # Errors
    /// Returns why the request was not placed and when to retry. No slot was occupied.
    pub fn place_or_wait(
        &mut self,
        bundle: &Bundle,
        constraints: &PlacementConstraints<'_>,
        arrived_at: MonoTime,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Result<PlacedRequest, PlacementRefusal> {
        let locality = self.locality(arrived_at, now);
        let selection = self.find(bundle, constraints, locality, now, rng)?;
        Ok(self.occupy(&selection, false, now))
    }

    /// Places a request of a client whose home is another region. It counts against this instance's
    /// share of the home region's shift cap, and waits as in [`Placement::place_or_wait`].
    ///
    /// # Errors
    /// Returns why the request was not placed and when to retry. No slot was occupied.
    pub fn place_shifted_in(
        &mut self,
        bundle: &Bundle,
        constraints: &PlacementConstraints<'_>,
        arrived_at: MonoTime,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Result<PlacedRequest, PlacementRefusal> {
        let locality = match self.shifted_in < self.shifted_in_limit.at(now) {
            true => self.locality(arrived_at, now),
            false => Locality::OtherRegions,
        };
        let selection = self.find(bundle, constraints, locality, now, rng)?;
        Ok(self.occupy(&selection, true, now))
    }

    fn locality(&self, arrived_at: MonoTime, now: MonoTime) -> Locality {
        let round_trip = self.nearest_delay * 2;
        let wait_limit = round_trip * SHIFT_WAIT_PERCENT / 100;
        match arrived_at.after(wait_limit) > now {
            true => Locality::HomeRegion,
            false => Locality::AnyRegion,
        }
    }

    fn find(
        &mut self,
        bundle: &Bundle,
        constraints: &PlacementConstraints<'_>,
        locality: Locality,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Result<Selection, PlacementRefusal> {
        if bundle.version != self.bundle_version {
            return Err(refuse(Refusal::OtherBundle, now));
        }
        let index = self.index.group_of(constraints);
        let Some(group) = index.and_then(|i| self.index.groups.get_mut(i)) else {
            return Err(refuse(Refusal::NoEndpoint, now));
        };
        let picker = Picker {
            states: &self.states,
            typical_latency_us: &self.typical_latency_us,
            exclude: constraints.exclude,
            now,
        };
        let local = match locality {
            Locality::OtherRegions => None,
            Locality::HomeRegion | Locality::AnyRegion => find_local(group, &picker, rng),
        };
        let is_local_healthy = local
            .as_ref()
            .is_some_and(|selection| selection.is_healthy(&picker));
        if !is_local_healthy && locality != Locality::OtherRegions {
            if !has_healthy_endpoint(group, &picker) {
                group.home_return.mark_unusable();
            } else if locality == Locality::HomeRegion {
                return local.ok_or_else(|| placement_refusal(group, &picker, None));
            }
        }
        let is_probe = |selection: &Selection| selection.reason == PlaceReason::Probe;
        let is_shift_preferred = !local.as_ref().is_some_and(is_probe)
            && (!is_local_healthy || group.home_return.prefers_shift(now, rng));
        let local = match local {
            Some(selection) if !is_shift_preferred => return Ok(selection),
            local => local,
        };
        let mut shift_refusal = None;
        for (region, members) in &group.other_regions {
            let shift = &mut self.shifts[usize::from(*region)];
            let link_available_at = shift.link_available_at(now);
            if link_available_at > now {
                shift_refusal = shift_refusal.or(Some((Refusal::Link, link_available_at)));
                continue;
            }
            if !shift.is_below_cap(now) {
                shift_refusal = shift_refusal.or(Some((
                    Refusal::ShiftCap,
                    now.after(slot_wait(&picker, members)),
                )));
                continue;
            }
            let picked = picker.pick(members, rng);
            let selection =
                picked.map(|picked| Selection::new(picked.state, members, PlaceReason::Shift));
            if let Some(selection) = selection.filter(|selection| selection.is_healthy(&picker)) {
                return Ok(selection);
            }
        }
        let panic_selection = match locality {
            Locality::OtherRegions => None,
            Locality::HomeRegion | Locality::AnyRegion => find_in_panic_mode(group, &picker, rng),
        };
        panic_selection
            .or(local)
            .ok_or_else(|| placement_refusal(group, &picker, shift_refusal))
    }

    fn occupy(
        &mut self,
        selection: &Selection,
        is_shifted_in: bool,
        now: MonoTime,
    ) -> PlacedRequest {
        let state = &mut self.states[selection.state as usize];
        state.outstanding += 1;
        let is_local = state.region == self.home_region;
        if !is_local {
            self.shifts[usize::from(state.region)].occupy(now);
        }
        let is_shifted_in = is_shifted_in && is_local;
        self.shifted_in += u16::from(is_shifted_in);
        PlacedRequest {
            endpoint: state.key,
            ticket: Ticket {
                state: selection.state,
                is_shifted_in,
            },
            candidates: selection.candidates,
            reason: selection.reason,
        }
    }
}

impl Selection {
    fn new(state: StateIndex, members: &[StateIndex], reason: PlaceReason) -> Self {
        Self {
            state,
            candidates: members.len(),
            reason,
        }
    }

    /// Returns whether the endpoint is healthy, or this request tests it after an ejection.
    fn is_healthy(&self, picker: &Picker<'_>) -> bool {
        let state = picker.state(self.state);
        state.is_healthy(picker.now) || state.is_probe_due(picker.now)
    }
}

fn find_local(group: &Group, picker: &Picker<'_>, rng: &mut impl Rng) -> Option<Selection> {
    let home = picker.pick(&group.home, rng);
    let region = match &home {
        Some(home) if !is_slow(home, picker) => None,
        _ => picker.pick(&group.region, rng),
    };
    let (picked, members, reason) = match (home, region) {
        (Some(home), Some(region)) if region.score < home.score => {
            (region, &group.region, PlaceReason::Region)
        }
        (Some(home), _) => (home, &group.home, PlaceReason::Home),
        (None, Some(region)) => (region, &group.region, PlaceReason::Region),
        (None, None) => return None,
    };
    let is_probe = picker.state(picked.state).is_probe_due(picker.now);
    let reason = if is_probe { PlaceReason::Probe } else { reason };
    Some(Selection::new(picked.state, members, reason))
}

fn is_slow(picked: &Picked, picker: &Picker<'_>) -> bool {
    picked.score > SLOW_FACTOR * picker.typical_latency_us(picked.state)
}

/// Panic mode: if at least half of the home region's endpoints are unhealthy, selects a random one
/// that has a free slot and is not known to be unreachable.
fn find_in_panic_mode(group: &Group, picker: &Picker<'_>, rng: &mut impl Rng) -> Option<Selection> {
    let total = group.local().count();
    let healthy = group
        .local()
        .filter(|&state| picker.state(state).is_healthy(picker.now));
    if healthy.count() * 2 > total {
        return None;
    }
    let has_errors = |state: &EndpointState| state.fault() != Some(Fault::Unreachable);
    [&group.home, &group.region]
        .into_iter()
        .find_map(|members| {
            let state = picker.pick_any(members, has_errors, rng)?;
            Some(Selection::new(state, members, PlaceReason::Panic))
        })
}

fn has_healthy_endpoint(group: &Group, picker: &Picker<'_>) -> bool {
    group.local().any(|state| {
        let endpoint = picker.state(state);
        endpoint.is_healthy(picker.now) && !endpoint.is_leaving()
    })
}

fn placement_refusal(
    group: &Group,
    picker: &Picker<'_>,
    shift_refusal: Option<(Refusal, MonoTime)>,
) -> PlacementRefusal {
    let present = || {
        group
            .members()
            .filter(|&state| !picker.state(state).is_leaving())
    };
    let Some(first) = present().next() else {
        return refuse(Refusal::NoEndpoint, picker.now);
    };
    let is_healthy = |&state: &StateIndex| picker.state(state).is_healthy(picker.now);
    if group
        .local()
        .filter(|&state| !picker.state(state).is_leaving())
        .any(|s| is_healthy(&s))
    {
        return PlacementRefusal {
            reason: Refusal::Full,
            retry_at: picker.now.after(slot_wait(picker, &[first])),
        };
    }
    if let Some((reason, retry_at)) = shift_refusal {
        return PlacementRefusal { reason, retry_at };
    }
    let ends = present().map(|state| picker.state(state).ejected_until());
    PlacementRefusal {
        reason: Refusal::Unhealthy,
        retry_at: ends
            .min()
            .unwrap_or_default()
            .max(picker.now.after(MIN_SLOT_WAIT)),
    }
}

fn refuse(reason: Refusal, now: MonoTime) -> PlacementRefusal {
    PlacementRefusal {
        reason,
        retry_at: now.after(RETRY_AFTER),
    }
}

/// Estimates the time until a slot becomes free: one typical latency of the version.
fn slot_wait(picker: &Picker<'_>, members: &[StateIndex]) -> Duration {
    let typical_latency_us = members
        .first()
        .map_or(0.0, |&state| picker.typical_latency_us(state));
    Duration::from_micros(typical_latency_us as u64).clamp(MIN_SLOT_WAIT, RETRY_AFTER)
}
