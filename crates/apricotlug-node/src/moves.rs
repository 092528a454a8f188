//! Advances version moves: every instance reports the results it counted, the leader of moves
//! judges all reports and writes the move's record, and all instances apply the record.

use std::{sync::Arc, time::Duration};

use apricotlug_edge::{MoveView, Shared};
use apricotlug_model::UnixTime;
use apricotlug_peer::{NamedRecord, PeerHandle, State};
use apricotlug_platform::{Client, Error, Leadership, MoveStore, StoredMove, Swap};
use apricotlug_policy::moves::{MoveId, MoveRecord, MoveRecordWire, MoveState, advance};
use async_std::task;

use crate::messages::{self, Message};

/// Pause between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Lease time of the leadership of moves.
const LEADERSHIP_LEASE: Duration = Duration::from_secs(5);

/// Remaining lease time below which the leadership is renewed.
const RENEW_BEFORE: Duration = Duration::from_secs(3);

/// Prefix of the names of move records that are published to the peers.
const RECORD_PREFIX: &str = "moves/";

/// Name of the leadership of moves in the platform.
const LEADER_NAME: &str = "moves";

/// Task that advances the version moves.
#[derive(Clone, Debug)]
pub struct MoveAdvancer {
    /// State shared by all tasks of the instance.
    pub shared: Arc<Shared>,
    /// Handle of the peer node.
    pub peers: PeerHandle,
    /// Client for calls to the platform.
    pub client: Client,
}

/// Failure to read or write the record of a move.
#[derive(Debug, thiserror::Error)]
pub enum MoveError {
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] Error),
    /// The record could not be encoded or decoded.
    #[error("malformed move record: {0}")]
    Malformed(String),
    /// Another writer changed the record first, or the write was superseded.
    #[error("another writer changed the move first")]
    Conflict,
}

impl MoveAdvancer {
    /// Applies records, reports results and, as the leader, advances the moves, in an endless loop.
    pub async fn run(self) {
        let mut leadership = None;
        loop {
            task::sleep(ROUND_INTERVAL).await;
            self.apply_peer_records();
            let views = self.views();
            if views.is_empty() {
                continue;
            }
            let is_leader = self.send_reports().await;
            if is_leader && let Err(e) = self.advance_moves(&mut leadership, &views).await {
                tracing::warn!(error = %e, "cannot advance version moves");
            }
        }
    }

    /// Returns the version moves as this instance sees them.
    #[must_use]
    pub fn views(&self) -> Vec<MoveView> {
        let (now, unix) = (self.shared.clock.now(), self.shared.clock.unix());
        self.shared.moves.views(now, unix)
    }

    fn apply_peer_records(&self) {
        for (name, record) in self.peers.records().iter() {
            if !name.starts_with(RECORD_PREFIX) {
                continue;
            }
            match decode(&record.bytes) {
                Ok(record) => self.shared.moves.set_record(record),
                Err(e) => tracing::warn!(error = %e, "move record from a peer refused"),
            }
        }
    }

    /// Sends this instance's reports to the leader: the first by name of the ready instances.
    /// Returns whether this instance is the leader.
    async fn send_reports(&self) -> bool {
        let now = self.shared.clock.now();
        let own = &self.shared.identity;
        let reports = self.shared.moves.reports(now);
        let members = self.peers.members();
        let live = members.iter().filter(|member| member.state == State::Ready);
        let leader = live.map(|member| &member.record.id).min();
        let Some(leader) = leader.filter(|leader| *leader < own) else {
            return true;
        };
        for (id, report) in reports {
            let message = Message::Evidence(id, report);
            messages::send(&self.shared, &self.peers, leader, &message).await;
        }
        false
    }

    async fn advance_moves(
        &self,
        leadership: &mut Option<Leadership>,
        views: &[MoveView],
    ) -> Result<(), MoveError> {
        self.ensure_leadership(leadership).await?;
        let now = self.client.now();
        let Some(leadership) = leadership.as_ref().filter(|held| held.is_held(now)) else {
            return Ok(());
        };
        let fencing = u64::try_from(leadership.fencing()).unwrap_or(0);
        let members = self.peers.members();
        let ready_count = members
            .iter()
            .filter(|member| member.state == State::Ready)
            .count();
        let ready_count = u16::try_from(ready_count).unwrap_or(u16::MAX);
        for view in views {
            if view
                .record
                .as_ref()
                .is_some_and(|record| record.state.is_final())
            {
                continue;
            }
            let now = self.shared.clock.now();
            let Some(summary) = self.shared.moves.evaluate_fleet(&view.id, ready_count, now) else {
                continue;
            };
            let unix = self.shared.clock.unix();
            let Some(record) = &view.record else {
                self.publish_or_begin(view, leadership, unix).await?;
                continue;
            };
            if let Some(next) = advance(&view.cfg, record, summary, fencing, unix) {
                let stored = self.store().read(&view.id).await?;
                match &stored {
                    // The platform holds a newer record: an operator's, or an own write whose
                    // answer was lost.
                    Some(stored) if stored.record != *record => {
                        self.publish(&stored.record).await?;
                    }
                    _ => self.write(stored.as_ref(), &next, leadership).await?,
                }
            }
        }
        Ok(())
    }

