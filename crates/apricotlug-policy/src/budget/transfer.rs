//! Transfer of tokens from one instance to another, without a call to the platform.

use apricotlug_model::{InstanceId, UnixTime};

/// Identifier of a transfer; no lender uses a number twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId {
    /// Instance and incarnation that lends.
    pub from: InstanceId,
    /// Sequence number among the transfers of that incarnation.
    pub number: u64,
}

/// Tokens that one instance lends to another. The lender removes them from its bucket and reduces
/// its burst by them until the borrower acknowledges that it has spent them, or nobody can spend
/// them any more; the borrower adds them at most once. So the tokens of all instances and messages
/// together never exceed the budget's burst.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Identifier, by which the borrower detects duplicates and the lender matches
    /// acknowledgements.
    pub id: TransferId,
    /// Instance and incarnation that may add the tokens.
    pub to: InstanceId,
    /// Identifier of the client account, which stays the same across bundle versions.
    pub account: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Deadline from which on they may not be spent. It is never later than the deadline of any
    /// allotment that the lender holds when it lends them.
    pub until: UnixTime,
}

/// Result of a transfer at its borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The tokens were added.
    Added,
    /// The tokens were added before, from another copy of the message.
    Duplicate,
    /// Its deadline has passed.
    Expired,
    /// It is addressed to another instance or incarnation, or this instance is shutting down.
    NotAddressee,
    /// The account is not in this instance's bundle.
    UnknownAccount,
    /// Too many unexpired transfers are remembered; the tokens are lost.
    Full,
}
