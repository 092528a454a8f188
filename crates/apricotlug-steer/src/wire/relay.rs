//! Relay requests and responses, by which instances read the store's items from another instance and
//! report their figures.

use std::time::Duration;

use apricotlug_adapter::{Change, Item};
use apricotlug_model::{BootTime, StoreVersion};
use capnp::{message::Builder, serialize_packed};

use super::{
    MAX_REPORT_WORDS, WireError,
    figures::{
        AccountUsage, BackendLoad, MoveEvidence, WindowUsage, read_evidence, read_loads,
        read_usage, read_windows, write_evidence, write_loads, write_numbers, write_usage,
        write_windows,
    },
    pack, reader_options,
};
use crate::pulse_capnp::{ask, told};

/// Largest relay response that is read, in words of 8 bytes.
const MAX_RESPONSE_WORDS: usize = 8 << 20;

/// Most by which an age in whole milliseconds is too low.
const ROUNDING: Duration = Duration::from_millis(1);

/// Request of one instance to another for changes of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayRequest {
    /// Run of the sender.
    pub run: u64,
    /// Version up to which the sender knows the store; revision 0 requests all items.
    pub after: StoreVersion,
    /// Longest time to wait for a change, in milliseconds.
    pub wait_ms: u32,
    /// Requests that the sender admitted.
    pub usage: Vec<AccountUsage>,
    /// Evidence of moves from the sender.
    pub evidence: Vec<MoveEvidence>,
    /// Requests in flight from the sender.
    pub loads: Vec<BackendLoad>,
    /// Closed windows of usage that the receiver has not confirmed yet.
    pub windows: Vec<WindowUsage>,
}

/// Response to a relay request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayResponse {
    /// Run of the responder.
    pub run: u64,
    /// Version of the store up to which the changes go.
    pub version: StoreVersion,
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
    /// Hashes of the names of the known instances whose figures these sums lack.
    pub missing: Vec<u64>,
    /// Numbers of the windows of usage that the responder holds now.
    pub confirmed: Vec<u64>,
}

/// Encodes a relay request.
#[must_use]
pub fn encode_relay_request(source: &RelayRequest) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut builder = message.init_root::<ask::Builder<'_>>();
    builder.set_run(source.run);
    builder.set_after(source.after.revision);
    builder.set_wait_ms(source.wait_ms);
    write_usage(
        builder.reborrow().init_spent(source.usage.len() as u32),
        &source.usage,
    );
    write_evidence(
        builder.reborrow().init_proofs(source.evidence.len() as u32),
        &source.evidence,
    );
    write_loads(
        builder.reborrow().init_busy(source.loads.len() as u32),
        &source.loads,
    );
    builder.set_era(source.after.era);
    write_windows(
        builder.reborrow().init_windows(source.windows.len() as u32),
        &source.windows,
    );
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
        after: StoreVersion::new(reader.get_era(), reader.get_after()),
        wait_ms: reader.get_wait_ms(),
        usage: read_usage(reader.get_spent()?),
        evidence: read_evidence(reader.get_proofs()?),
        loads: read_loads(reader.get_busy()?),
        windows: read_windows(reader.get_windows()?)?,
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
    builder.set_revision(source.version.revision);
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
    write_loads(
        builder.reborrow().init_busy(source.loads.len() as u32),
        &source.loads,
    );
    write_numbers(
        builder.reborrow().init_missing(source.missing.len() as u32),
        &source.missing,
    );
    builder.set_era(source.version.era);
    write_numbers(
        builder
            .reborrow()
            .init_confirmed(source.confirmed.len() as u32),
        &source.confirmed,
    );
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
        version: StoreVersion::new(reader.get_era(), reader.get_revision()),
        is_full: reader.get_is_full(),
        age_ms: reader.get_age_ms(),
        held_ms: reader.get_held_ms(),
        is_behind: reader.get_is_behind(),
        changes,
        usage: read_usage(reader.get_spent()?),
        evidence: read_evidence(reader.get_proofs()?),
        loads: read_loads(reader.get_busy()?),
        missing: reader.get_missing()?.iter().collect(),
        confirmed: reader.get_confirmed()?.iter().collect(),
    })
}
