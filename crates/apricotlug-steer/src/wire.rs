//! Messages between instances: datagrams, relay requests and relay responses.

use std::time::Duration;

use capnp::{
    message::{Builder, ReaderOptions},
    serialize_packed,
};
use thiserror::Error;

use apricotlug_adapter::{Change, Item};
use apricotlug_model::BootTime;

use crate::pulse_capnp::{ask, busy, proof, pulse, spent, told};

/// Longest datagram that is read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Largest datagram or relay request that is read, unpacked, in words of 8 bytes. A few bytes can
/// claim far more.
const MAX_REPORT_WORDS: usize = 256 << 10;

/// Most words that a byte of a packed message may stand for. Packing shortens runs of zeros only.
const MAX_WORDS_PER_BYTE: usize = 16;

/// Largest relay response that is read, in words of 8 bytes.
const MAX_RESPONSE_WORDS: usize = 8 << 20;

/// Most by which an age in whole milliseconds is too low.
const ROUNDING: Duration = Duration::from_millis(1);

/// Why a message cannot be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes do not follow the message format.
    #[error("malformed message: {0}")]
    Format(#[from] capnp::Error),
    /// A text field is not valid UTF-8.
    #[error("text field is not valid UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
}

/// Requests of one client account that a run has admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountUsage {
    /// Hash of the account's id.
    pub account: u64,
    /// Requests admitted since the start of the run.
    pub admitted: u64,
    /// Requests that arrived, in requests per tick interval.
    pub demand: f32,
}

/// Requests in flight at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Hash of the backend server's id.
    pub backend: u64,
    /// Requests that the sender has in flight there; the maximum stands for more.
    pub requests: u16,
}

/// Responses of the versions of a service that is being moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveEvidence {
    /// Number that identifies the move order.
    pub order: u64,
    /// Good and bad responses of the new version, then of the old one.
    pub counts: [u64; 4],
}

/// Datagram of one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatusDatagram {
    /// Instance name of the sender.
    pub name: String,
    /// Run of the sender.
    pub run: u64,
    /// Sequence number of the datagram within the run.
    pub sequence: u64,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
    /// Requests that the sender and the runs it reports for admitted.
    pub usage: Vec<AccountUsage>,
    /// Requests in flight from the sender and the runs it reports for.
    pub loads: Vec<BackendLoad>,
    /// Evidence of moves from the sender and the runs it reports for.
    pub evidence: Vec<MoveEvidence>,
}

/// Encodes a datagram.
#[must_use]
pub fn encode_datagram(source: &StatusDatagram) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut builder = message.init_root::<pulse::Builder<'_>>();
    builder.set_name(&source.name);
    builder.set_run(source.run);
    builder.set_sequence(source.sequence);
    builder.set_is_leaving(source.is_leaving);
    write_usage(
        builder.reborrow().init_spent(source.usage.len() as u32),
        &source.usage,
    );
    write_loads(
        builder.reborrow().init_busy(source.loads.len() as u32),
        &source.loads,
    );
    write_evidence(
        builder.init_proofs(source.evidence.len() as u32),
        &source.evidence,
    );
    pack(&message)
}

fn pack(message: &Builder<capnp::message::HeapAllocator>) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = serialize_packed::write_message(&mut bytes, message);
    bytes
}

/// Returns the options for reading a packed message of `len` bytes.
fn reader_options(max_words: usize, len: usize) -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(max_words.min(len * MAX_WORDS_PER_BYTE)));
    options
}

fn write_usage(
    mut builder: capnp::struct_list::Builder<'_, spent::Owned>,
    source: &[AccountUsage],
) {
    for (i, entry) in source.iter().enumerate() {
        let mut builder = builder.reborrow().get(i as u32);
        builder.set_account(entry.account);
        builder.set_admitted(entry.admitted);
        builder.set_demand(entry.demand);
    }
}

fn read_usage(reader: capnp::struct_list::Reader<'_, spent::Owned>) -> Vec<AccountUsage> {
    let entries = reader.iter().map(|entry| AccountUsage {
        account: entry.get_account(),
        admitted: entry.get_admitted(),
        // A share of all demand is computed from it, so that one odd number would spoil all.
        demand: Some(entry.get_demand())
            .filter(|demand| demand.is_finite())
            .map_or(0.0, |demand| demand.max(0.0)),
    });
    entries.collect()
}

