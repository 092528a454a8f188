//! Names of one kind of entry: duplicates, and references to them.

use apricotlug_model::{FindingCode, HashMap};

use crate::doc::{At, Doc};

const MAX_SUGGESTIONS: usize = 8;

/// Names of one kind of entry, with their keys.
pub(super) struct Names<'t, K> {
    what: &'static str,
    entries: HashMap<&'t str, Entry<K>>,
}

struct Entry<K> {
    key: Option<K>,
    offset: usize,
}

impl<'t, K: Copy> Names<'t, K> {
    /// Creates an empty set; `what` names the kind in messages.
    pub(super) fn new(what: &'static str) -> Self {
        Self {
            what,
            entries: HashMap::default(),
        }
    }

    /// Adds a name and returns whether it is new. The key is `None` where the entry has findings
    /// of its own: references to it are then no findings.
    pub(super) fn add(&mut self, doc: &mut Doc<'_>, id: At<&'t str>, key: Option<K>) -> bool {
        if let Some(first) = self.entries.get(id.value) {
            let line = doc.line(first.offset);
            doc.add(
                FindingCode::Duplicate,
                id.offset,
                format!("{} {:?} stands already on line {line}", self.what, id.value),
                "rename or remove one of them",
            );
            return false;
        }
        let offset = id.offset;
        self.entries.insert(id.value, Entry { key, offset });
        true
    }

    /// Returns the key of a referenced name. Where no name could be read at all, that is the
    /// finding, and references add none.
    pub(super) fn resolve(&self, doc: &mut Doc<'_>, id: At<&str>) -> Option<K> {
        if self.entries.is_empty() {
            return None;
        }
        let Some(entry) = self.entries.get(id.value) else {
            doc.add(
                FindingCode::UnknownReference,
                id.offset,
                format!("there is no {} {:?}", self.what, id.value),
                self.suggestion(),
            );
            return None;
        };
        entry.key
    }

    fn suggestion(&self) -> String {
        let mut names: Vec<_> = self.entries.keys().copied().collect();
        names.sort_unstable();
        let more = names.len().saturating_sub(MAX_SUGGESTIONS);
        names.truncate(MAX_SUGGESTIONS);
        match more {
            0 => format!("use one of: {}", names.join(", ")),
            _ => format!("use one of: {} and {more} more", names.join(", ")),
        }
    }
}
