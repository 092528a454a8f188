//! Members of the fleet: their records, which are gossiped when they change, and their state.

use std::{net::SocketAddr, sync::Arc};

use apricotlug_model::InstanceId;
use sha2::{Digest, Sha256};

/// State of a member. Between records of the same version the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Leaving,
    /// No recent heartbeat was received. Local view only, never announced.
    Suspect,
    /// Has left, or has sent no heartbeat for so long that it counts as failed.
    Dead,
}

/// Addresses that an instance advertises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Addresses {
    /// Address to which callers send requests.
    pub caller: SocketAddr,
    /// Address of the look-up for entry instances.
    pub lookup: SocketAddr,
    /// Address of the RPC listener for other instances.
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

/// Returns the first 64 bits of the SHA-256 of the concatenated parts.
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

/// Versions of the replicated data that an instance holds. The status page shows them, and chunks
/// are fetched from instances that hold the needed bundle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Progress {
    /// Version of the newest complete bundle; 0 for none.
    pub bundle: u64,
    /// Hash of the set of withdrawn keys; 0 for the empty set.
    pub withdrawn: u64,
}

/// Record of a member. Only the member itself increments `generation` and `version`; others may
/// only declare it dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Instance name and incarnation.
    pub id: InstanceId,
    /// Orders the runs of an instance name: wall clock at start, in microseconds, raised if it must
    /// exceed that of an earlier run.
    pub generation: u64,
    /// Number of changes within the run, refutations of a declared death included.
    pub version: u32,
    /// State announced by the member, or `Dead` as declared by others.
    pub state: State,
    /// Data centre name from the settings.
    pub data_centre: String,
    /// Advertised addresses.
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

    /// Returns a 32-bit hash that distinguishes the runs of an instance name.
    #[must_use]
    pub fn run(&self) -> u32 {
        let parts: [&[u8]; 2] = [
            &self.generation.to_be_bytes(),
            &self.id.incarnation.to_be_bytes(),
        ];
        (hash64(&parts) >> 32) as u32
    }

    /// Returns a number that increases with version and state within a run.
    #[must_use]
    pub fn revision(&self) -> u32 {
        self.version << 2 | self.state as u32
    }
}

/// Member as seen by this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Newest known record of the member.
    pub record: Arc<MemberRecord>,
    /// State as seen by this instance, missing heartbeats taken into account.
    pub state: State,
    /// Load in thousandths of its capacity; `None` for members of other data centres.
    pub load: Option<u16>,
    /// Lower bound of what the member holds; for members of other data centres, the minimum over
    /// all live instances of that data centre.
    pub progress: Progress,
}
