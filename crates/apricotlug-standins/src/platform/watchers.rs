//! Open watches of the platform stand-in.

use std::io;

use apricotlug_platform::wire::{
    Event, Header, Int64, Streamed, WatchCreateRequest, WatchResponse,
};
use async_channel::{Receiver, Sender};

/// Range of keys.
#[derive(Clone, Debug)]
pub(super) struct KeyRange {
    first: Vec<u8>,
    end: Option<Vec<u8>>,
}

impl KeyRange {
    pub(super) fn new(first: &[u8], end: Option<&[u8]>) -> Self {
        Self {
            first: first.to_vec(),
            end: end.filter(|end| !end.is_empty()).map(<[u8]>::to_vec),
        }
    }

    pub(super) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_deref() {
            None => key == self.first,
            Some([0]) => key >= self.first.as_slice(),
            Some(end) => key >= self.first.as_slice() && key < end,
        }
    }
}

/// Part of a watch's answer, or the error that breaks its connection.
pub(super) type Part = io::Result<Vec<u8>>;

#[derive(Debug)]
struct Watcher {
    range: KeyRange,
    tx: Sender<Part>,
    is_silent: bool,
}

/// Open watches.
#[derive(Debug, Default)]
pub(super) struct Watchers(Vec<Watcher>);

impl Watchers {
    /// Opens a watch and sends the changes that it has missed.
    pub(super) fn open(
        &mut self,
        req: &WatchCreateRequest,
        revision: i64,
        compacted: i64,
        history: &[(i64, Vec<Event>)],
    ) -> Receiver<Part> {
        let (tx, rx) = async_channel::unbounded();
        let start = req.start_revision.0;
        if start > 0 && start <= compacted {
            send(&tx, cancelled(revision, compacted));
            return rx;
        }
        send(&tx, created(revision));
        let watcher = Watcher {
            range: KeyRange::new(&req.key.0, req.range_end.as_ref().map(|end| &end.0[..])),
            tx,
            is_silent: false,
        };
        let missed = history.iter().filter(|(at, _)| start > 0 && *at >= start);
        for (at, events) in missed {
            watcher.notify(*at, events);
        }
        self.0.push(watcher);
        rx
    }

    /// Sends changes to the watches of their keys.
    pub(super) fn notify(&mut self, revision: i64, events: &[Event]) {
        self.0.retain(|watcher| !watcher.tx.is_closed());
        for watcher in self.0.iter().filter(|watcher| !watcher.is_silent) {
            watcher.notify(revision, events);
        }
    }

    /// Makes the open watches silent for good; new ones work.
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
        self.0.iter().filter(|it| !it.tx.is_closed()).count()
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

fn send(tx: &Sender<Part>, message: WatchResponse) {
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

fn cancelled(revision: i64, compacted: i64) -> WatchResponse {
    WatchResponse {
        header: header(revision),
        canceled: true,
        compact_revision: Int64(compacted),
        ..WatchResponse::default()
    }
}

pub(super) fn header(revision: i64) -> Header {
    Header {
        revision: Int64(revision),
    }
}
