//! Datagrams, in which instances report their figures to all others.

use capnp::{message::Builder, serialize_packed};

use super::{
    MAX_REPORT_WORDS, WireError,
    figures::{
        AccountUsage, BackendLoad, MoveEvidence, read_evidence, read_loads, read_usage,
        write_evidence, write_loads, write_numbers, write_usage,
    },
    pack, reader_options,
};
use crate::pulse_capnp::pulse;

/// Longest datagram that is read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

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
    /// Hashes of the names of the instances whose figures these are.
    pub covered: Vec<u64>,
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
        builder.reborrow().init_proofs(source.evidence.len() as u32),
        &source.evidence,
    );
    write_numbers(
        builder.reborrow().init_covered(source.covered.len() as u32),
        &source.covered,
    );
    pack(&message)
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
        covered: reader.get_covered()?.iter().collect(),
    })
}
