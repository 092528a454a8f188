//! Decoding of Cap'n Proto messages; every limit is checked.

use capnp::{data_list, primitive_list, text_list};

use crate::{
    BundleHead, ChunkHash, DataCentreBeat, DataDigest, DigestEntry, Exchange, MAX_CHUNKS,
    MAX_KEY_BYTES, MAX_RECORD_BYTES, MemberDigest, MemberRecord, NameHash, NamedRecord, PeerError,
    Progress, Pulse, RecordStamp, Summary,
    membership::{MAX_DIGEST_ENTRIES, MAX_MEMBERS_PER_MESSAGE, MAX_WANTS},
    peer_capnp::{beats, digest, exchange, head, pulses, record, record_stamp, summary},
    replicated::{MAX_KEYS, MAX_KEYS_PER_MESSAGE, MAX_RECORDS},
};

/// Maximum number of summaries, digests or beat counters in one message.
const MAX_DATA_CENTRES: u32 = 128;
/// Maximum number of pulses in one message.
const MAX_PULSES: u32 = 256;

impl TryFrom<exchange::Reader<'_>> for Exchange {
    type Error = PeerError;

    fn try_from(reader: exchange::Reader) -> Result<Self, PeerError> {
        let mut msg = Self {
            sender: NameHash(reader.get_sender()),
            data_centre: NameHash(reader.get_data_centre()),
            round: reader.get_round(),
            data: DataDigest {
                progress: Progress {
                    bundle: reader.get_bundle(),
                    withdrawn: reader.get_withdrawn(),
                },
                records: reader.get_records(),
            },
            ..Self::default()
        };
        read_members(reader, &mut msg)?;
        read_data(reader, &mut msg)?;
        Ok(msg)
    }
}

fn read_members(reader: exchange::Reader, msg: &mut Exchange) -> Result<(), PeerError> {
    let summaries = reader.get_summaries()?;
    limit(summaries.len(), MAX_DATA_CENTRES)?;
    msg.summaries = summaries.iter().map(Summary::from).collect();
    if reader.has_beats() {
        msg.beats = read_beats(reader.get_beats()?)?;
    }
    if reader.has_pulses() {
        msg.pulses = read_pulses(reader.get_pulses()?)?;
    }
    let digests = reader.get_digests()?;
    limit(digests.len(), MAX_DATA_CENTRES)?;
    msg.digests = digests
        .iter()
        .map(MemberDigest::try_from)
        .collect::<Result<_, _>>()?;
    msg.wants = hashes(reader.get_wants()?, MAX_WANTS)?;
    let members = reader.get_members()?;
    limit(members.len(), MAX_MEMBERS_PER_MESSAGE as u32)?;
    msg.members = members
        .iter()
        .map(MemberRecord::try_from)
        .collect::<Result<_, _>>()?;
    Ok(())
}

fn read_data(reader: exchange::Reader, msg: &mut Exchange) -> Result<(), PeerError> {
    if reader.has_head() {
        msg.head = Some(BundleHead::try_from(reader.get_head()?)?);
    }
    msg.withdrawn = read_keys(reader.get_withdrawn_keys()?)?;
    msg.withdrawn_digest = hashes(reader.get_withdrawn_digest()?, MAX_KEYS)?;
    let stamps = reader.get_record_digest()?;
    limit(stamps.len(), MAX_RECORDS as u32)?;
    msg.record_digest = stamps.iter().map(RecordStamp::from).collect();
    let records = reader.get_named_records()?;
    limit(records.len(), MAX_RECORDS as u32)?;
    msg.records = records
        .iter()
        .map(NamedRecord::try_from)
        .collect::<Result<_, _>>()?;
    Ok(())
}

impl From<summary::Reader<'_>> for Summary {
    fn from(reader: summary::Reader) -> Self {
        Self {
            data_centre: NameHash(reader.get_data_centre()),
            hash: reader.get_hash(),
            beat: reader.get_beat(),
            floor: Progress {
                bundle: reader.get_bundle(),
                withdrawn: reader.get_withdrawn(),
            },
        }
    }
}

fn read_beats(reader: beats::Reader) -> Result<Vec<DataCentreBeat>, PeerError> {
    let data_centres = reader.get_data_centres()?;
    let beats = reader.get_beats()?;
    limit(data_centres.len(), MAX_DATA_CENTRES)?;
    if data_centres.len() != beats.len() {
        return Err(PeerError::Malformed("lists of beats differ in length"));
    }
    let beat = |i: u32| DataCentreBeat {
        data_centre: data_centres.get(i),
        beat: beats.get(i),
    };
    Ok((0..data_centres.len()).map(beat).collect())
}

