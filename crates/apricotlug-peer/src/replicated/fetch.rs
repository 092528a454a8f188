//! Fetch of the chunks of a new bundle that this instance is missing.

use std::time::Duration;

use apricotlug_model::MonoTime;

use super::ReplicatedData;
use crate::{BundleHead, Chunk, ChunkHash, MAX_CHUNK_BYTES, NameHash};

/// Maximum number of chunks requested in one call.
pub(crate) const MAX_CHUNKS_PER_FETCH: usize = 16;
/// Maximum number of peers kept as sources of one bundle.
const MAX_SOURCES: usize = 16;
/// Time for which a peer that sent a corrupt chunk is not used as a source.
const CORRUPT_SOURCE_BACKOFF: Duration = Duration::from_secs(30);
/// Time for which a peer that did not answer or lacked the chunks is not used as a source.
const FAILED_SOURCE_BACKOFF: Duration = Duration::from_secs(1);
/// Time after which a fetch without result is retried.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Request for chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Peer that receives the request.
    pub peer: NameHash,
    /// Hashes of the requested chunks.
    pub hashes: Vec<ChunkHash>,
}

/// Result of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// At least one chunk was received, and none was corrupt.
    Fetched,
    /// The peer did not have the chunks or did not answer.
    Absent,
    /// A chunk did not match its hash.
    Corrupt,
}

/// Peer that holds the complete bundle.
#[derive(Clone, Copy, Debug)]
struct Source {
    peer: NameHash,
    blocked_until: MonoTime,
}

/// Bundle whose chunks are being fetched.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub head: BundleHead,
    pub chunks: Vec<Chunk>,
    sources: Vec<Source>,
    busy_until: MonoTime,
}

impl Pending {
    pub fn new(head: BundleHead, held: Vec<Chunk>, source: NameHash, now: MonoTime) -> Self {
        let is_needed = |chunk: &Chunk| head.chunks.contains(&chunk.hash);
        let mut chunks: Vec<Chunk> = held.into_iter().filter(is_needed).collect();
        chunks.sort_by_key(|chunk| chunk.hash);
        chunks.dedup_by_key(|chunk| chunk.hash);
        let mut pending = Self {
            head,
            chunks,
            sources: Vec::new(),
            busy_until: now,
        };
        pending.add_source(source, now);
        pending
    }

    fn add_source(&mut self, peer: NameHash, now: MonoTime) {
        let is_known = self.sources.iter().any(|source| source.peer == peer);
        if !is_known && self.sources.len() < MAX_SOURCES {
            self.sources.push(Source {
                peer,
                blocked_until: now,
            });
        }
    }

    fn missing(&self) -> Vec<ChunkHash> {
        let is_held = |hash: &ChunkHash| self.chunks.iter().any(|chunk| chunk.hash == *hash);
        let mut missing: Vec<ChunkHash> = self.head.chunks.clone();
        missing.sort_unstable();
        missing.dedup();
        missing.retain(|hash| !is_held(hash));
        missing
    }
}

impl ReplicatedData {
    /// Returns the next request for chunks; `None` while one is in flight or no source is usable.
    pub fn next_fetch(&mut self, now: MonoTime) -> Option<Fetch> {
        let pending = self.pending.as_mut()?;
        if !pending.busy_until.is_past(now) {
            return None;
        }
        let mut hashes = pending.missing();
        hashes.truncate(MAX_CHUNKS_PER_FETCH);
        let mut sources = pending.sources.iter();
        let source = sources.find(|source| source.blocked_until.is_past(now))?;
        let peer = source.peer;
        pending.busy_until = now.after(FETCH_TIMEOUT);
        Some(Fetch { peer, hashes })
    }

    /// Stores the chunks that a peer sent; the list is empty if the peer did not answer.
    pub fn store_fetched(
        &mut self,
        fetch: &Fetch,
        chunks: Vec<Vec<u8>>,
        now: MonoTime,
    ) -> FetchOutcome {
        let mut outcome = FetchOutcome::Absent;
        let Some(pending) = self.pending.as_mut() else {
            return outcome;
        };
        pending.busy_until = now;
        for (hash, bytes) in fetch.hashes.iter().zip(chunks) {
            if bytes.is_empty() {
                continue;
            }
            if bytes.len() > MAX_CHUNK_BYTES || ChunkHash::of(&bytes) != *hash {
                outcome = FetchOutcome::Corrupt;
                break;
            }
            outcome = FetchOutcome::Fetched;
            pending.chunks.push(Chunk::new(bytes));
        }
        pending.block(fetch.peer, outcome, now);
        self.complete();
        outcome
    }

    /// Adds a peer that holds a bundle of this version to the sources of the pending bundle.
    pub(super) fn add_known_source(&mut self, peer: NameHash, version: u64, now: MonoTime) {
        if let Some(pending) = &mut self.pending
            && pending.head.version == version
        {
            pending.add_source(peer, now);
        }
    }

    /// Returns the chunks that a peer requests; an empty entry stands for a chunk that is not held.
    #[must_use]
    pub fn chunks(&self, hashes: &[ChunkHash]) -> Vec<Vec<u8>> {
        let held = self
            .bundle
            .as_ref()
            .map_or(&[][..], |bundle| &bundle.chunks);
        let find = |hash: &ChunkHash| held.iter().find(|chunk| chunk.hash == *hash);
        let hashes = hashes.iter().take(MAX_CHUNKS_PER_FETCH);
        hashes
            .map(|hash| find(hash).map_or(Vec::new(), |chunk| chunk.bytes.to_vec()))
            .collect()
    }
}

impl Pending {
    fn block(&mut self, peer: NameHash, outcome: FetchOutcome, now: MonoTime) {
        let backoff = match outcome {
            FetchOutcome::Fetched => return,
            FetchOutcome::Absent => FAILED_SOURCE_BACKOFF,
            FetchOutcome::Corrupt => CORRUPT_SOURCE_BACKOFF,
        };
        for source in self.sources.iter_mut().filter(|source| source.peer == peer) {
            source.blocked_until = now.after(backoff);
        }
    }
}
