//! Choice among the instances of a data centre or region.

use std::net::SocketAddr;

use apricotlug_model::DataCentreKey;
use rand::{Rng, RngExt};

/// Random draws for another instance before the members are searched in order.
const DRAWS: usize = 4;

/// Instance that look-ups may name.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member {
    /// Address that callers connect to.
    pub(super) addr: SocketAddr,
    /// Data centre where it runs.
    pub(super) data_centre: DataCentreKey,
    /// Weight, above zero.
    pub(super) weight: u64,
    /// Slots in use by its last word, and by answers given since, in thousandths.
    pub(super) milli_slots_used: u64,
}

impl Member {
    /// Returns the load relative to the weight. Only the order matters.
    fn load(&self) -> u64 {
        self.milli_slots_used * 1000 / self.weight
    }
}

/// Index of a member.
pub(super) type MemberIndex = u32;

/// Members with running sums of their weights.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    members: Vec<MemberIndex>,
    sums: Vec<u64>,
}

impl Pool {
    /// Adds a member.
    pub(super) fn push(&mut self, index: MemberIndex, weight: u64) {
        self.sums.push(self.total() + weight);
        self.members.push(index);
    }

    /// Tells whether the pool has no member.
    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the less loaded of two members drawn by weight.
    pub(super) fn pick(&self, members: &[Member], rng: &mut impl Rng) -> Option<MemberIndex> {
        let one = self.draw(rng)?;
        let other = self.draw(rng)?;
        let load = |index: MemberIndex| members[index as usize].load();
        Some(if load(other) < load(one) { other } else { one })
    }

    /// Returns a member that is not in `taken`, drawn by weight, in another data centre than the
    /// first of `taken` where there is one.
    pub(super) fn draw_other(
        &self,
        members: &[Member],
        taken: &[MemberIndex],
        rng: &mut impl Rng,
    ) -> Option<MemberIndex> {
        let data_centre = |index: MemberIndex| members[index as usize].data_centre;
        let is_new = |index: &MemberIndex| !taken.contains(index);
        let is_apart = |index: &MemberIndex| match taken {
            [first] => data_centre(*first) != data_centre(*index),
            _ => true,
        };
        let mut drawn = (0..DRAWS).filter_map(|_| self.draw(rng));
        let all = || self.members.iter().copied();
        drawn
            .find(|index| is_new(index) && is_apart(index))
            .or_else(|| all().find(|index| is_new(index) && is_apart(index)))
            .or_else(|| all().find(is_new))
    }

    fn draw(&self, rng: &mut impl Rng) -> Option<MemberIndex> {
        if self.is_empty() {
            return None;
        }
        let point = rng.random_range(0..self.total());
        let i = self.sums.partition_point(|sum| *sum <= point);
        self.members.get(i).copied()
    }

    fn total(&self) -> u64 {
        self.sums.last().copied().unwrap_or(0)
    }
}
