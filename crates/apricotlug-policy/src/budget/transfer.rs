//! Transfer of tokens from one instance to another, without the platform.

use apricotlug_model::{InstanceId, UnixTime};

/// Identity of a transfer: no giver uses a number twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId {
    /// Incarnation that gives.
    pub from: InstanceId,
    /// Number among the transfers of that incarnation.
    pub number: u64,
}

/// Tokens that one instance lends to another. The giver took them out and keeps its burst smaller
/// by them until the receiver acknowledges that it has spent them, or nobody can spend them any
/// more; the receiver adds them at most once. So the tokens of all instances and messages together
/// never exceed the budget's burst.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Identity.
    pub id: TransferId,
    /// Incarnation that may add it.
    pub to: InstanceId,
    /// Client account's name, which outlives a bundle version.
    pub account: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Point from which on they may not be spent. It never lies after the end of the allotments
    /// that the giver takes them from.
    pub until: UnixTime,
}

/// What became of a transfer at its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// Added.
    Added,
    /// Added before, by this or an earlier message.
    Duplicate,
    /// Its deadline has passed.
    Expired,
    /// Meant for another instance or for an earlier incarnation.
    NotAddressee,
    /// The account is not in this instance's bundle.
    UnknownAccount,
    /// Too many live transfers are remembered; the tokens are lost.
    Full,
}
