//! The placement decision.

use std::time::Duration;

use apricotlug_model::{Bundle, MonoTime};
use rand::Rng;

use super::{
    engine::Placement,
    health::{EndpointState, Fault},
    index::{Group, StateIndex},
    pick::{Picked, Picker},
    request::{Choice, NoPlace, PlaceReason, Refusal, Ticket, Want},
};

/// Score over typical latency from which the home data centre's pick is compared with one of
/// the region's other data centres.
const SLOW_FACTOR: f32 = 2.0;
/// Time after which to try again where nothing tells a better one.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which a request waits for a slot of the home region before it is shifted, in
/// hundredths of the delay to the nearest other region and back.
const SHIFT_PATIENCE_PERCENT: u32 = 50;
/// Shortest time after which to try again for a slot.
const MIN_SLOT_WAIT: Duration = Duration::from_millis(1);

/// Where a request may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Locality {
    /// To the home region, while that has a healthy endpoint.
    Home,
    /// To the home region, then to others.
    Anywhere,
    /// To other regions only.
    Elsewhere,
}

/// Endpoint found, with what the decision is reported by.
struct Found {
    state: StateIndex,
    candidates: usize,
    reason: PlaceReason,
}

impl Placement {
    /// Places a request of a client of the home region, or whose region doesn't matter.
    ///
    /// # Errors
    /// Returns why there is no place and when to try again. Nothing was occupied.
    pub fn place(
        &mut self,
        bundle: &Bundle,
        want: &Want<'_>,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoPlace> {
        let found = self.find(bundle, want, Locality::Anywhere, now, rng)?;
        Ok(self.occupy(&found, false, now))
    }

