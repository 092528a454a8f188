//! Distribution of a bundle's text as content-addressed chunks.
//!
//! The text is cut after lines whose hash falls below a threshold that grows with the length of
//! the line. Whether a line ends a chunk depends on that line alone: a changed line gives rise to
//! at most two new chunks, and all others keep their hashes. Chunks of 16 KiB on average carry a
//! text of several megabytes; the manifest that lists them grows by one hash a chunk.

use std::{collections::BTreeSet, fmt};

use apricotlug_model::{BundleVersion, UnixTime};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

const TARGET_CHUNK_BYTES: u64 = 16 * 1024;

/// Longest chunk, in bytes. Longer runs without a cut are cut here.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// Longest text that is put together and parsed, in bytes.
pub const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// SHA-256 of a chunk; serialised as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ChunkHash(pub [u8; 32]);

impl ChunkHash {
    /// Hashes the bytes of a chunk.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChunkHash({self})")
    }
}

impl From<ChunkHash> for String {
    fn from(hash: ChunkHash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for ChunkHash {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

/// Chunk of a text, with its hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of the text.
    pub hash: ChunkHash,
    /// Text.
    pub text: String,
}

/// Head of a signed-off bundle: who signed it, and the chunks of its text in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Random number of the write, by which its author recognises it where the answer was lost.
    pub write_id: u64,
    /// Public id of the operator's key.
    pub signed_by: String,
    /// Point of the sign-off, on the author's clock.
    pub signed_at: UnixTime,
    /// Hashes of the chunks, in the order of the text.
    pub chunks: Vec<ChunkHash>,
}

impl Manifest {
    /// Returns the distinct chunks that are not held yet, in the order of the text.
    pub fn missing(&self, is_held: impl Fn(ChunkHash) -> bool) -> Vec<ChunkHash> {
        let mut seen = BTreeSet::new();
        let chunks = self.chunks.iter().copied();
        chunks
            .filter(|&hash| !is_held(hash) && seen.insert(hash))
            .collect()
    }
}

/// Why a text could not be put together.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// A chunk is not held.
    #[error("chunk {0} is missing: fetch it and join again")]
    Missing(ChunkHash),
    /// The bytes of a chunk do not have its hash, or are no text.
    #[error("chunk {0} is corrupt: fetch it from another source")]
    Corrupt(ChunkHash),
    /// The chunks together exceed the limit.
    #[error("the text exceeds {MAX_TEXT_BYTES} bytes: refuse it")]
    TooLong,
}

/// Splits a text. Returns the hashes in the order of the text, and the distinct chunks.
#[must_use]
pub fn split(text: &str) -> (Vec<ChunkHash>, Vec<Chunk>) {
    let mut hashes = Vec::new();
    let mut chunks = Vec::new();
    let mut seen = BTreeSet::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (chunk, tail) = rest.split_at(chunk_len(rest));
        rest = tail;
        let hash = ChunkHash::of(chunk.as_bytes());
        hashes.push(hash);
        if seen.insert(hash) {
            let text = chunk.to_owned();
            chunks.push(Chunk { hash, text });
        }
    }
    (hashes, chunks)
}

/// Puts a text together. Each chunk is verified by its hash.
///
/// # Errors
/// Returns the first chunk that is missing or corrupt, or that the text is too long.
pub fn join<B: AsRef<[u8]>>(
    manifest: &Manifest,
    mut get: impl FnMut(ChunkHash) -> Option<B>,
) -> Result<String, ChunkError> {
    let mut text = String::new();
    for &hash in &manifest.chunks {
        let bytes = get(hash).ok_or(ChunkError::Missing(hash))?;
        let bytes = bytes.as_ref();
        if ChunkHash::of(bytes) != hash {
            return Err(ChunkError::Corrupt(hash));
        }
        if text.len() + bytes.len() > MAX_TEXT_BYTES {
            return Err(ChunkError::TooLong);
        }
        let chunk = str::from_utf8(bytes).map_err(|_| ChunkError::Corrupt(hash))?;
        text.push_str(chunk);
    }
    Ok(text)
}

/// Returns the length of the first chunk of a text that is not empty.
fn chunk_len(text: &str) -> usize {
    let mut len = 0;
    for line in text.split_inclusive('\n') {
        if len + line.len() > MAX_CHUNK_BYTES {
            return if len > 0 { len } else { longest_piece(line) };
        }
        len += line.len();
        if ends_chunk(line) {
            return len;
        }
    }
    len
}

/// Tells whether a chunk ends after a line: on average once in the target length.
fn ends_chunk(line: &str) -> bool {
    let len = u64::try_from(line.len()).unwrap_or(u64::MAX);
    let threshold = (u64::MAX / TARGET_CHUNK_BYTES).saturating_mul(len);
    let digest = Sha256::digest(line);
    let head = digest.iter().take(8);
    let value = head.fold(0_u64, |value, &byte| value << 8 | u64::from(byte));
    value < threshold
}

/// Returns the length of the longest piece of a line that fits, at a border of characters.
fn longest_piece(line: &str) -> usize {
    (0..=MAX_CHUNK_BYTES)
        .rev()
        .find(|&len| line.is_char_boundary(len))
        .unwrap_or(line.len())
}