fn read_pulses(reader: pulses::Reader) -> Result<Vec<Pulse>, PeerError> {
    let ids = reader.get_ids()?;
    let runs = reader.get_runs()?;
    let revisions = reader.get_revisions()?;
    let heartbeats = reader.get_heartbeats()?;
    let loads = reader.get_loads()?;
    let progress = reader.get_progress()?;
    let table = reader.get_table()?;
    limit(ids.len(), MAX_PULSES)?;
    let others = [
        runs.len(),
        revisions.len(),
        heartbeats.len(),
        loads.len(),
        progress.len(),
    ];
    if others.iter().any(|len| *len != ids.len()) {
        return Err(PeerError::Malformed("lists of pulses differ in length"));
    }
    let pulse = |i: u32| {
        let index = u32::from(progress.get(i));
        let row = table
            .try_get(index)
            .ok_or(PeerError::Malformed("index of progress"))?;
        Ok(Pulse {
            id: NameHash(ids.get(i)),
            run: runs.get(i),
            revision: revisions.get(i),
            heartbeat: heartbeats.get(i),
            load: loads.get(i),
            progress: Progress {
                bundle: row.get_bundle(),
                withdrawn: row.get_withdrawn(),
            },
        })
    };
    (0..ids.len()).map(pulse).collect()
}

impl TryFrom<digest::Reader<'_>> for MemberDigest {
    type Error = PeerError;

    fn try_from(reader: digest::Reader) -> Result<Self, PeerError> {
        let ids = reader.get_ids()?;
        let runs = reader.get_runs()?;
        let revisions = reader.get_revisions()?;
        limit(ids.len(), MAX_DIGEST_ENTRIES as u32)?;
        if runs.len() != ids.len() || revisions.len() != ids.len() {
            return Err(PeerError::Malformed("lists of a digest differ in length"));
        }
        let entry = |i: u32| DigestEntry {
            id: NameHash(ids.get(i)),
            run: runs.get(i),
            revision: revisions.get(i),
        };
        Ok(Self {
            data_centre: NameHash(reader.get_data_centre()),
            is_complete: reader.get_is_complete(),
            entries: (0..ids.len()).map(entry).collect(),
        })
    }
}

impl TryFrom<head::Reader<'_>> for BundleHead {
    type Error = PeerError;

    fn try_from(reader: head::Reader) -> Result<Self, PeerError> {
        let chunks = reader.get_chunks()?;
        limit(chunks.len(), MAX_CHUNKS as u32)?;
        let head = Self {
            version: reader.get_version(),
            bytes: reader.get_bytes()?.into(),
            chunks: read_chunk_hashes(chunks)?,
        };
        head.check()?;
        Ok(head)
    }
}

/// Reads a list of chunk hashes.
///
/// # Errors
/// Returns an error if an entry does not have the length of a hash.
pub(crate) fn read_chunk_hashes(list: data_list::Reader) -> Result<Vec<ChunkHash>, PeerError> {
    let hash = |data: capnp::Result<capnp::data::Reader>| {
        let bytes = <[u8; 32]>::try_from(data?);
        bytes
            .map(ChunkHash)
            .map_err(|_| PeerError::Malformed("length of a hash"))
    };
    list.iter().map(hash).collect()
}

impl From<record_stamp::Reader<'_>> for RecordStamp {
    fn from(reader: record_stamp::Reader) -> Self {
        Self {
            name: NameHash(reader.get_name()),
            version: reader.get_version(),
            hash: reader.get_hash(),
        }
    }
}

impl TryFrom<record::Reader<'_>> for NamedRecord {
    type Error = PeerError;

    fn try_from(reader: record::Reader) -> Result<Self, PeerError> {
        let bytes = reader.get_bytes()?;
        limit(bytes.len() as u32, MAX_RECORD_BYTES as u32)?;
        Ok(Self {
            name: reader.get_name()?.to_str()?.to_owned(),
            version: reader.get_version(),
            bytes: bytes.into(),
        })
    }
}

fn read_keys(list: text_list::Reader) -> Result<Vec<String>, PeerError> {
    limit(list.len(), MAX_KEYS_PER_MESSAGE as u32)?;
    let key = |text: capnp::Result<capnp::text::Reader>| {
        let text = text?;
        limit(text.len() as u32, MAX_KEY_BYTES as u32)?;
        Ok(text.to_str()?.to_owned())
    };
    list.iter().map(key).collect()
}

fn hashes(list: primitive_list::Reader<u64>, max: usize) -> Result<Vec<NameHash>, PeerError> {
    limit(list.len(), max as u32)?;
    Ok(list.iter().map(NameHash).collect())
}

fn limit(len: u32, max: u32) -> Result<(), PeerError> {
    if len > max {
        return Err(PeerError::Malformed("a list exceeds its limit"));
    }
    Ok(())
}