    /// Places a request that may wait for a slot, and arrived at `arrived_at`. It is shifted to
    /// another region only after it has waited for about as long as a shift would cost; until
    /// then it is refused as `Full` where no slot of the home region is free.
    ///
    /// # Errors
    /// Returns why there is no place and when to try again. Nothing was occupied.
    pub fn place_or_wait(
        &mut self,
        bundle: &Bundle,
        want: &Want<'_>,
        arrived_at: MonoTime,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoPlace> {
        let locality = self.locality(arrived_at, now);
        let found = self.find(bundle, want, locality, now, rng)?;
        Ok(self.occupy(&found, false, now))
    }

    /// Places a request of a client whose home is another region. It counts against the home
    /// region's shift cap, and waits as in [`Placement::place_or_wait`].
    ///
    /// # Errors
    /// Returns why there is no place and when to try again. Nothing was occupied.
    pub fn place_shifted_in(
        &mut self,
        bundle: &Bundle,
        want: &Want<'_>,
        arrived_at: MonoTime,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoPlace> {
        let locality = match self.shifted_in < self.shifted_in_limit.at(now) {
            true => self.locality(arrived_at, now),
            false => Locality::Elsewhere,
        };
        let found = self.find(bundle, want, locality, now, rng)?;
        Ok(self.occupy(&found, true, now))
    }

    fn locality(&self, arrived_at: MonoTime, now: MonoTime) -> Locality {
        let round_trip = self.nearest_delay * 2;
        let patience = round_trip * SHIFT_PATIENCE_PERCENT / 100;
        match arrived_at.after(patience) > now {
            true => Locality::Home,
            false => Locality::Anywhere,
        }
    }

    fn find(
        &mut self,
        bundle: &Bundle,
        want: &Want<'_>,
        locality: Locality,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Result<Found, NoPlace> {
        if bundle.version != self.bundle_version {
            return Err(refuse(Refusal::OtherBundle, now));
        }
        let index = self.index.group_of(want);
        let Some(group) = index.and_then(|i| self.index.groups.get_mut(i)) else {
            return Err(refuse(Refusal::NoEndpoint, now));
        };
        let picker = Picker {
            states: &self.states,
            typical_us: &self.typical_us,
            exclude: want.exclude,
            now,
        };
        let local = match locality {
            Locality::Elsewhere => None,
            Locality::Home | Locality::Anywhere => find_local(group, &picker, rng),
        };
        let is_local_well = local.as_ref().is_some_and(|found| found.is_well(&picker));
        if !is_local_well && locality != Locality::Elsewhere {
            if !has_well_endpoint(group, &picker) {
                group.home_return.note_unusable();
            } else if locality == Locality::Home {
                return local.ok_or_else(|| no_place(group, &picker, None));
            }
        }
        let is_probe = |found: &Found| found.reason == PlaceReason::Probe;
        let is_shift_preferred = !local.as_ref().is_some_and(is_probe)
            && (!is_local_well || group.home_return.prefers_shift(now, rng));
        let local = match local {
            Some(found) if !is_shift_preferred => return Ok(found),
            local => local,
        };
        let mut barrier = None;
        for (region, members) in &group.foreign {
            let shift = &mut self.shifts[usize::from(*region)];
            let link_open_at = shift.link_open_at(now);
            if link_open_at > now {
                barrier = barrier.or(Some((Refusal::Link, link_open_at)));
                continue;
            }
            if !shift.is_below_cap(now) {
                barrier = barrier.or(Some((
                    Refusal::ShiftCap,
                    now.after(slot_wait(&picker, members)),
                )));
                continue;
            }
            let picked = picker.pick(members, rng);
            let found = picked.map(|picked| Found::new(picked.state, members, PlaceReason::Shift));
            if let Some(found) = found.filter(|found| found.is_well(&picker)) {
                return Ok(found);
            }
        }
        let spread = match locality {
            Locality::Elsewhere => None,
            Locality::Home | Locality::Anywhere => find_in_panic(group, &picker, rng),
        };
        spread
            .or(local)
            .ok_or_else(|| no_place(group, &picker, barrier))
    }

    fn occupy(&mut self, found: &Found, is_shifted_in: bool, now: MonoTime) -> Choice {
        let state = &mut self.states[found.state as usize];
        state.outstanding += 1;
        let is_local = state.region == self.home_region;
        if !is_local {
            self.shifts[usize::from(state.region)].occupy(now);
        }
        let is_shifted_in = is_shifted_in && is_local;
        self.shifted_in += u16::from(is_shifted_in);
        Choice {
            endpoint: state.key,
            ticket: Ticket {
                state: found.state,
                is_shifted_in,
            },
            candidates: found.candidates,
            reason: found.reason,
        }
    }
}

impl Found {
    fn new(state: StateIndex, members: &[StateIndex], reason: PlaceReason) -> Self {
        Self {
            state,
            candidates: members.len(),
            reason,
        }
    }

    /// Tells whether own outcomes speak for the endpoint, or the request tests it.
    fn is_well(&self, picker: &Picker<'_>) -> bool {
        let state = picker.state(self.state);
        state.is_well(picker.now) || state.is_probe_due(picker.now)
    }
}

fn find_local(group: &Group, picker: &Picker<'_>, rng: &mut impl Rng) -> Option<Found> {
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
    Some(Found::new(picked.state, members, reason))
}

fn is_slow(picked: &Picked, picker: &Picker<'_>) -> bool {
    picked.score > SLOW_FACTOR * picker.typical_us(picked.state)
}

/// Spreads over the home region's endpoints that answer with errors, where most do.
fn find_in_panic(group: &Group, picker: &Picker<'_>, rng: &mut impl Rng) -> Option<Found> {
    let total = group.local().count();
    let well = group
        .local()
        .filter(|&state| picker.state(state).is_well(picker.now));
    if well.count() * 2 > total {
        return None;
    }
    let has_errors = |state: &EndpointState| state.fault() != Some(Fault::Unreachable);
    [&group.home, &group.region]
        .into_iter()
        .find_map(|members| {
            let state = picker.pick_any(members, has_errors, rng)?;
            Some(Found::new(state, members, PlaceReason::Panic))
        })
}

fn has_well_endpoint(group: &Group, picker: &Picker<'_>) -> bool {
    group.local().any(|state| {
        let endpoint = picker.state(state);
        endpoint.is_well(picker.now) && !endpoint.is_leaving()
    })
}

fn no_place(group: &Group, picker: &Picker<'_>, barrier: Option<(Refusal, MonoTime)>) -> NoPlace {
    let present = || {
        group
            .members()
            .filter(|&state| !picker.state(state).is_leaving())
    };
    let Some(first) = present().next() else {
        return refuse(Refusal::NoEndpoint, picker.now);
    };
    let is_well = |&state: &StateIndex| picker.state(state).is_well(picker.now);
    if group
        .local()
        .filter(|&state| !picker.state(state).is_leaving())
        .any(|s| is_well(&s))
    {
        return NoPlace {
            reason: Refusal::Full,
            retry_at: picker.now.after(slot_wait(picker, &[first])),
        };
    }
    if let Some((reason, retry_at)) = barrier {
        return NoPlace { reason, retry_at };
    }
    let ends = present().map(|state| picker.state(state).ejected_until());
    NoPlace {
        reason: Refusal::Unhealthy,
        retry_at: ends
            .min()
            .unwrap_or_default()
            .max(picker.now.after(MIN_SLOT_WAIT)),
    }
}

fn refuse(reason: Refusal, now: MonoTime) -> NoPlace {
    NoPlace {
        reason,
        retry_at: now.after(RETRY_AFTER),
    }
}

/// Returns the time in which a slot is expected to come free.
fn slot_wait(picker: &Picker<'_>, members: &[StateIndex]) -> Duration {
    let typical_us = members
        .first()
        .map_or(0.0, |&state| picker.typical_us(state));
    Duration::from_micros(typical_us as u64).clamp(MIN_SLOT_WAIT, RETRY_AFTER)
}
