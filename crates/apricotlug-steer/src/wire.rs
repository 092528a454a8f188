//! Messages between instances: datagrams, relay requests and relay responses.

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use thiserror::Error;

use apricotlug_adapter::{Change, Item};

use crate::pulse_capnp::{ask, busy, proof, pulse, spent, told};

/// Longest datagram that is read, in bytes.
pub const MAX_BYTES: usize = 16 * 1024;

/// Largest relay response that is read, in words of 8 bytes.
const MAX_TOLD_WORDS: usize = 8 << 20;

/// Why a message cannot be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes do not follow the message format.
    #[error("unreadable datagram: {0}")]
    Format(#[from] capnp::Error),
    /// A text field is not valid UTF-8.
    #[error("a name that is no text: {0}")]
    Text(#[from] std::str::Utf8Error),
}

/// Requests of one client account that a run has admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spent {
    /// Hash of the account's id.
    pub account: u64,
    /// Requests admitted since the start of the run.
    pub admitted: u64,
    /// Requests that arrived, in requests per tick interval.
    pub demand: f32,
}

/// Requests in flight at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy {
    /// Hash of the backend server's id.
    pub backend: u64,
    /// Requests that the sender has in flight there; the maximum stands for more.
    pub requests: u16,
}

/// Answers of the versions of a service that is being moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Number that identifies the move order.
    pub order: u64,
    /// Good and bad answers of the new version, then of the old one.
    pub counts: [u64; 4],
}

/// Datagram of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pulse {
    /// Instance name of the sender.
    pub name: String,
    /// Run of the sender.
    pub run: u64,
    /// Sequence number of the datagram within the run.
    pub sequence: u64,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
    /// Requests that the sender and the runs it reports for admitted.
    pub spent: Vec<Spent>,
    /// Requests in flight from the sender and the runs it reports for.
    pub busy: Vec<Busy>,
    /// Evidence of moves from the sender and the runs it reports for.
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
    put_spent(
        to.reborrow().init_spent(from.spent.len() as u32),
        &from.spent,
    );
    put_busy(to.reborrow().init_busy(from.busy.len() as u32), &from.busy);
    put_proofs(to.init_proofs(from.proofs.len() as u32), &from.proofs);
    pack(&message)
}

fn pack(message: &Builder<capnp::message::HeapAllocator>) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = serialize_packed::write_message(&mut bytes, message);
    bytes
}

fn put_spent(mut to: capnp::struct_list::Builder<'_, spent::Owned>, from: &[Spent]) {
    for (i, one) in from.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_account(one.account);
        to.set_admitted(one.admitted);
        to.set_demand(one.demand);
    }
}

fn get_spent(from: capnp::struct_list::Reader<'_, spent::Owned>) -> Vec<Spent> {
    let all = from.iter().map(|one| Spent {
        account: one.get_account(),
        admitted: one.get_admitted(),
        demand: one.get_demand(),
    });
    all.collect()
}

fn put_busy(mut to: capnp::struct_list::Builder<'_, busy::Owned>, from: &[Busy]) {
    for (i, one) in from.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_backend(one.backend);
        to.set_requests(one.requests);
    }
}

fn get_busy(from: capnp::struct_list::Reader<'_, busy::Owned>) -> Vec<Busy> {
    let all = from.iter().map(|one| Busy {
        backend: one.get_backend(),
        requests: one.get_requests(),
    });
    all.collect()
}

fn put_proofs(mut to: capnp::struct_list::Builder<'_, proof::Owned>, from: &[Proof]) {
    for (i, one) in from.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_order(one.order);
        to.set_new_good(one.counts[0]);
        to.set_new_bad(one.counts[1]);
        to.set_old_good(one.counts[2]);
        to.set_old_bad(one.counts[3]);
    }
}

fn get_proofs(from: capnp::struct_list::Reader<'_, proof::Owned>) -> Vec<Proof> {
    let all = from.iter().map(|one| Proof {
        order: one.get_order(),
        counts: [
            one.get_new_good(),
            one.get_new_bad(),
            one.get_old_good(),
            one.get_old_bad(),
        ],
    });
    all.collect()
}

/// Decodes a datagram.
///
/// # Errors
/// Returns an error if the bytes are not a valid message.
pub fn decode(mut bytes: &[u8]) -> Result<Pulse, WireError> {
    let message = serialize_packed::read_message(&mut bytes, ReaderOptions::new())?;
    let from = message.get_root::<pulse::Reader<'_>>()?;
    Ok(Pulse {
        name: from.get_name()?.to_str()?.to_owned(),
        run: from.get_run(),
        sequence: from.get_sequence(),
        is_leaving: from.get_is_leaving(),
        spent: get_spent(from.get_spent()?),
        busy: get_busy(from.get_busy()?),
        proofs: get_proofs(from.get_proofs()?),
    })
}

