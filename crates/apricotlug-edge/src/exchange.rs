//! One request in progress, its body, and the log line written when it ends.

use std::{net::IpAddr, time::Duration};

use apricotlug_http::{BodyReader, Framing, RequestHead};
use apricotlug_model::{AccountKey, Bundle, MonoTime, RouteKey};

use crate::{order::NamedOrder, settle::RequestEnd};

/// Request that was framed, identified and admitted.
#[derive(Debug)]
pub struct Exchange {
    /// Id of the request, unique across the fleet.
    pub id: String,
    /// Head as sent to the backend server: without the key and hop-by-hop headers.
    pub head: RequestHead,
    /// Framing of the request body.
    pub framing: Framing,
    /// Route that the path matched in the bundle at admission.
    pub route: RouteKey,
    /// Client account; `None` on a route with open access.
    pub account: Option<AccountKey>,
    /// Order that the request belongs to; `None` where the caller named none.
    pub order: Option<NamedOrder>,
    /// Whether the caller's connection closes after the response.
    pub is_closing: bool,
    /// Address of the caller; unspecified (0.0.0.0) for a request forwarded by a peer.
    pub caller: IpAddr,
    /// Time at which the request head was read.
    pub arrived_at: MonoTime,
    /// Time by which the response must have begun.
    pub deadline: MonoTime,
}

impl Exchange {
    /// Returns the declared length of the body in bytes; zero where the head gives none.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        match self.framing {
            Framing::Length(len) => len,
            Framing::Empty | Framing::Chunked | Framing::UntilClose => 0,
        }
    }
}

/// Body of a request, buffered for another attempt up to `MAX_REPLAY_BYTES`.
#[derive(Debug)]
pub struct RequestBody {
    /// Reads the rest of the body from the caller's connection.
    pub reader: BodyReader,
    /// Bytes read so far; empty once the limit is exceeded.
    pub buffered: Vec<u8>,
    /// Whether `buffered` holds all bytes read so far.
    pub is_replayable: bool,
}

/// Largest part of a request body that is buffered for another attempt, in bytes.
const MAX_REPLAY_BYTES: usize = 64 * 1024;

impl RequestBody {
    /// Creates a body of which nothing was read yet.
    #[must_use]
    pub fn new(reader: BodyReader) -> Self {
        Self {
            reader,
            buffered: Vec::new(),
            is_replayable: true,
        }
    }

    /// Buffers a piece for another attempt. Above the limit, discards the buffer and marks the body
    /// as not replayable.
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

/// Writes the `request` log line, once the request has ended.
pub fn log_end(exchange: &Exchange, bundle: &Bundle, end: &RequestEnd, latency: Duration) {
    let account = exchange
        .account
        .map_or("-", |key| bundle.accounts[key].id.as_str());
    tracing::info!(
        kind = "request",
        request = exchange.id,
        caller = %exchange.caller,
        account,
        route = bundle.routes[exchange.route].id,
        bundle = bundle.version.0,
        status = end.status,
        result = end.result,
        attempts = end.attempts,
        bytes = end.bytes,
        latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
    );
}
