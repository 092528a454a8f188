//! What decides the order of a request under scarcity.

use super::rank::Rank;

/// Request as far as it matters for its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedRequest {
    /// Rank.
    pub rank: Rank,
    /// Number that identifies the client account.
    pub account: u64,
    /// Whether the caller probably comes back after a refusal.
    pub is_returning: bool,
}

/// Room for a request, as far as this instance knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// How short of room the backend servers of the region are, 0 to 1.
    pub shortage: f64,
    /// Whether the chosen backend server reported its load itself a short time ago, so that a slot
    /// that looks free is free.
    pub has_fresh_load: bool,
}
