//! Messages between instances: datagrams, relay requests and relay responses.

mod datagram;
mod figures;
mod relay;

pub use datagram::{MAX_DATAGRAM_BYTES, StatusDatagram, decode_datagram, encode_datagram};
pub use figures::{AccountUsage, BackendLoad, MoveEvidence, WindowUsage};
pub use relay::{
    RelayRequest, RelayResponse, decode_relay_request, decode_relay_response, encode_relay_request,
    encode_relay_response,
};

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use thiserror::Error;

/// Largest datagram or relay request that is read, unpacked, in words of 8 bytes. A few bytes can
/// claim far more.
const MAX_REPORT_WORDS: usize = 256 << 10;

/// Most words that a byte of a packed message may stand for. Packing shortens runs of zeros only.
const MAX_WORDS_PER_BYTE: usize = 16;

/// Why a message cannot be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes do not follow the message format.
    #[error("malformed message: {0}")]
    Format(#[from] capnp::Error),
    /// A text field is not valid UTF-8.
    #[error("text field is not valid UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
}

fn pack(message: &Builder<capnp::message::HeapAllocator>) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = serialize_packed::write_message(&mut bytes, message);
    bytes
}

/// Returns the options for reading a packed message of `len` bytes.
fn reader_options(max_words: usize, len: usize) -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(max_words.min(len * MAX_WORDS_PER_BYTE)));
    options
}
