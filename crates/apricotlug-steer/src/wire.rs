//! Datagrams between instances.

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use thiserror::Error;

use crate::pulse_capnp::pulse;

/// Longest datagram that is sent, in bytes: it fits one packet of a usual link with its headers.
pub const MAX_BYTES: usize = 16 * 1024;

/// Why a datagram cannot be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes break the format.
    #[error("unreadable datagram: {0}")]
    Format(#[from] capnp::Error),
    /// A text is not UTF-8.
    #[error("a name that is no text: {0}")]
    Text(#[from] std::str::Utf8Error),
}

/// What a run admitted of a client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spent {
    /// Hash of the account's name.
    pub account: u64,
    /// Requests since the start of the run.
    pub admitted: u64,
    /// Requests that come in between two ticks.
    pub demand: f32,
}

/// Requests at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy {
    /// Hash of the backend server's name.
    pub backend: u64,
    /// Requests that the sender has there.
    pub requests: u16,
}

/// Answers of the versions of a service that moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Number of the order to move it.
    pub order: u64,
    /// Good and bad answers of the new version, then of the old one.
    pub counts: [u64; 4],
}

/// Datagram of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pulse {
    /// Name of the sender.
    pub name: String,
    /// Run of the sender.
    pub run: u64,
    /// Number of the datagram within the run.
    pub sequence: u64,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
    /// What it admitted.
    pub spent: Vec<Spent>,
    /// Where its requests are.
    pub busy: Vec<Busy>,
    /// What it saw of moves.
    pub proofs: Vec<Proof>,
}

/// Encodes a datagram.
#[must_use]
pub fn encode(from: &Pulse) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut to = message.init_root::<pulse::Builder<'_>>();
    to.set_name(&from.name);
    to.set_run(from.run);
    to.set_sequence(from.sequence);
    to.set_is_leaving(from.is_leaving);
    let mut spent = to.reborrow().init_spent(from.spent.len() as u32);
    for (i, one) in from.spent.iter().enumerate() {
        let mut to = spent.reborrow().get(i as u32);
        to.set_account(one.account);
        to.set_admitted(one.admitted);
        to.set_demand(one.demand);
    }
    let mut busy = to.reborrow().init_busy(from.busy.len() as u32);
    for (i, one) in from.busy.iter().enumerate() {
        let mut to = busy.reborrow().get(i as u32);
        to.set_backend(one.backend);
        to.set_requests(one.requests);
    }
    let mut proofs = to.reborrow().init_proofs(from.proofs.len() as u32);
    for (i, one) in from.proofs.iter().enumerate() {
        let mut to = proofs.reborrow().get(i as u32);
        to.set_order(one.order);
        to.set_new_good(one.counts[0]);
        to.set_new_bad(one.counts[1]);
        to.set_old_good(one.counts[2]);
        to.set_old_bad(one.counts[3]);
    }
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = serialize_packed::write_message(&mut bytes, &message);
    bytes
}

/// Decodes a datagram.
///
/// # Errors
/// Returns why it cannot be read.
pub fn decode(mut bytes: &[u8]) -> Result<Pulse, WireError> {
    let message = serialize_packed::read_message(&mut bytes, ReaderOptions::new())?;
    let from = message.get_root::<pulse::Reader<'_>>()?;
    let spent = from.get_spent()?.iter().map(|one| Spent {
        account: one.get_account(),
        admitted: one.get_admitted(),
        demand: one.get_demand(),
    });
    let busy = from.get_busy()?.iter().map(|one| Busy {
        backend: one.get_backend(),
        requests: one.get_requests(),
    });
    let proofs = from.get_proofs()?.iter().map(|one| Proof {
        order: one.get_order(),
        counts: [
            one.get_new_good(),
            one.get_new_bad(),
            one.get_old_good(),
            one.get_old_bad(),
        ],
    });
    Ok(Pulse {
        name: from.get_name()?.to_str()?.to_owned(),
        run: from.get_run(),
        sequence: from.get_sequence(),
        is_leaving: from.get_is_leaving(),
        spent: spent.collect(),
        busy: busy.collect(),
        proofs: proofs.collect(),
    })
}
