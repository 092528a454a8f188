//! Transfer of a part from one instance to another, without the platform.

use apricotlug_model::{InstanceId, UnixTime};

use crate::budget::Part;

/// Identity of a transfer: no giver uses a number twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId {
    /// Incarnation that gives.
    pub from: InstanceId,
    /// Number among the transfers of that incarnation.
    pub number: u64,
}

/// Part on its way. The giver subtracted it before it sent the message; the receiver adds it at
/// most once, and spends from it until the deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Identity.
    pub id: TransferId,
    /// Incarnation that may add it.
    pub to: InstanceId,
    /// Client account's name, which outlives a bundle version.
    pub account: String,
    /// Whole budget of the client account in the giver's bundle.
    pub budget: Part,
    /// What is given.
    pub part: Part,
    /// Tokens that go along, at most the burst of the part.
    pub tokens: u64,
    /// End of the giver's own allotment.
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
    /// Too many live transfers are held; the part is lost until its deadline.
    Full,
}
