//! Decides, in the instance that leads a move, when the move enters its next state.

use std::time::Duration;

use apricotlug_model::{Move, UnixTime};

use super::{MoveRecord, MoveState, TakeBackReason};

/// Minimum time in a stage: longer than reports and records take to reach every instance.
pub const MIN_DWELL: Duration = Duration::from_secs(10);

/// Time before the deadline within which a move is no longer marked as finished, because the
/// clocks of instances differ.
pub const FINISH_MARGIN: Duration = Duration::from_secs(5);

/// Divisor of the time from the start to the deadline that gives the time kept in reserve.
const RESERVE_DIVISOR: u32 = 5;

/// Largest share of a probe stage, in thousandths. Stages above it are ordinary stages.
const MAX_PROBE_SHARE_PERMILLE: u16 = 10;

/// Weight of a probe stage when the remaining time is divided; an ordinary stage has weight 1.
const PROBE_WEIGHT: u32 = 4;

/// Evidence about a move, as known to the instance that leads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Whether the evidence of all instances is conclusive against the new version, or one of them
    /// has cut its share.
    pub is_faulty: bool,
    /// Whether the evidence points against the new version, conclusive or not. The move does not
    /// advance meanwhile.
    pub is_suspect: bool,
    /// Number of instances with a recent report.
    pub reporting: u16,
    /// Number of live instances according to the leader's membership list.
    pub alive: u16,
}

/// Returns the next record of a move, or `None` if nothing changes. `fencing` is the fencing number
/// of the caller's leadership; the caller writes the record by compare-and-swap under it.
#[must_use]
pub fn advance(
    cfg: &Move,
    record: &MoveRecord,
    summary: Summary,
    fencing: u64,
    now: UnixTime,
) -> Option<MoveRecord> {
    if record.state.is_final() || fencing < record.fencing {
        return None;
    }
    let take_back = |reason| record.with_state(MoveState::TakenBack(reason), fencing, now);
    if cfg.deadline.is_past(now) {
        return take_back(TakeBackReason::Deadline);
    }
    if summary.is_faulty {
        return take_back(TakeBackReason::Fault);
    }
    let has_majority = summary.reporting * 2 > summary.alive;
    let may_advance = record.state == MoveState::Running && has_majority && !summary.is_suspect;
    if !may_advance || stage_due(cfg, record) > now {
        return None;
    }
    if usize::from(record.stage) + 1 < cfg.stages.len() {
        return Some(record.next_stage(fencing, now));
    }
    if cfg.deadline.before(FINISH_MARGIN).is_past(now) {
        return None;
    }
    record.with_state(MoveState::Finished, fencing, now)
}

/// Returns the time at which the record's stage is due to end. The time remaining until the planned
/// end is divided among the remaining stages by weight; probe stages get more of it than others.
#[must_use]
pub fn stage_due(cfg: &Move, record: &MoveRecord) -> UnixTime {
    let total = cfg.deadline.since(record.started_at);
    let planned_end = cfg.deadline.before(total / RESERVE_DIVISOR);
    let remaining = planned_end.since(record.stage_since);
    let stages = cfg.stages.get(usize::from(record.stage)..).unwrap_or(&[]);
    let weights = stages.iter().map(|share| weight(*share));
    let total_weight = weights.clone().sum::<u32>().max(1);
    let own_weight = weights.clone().next().unwrap_or(1);
    record
        .stage_since
        .after((remaining * own_weight / total_weight).max(MIN_DWELL))
}

fn weight(share: u16) -> u32 {
    if share <= MAX_PROBE_SHARE_PERMILLE {
        return PROBE_WEIGHT;
    }
    1
}
