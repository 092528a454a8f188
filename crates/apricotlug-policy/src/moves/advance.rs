//! Advance of a move by the instance that leads it.

use std::time::Duration;

use apricotlug_model::{Move, UnixTime};

use super::{MoveRecord, MoveState, TakeBackReason};

/// Shortest time in a stage: longer than reports and records take to arrive everywhere.
pub const MIN_DWELL: Duration = Duration::from_secs(10);

/// Time before the deadline from which a move is not finished any more: clocks differ.
pub const FINISH_MARGIN: Duration = Duration::from_secs(5);

/// Part of the time up to the deadline that the plan leaves in reserve, as a divisor.
const RESERVE_DIVISOR: u32 = 5;

/// Largest share of a probe stage, in thousandths.
const PROBE_SHARE: u16 = 10;

/// Weight of a probe stage in the plan, where another stage has 1.
const PROBE_WEIGHT: u32 = 4;

/// What the leader knows about a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Whether the evidence of all instances, or a cut by one of them, speaks against the version.
    pub is_faulty: bool,
    /// Whether the evidence leans against the version without being conclusive.
    pub is_suspect: bool,
    /// Instances with a recent report.
    pub reporting: u16,
    /// Instances that are alive as far as the leader knows.
    pub alive: u16,
}

/// Returns the record that follows, or `None` where nothing changes. The caller writes it by
/// compare-and-swap under its leadership with that fencing number.
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
    let is_informed = summary.reporting * 2 > summary.alive;
    let may_grow = record.state == MoveState::Running && is_informed && !summary.is_suspect;
    if !may_grow || stage_due(cfg, record) > now {
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

/// Returns the point at which the record's stage should end: the time that is left up to the
/// planned end is divided among the stages that are left, most of it to the probe stages.
#[must_use]
pub fn stage_due(cfg: &Move, record: &MoveRecord) -> UnixTime {
    let window = cfg.deadline.since(record.started_at);
    let planned_end = cfg.deadline.before(window / RESERVE_DIVISOR);
    let left = planned_end.since(record.stage_since);
    let stages = cfg.stages.get(usize::from(record.stage)..).unwrap_or(&[]);
    let weights = stages.iter().map(|share| weight(*share));
    let all = weights.clone().sum::<u32>().max(1);
    let own = weights.clone().next().unwrap_or(1);
    record.stage_since.after((left * own / all).max(MIN_DWELL))
}

fn weight(share: u16) -> u32 {
    if share <= PROBE_SHARE {
        return PROBE_WEIGHT;
    }
    1
}
