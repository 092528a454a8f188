//! Records of version moves in the platform.

use apricotlug_model::UnixTime;
use apricotlug_policy::moves::{MoveId, MoveRecord, MoveRecordWire, MoveState};

use crate::{Client, Entry, Error, Leadership, Result, Swap, Watch, WatchEvent};

const PREFIX: &str = "move/";

/// Record with the entry that the next write builds on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMove {
    /// Record.
    pub record: MoveRecord,
    /// Entry that holds it.
    pub entry: Entry,
}

impl TryFrom<Entry> for StoredMove {
    type Error = Error;

    fn try_from(entry: Entry) -> Result<Self> {
        let malformed = |e: String| Error::Malformed(format!("{}: {e}", entry.key));
        let wire: MoveRecordWire =
            serde_json::from_slice(&entry.value).map_err(|e| malformed(e.to_string()))?;
        let record = wire.try_into().map_err(|e| malformed(format!("{e}")))?;
        Ok(Self { record, entry })
    }
}

/// Records of version moves, kept in the platform.
#[derive(Clone, Debug)]
pub struct MoveStore {
    client: Client,
}

impl MoveStore {
    /// Returns the store behind a client.
    #[must_use]
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Reads a record; `None` where the move has not begun.
    ///
    /// # Errors
    /// When the platform can't be asked or the record is malformed.
    pub async fn read(&self, id: &MoveId) -> Result<Option<StoredMove>> {
        let entry = self.client.get(&key(id)).await?;
        entry.map(StoredMove::try_from).transpose()
    }

    /// Reads all records and the revision to watch from.
    ///
    /// # Errors
    /// When the platform can't be asked or a record is malformed.
    pub async fn list(&self) -> Result<(Vec<StoredMove>, i64)> {
        let (entries, revision) = self.client.list(PREFIX).await?;
        let moves: Result<_> = entries.into_iter().map(StoredMove::try_from).collect();
        Ok((moves?, revision + 1))
    }

    /// Watches all records from a revision on; see [`MoveStore::records_in`].
    #[must_use]
    pub fn watch(&self, from_revision: i64) -> Watch {
        self.client.watch(PREFIX, from_revision)
    }

    /// Returns the records in what a watch reported.
    ///
    /// # Errors
    /// When a record is malformed.
    pub fn records_in(events: Vec<WatchEvent>) -> Result<Vec<StoredMove>> {
        events
            .into_iter()
            .filter_map(|event| match event {
                WatchEvent::Put(entry) => Some(StoredMove::try_from(entry)),
                WatchEvent::Deleted { .. } => None,
            })
            .collect()
    }

    /// Writes the record that follows `expected`, or the first one, while the leadership stands.
    /// A record that was worked out from another one than `expected` is a conflict.
    ///
    /// # Errors
    /// When the write surely had no effect, for another reason than a conflict.
    pub async fn write(
        &self,
        expected: Option<&StoredMove>,
        record: &MoveRecord,
        leadership: &Leadership,
    ) -> Result<Swap> {
        let follows = match expected {
            Some(stored) => stored.record.is_followed_by(record),
            None => record.sequence == 1,
        };
        let expected = expected.map(|stored| &stored.entry);
        if !follows {
            let current = expected.cloned();
            return Ok(Swap::Conflict { current });
        }
        let value = encode(record)?;
        self.client
            .compare_and_swap_fenced(&key(&record.id), expected, &value, &leadership.fence)
            .await
    }

    /// Pauses, resumes or takes back for an operator, who leads nothing: only the comparison
    /// guards this write. `None` means that the state can't follow the present one.
    ///
    /// # Errors
    /// When the write surely had no effect, for another reason than a conflict.
    pub async fn set_state(
        &self,
        stored: &StoredMove,
        state: MoveState,
        now: UnixTime,
    ) -> Result<Option<Swap>> {
        let fencing = stored.record.fencing;
        let Some(next) = stored.record.with_state(state, fencing, now) else {
            return Ok(None);
        };
        let value = encode(&next)?;
        let swap = self
            .client
            .compare_and_swap(&key(&next.id), Some(&stored.entry), &value)
            .await?;
        Ok(Some(swap))
    }
}

fn encode(record: &MoveRecord) -> Result<Vec<u8>> {
    let wire = MoveRecordWire::from(record.clone());
    serde_json::to_vec(&wire).map_err(|e| Error::Malformed(e.to_string()))
}

fn key(id: &MoveId) -> String {
    format!("{PREFIX}{}/{}/{}", id.service, id.version, id.deadline.0)
}