fn write_loads(mut builder: capnp::struct_list::Builder<'_, busy::Owned>, source: &[BackendLoad]) {
    for (i, entry) in source.iter().enumerate() {
        let mut builder = builder.reborrow().get(i as u32);
        builder.set_backend(entry.backend);
        builder.set_requests(entry.requests);
    }
}

fn read_loads(reader: capnp::struct_list::Reader<'_, busy::Owned>) -> Vec<BackendLoad> {
    let entries = reader.iter().map(|entry| BackendLoad {
        backend: entry.get_backend(),
        requests: entry.get_requests(),
    });
    entries.collect()
}

fn write_evidence(
    mut builder: capnp::struct_list::Builder<'_, proof::Owned>,
    source: &[MoveEvidence],
) {
    for (i, entry) in source.iter().enumerate() {
        let mut builder = builder.reborrow().get(i as u32);
        builder.set_order(entry.order);
        builder.set_new_good(entry.counts[0]);
        builder.set_new_bad(entry.counts[1]);
        builder.set_old_good(entry.counts[2]);
        builder.set_old_bad(entry.counts[3]);
    }
}

fn read_evidence(reader: capnp::struct_list::Reader<'_, proof::Owned>) -> Vec<MoveEvidence> {
    let entries = reader.iter().map(|entry| MoveEvidence {
        order: entry.get_order(),
        counts: [
            entry.get_new_good(),
            entry.get_new_bad(),
            entry.get_old_good(),
            entry.get_old_bad(),
        ],
    });
    entries.collect()
}

/// Decodes a datagram.
///
/// # Errors
/// Returns an error if the bytes are not a valid message.
pub fn decode_datagram(mut bytes: &[u8]) -> Result<StatusDatagram, WireError> {
    let options = reader_options(MAX_REPORT_WORDS, bytes.len());
    let message = serialize_packed::read_message(&mut bytes, options)?;
    let reader = message.get_root::<pulse::Reader<'_>>()?;
    Ok(StatusDatagram {
        name: reader.get_name()?.to_str()?.to_owned(),
        run: reader.get_run(),
        sequence: reader.get_sequence(),
        is_leaving: reader.get_is_leaving(),
        usage: read_usage(reader.get_spent()?),
        loads: read_loads(reader.get_busy()?),
        evidence: read_evidence(reader.get_proofs()?),
    })
}

/// Request of one instance to another for changes of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayRequest {
    /// Run of the sender.
    pub run: u64,
    /// Revision up to which the sender knows the store; 0 requests all items.
    pub after: u64,
    /// Longest time to wait for a change, in milliseconds.
    pub wait_ms: u32,
    /// Requests that the sender admitted.
    pub usage: Vec<AccountUsage>,
    /// Evidence of moves from the sender.
    pub evidence: Vec<MoveEvidence>,
    /// Requests in flight from the sender.
    pub loads: Vec<BackendLoad>,
}

/// Response to a relay request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayResponse {
    /// Run of the responder.
    pub run: u64,
    /// Revision of the store up to which the changes go.
    pub revision: u64,
    /// Whether the changes are all items of the store.
    pub is_full: bool,
    /// Age of the responder's last store read when it responded, in milliseconds; the maximum if it
    /// has read nothing.
    pub age_ms: u32,
    /// Time for which the responder held the request, in milliseconds.
    pub held_ms: u32,
    /// Whether the responder does not know its state to be current: its own read of the store is
    /// overdue, or it reads from another instance.
    pub is_behind: bool,
    /// Changes in the order in which they were made.
    pub changes: Vec<Change>,
    /// Requests admitted by all instances except the receiver.
    pub usage: Vec<AccountUsage>,
    /// Evidence of moves from all instances except the receiver.
    pub evidence: Vec<MoveEvidence>,
    /// Requests in flight from all instances except the receiver.
    pub loads: Vec<BackendLoad>,
}

