//! Endpoint selection by power of two random choices.

use apricotlug_model::{EndpointKey, MonoTime};
use rand::{Rng, RngExt};

use super::{
    health::{ASSUMED_LATENCY_US, EndpointState},
    index::StateIndex,
};

/// Number of random draws before all members are scanned in order.
const RANDOM_DRAWS: usize = 6;

/// Inputs of a pick.
pub(super) struct Picker<'a> {
    /// States of all endpoints.
    pub(super) states: &'a [EndpointState],
    /// Typical latency by version, in microseconds; zero where none was measured.
    pub(super) typical_latency_us: &'a [f32],
    /// Endpoints that must not be chosen.
    pub(super) exclude: &'a [EndpointKey],
    /// Time of the decision.
    pub(super) now: MonoTime,
}

/// Picked endpoint with its score.
#[derive(Clone, Copy)]
pub(super) struct Picked {
    /// Index of the endpoint's state.
    pub(super) state: StateIndex,
    /// Load-weighted latency in microseconds; lower is better.
    pub(super) score: f32,
}

impl Picker<'_> {
    /// Returns the better of two random eligible members.
    pub(super) fn pick(&self, members: &[StateIndex], rng: &mut impl Rng) -> Option<Picked> {
        let mut best: Option<Picked> = None;
        let mut eligible = 0;
        for i in draw_indices(members.len(), rng) {
            let state = members[i];
            if !self.is_eligible(state) || best.is_some_and(|best| best.state == state) {
                continue;
            }
            best = Some(self.better(best, state));
            eligible += 1;
            if eligible == 2 {
                break;
            }
        }
        best
    }

    /// Returns a random member with a free slot for which `is_wanted` holds, ejected or not.
    pub(super) fn pick_any(
        &self,
        members: &[StateIndex],
        is_wanted: impl Fn(&EndpointState) -> bool,
        rng: &mut impl Rng,
    ) -> Option<StateIndex> {
        draw_indices(members.len(), rng)
            .map(|i| members[i])
            .find(|&state| {
                let endpoint = self.state(state);
                endpoint.has_free_slot(self.now)
                    && !self.is_excluded(endpoint)
                    && is_wanted(endpoint)
            })
    }

    /// Returns the state with the given index.
    pub(super) fn state(&self, state: StateIndex) -> &EndpointState {
        &self.states[state as usize]
    }

    /// Returns the typical latency of an endpoint's version in microseconds, or
    /// `ASSUMED_LATENCY_US` where none was measured.
    pub(super) fn typical_latency_us(&self, state: StateIndex) -> f32 {
        let typical = self.typical_latency_us[self.state(state).version];
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
        let score = self
            .state(state)
            .score(self.typical_latency_us(state), self.now);
        match best {
            Some(best) if best.score <= score => best,
            _ => Picked { state, score },
        }
    }
}

/// Yields `RANDOM_DRAWS` random indices below `len`, then every index once from a random start.
///
/// All draws derive from one random number: each multiplies it by a different odd factor.
fn draw_indices<R: Rng>(len: usize, rng: &mut R) -> impl Iterator<Item = usize> + use<R> {
    const MIX: u64 = 0xd134_2543_de82_ef95;
    let seed: u64 = rng.random();
    let reduce = move |bits: u64| (((bits >> 32) * len as u64) >> 32) as usize;
    let random =
        (1..=RANDOM_DRAWS as u64).map(move |i| reduce(seed.wrapping_mul(MIX.wrapping_add(i << 1))));
    let start = reduce(seed);
    let all = (0..len).map(move |i| (start + i) % len);
    random.filter(move |_| len > 0).chain(all)
}