    /// Publishes the record that the platform holds already; without one, begins the move unless
    /// its deadline is past.
    async fn publish_or_begin(
        &self,
        view: &MoveView,
        leadership: &Leadership,
        now: UnixTime,
    ) -> Result<(), MoveError> {
        if let Some(stored) = self.store().read(&view.id).await? {
            return self.publish(&stored.record).await;
        }
        if view.cfg.deadline.is_past(now) {
            return Ok(());
        }
        let fencing = u64::try_from(leadership.fencing()).unwrap_or(0);
        let first = MoveRecord::begin(view.id.clone(), fencing, now);
        self.write(None, &first, leadership).await
    }

    /// Renews the leadership of moves, or acquires it where no instance holds it.
    async fn ensure_leadership(
        &self,
        leadership: &mut Option<Leadership>,
    ) -> Result<(), MoveError> {
        if let Some(held) = leadership
            && held.deadline().since(self.client.now()) < RENEW_BEFORE
            && self.client.renew(held).await.is_err()
            && !held.is_held(self.client.now())
        {
            *leadership = None;
        }
        if leadership.is_none() {
            let holder = self.shared.identity.to_string();
            *leadership = self
                .client
                .acquire(LEADER_NAME, &holder, LEADERSHIP_LEASE)
                .await?;
        }
        Ok(())
    }

    fn store(&self) -> MoveStore {
        MoveStore::new(self.client.clone())
    }

    async fn write(
        &self,
        expected: Option<&StoredMove>,
        record: &MoveRecord,
        leadership: &Leadership,
    ) -> Result<(), MoveError> {
        match self.store().write(expected, record, leadership).await? {
            Swap::Written {
                is_superseded: false,
                ..
            } => self.publish(record).await,
            _ => Err(MoveError::Conflict),
        }
    }

    async fn publish(&self, record: &MoveRecord) -> Result<(), MoveError> {
        self.shared.moves.set_record(record.clone());
        let id = &record.id;
        let record = NamedRecord {
            name: format!(
                "{RECORD_PREFIX}{}/{}/{}",
                id.service, id.version, id.deadline.0
            ),
            version: record.sequence,
            bytes: encode(record)?.into(),
        };
        if let Err(e) = self.peers.publish_record(record).await {
            tracing::warn!(error = %e, "move record not published to the peers");
        }
        Ok(())
    }

    /// Sets the state of a move on behalf of an operator. Returns whether the record was changed.
    ///
    /// # Errors
    /// Returns an error where a call to the platform fails, the record is malformed or another
    /// writer changed it first.
    pub async fn set_state(&self, id: &MoveId, state: MoveState) -> Result<bool, MoveError> {
        let Some(stored) = self.store().read(id).await? else {
            return Ok(false);
        };
        let now = self.shared.clock.unix();
        match self.store().set_state(&stored, state, now).await? {
            None => return Ok(false),
            Some(Swap::Written { .. }) => {}
            Some(_) => return Err(MoveError::Conflict),
        }
        if let Some(stored) = self.store().read(id).await? {
            self.publish(&stored.record).await?;
        }
        Ok(true)
    }
}

fn encode(record: &MoveRecord) -> Result<Vec<u8>, MoveError> {
    let wire = MoveRecordWire::from(record.clone());
    serde_json::to_vec(&wire).map_err(|e| MoveError::Malformed(e.to_string()))
}

fn decode(bytes: &[u8]) -> Result<MoveRecord, MoveError> {
    let malformed = |e: &dyn std::fmt::Display| MoveError::Malformed(e.to_string());
    let wire: MoveRecordWire = serde_json::from_slice(bytes).map_err(|e| malformed(&e))?;
    MoveRecord::try_from(wire).map_err(|e| malformed(&e))
}
