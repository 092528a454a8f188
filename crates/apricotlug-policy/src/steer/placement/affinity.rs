//! Object affinity: every instance sends the requests for an object to the same backend servers.
//!
//! Rendezvous hashing ranks all backend servers for each object. Each instance computes the ranking
//! on its own, and a backend server that joins or leaves moves only the objects that it holds.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Hashes an object's name within a service.
#[must_use]
pub fn object_hash(service: &str, object: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(service.as_bytes());
    hasher.write_u8(0);
    hasher.write(object.as_bytes());
    mix(hasher.finish())
}

/// Returns the weight of a backend server for an object, given the hashes of both. The backend
/// server with the highest weight is the object's first choice.
#[must_use]
pub fn rank_weight(backend: u64, object: u64) -> u64 {
    mix(backend ^ object.rotate_left(32))
}

/// Spreads each bit of a hash over all bits of the result (finalizer of SplitMix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
