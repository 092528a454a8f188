//! Bundle as exchanged between instances: an opaque head and content-addressed chunks.

use std::{fmt, sync::Arc};

use sha2::{Digest, Sha256};

use crate::PeerError;

/// Largest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Maximum number of chunks of a bundle.
pub const MAX_CHUNKS: usize = 2048;
/// Largest chunk, in bytes.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// SHA-256 of a chunk.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkHash(pub [u8; 32]);

impl ChunkHash {
    /// Hashes the bytes of a chunk.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Debug for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Chunk with its hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// SHA-256 of the bytes.
    pub hash: ChunkHash,
    /// Content, at most [`MAX_CHUNK_BYTES`] long.
    pub bytes: Arc<[u8]>,
}

impl Chunk {
    /// Creates a chunk and computes its hash.
    #[must_use]
    pub fn new(bytes: impl Into<Arc<[u8]>>) -> Self {
        let bytes = bytes.into();
        Self {
            hash: ChunkHash::of(&bytes),
            bytes,
        }
    }
}

/// Head of a bundle. Only its version and its list of chunks have a meaning to this crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleHead {
    /// Version, from 1. The highest wins.
    pub version: u64,
    /// Opaque bytes, at most [`MAX_HEAD_BYTES`].
    pub bytes: Arc<[u8]>,
    /// Hashes of the chunks, in order.
    pub chunks: Vec<ChunkHash>,
}

impl BundleHead {
    /// Validates the version and the size limits.
    ///
    /// # Errors
    /// Returns an error if the head or the number of chunks exceeds its limit, or the version is 0.
    pub fn check(&self) -> Result<(), PeerError> {
        if self.version == 0 {
            return Err(PeerError::Malformed("bundle version 0"));
        }
        if self.bytes.len() > MAX_HEAD_BYTES {
            return Err(PeerError::TooLarge {
                what: "bundle head",
                limit: MAX_HEAD_BYTES,
            });
        }
        if self.chunks.len() > MAX_CHUNKS {
            return Err(PeerError::TooLarge {
                what: "number of chunks",
                limit: MAX_CHUNKS,
            });
        }
        Ok(())
    }
}

/// Complete bundle: the head and all of its chunks, in the head's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteBundle {
    /// Version, opaque bytes and chunk hashes.
    pub head: BundleHead,
    /// Chunks, in the head's order.
    pub chunks: Vec<Chunk>,
}

impl CompleteBundle {
    /// Assembles a bundle from its head and a set of chunks; surplus chunks are ignored.
    ///
    /// # Errors
    /// Returns an error if a limit is exceeded or a chunk of the head is missing.
    pub fn new(head: BundleHead, chunks: &[Chunk]) -> Result<Self, PeerError> {
        head.check()?;
        if chunks
            .iter()
            .any(|chunk| chunk.bytes.len() > MAX_CHUNK_BYTES)
        {
            return Err(PeerError::TooLarge {
                what: "chunk",
                limit: MAX_CHUNK_BYTES,
            });
        }
        let find = |hash: &ChunkHash| chunks.iter().find(|chunk| chunk.hash == *hash).cloned();
        let chunks = head.chunks.iter().map(find).collect::<Option<_>>();
        let chunks = chunks.ok_or(PeerError::MissingChunk)?;
        Ok(Self { head, chunks })
    }
}
