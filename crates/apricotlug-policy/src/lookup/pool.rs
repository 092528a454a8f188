//! Weighted choice among the instances of a data centre or region.

use std::net::SocketAddr;

use apricotlug_model::DataCentreKey;
use rand::{Rng, RngExt};

/// Random draws for another instance before the members are searched in order.
const DRAWS: usize = 4;

/// Member of a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member {
    /// Address that callers connect to.
    pub(super) addr: SocketAddr,
    /// Data centre where it runs.
    pub(super) data_centre: DataCentreKey,
    /// Weight, above zero.
    pub(super) weight: u64,
}

/// Instances with running sums of their weights.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    members: Vec<Member>,
    sums: Vec<u64>,
}

impl Pool {
    /// Adds a member.
    pub(super) fn push(&mut self, member: Member) {
        self.sums.push(self.total() + member.weight);
        self.members.push(member);
    }

    /// Tells whether the pool has no member.
    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns a random member, by weight.
    pub(super) fn draw(&self, rng: &mut impl Rng) -> Option<Member> {
        if self.is_empty() {
            return None;
        }
        let point = rng.random_range(0..self.total());
        let i = self.sums.partition_point(|sum| *sum <= point);
        self.members.get(i).copied()
    }

    /// Returns a random member that is not in `taken`, by weight, in another data centre than
    /// the first of `taken` where there is one.
    pub(super) fn draw_other(&self, taken: &[Member], rng: &mut impl Rng) -> Option<Member> {
        let is_new = |member: &Member| taken.iter().all(|other| other.addr != member.addr);
        let is_apart =
            |member: &Member| taken.len() != 1 || member.data_centre != taken[0].data_centre;
        let drawn = (0..DRAWS)
            .filter_map(|_| self.draw(rng))
            .find(|m| is_new(m) && is_apart(m));
        drawn
            .or_else(|| {
                self.members
                    .iter()
                    .copied()
                    .find(|m| is_new(m) && is_apart(m))
            })
            .or_else(|| self.members.iter().copied().find(is_new))
    }

    fn total(&self) -> u64 {
        self.sums.last().copied().unwrap_or(0)
    }
}
