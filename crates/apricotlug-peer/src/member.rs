//! Members of the fleet: records that spread on change, and pulses that spread all the time.

use std::{net::SocketAddr, sync::Arc};

use apricotlug_model::InstanceId;
use sha2::{Digest, Sha256};

/// State of a member. A later variant wins over an earlier one of the same record version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes no more.
    Leaving,
    /// Has not been heard of for a while.
    Suspect,
    /// Has left, or has been silent for so long that it counts as gone.
    Dead,
}

/// Addresses of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Addresses {
    /// Where callers send requests.
    pub caller: SocketAddr,
    /// Where callers ask for entry instances.
    pub lookup: SocketAddr,
    /// Where other instances call.
    pub peer: SocketAddr,
}

/// First 64 bits of the SHA-256 of a name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Hashes a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(hash64(&[name.as_bytes()]))
    }
}

/// Returns the first 64 bits of the SHA-256 over the parts.
pub(crate) fn hash64(parts: &[&[u8]]) -> u64 {
    let mut sha = Sha256::new();
    for part in parts {
        sha.update(part);
    }
    let digest = sha.finalize();
    digest[..8]
        .iter()
        .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// What an instance holds: compared for the status page and as a source of chunks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Progress {
    /// Version of the complete bundle; 0 for none.
    pub bundle: u64,
    /// Hash of the set of withdrawn keys; 0 for the empty set.
    pub withdrawn: u64,
}

/// Record of a member. Only the member itself raises `generation` and `version`; others may only
/// declare it dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name and incarnation.
    pub id: InstanceId,
    /// Orders the runs of a name: wall clock at start, in microseconds, raised when it must win
    /// over an earlier run.
    pub generation: u64,
    /// Counts the changes within a run, refutations included.
    pub version: u32,
    /// Announced or declared state.
    pub state: State,
    /// Data centre from the settings.
    pub data_centre: String,
    /// Addresses.
    pub addresses: Addresses,
}

impl MemberRecord {
    /// Returns the key by which records of one member are ordered; the highest wins.
    #[must_use]
    pub fn rank(&self) -> (u64, u64, u32, State) {
        (
            self.generation,
            self.id.incarnation,
            self.version,
            self.state,
        )
    }

    /// Returns the short hash that tells runs of a name apart.
    #[must_use]
    pub fn run(&self) -> u32 {
        let parts: [&[u8]; 2] = [
            &self.generation.to_be_bytes(),
            &self.id.incarnation.to_be_bytes(),
        ];
        (hash64(&parts) >> 32) as u32
    }

    /// Returns a number that grows with version and state within a run.
    #[must_use]
    pub fn revision(&self) -> u32 {
        self.version << 2 | self.state as u32
    }
}

/// Member as seen by this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Record.
    pub record: Arc<MemberRecord>,
    /// State as seen from here, with silence taken into account.
    pub state: State,
    /// Load in thousandths of its capacity; `None` for members of other data centres.
    pub load: Option<u16>,
    /// What the member holds, at least; members of other data centres show what every instance
    /// of theirs holds.
    pub progress: Progress,
}
