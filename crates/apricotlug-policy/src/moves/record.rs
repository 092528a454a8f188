//! Record of a move, stored in the platform's key-value store and exchanged between instances.

use apricotlug_model::UnixTime;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identity of a move. A retried move has another deadline, so it is a different move.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MoveId {
    /// Id of the service.
    pub service: String,
    /// Id of the version that the traffic goes to.
    pub version: String,
    /// Time by which the move must be finished.
    pub deadline: UnixTime,
}

/// Reason for which a move was taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TakeBackReason {
    /// The move was not finished at its deadline.
    Deadline,
    /// The evidence is conclusive against the new version.
    Fault,
    /// An operator took the move back.
    Operator,
}

/// State of a move; serialized in kebab case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveState {
    /// Advancing stage by stage.
    Running,
    /// Held at its stage by an operator.
    Paused,
    /// All traffic is back at the old version.
    TakenBack(TakeBackReason),
    /// All traffic is at the new version.
    Finished,
}

impl MoveState {
    /// Returns whether no other state can follow.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::TakenBack(_) | Self::Finished)
    }
}

/// State of a move as written by its leader or an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveRecord {
    /// Move that the record belongs to.
    pub id: MoveId,
    /// State as of this record.
    pub state: MoveState,
    /// Index into the move's stages, from 0.
    pub stage: u16,
    /// Time at which the move began.
    pub started_at: UnixTime,
    /// Time at which the stage was entered or the state last changed.
    pub stage_since: UnixTime,
    /// Fencing number of the leadership under which the record was written.
    pub fencing: u64,
    /// Sequence number of the record: 1 for the first, one higher with each write.
    pub sequence: u64,
}

impl MoveRecord {
    /// Returns the first record of a move, which begins at `now` in its first stage.
    #[must_use]
    pub fn begin(id: MoveId, fencing: u64, now: UnixTime) -> Self {
        Self {
            id,
            state: MoveState::Running,
            stage: 0,
            started_at: now,
            stage_since: now,
            fencing,
            sequence: 1,
        }
    }

    /// Returns the next record, with another state, or `None` if the state would not change, is
    /// final already, or `fencing` is lower than the record's. Serves operators' pause, resume and
    /// take-back requests as well.
    #[must_use]
    pub fn with_state(&self, state: MoveState, fencing: u64, now: UnixTime) -> Option<Self> {
        if self.state.is_final() || self.state == state || fencing < self.fencing {
            return None;
        }
        Some(Self {
            state,
            stage_since: now,
            fencing,
            sequence: self.sequence + 1,
            ..self.clone()
        })
    }

    /// Returns the next record, one stage further. Does not check that the stage exists.
    #[must_use]
    pub(super) fn next_stage(&self, fencing: u64, now: UnixTime) -> Self {
        Self {
            stage: self.stage + 1,
            stage_since: now,
            fencing,
            sequence: self.sequence + 1,
            ..self.clone()
        }
    }

    /// Returns whether `next` is the direct successor of this record, written under the same
    /// leadership or a later one.
    #[must_use]
    pub fn is_followed_by(&self, next: &Self) -> bool {
        self.id == next.id
            && !self.state.is_final()
            && self.sequence + 1 == next.sequence
            && self.fencing <= next.fencing
    }

    /// Returns whether `other` is a newer record of the same move, whatever its source.
    #[must_use]
    pub fn is_superseded_by(&self, other: &Self) -> bool {
        self.id == other.id && self.sequence < other.sequence
    }
}

/// Serialized form of a [`MoveRecord`]; not validated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRecordWire {
    id: MoveId,
    state: MoveState,
    stage: u16,
    started_at: UnixTime,
    stage_since: UnixTime,
    fencing: u64,
    sequence: u64,
}

/// Error in a serialized record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The current stage began before the move.
    #[error("stage_since is earlier than started_at; delete the record and start the move again")]
    TimesOutOfOrder,
    /// The sequence number is zero.
    #[error(
        "sequence is 0, but records are numbered from 1; delete the record and start the move again"
    )]
    ZeroSequence,
}

impl From<MoveRecord> for MoveRecordWire {
    fn from(record: MoveRecord) -> Self {
        Self {
            id: record.id,
            state: record.state,
            stage: record.stage,
            started_at: record.started_at,
            stage_since: record.stage_since,
            fencing: record.fencing,
            sequence: record.sequence,
        }
    }
}

impl TryFrom<MoveRecordWire> for MoveRecord {
    type Error = RecordError;

    fn try_from(wire: MoveRecordWire) -> Result<Self, RecordError> {
        if wire.stage_since < wire.started_at {
            return Err(RecordError::TimesOutOfOrder);
        }
        if wire.sequence == 0 {
            return Err(RecordError::ZeroSequence);
        }
        Ok(Self {
            id: wire.id,
            state: wire.state,
            stage: wire.stage,
            started_at: wire.started_at,
            stage_since: wire.stage_since,
            fencing: wire.fencing,
            sequence: wire.sequence,
        })
    }
}
