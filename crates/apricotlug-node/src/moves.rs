//! Advances version moves: every instance reports what it counted, the leader of moves decides by
//! all reports and writes the record, and everybody follows the record.

use std::{sync::Arc, time::Duration};

use apricotlug_edge::{MoveView, Shared};
use apricotlug_model::UnixTime;
use apricotlug_peer::{NamedRecord, PeerHandle, State};
use apricotlug_platform::{Client, Error, Leadership, MoveStore, StoredMove, Swap};
use apricotlug_policy::moves::{MoveId, MoveRecord, MoveRecordWire, MoveState, advance};
use async_std::task;

use crate::messages::{self, Message};

/// Pause between two steps.
const PERIOD: Duration = Duration::from_millis(500);

/// Lease of the leadership of moves.
const LEADERSHIP: Duration = Duration::from_secs(5);

/// Time left of the leadership from which on it is renewed.
const RENEW_BEFORE: Duration = Duration::from_secs(3);

/// Prefix of the names under which records travel between instances.
const RECORD_PREFIX: &str = "moves/";

/// Name of the leadership of moves.
const LEADER_NAME: &str = "moves";

/// Keeps the moves going.
#[derive(Clone, Debug)]
pub struct MoveKeeper {
    /// State of the instance.
    pub shared: Arc<Shared>,
    /// Peer node.
    pub peers: PeerHandle,
    /// Client of the platform.
    pub client: Client,
}

/// Why a step on a move failed.
#[derive(Debug, thiserror::Error)]
pub enum MoveError {
    /// The platform could not be asked.
    #[error(transparent)]
    Platform(#[from] Error),
    /// A record is malformed.
    #[error("malformed record of a move: {0}")]
    Malformed(String),
    /// Another writer was first.
    #[error("another writer changed the move first")]
    Conflict,
}

impl MoveKeeper {
    /// Keeps the moves going for ever.
    pub async fn keep(self) {
        let mut leadership = None;
        loop {
            task::sleep(PERIOD).await;
            self.follow_records();
            let views = self.views();
            if views.is_empty() {
                continue;
            }
            let is_leader = self.report().await;
            if is_leader && let Err(e) = self.lead(&mut leadership, &views).await {
                tracing::warn!(error = %e, "moves not advanced");
            }
        }
    }

    /// Returns the moves as this instance sees them.
    #[must_use]
    pub fn views(&self) -> Vec<MoveView> {
        let (now, unix) = (self.shared.clock.now(), self.shared.clock.unix());
        self.shared.board.views(now, unix)
    }

    fn follow_records(&self) {
        for (name, record) in self.peers.records().iter() {
            if !name.starts_with(RECORD_PREFIX) {
                continue;
            }
            match decode(&record.bytes) {
                Ok(record) => self.shared.board.set_record(record),
                Err(e) => tracing::warn!(error = %e, "record from a peer refused"),
            }
        }
    }

    /// Sends the own reports to the leader. Returns whether this instance is the leader: the
    /// first by name of all live instances.
    async fn report(&self) -> bool {
        let now = self.shared.clock.now();
        let own = &self.shared.identity;
        let reports = self.shared.board.reports(now);
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

    async fn lead(
        &self,
        leadership: &mut Option<Leadership>,
        views: &[MoveView],
    ) -> Result<(), MoveError> {
        self.hold(leadership).await?;
        let now = self.client.now();
        let Some(leadership) = leadership.as_ref().filter(|held| held.is_held(now)) else {
            return Ok(());
        };
        let fencing = u64::try_from(leadership.fencing()).unwrap_or(0);
        let members = self.peers.members();
        let alive = members
            .iter()
            .filter(|member| member.state == State::Ready)
            .count();
        let alive = u16::try_from(alive).unwrap_or(u16::MAX);
        for view in views {
            if view
                .record
                .as_ref()
                .is_some_and(|record| record.state.is_final())
            {
                continue;
            }
            let now = self.shared.clock.now();
            let Some(summary) = self.shared.board.judge_all(&view.id, alive, now) else {
                continue;
            };
            let unix = self.shared.clock.unix();
            let Some(record) = &view.record else {
                self.begin(view, leadership, unix).await?;
                continue;
            };
            if let Some(next) = advance(&view.cfg, record, summary, fencing, unix) {
                let stored = self.store().read(&view.id).await?;
                match &stored {
                    // A write whose answer was lost, or an operator's, has not arrived here yet.
                    Some(stored) if stored.record != *record => {
                        self.publish(&stored.record).await?;
                    }
                    _ => self.write(stored.as_ref(), &next, leadership).await?,
                }
            }
        }
        Ok(())
    }

    /// Takes up a record that stands in the platform, or begins the move.
    async fn begin(
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

    /// Renews the leadership of moves, or acquires it where nobody holds it.
    async fn hold(&self, leadership: &mut Option<Leadership>) -> Result<(), MoveError> {
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
                .acquire(LEADER_NAME, &holder, LEADERSHIP)
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
        self.shared.board.set_record(record.clone());
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
            tracing::warn!(error = %e, "record of a move not published");
        }
        Ok(())
    }

    /// Changes a move by an operator's wish. Returns whether anything was changed.
    ///
    /// # Errors
    /// Returns an error where the platform cannot be asked or another writer was first.
    pub async fn change(&self, id: &MoveId, state: MoveState) -> Result<bool, MoveError> {
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
