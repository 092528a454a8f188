//! Weighted random selection among the instances of a data centre or region.

use std::net::SocketAddr;

use apricotlug_model::DataCentreKey;
use rand::{Rng, RngExt};

/// Maximum number of random draws for a further instance, before falling back to a linear search.
const MAX_RANDOM_DRAWS: usize = 4;

/// Instance that look-ups may list.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member {
    /// Address that callers connect to.
    pub(super) addr: SocketAddr,
    /// Data centre where it runs.
    pub(super) data_centre: DataCentreKey,
    /// Selection weight, at least 1.
    pub(super) weight: u64,
    /// Slots in use according to its last report, plus the estimated use by answers given since, in
    /// thousandths of a slot.
    pub(super) milli_slots_used: u64,
}

impl Member {
    /// Returns the load relative to the weight, in an arbitrary unit: only used for comparison.
    fn relative_load(&self) -> u64 {
        self.milli_slots_used * 1000 / self.weight
    }
}

/// Index into the directory's list of members.
pub(super) type MemberIndex = u32;

/// Members with the cumulative sums of their weights.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    members: Vec<MemberIndex>,
    cumulative_weights: Vec<u64>,
}

impl Pool {
    /// Adds a member with a weight of at least 1.
    pub(super) fn push(&mut self, index: MemberIndex, weight: u64) {
        self.cumulative_weights.push(self.total_weight() + weight);
        self.members.push(index);
    }

    /// Returns whether the pool has no members.
    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Draws two members at random by weight and returns the less loaded one, or `None` if the
    /// pool is empty.
    pub(super) fn pick(&self, members: &[Member], rng: &mut impl Rng) -> Option<MemberIndex> {
        let first = self.draw(rng)?;
        let second = self.draw(rng)?;
        let relative_load = |index: MemberIndex| members[index as usize].relative_load();
        Some(if relative_load(second) < relative_load(first) {
            second
        } else {
            first
        })
    }

    /// Returns a member that is not in `selected`, drawn at random by weight, or `None` if there is
    /// none. The member that follows the first comes from a different data centre if possible.
    pub(super) fn pick_another(
        &self,
        members: &[Member],
        selected: &[MemberIndex],
        rng: &mut impl Rng,
    ) -> Option<MemberIndex> {
        let data_centre = |index: MemberIndex| members[index as usize].data_centre;
        let is_unselected = |index: &MemberIndex| !selected.contains(index);
        let meets_spread_rule = |index: &MemberIndex| match selected {
            [first] => data_centre(*first) != data_centre(*index),
            _ => true,
        };
        let mut drawn = (0..MAX_RANDOM_DRAWS).filter_map(|_| self.draw(rng));
        let in_order = || self.members.iter().copied();
        drawn
            .find(|index| is_unselected(index) && meets_spread_rule(index))
            .or_else(|| in_order().find(|index| is_unselected(index) && meets_spread_rule(index)))
            .or_else(|| in_order().find(is_unselected))
    }

    fn draw(&self, rng: &mut impl Rng) -> Option<MemberIndex> {
        if self.is_empty() {
            return None;
        }
        let point = rng.random_range(0..self.total_weight());
        let i = self
            .cumulative_weights
            .partition_point(|cumulative| *cumulative <= point);
        self.members.get(i).copied()
    }

    fn total_weight(&self) -> u64 {
        self.cumulative_weights.last().copied().unwrap_or(0)
    }
}
