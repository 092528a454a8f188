//! Conversion between plain messages and their Cap'n Proto form. A message that exceeds a limit is
//! refused as a whole.

mod decode;
mod encode;
mod member;

use capnp::{message::ReaderOptions, serialize};

use crate::{Exchange, PeerError, peer_capnp::exchange};

pub(crate) use {decode::read_chunk_hashes, encode::fill as fill_exchange};

/// Maximum message size, in words of 8 bytes: a fetch of sixteen chunks fits.
const MAX_MESSAGE_WORDS: usize = 1024 * 1024;
/// Maximum nesting depth of a message.
const MAX_NESTING: i32 = 24;

/// Returns the limits for reading messages.
pub(crate) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options.nesting_limit(MAX_NESTING);
    options
}

/// Serialises a message.
#[must_use]
pub fn encode_exchange(msg: &Exchange) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    encode::fill(msg, message.init_root::<exchange::Builder>());
    serialize::write_message_to_words(&message)
}

/// Parses a message.
///
/// # Errors
/// Returns an error if the bytes are malformed or exceed a limit.
pub fn decode_exchange(mut bytes: &[u8]) -> Result<Exchange, PeerError> {
    let message = serialize::read_message_from_flat_slice(&mut bytes, reader_options());
    let message = message.map_err(|_| PeerError::Malformed("framing"))?;
    let reader = message.get_root::<exchange::Reader>();
    Exchange::try_from(reader.map_err(|_| PeerError::Malformed("root"))?)
}

impl From<capnp::Error> for PeerError {
    fn from(_: capnp::Error) -> Self {
        Self::Malformed("structure")
    }
}

impl From<capnp::NotInSchema> for PeerError {
    fn from(_: capnp::NotInSchema) -> Self {
        Self::Malformed("unknown enum value")
    }
}

impl From<std::str::Utf8Error> for PeerError {
    fn from(_: std::str::Utf8Error) -> Self {
        Self::Malformed("text")
    }
}
