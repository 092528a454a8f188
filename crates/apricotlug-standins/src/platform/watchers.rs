//! Open watches of the platform stand-in.

use std::io;

use apricotlug_platform::wire::{
    Event, Header, Int64, Streamed, WatchCreateRequest, WatchResponse,
};
use async_channel::{Receiver, Sender};

/// Range of keys from `start` to `end`, exclusive, as in etcd: without an end it holds one key, and
/// an end of a single zero byte means no upper bound.
#[derive(Clone, Debug)]
pub(super) struct KeyRange {
    start: Vec<u8>,
    end: Option<Vec<u8>>,
}

impl KeyRange {
    pub(super) fn new(start: &[u8], end: Option<&[u8]>) -> Self {
        Self {
            start: start.to_vec(),
            end: end.filter(|end| !end.is_empty()).map(<[u8]>::to_vec),
        }
    }

    pub(super) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_deref() {
            None => key == self.start,
            Some([0]) => key >= self.start.as_slice(),
            Some(end) => key >= self.start.as_slice() && key < end,
        }
    }
}

/// Chunk of a watch's response stream, or the error that breaks its connection.
pub(super) type WatchChunk = io::Result<Vec<u8>>;

#[derive(Debug)]
struct Watcher {
    range: KeyRange,
    tx: Sender<WatchChunk>,
    is_silent: bool,
}

/// Open watches; closed ones are removed at the next change.
#[derive(Debug, Default)]
pub(super) struct Watchers(Vec<Watcher>);

impl Watchers {
    /// Opens a watch and sends the changes since its start revision; start revision 0 sends only
    /// later ones. Cancels the watch if its start revision was compacted.
    pub(super) fn open(
        &mut self,
        req: &WatchCreateRequest,
        revision: i64,
        compact_revision: i64,
        history: &[(i64, Vec<Event>)],
    ) -> Receiver<WatchChunk> {
        let (tx, rx) = async_channel::unbounded();
        let start = req.start_revision.0;
        if start > 0 && start <= compact_revision {
            send(&tx, cancelled(revision, compact_revision));
            return rx;
        }
        send(&tx, created(revision));
        let watcher = Watcher {
            range: KeyRange::new(&req.key.0, req.range_end.as_ref().map(|end| &end.0[..])),
            tx,
            is_silent: false,
        };
        let missed = history
            .iter()
            .filter(|(event_revision, _)| start > 0 && *event_revision >= start);
        for (event_revision, events) in missed {
            watcher.notify(*event_revision, events);
        }
        self.0.push(watcher);
        rx
    }

    /// Sends changes to the watches whose ranges contain their keys.
    pub(super) fn notify(&mut self, revision: i64, events: &[Event]) {
        self.0.retain(|watcher| !watcher.tx.is_closed());
        for watcher in self.0.iter().filter(|watcher| !watcher.is_silent) {
            watcher.notify(revision, events);
        }
    }

    /// Stops the open watches from ever sending again; new watches are not affected.
    pub(super) fn silence(&mut self) {
        for watcher in &mut self.0 {
            watcher.is_silent = true;
        }
    }

    /// Breaks the connections of the open watches.
    pub(super) fn drop_all(&mut self) {
        for watcher in self.0.drain(..) {
            let broken = io::Error::from(io::ErrorKind::ConnectionReset);
            watcher.tx.try_send(Err(broken)).ok();
        }
    }

    /// Returns the number of open watches.
    pub(super) fn len(&self) -> usize {
        self.0
            .iter()
            .filter(|watcher| !watcher.tx.is_closed())
            .count()
    }
}

impl Watcher {
    fn notify(&self, revision: i64, events: &[Event]) {
        let events: Vec<Event> = events
            .iter()
            .filter(|event| self.range.contains(&event.kv.key.0))
            .cloned()
            .collect();
        if events.is_empty() {
            return;
        }
        send(
            &self.tx,
            WatchResponse {
                header: header(revision),
                events,
                ..WatchResponse::default()
            },
        );
    }
}

fn send(tx: &Sender<WatchChunk>, message: WatchResponse) {
    let mut line = serde_json::to_vec(&Streamed { result: message }).unwrap_or_default();
    line.push(b'\n');
    tx.try_send(Ok(line)).ok();
}

fn created(revision: i64) -> WatchResponse {
    WatchResponse {
        header: header(revision),
        created: true,
        ..WatchResponse::default()
    }
}

fn cancelled(revision: i64, compact_revision: i64) -> WatchResponse {
    WatchResponse {
        header: header(revision),
        canceled: true,
        compact_revision: Int64(compact_revision),
        ..WatchResponse::default()
    }
}

pub(super) fn header(revision: i64) -> Header {
    Header {
        revision: Int64(revision),
    }
}
