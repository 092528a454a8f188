//! Share of traffic of a new version, and selection of a version for one request.

use apricotlug_model::{Move, UnixTime, VersionKey};
use rand::{Rng, RngExt};

use super::{MoveRecord, MoveState};

/// All of the traffic, in thousandths.
const FULL_SHARE_PERMILLE: u16 = 1000;

/// Returns the share of the new version in thousandths, from the latest record received.
///
/// The stage comes from the record alone, so it does not advance while no newer record arrives. The
/// share is zero without a record, and from the deadline on unless the record marks the move as
/// finished. `limit` is the maximum that [`super::Guard::limit`] allows.
#[must_use]
pub fn share(cfg: &Move, record: Option<&MoveRecord>, limit: u16, now: UnixTime) -> u16 {
    let Some(record) = record else {
        return 0;
    };
    match record.state {
        MoveState::Finished => FULL_SHARE_PERMILLE,
        MoveState::TakenBack(_) => 0,
        MoveState::Running | MoveState::Paused => {
            if cfg.deadline.is_past(now) {
                return 0;
            }
            let stage = usize::from(record.stage);
            cfg.stages.get(stage).copied().unwrap_or(0).min(limit)
        }
    }
}

/// Versions of a move and its current share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveMove {
    /// Version that the traffic leaves.
    pub from: VersionKey,
    /// Version that the traffic goes to.
    pub to: VersionKey,
    /// Fraction of the requests for `from` that go to `to`, in thousandths.
    pub share: u16,
}

/// Picks a version at random for one request that is addressed to `from`.
///
/// Moves from the same version divide its traffic in the order of `moves`; a share that exceeds the
/// rest is reduced to it. A move from the picked version is then applied in turn.
pub fn pick_version(from: VersionKey, moves: &[ActiveMove], rng: &mut impl Rng) -> VersionKey {
    let mut version = from;
    // Bounds the chain by the number of moves, so that a cycle of moves ends too.
    for _ in moves {
        match pick_next(version, moves, rng) {
            Some(next) => version = next,
            None => break,
        }
    }
    version
}

fn pick_next(from: VersionKey, moves: &[ActiveMove], rng: &mut impl Rng) -> Option<VersionKey> {
    let mut drawn = rng.random_range(0..FULL_SHARE_PERMILLE);
    for it in moves.iter().filter(|it| it.from == from) {
        if drawn < it.share {
            return Some(it.to);
        }
        drawn -= it.share;
    }
    None
}
