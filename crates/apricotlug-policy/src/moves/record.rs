//! Record of a move, kept in the platform and passed between instances.

use apricotlug_model::UnixTime;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identity of a move. A move that is tried again has another deadline.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MoveId {
    /// Id of the service.
    pub service: String,
    /// Id of the version that the traffic goes to.
    pub version: String,
    /// Point by which the move must be finished.
    pub deadline: UnixTime,
}

/// Why a move was taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TakeBackReason {
    /// It was not finished at its deadline.
    Deadline,
    /// The evidence speaks against the version.
    Fault,
    /// An operator took it back.
    Operator,
}

/// State of a move.
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
    /// Tells whether the state is final.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::TakenBack(_) | Self::Finished)
    }
}

/// Record of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveRecord {
    /// Identity.
    pub id: MoveId,
    /// State.
    pub state: MoveState,
    /// Index into the move's stages.
    pub stage: u16,
    /// Point at which the move began.
    pub started_at: UnixTime,
    /// Point at which the stage was entered.
    pub stage_since: UnixTime,
    /// Fencing number of the leadership under which the record was written.
    pub fencing: u64,
    /// Number of the record; it rises by one with each write.
    pub sequence: u64,
}

impl MoveRecord {
    /// Returns the record of a move that begins now at its first stage.
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

    /// Returns the record with another state, or `None` where that changes nothing or the state
    /// is final. Operators pause, resume and take back by it.
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

    /// Returns the record one stage on.
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

    /// Tells whether a record is the next one after this one, written under the same leadership or
    /// a later one.
    #[must_use]
    pub fn is_followed_by(&self, next: &Self) -> bool {
        self.id == next.id
            && !self.state.is_final()
            && self.sequence + 1 == next.sequence
            && self.fencing <= next.fencing
    }

    /// Tells whether a record that arrived by any way replaces this one.
    #[must_use]
    pub fn is_replaced_by(&self, other: &Self) -> bool {
        self.id == other.id && self.sequence < other.sequence
    }
}

/// Stored form of a record.
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

/// Why a stored record was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// Times are out of order.
    #[error("the stage began before the move; delete the record and start the move again")]
    TimesOutOfOrder,
    /// The number is zero.
    #[error("record number 0 is never written; delete the record and start the move again")]
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