/// Request of one instance to another for changes of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// Run of the sender.
    pub run: u64,
    /// Revision up to which the sender knows the store; 0 requests all items.
    pub after: u64,
    /// Longest time to wait for a change, in milliseconds.
    pub wait_ms: u32,
    /// Requests that the sender admitted.
    pub spent: Vec<Spent>,
    /// Evidence of moves from the sender.
    pub proofs: Vec<Proof>,
    /// Requests in flight from the sender.
    pub busy: Vec<Busy>,
}

/// Response to a relay request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// Run of the responder.
    pub run: u64,
    /// Revision of the store up to which the changes go.
    pub revision: u64,
    /// Whether the changes are all items of the store.
    pub is_full: bool,
    /// Age of the responder's last store read, in milliseconds; the maximum if it has read nothing.
    pub age_ms: u32,
    /// Changes in the order in which they were made.
    pub changes: Vec<Change>,
    /// Requests admitted by all instances except the receiver.
    pub spent: Vec<Spent>,
    /// Evidence of moves from all instances except the receiver.
    pub proofs: Vec<Proof>,
    /// Requests in flight from all instances except the receiver.
    pub busy: Vec<Busy>,
}

/// Encodes a relay request.
#[must_use]
pub fn encode_ask(from: &Ask) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut to = message.init_root::<ask::Builder<'_>>();
    to.set_run(from.run);
    to.set_after(from.after);
    to.set_wait_ms(from.wait_ms);
    put_spent(
        to.reborrow().init_spent(from.spent.len() as u32),
        &from.spent,
    );
    put_proofs(
        to.reborrow().init_proofs(from.proofs.len() as u32),
        &from.proofs,
    );
    put_busy(to.init_busy(from.busy.len() as u32), &from.busy);
    pack(&message)
}

/// Decodes a relay request.
///
/// # Errors
/// Returns an error if the bytes are not a valid message.
pub fn decode_ask(mut bytes: &[u8]) -> Result<Ask, WireError> {
    let message = serialize_packed::read_message(&mut bytes, ReaderOptions::new())?;
    let from = message.get_root::<ask::Reader<'_>>()?;
    Ok(Ask {
        run: from.get_run(),
        after: from.get_after(),
        wait_ms: from.get_wait_ms(),
        spent: get_spent(from.get_spent()?),
        proofs: get_proofs(from.get_proofs()?),
        busy: get_busy(from.get_busy()?),
    })
}

/// Encodes a relay response.
#[must_use]
pub fn encode_told(from: &Told) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut to = message.init_root::<told::Builder<'_>>();
    to.set_run(from.run);
    to.set_revision(from.revision);
    to.set_is_full(from.is_full);
    to.set_age_ms(from.age_ms);
    let mut changes = to.reborrow().init_changes(from.changes.len() as u32);
    for (i, change) in from.changes.iter().enumerate() {
        let mut to = changes.reborrow().get(i as u32);
        match change {
            Change::Put(item) => {
                to.set_key(&item.key);
                to.set_value(&item.value);
                to.set_revision(item.revision);
            }
            Change::Removed(key) => {
                to.set_key(key);
                to.set_is_removed(true);
            }
        }
    }
    put_spent(
        to.reborrow().init_spent(from.spent.len() as u32),
        &from.spent,
    );
    put_proofs(
        to.reborrow().init_proofs(from.proofs.len() as u32),
        &from.proofs,
    );
    put_busy(to.init_busy(from.busy.len() as u32), &from.busy);
    pack(&message)
}

/// Decodes a relay response.
///
/// # Errors
/// Returns an error if the bytes are not a valid message.
pub fn decode_told(mut bytes: &[u8]) -> Result<Told, WireError> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_TOLD_WORDS));
    let message = serialize_packed::read_message(&mut bytes, options)?;
    let from = message.get_root::<told::Reader<'_>>()?;
    let mut changes = Vec::new();
    for one in from.get_changes()? {
        let key = one.get_key()?.to_str()?.to_owned();
        changes.push(if one.get_is_removed() {
            Change::Removed(key)
        } else {
            let (value, revision) = (one.get_value()?.to_vec(), one.get_revision());
            Change::Put(Item {
                key,
                value,
                revision,
            })
        });
    }
    Ok(Told {
        run: from.get_run(),
        revision: from.get_revision(),
        is_full: from.get_is_full(),
        age_ms: from.get_age_ms(),
        changes,
        spent: get_spent(from.get_spent()?),
        proofs: get_proofs(from.get_proofs()?),
        busy: get_busy(from.get_busy()?),
    })
}
