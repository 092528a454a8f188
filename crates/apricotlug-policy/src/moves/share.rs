//! Share of a new version, and the choice of a version for one request.

use apricotlug_model::{Move, UnixTime, VersionKey};
use rand::{Rng, RngExt};

use super::{MoveRecord, MoveState};

/// Shares are in thousandths.
const WHOLE: u16 = 1000;

/// Returns the share of the new version in thousandths, from the latest record that has arrived.
///
/// It follows the record alone, so without news it never grows; from the deadline on it is zero
/// unless the record says that the move is finished. `limit` is what [`super::Guard::limit`] allows.
#[must_use]
pub fn share(cfg: &Move, record: Option<&MoveRecord>, limit: u16, now: UnixTime) -> u16 {
    let Some(record) = record else {
        return 0;
    };
    match record.state {
        MoveState::Finished => WHOLE,
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

/// Move with its present share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveMove {
    /// Version that the traffic leaves.
    pub from: VersionKey,
    /// Version that the traffic goes to.
    pub to: VersionKey,
    /// Share of `to` in what reaches `from`, in thousandths.
    pub share: u16,
}

/// Chooses the version for one request that starts out for `from`.
///
/// Moves from the same version share its traffic, the first ones first, and never get more than
/// all of it together; a move from a chosen version applies in turn.
pub fn pick_version(from: VersionKey, moves: &[ActiveMove], rng: &mut impl Rng) -> VersionKey {
    let mut version = from;
    // A chain has at most as many links as there are moves, also where moves form a ring.
    for _ in moves {
        match pick_next(version, moves, rng) {
            Some(next) => version = next,
            None => break,
        }
    }
    version
}

fn pick_next(from: VersionKey, moves: &[ActiveMove], rng: &mut impl Rng) -> Option<VersionKey> {
    let mut drawn = rng.random_range(0..WHOLE);
    for it in moves.iter().filter(|it| it.from == from) {
        if drawn < it.share {
            return Some(it.to);
        }
        drawn -= it.share;
    }
    None
}
