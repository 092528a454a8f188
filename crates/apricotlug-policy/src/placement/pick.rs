//! Power of two choices.

use apricotlug_model::{EndpointKey, MonoTime};
use rand::{Rng, RngExt};

use super::{
    health::{ASSUMED_LATENCY_US, EndpointState},
    index::StateIndex,
};

/// Random draws before the members are searched one by one.
const DRAWS: usize = 6;

/// What a pick looks at.
pub(super) struct Picker<'a> {
    /// All states.
    pub(super) states: &'a [EndpointState],
    /// Typical latency by group of the version, in microseconds.
    pub(super) typical_us: &'a [f32],
    /// Endpoints that must not be chosen.
    pub(super) exclude: &'a [EndpointKey],
    /// Point in time.
    pub(super) now: MonoTime,
}

/// Endpoint picked, with its score.
#[derive(Clone, Copy)]
pub(super) struct Picked {
    /// Index of its state.
    pub(super) state: StateIndex,
    /// Score in microseconds of load-weighted latency.
    pub(super) score: f32,
}

impl Picker<'_> {
    /// Returns the better of two random eligible members.
    pub(super) fn pick(&self, members: &[StateIndex], rng: &mut impl Rng) -> Option<Picked> {
        let mut best: Option<Picked> = None;
        let mut found = 0;
        for i in draws(members.len(), rng) {
            let state = members[i];
            if !self.is_eligible(state) || best.is_some_and(|best| best.state == state) {
                continue;
            }
            best = Some(self.better(best, state));
            found += 1;
            if found == 2 {
                break;
            }
        }
        best
    }

    /// Returns a random member with a free slot, whatever errors it answers with.
    pub(super) fn pick_any(
        &self,
        members: &[StateIndex],
        is_wanted: impl Fn(&EndpointState) -> bool,
        rng: &mut impl Rng,
    ) -> Option<StateIndex> {
        draws(members.len(), rng)
            .map(|i| members[i])
            .find(|&state| {
                let endpoint = self.state(state);
                endpoint.has_free_slot(self.now)
                    && !self.is_excluded(endpoint)
                    && is_wanted(endpoint)
            })
    }

    /// Returns an endpoint's state.
    pub(super) fn state(&self, state: StateIndex) -> &EndpointState {
        &self.states[state as usize]
    }

    /// Returns the typical latency of an endpoint's version, in microseconds.
    pub(super) fn typical_us(&self, state: StateIndex) -> f32 {
        let typical = self.typical_us[self.state(state).version];
        match typical > 0.0 {
            true => typical,
            false => ASSUMED_LATENCY_US,
        }
    }

    fn is_eligible(&self, state: StateIndex) -> bool {
        let endpoint = self.state(state);
        endpoint.is_eligible(self.now) && !self.is_excluded(endpoint)
    }

    fn is_excluded(&self, endpoint: &EndpointState) -> bool {
        self.exclude.contains(&endpoint.key)
    }

    fn better(&self, best: Option<Picked>, state: StateIndex) -> Picked {
        let score = self.state(state).score(self.typical_us(state), self.now);
        match best {
            Some(best) if best.score <= score => best,
            _ => Picked { state, score },
        }
    }
}

/// Yields a few random indices, then all indices once from a random start.
///
/// One random number serves all draws: each takes other bits of it, mixed by a multiplication.
fn draws<R: Rng>(len: usize, rng: &mut R) -> impl Iterator<Item = usize> + use<R> {
    const MIX: u64 = 0xd134_2543_de82_ef95;
    let seed: u64 = rng.random();
    let reduce = move |bits: u64| (((bits >> 32) * len as u64) >> 32) as usize;
    let random =
        (1..=DRAWS as u64).map(move |i| reduce(seed.wrapping_mul(MIX.wrapping_add(i << 1))));
    let start = reduce(seed);
    let all = (0..len).map(move |i| (start + i) % len);
    random.filter(move |_| len > 0).chain(all)
}
