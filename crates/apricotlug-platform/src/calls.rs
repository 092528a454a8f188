//! Counters of the calls made to the platform, which counts each one.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Read of a key or a prefix.
    Read,
    /// Transaction: compare-and-swap or compare-and-delete.
    Write,
    /// Grant, keep-alive or revocation of a lease.
    Lease,
    /// Opened watch.
    Watch,
}

impl CallKind {
    /// Every kind, in the order of the counters.
    pub const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Lease, Self::Watch];

    /// Returns the name that metrics use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Lease => "lease",
            Self::Watch => "watch",
        }
    }
}

/// Counters by kind, shared by all clones of a client.
#[derive(Debug, Default)]
pub struct Calls {
    made: [AtomicU64; 4],
    failed: [AtomicU64; 4],
}

/// Counts of one kind of call since the client was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Attempts, refused connections included.
    pub made: u64,
    /// Attempts without a usable answer.
    pub failed: u64,
}

impl Calls {
    /// Counts an attempt.
    pub(crate) fn count_made(&self, kind: CallKind) {
        self.made[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt that brought no usable answer.
    pub(crate) fn count_failed(&self, kind: CallKind) {
        self.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts of one kind.
    #[must_use]
    pub fn of(&self, kind: CallKind) -> CallCounts {
        CallCounts {
            made: self.made[kind as usize].load(Ordering::Relaxed),
            failed: self.failed[kind as usize].load(Ordering::Relaxed),
        }
    }

    /// Returns the attempts of all kinds.
    #[must_use]
    pub fn total(&self) -> u64 {
        CallKind::ALL.iter().map(|kind| self.of(*kind).made).sum()
    }
}
