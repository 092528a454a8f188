//! Envelope around stored values: the id of the write and of the writes before it.
//!
//! A writer whose answer was lost reads the key back: its own id in front means that the write
//! stands, its id further back means that it stood and another writer has built on it.

use std::fmt;

/// First bytes of an enveloped value; no JSON or text starts with NUL.
const MAGIC: [u8; 4] = *b"\0al1";

/// Ids kept in an envelope, the value's own included.
pub(crate) const MAX_LINEAGE: usize = 8;

const ID_BYTES: usize = 16;

/// Largest length that the envelope adds to a value, in bytes.
pub(crate) const MAX_OVERHEAD_BYTES: usize = MAGIC.len() + 1 + MAX_LINEAGE * ID_BYTES;

/// Random id of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WriteId(pub u128);

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Puts a value into an envelope.
pub(crate) fn seal(id: WriteId, earlier: &[WriteId], value: &[u8]) -> Vec<u8> {
    let earlier = &earlier[..earlier.len().min(MAX_LINEAGE - 1)];
    let mut buf = Vec::with_capacity(MAX_OVERHEAD_BYTES + value.len());
    buf.extend_from_slice(&MAGIC);
    buf.push(earlier.len() as u8 + 1);
    for id in std::iter::once(&id).chain(earlier) {
        buf.extend_from_slice(&id.0.to_be_bytes());
    }
    buf.extend_from_slice(value);
    buf
}

/// Splits a stored value into its lineage, newest first, and the value itself. A value without
/// an envelope is returned whole, with an empty lineage.
pub(crate) fn open(mut stored: Vec<u8>) -> (Vec<WriteId>, Vec<u8>) {
    let Some(rest) = stored.strip_prefix(&MAGIC) else {
        return (Vec::new(), stored);
    };
    let Some((count, rest)) = rest.split_first() else {
        return (Vec::new(), stored);
    };
    let ids_len = usize::from(*count) * ID_BYTES;
    let Some(ids) = rest.get(..ids_len) else {
        return (Vec::new(), stored);
    };
    let lineage = ids
        .as_chunks::<ID_BYTES>()
        .0
        .iter()
        .map(|id| WriteId(u128::from_be_bytes(*id)))
        .collect();
    let value = stored.split_off(MAGIC.len() + 1 + ids_len);
    (lineage, value)
}