/// Encodes a relay request.
#[must_use]
pub fn encode_relay_request(source: &RelayRequest) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut builder = message.init_root::<ask::Builder<'_>>();
    builder.set_run(source.run);
    builder.set_after(source.after);
    builder.set_wait_ms(source.wait_ms);
    write_usage(
        builder.reborrow().init_spent(source.usage.len() as u32),
        &source.usage,
    );
    write_evidence(
        builder.reborrow().init_proofs(source.evidence.len() as u32),
        &source.evidence,
    );
    write_loads(builder.init_busy(source.loads.len() as u32), &source.loads);
    pack(&message)
}

/// Decodes a relay request.
///
/// # Errors
/// Returns an error if the bytes are not a valid message.
pub fn decode_relay_request(mut bytes: &[u8]) -> Result<RelayRequest, WireError> {
    let options = reader_options(MAX_REPORT_WORDS, bytes.len());
    let message = serialize_packed::read_message(&mut bytes, options)?;
    let reader = message.get_root::<ask::Reader<'_>>()?;
    Ok(RelayRequest {
        run: reader.get_run(),
        after: reader.get_after(),
        wait_ms: reader.get_wait_ms(),
        usage: read_usage(reader.get_spent()?),
        evidence: read_evidence(reader.get_proofs()?),
        loads: read_loads(reader.get_busy()?),
    })
}

impl RelayResponse {
    /// Returns the time of the responder's last store read, on the clock on which the request was
    /// sent; `None` if it has read nothing.
    ///
    /// How long either message was under way is not known. So the response counts as made at once
    /// after the request arrived and was held, and the request as arrived when it was sent.
    #[must_use]
    pub fn read_at(&self, requested_at: BootTime) -> Option<BootTime> {
        let ms = |ms: u32| Duration::from_millis(ms.into());
        (self.age_ms < u32::MAX).then(|| {
            requested_at
                .after(ms(self.held_ms))
                .before(ms(self.age_ms).saturating_add(ROUNDING))
        })
    }
}

/// Encodes a relay response.
#[must_use]
pub fn encode_relay_response(source: &RelayResponse) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut builder = message.init_root::<told::Builder<'_>>();
    builder.set_run(source.run);
    builder.set_revision(source.revision);
    builder.set_is_full(source.is_full);
    builder.set_age_ms(source.age_ms);
    builder.set_held_ms(source.held_ms);
    builder.set_is_behind(source.is_behind);
    let mut changes = builder.reborrow().init_changes(source.changes.len() as u32);
    for (i, change) in source.changes.iter().enumerate() {
        let mut builder = changes.reborrow().get(i as u32);
        match change {
            Change::Put(item) => {
                builder.set_key(&item.key);
                builder.set_value(&item.value);
                builder.set_revision(item.revision);
            }
            Change::Removed(key) => {
                builder.set_key(key);
                builder.set_is_removed(true);
            }
        }
    }
    write_usage(
        builder.reborrow().init_spent(source.usage.len() as u32),
        &source.usage,
    );
    write_evidence(
        builder.reborrow().init_proofs(source.evidence.len() as u32),
        &source.evidence,
    );
    write_loads(builder.init_busy(source.loads.len() as u32), &source.loads);
    pack(&message)
}

/// Decodes a relay response.
///
/// # Errors
/// Returns an error if the bytes are not a valid message.
pub fn decode_relay_response(mut bytes: &[u8]) -> Result<RelayResponse, WireError> {
    let options = reader_options(MAX_RESPONSE_WORDS, bytes.len());
    let message = serialize_packed::read_message(&mut bytes, options)?;
    let reader = message.get_root::<told::Reader<'_>>()?;
    let mut changes = Vec::new();
    for entry in reader.get_changes()? {
        let key = entry.get_key()?.to_str()?.to_owned();
        changes.push(if entry.get_is_removed() {
            Change::Removed(key)
        } else {
            let (value, revision) = (entry.get_value()?.to_vec(), entry.get_revision());
            Change::Put(Item {
                key,
                value,
                revision,
            })
        });
    }
    Ok(RelayResponse {
        run: reader.get_run(),
        revision: reader.get_revision(),
        is_full: reader.get_is_full(),
        age_ms: reader.get_age_ms(),
        held_ms: reader.get_held_ms(),
        is_behind: reader.get_is_behind(),
        changes,
        usage: read_usage(reader.get_spent()?),
        evidence: read_evidence(reader.get_proofs()?),
        loads: read_loads(reader.get_busy()?),
    })
}
