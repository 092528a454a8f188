//! Budget transfers: opaque payloads that a receiver applies at most once.

use std::collections::BTreeMap;

use apricotlug_model::UnixTime;

/// Largest payload, in bytes.
pub const MAX_TRANSFER_BYTES: usize = 16 * 1024;
/// Most transfer ids kept at once.
const MAX_IDS: usize = 16 * 1024;

/// Identity of a transfer, drawn at random by its giver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(pub u128);

/// Part of a budget handed to another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Identity; repeats carry the same.
    pub id: TransferId,
    /// Point after which the receiver refuses it.
    pub expires: UnixTime,
    /// Opaque payload.
    pub payload: Vec<u8>,
}

/// What the receiver did with a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferOutcome {
    /// Applied by this call.
    Applied,
    /// Applied by an earlier call.
    Duplicate,
    /// Refused, as its time is over.
    Expired,
    /// Refused, as the run it was meant for is gone.
    Gone,
    /// Refused, as too many ids are being kept.
    Full,
}

/// Ids of transfers that were applied, each kept until the transfer expires.
#[derive(Debug, Default)]
pub struct TransferLog {
    expiries: BTreeMap<TransferId, UnixTime>,
    latest: UnixTime,
}

impl TransferLog {
    /// Decides about a transfer and notes its id. The caller applies it on `Applied` only.
    ///
    /// A wall clock that was set back does not revive what had expired.
    pub fn admit(&mut self, transfer: &Transfer, now: UnixTime) -> TransferOutcome {
        self.latest = self.latest.max(now);
        let latest = self.latest;
        if transfer.expires.is_past(latest) {
            return TransferOutcome::Expired;
        }
        if self.expiries.contains_key(&transfer.id) {
            return TransferOutcome::Duplicate;
        }
        if self.expiries.len() >= MAX_IDS {
            self.expiries.retain(|_, expires| !expires.is_past(latest));
        }
        if self.expiries.len() >= MAX_IDS {
            return TransferOutcome::Full;
        }
        self.expiries.insert(transfer.id, transfer.expires);
        TransferOutcome::Applied
    }
}
