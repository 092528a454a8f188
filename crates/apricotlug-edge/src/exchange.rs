//! One request on its way through the filters, and what is logged about it.

use std::{net::IpAddr, time::Duration};

use apricotlug_http::{BodyReader, Framing, RequestHead};
use apricotlug_model::{AccountKey, Bundle, MonoTime, RouteKey};

use crate::{order::NamedOrder, settle::RequestEnd};

/// Request that was framed, identified and admitted.
#[derive(Debug)]
pub struct Exchange {
    /// Id of the request, unique among all instances.
    pub id: String,
    /// Head as it goes to the backend server: without key and hop-by-hop lines.
    pub head: RequestHead,
    /// Framing of the body.
    pub framing: Framing,
    /// Route.
    pub route: RouteKey,
    /// Client account; `None` on a route open to all.
    pub account: Option<AccountKey>,
    /// Order that it belongs to, if the caller named one.
    pub order: Option<NamedOrder>,
    /// Whether the caller's connection closes after the answer.
    pub is_closing: bool,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Point at which it arrived.
    pub arrived_at: MonoTime,
    /// Point by which its answer must have begun.
    pub deadline: MonoTime,
}

impl Exchange {
    /// Returns the bytes of the body, where the head tells them.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        match self.framing {
            Framing::Length(len) => len,
            Framing::Empty | Framing::Chunked | Framing::UntilClose => 0,
        }
    }
}

/// Body of a request, with the bytes read so far while they are few enough to send again.
#[derive(Debug)]
pub struct RequestBody {
    /// Reads the rest from the caller.
    pub reader: BodyReader,
    /// Bytes read so far.
    pub buffered: Vec<u8>,
    /// Whether `kept` holds all bytes read so far.
    pub is_replayable: bool,
}

/// Most bytes of a request body that are kept for another attempt.
const MAX_REPLAY_BYTES: usize = 64 * 1024;

impl RequestBody {
    /// Starts a body.
    #[must_use]
    pub fn new(reader: BodyReader) -> Self {
        Self {
            reader,
            buffered: Vec::new(),
            is_replayable: true,
        }
    }

    /// Keeps a piece for another attempt, or gives up on keeping.
    pub fn buffer(&mut self, piece: &[u8]) {
        if !self.is_replayable {
            return;
        }
        if self.buffered.len() + piece.len() > MAX_REPLAY_BYTES {
            self.is_replayable = false;
            self.buffered = Vec::new();
            return;
        }
        self.buffered.extend_from_slice(piece);
    }
}

/// Writes the line that is logged when a request ends.
pub fn log_end(ex: &Exchange, bundle: &Bundle, end: &RequestEnd, latency: Duration) {
    let account = ex
        .account
        .map_or("-", |key| bundle.accounts[key].id.as_str());
    tracing::info!(
        kind = "request",
        request = ex.id,
        caller = %ex.caller,
        account,
        route = bundle.routes[ex.route].id,
        bundle = bundle.version.0,
        status = end.status,
        result = end.result,
        attempts = end.attempts,
        bytes = end.bytes,
        latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
    );
}
