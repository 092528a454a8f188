//! Entries of the store and outcomes of writes.

use crate::{WriteId, envelope, wire::KeyValue};

/// Key with its value, as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value without its envelope.
    pub value: Vec<u8>,
    /// Ids of the last writes, newest first; empty where the value has no envelope.
    pub lineage: Vec<WriteId>,
    /// Revision at which the key was created. Later keys have higher ones.
    pub create_revision: i64,
    /// Revision at which the key was last written.
    pub mod_revision: i64,
    /// Number of writes since the key was created.
    pub version: i64,
}

impl From<KeyValue> for Entry {
    fn from(kv: KeyValue) -> Self {
        let (lineage, value) = envelope::open(kv.value.0);
        Self {
            key: String::from_utf8_lossy(&kv.key.0).into_owned(),
            value,
            lineage,
            create_revision: kv.create_revision.0,
            mod_revision: kv.mod_revision.0,
            version: kv.version.0,
        }
    }
}

/// Condition on a leadership key: a write is refused once the leadership has passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Key of the leadership.
    pub key: String,
    /// Revision at which the holder created it.
    pub create_revision: i64,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect.
    Written {
        /// Revision at which the key was last written, by this write or a later one.
        revision: i64,
        /// Whether another writer has since built on this write.
        is_superseded: bool,
    },
    /// Another writer was first; this write had no effect.
    Conflict {
        /// Entry that stands, or `None` where the key does not exist.
        current: Option<Entry>,
    },
    /// The leadership has passed on; this write had no effect.
    Fenced,
    /// The answer was lost and reading back failed too: the write may or may not stand.
    Unknown,
}

impl Swap {
    /// Decides a write whose comparison failed, from the entry that stands.
    ///
    /// `is_uncertain` tells that an earlier attempt of the same write may have taken effect.
    #[must_use]
    pub fn judge(
        id: WriteId,
        expected: Option<&Entry>,
        current: Option<Entry>,
        is_uncertain: bool,
    ) -> Self {
        if let Some(entry) = &current
            && let Some(place) = entry.lineage.iter().position(|other| *other == id)
        {
            return Self::Written {
                revision: entry.mod_revision,
                is_superseded: place > 0,
            };
        }
        if is_uncertain && !is_lineage_complete(expected, current.as_ref()) {
            return Self::Unknown;
        }
        Self::Conflict { current }
    }
}

/// Tells whether the current lineage reaches back to the expected entry, so that an id absent
/// from it belongs to a write that never took effect.
fn is_lineage_complete(expected: Option<&Entry>, current: Option<&Entry>) -> bool {
    let Some(current) = current else {
        return false;
    };
    let writes_since = match expected {
        Some(entry) if entry.create_revision != current.create_revision => return false,
        Some(entry) => current.version - entry.version,
        None => current.version,
    };
    usize::try_from(writes_since).is_ok_and(|writes| writes <= current.lineage.len())
}
