//! Watches that resume after the last seen revision, over as many connections as it takes.

use std::time::Duration;

use async_std::{
    future::timeout,
    io::{BufReadExt, ReadExt},
};
use http_types::Body;

use crate::{
    Backoff, CallKind, Client, Entry, Error, Result,
    client::encode,
    wire::{
        Bytes, Event, EventKind, Int64, Streamed, WatchCreateRequest, WatchRequest, WatchResponse,
        prefix_end,
    },
};

/// Longest message of a watch, in bytes.
const MAX_MESSAGE_BYTES: u64 = 16 << 20;

/// One change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, or its lease has ended.
    Deleted {
        /// Key.
        key: String,
        /// Revision of the deletion.
        revision: i64,
    },
}

impl WatchEvent {
    /// Returns the revision of the change.
    #[must_use]
    pub fn revision(&self) -> i64 {
        match self {
            Self::Put(entry) => entry.mod_revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }
}

impl From<Event> for WatchEvent {
    fn from(event: Event) -> Self {
        match event.kind {
            EventKind::Put => Self::Put(event.kv.into()),
            EventKind::Delete => Self::Deleted {
                key: String::from_utf8_lossy(&event.kv.key.0).into_owned(),
                revision: event.kv.mod_revision.0,
            },
        }
    }
}

/// Watch of all keys with a prefix.
#[derive(Debug)]
pub struct Watch {
    client: Client,
    prefix: String,
    next_revision: i64,
    body: Option<Body>,
    backoff: Backoff,
}

impl Client {
    /// Watches all keys with a prefix from a revision on. Nothing is sent before
    /// [`Watch::next`].
    #[must_use]
    pub fn watch(&self, prefix: &str, from_revision: i64) -> Watch {
        Watch {
            client: self.clone(),
            prefix: prefix.to_owned(),
            next_revision: from_revision,
            body: None,
            backoff: self.backoff(),
        }
    }
}

impl Watch {
    /// Waits for the next changes. Each change is returned once, in the order of revisions, over
    /// lost connections, silent ones and repeated messages.
    ///
    /// # Errors
    /// `Error::Compacted` when changes were missed: list the keys and watch from there.
    pub async fn next(&mut self) -> Result<Vec<WatchEvent>> {
        loop {
            match self.try_next().await {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Ok(events),
                Err(e) if e.is_transient() => {
                    self.body = None;
                    let client = self.client.clone();
                    client.wait(&mut self.backoff).await;
                }
                Err(e) => {
                    self.body = None;
                    return Err(e);
                }
            }
        }
    }

    async fn try_next(&mut self) -> Result<Vec<WatchEvent>> {
        let mut body = match self.body.take() {
            Some(body) => body,
            None => self.open().await?,
        };
        let idle = Duration::from_millis(self.client.cfg().watch_idle_ms.into());
        let message = match timeout(idle, read_message(&mut body)).await {
            Ok(message) => message?,
            // Silence may mean that nothing changed or that the connection is dead: a new one
            // from the same revision tells.
            Err(_) => return Ok(Vec::new()),
        };
        self.backoff.reset();
        if message.compact_revision.0 > 0 {
            return Err(Error::Compacted(message.compact_revision.0));
        }
        if !message.canceled {
            self.body = Some(body);
        }
        Ok(self.take_new(message.events))
    }

    async fn open(&self) -> Result<Body> {
        let req = WatchRequest {
            create_request: WatchCreateRequest {
                key: Bytes(self.prefix.clone().into_bytes()),
                range_end: Some(Bytes(prefix_end(self.prefix.as_bytes()))),
                start_revision: Int64(self.next_revision),
            },
        };
        let body = encode(&req)?;
        self.client.pace(CallKind::Watch).await;
        let answer = self.client.transport().open("/v3/watch", body).await;
        self.client.note(CallKind::Watch, &answer);
        Ok(answer?.take_body())
    }

    fn take_new(&mut self, events: Vec<Event>) -> Vec<WatchEvent> {
        let events: Vec<WatchEvent> = events
            .into_iter()
            .map(WatchEvent::from)
            .filter(|event| event.revision() >= self.next_revision)
            .collect();
        if let Some(last) = events.last() {
            self.next_revision = last.revision() + 1;
        }
        events
    }
}

async fn read_message(body: &mut Body) -> Result<WatchResponse> {
    let mut line = Vec::new();
    body.take(MAX_MESSAGE_BYTES)
        .read_until(b'\n', &mut line)
        .await
        .map_err(|e| Error::Broken(e.to_string()))?;
    if line.last() != Some(&b'\n') {
        return Err(Error::Broken("the watch ended".to_owned()));
    }
    serde_json::from_slice::<Streamed<WatchResponse>>(&line)
        .map(|message| message.result)
        .map_err(|e| Error::Malformed(e.to_string()))
}
