//! Version of what is known of the platform's store.

use std::fmt;

/// Version of what is known of the platform's store.
///
/// A revision alone doesn't order two states: a store that came back from an older copy gives the
/// same revisions out again. It then has a higher era, and versions compare by era first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion {
    /// Era of the store: how often it came back from a copy; 0 for a store that names none.
    pub era: u64,
    /// Revision within the era; 0 if nothing is known.
    pub revision: u64,
}

impl StoreVersion {
    /// Creates a version.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the same era before its first revision: nothing of it is known.
    #[must_use]
    pub const fn start_of_era(self) -> Self {
        Self {
            era: self.era,
            revision: 0,
        }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
