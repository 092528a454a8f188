//! Leader of all version moves: begins, advances, finishes and takes back over the platform.

use std::time::Duration;

use apricotlug_model::{MonoTime, Move, UnixTime};
use apricotlug_policy::moves::{MoveId, MoveRecord, Summary, advance};

use crate::{Client, Error, Leadership, MoveStore, Result, StoredMove, Swap};

const LEADERSHIP: &str = "moves";

/// Time to live of the leadership; another instance leads at most this long after a leader died.
const TTL: Duration = Duration::from_secs(8);

/// Time before the leadership's end at which it is renewed.
const RENEW_BEFORE: Duration = Duration::from_secs(4);

/// Pause between two attempts to lead.
const ATTEMPT_PAUSE: Duration = Duration::from_secs(4);

/// Candidate for the lead over all version moves.
#[derive(Debug)]
pub struct Mover {
    client: Client,
    store: MoveStore,
    holder: String,
    leadership: Option<Leadership>,
    next_attempt: MonoTime,
}

impl Mover {
    /// Returns a candidate that leads nothing yet; `holder` names the instance for operators.
    #[must_use]
    pub fn new(client: Client, holder: &str) -> Self {
        Self {
            store: MoveStore::new(client.clone()),
            client,
            holder: holder.to_owned(),
            leadership: None,
            next_attempt: MonoTime::default(),
        }
    }

    /// Tells whether this instance leads.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        let now = self.client.now();
        self.leadership.as_ref().is_some_and(|it| it.is_held(now))
    }

    /// Takes one step, about once a second: acquires or renews the leadership, and while it leads,
    /// brings each move of the bundle one step on. Returns the records that stand after it, to be
    /// passed on; none where another instance leads.
    ///
    /// # Errors
    /// When the platform can't be asked or a record is malformed; the next step tries again.
    pub async fn step(
        &mut self,
        moves: &[(MoveId, Move)],
        summary: impl Fn(&MoveId) -> Summary,
        wall: UnixTime,
    ) -> Result<Vec<MoveRecord>> {
        if !self.lead().await? {
            return Ok(Vec::new());
        }
        let (stored, _) = self.store.list().await?;
        let mut records = Vec::new();
        for (id, cfg) in moves {
            let standing = stored.iter().find(|it| it.record.id == *id);
            let Some(leadership) = self.leadership.clone() else {
                break;
            };
            let next = next_record(id, cfg, standing, summary(id), &leadership, wall);
            let written = match next {
                Some(next) => self.write(standing, next, &leadership).await?,
                None => None,
            };
            records.extend(written.or_else(|| standing.map(|it| it.record.clone())));
        }
        Ok(records)
    }

    /// Gives the leadership up, before the process ends.
    ///
    /// # Errors
    /// When the platform can't be asked; the leadership then runs out by itself.
    pub async fn resign(&mut self) -> Result<()> {
        match self.leadership.take() {
            Some(leadership) => self.client.resign(leadership).await,
            None => Ok(()),
        }
    }

    async fn lead(&mut self) -> Result<bool> {
        let now = self.client.now();
        if let Some(leadership) = &mut self.leadership {
            if !leadership.deadline().before(RENEW_BEFORE).is_past(now) {
                return Ok(true);
            }
            match self.client.renew(leadership).await {
                Err(Error::LeaseLost) => self.leadership = None,
                // While the platform is silent the lead lasts until its own deadline.
                Err(e) if !leadership.is_held(self.client.now()) => return Err(e),
                _ => return Ok(true),
            }
        }
        if !self.next_attempt.is_past(now) {
            return Ok(false);
        }
        self.next_attempt = now.after(ATTEMPT_PAUSE);
        self.leadership = self.client.acquire(LEADERSHIP, &self.holder, TTL).await?;
        Ok(self.is_leading())
    }

    /// Writes a record. Returns it where it stands, or `None` where the next step has to read
    /// what stands instead.
    async fn write(
        &mut self,
        standing: Option<&StoredMove>,
        next: MoveRecord,
        leadership: &Leadership,
    ) -> Result<Option<MoveRecord>> {
        match self.store.write(standing, &next, leadership).await? {
            Swap::Written { .. } => Ok(Some(next)),
            Swap::Conflict { .. } | Swap::Unknown => Ok(None),
            Swap::Fenced => {
                self.leadership = None;
                Ok(None)
            }
        }
    }
}

fn next_record(
    id: &MoveId,
    cfg: &Move,
    standing: Option<&StoredMove>,
    summary: Summary,
    leadership: &Leadership,
    wall: UnixTime,
) -> Option<MoveRecord> {
    let fencing = u64::try_from(leadership.fencing()).unwrap_or(0);
    match standing {
        Some(stored) => advance(cfg, &stored.record, summary, fencing, wall),
        None if cfg.deadline.is_past(wall) => None,
        None => Some(MoveRecord::begin(id.clone(), fencing, wall)),
    }
}
