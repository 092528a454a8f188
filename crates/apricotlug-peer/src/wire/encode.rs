//! Encoding of messages in Cap'n Proto.

use super::member;
use crate::{
    BundleHead, DataCentreBeat, Exchange, MemberDigest, Progress, Pulse, RecordStamp, Summary,
    peer_capnp::{beats, digest, exchange, head, pulses, record, record_stamp, summary},
};

/// Fills the wire form of a message. Empty lists are omitted.
pub(crate) fn fill(msg: &Exchange, mut builder: exchange::Builder) {
    builder.set_sender(msg.sender.0);
    builder.set_data_centre(msg.data_centre.0);
    builder.set_round(msg.round);
    builder.set_bundle(msg.data.progress.bundle);
    builder.set_withdrawn(msg.data.progress.withdrawn);
    builder.set_records(msg.data.records);
    fill_members(msg, builder.reborrow());
    fill_data(msg, builder);
}

fn fill_members(msg: &Exchange, mut builder: exchange::Builder) {
    if !msg.summaries.is_empty() {
        let mut list = builder.reborrow().init_summaries(len(&msg.summaries));
        for (i, summary) in (0..).zip(&msg.summaries) {
            fill_summary(summary, list.reborrow().get(i));
        }
    }
    if !msg.beats.is_empty() {
        fill_beats(&msg.beats, builder.reborrow().init_beats());
    }
    if !msg.pulses.is_empty() {
        fill_pulses(&msg.pulses, builder.reborrow().init_pulses());
    }
    if !msg.digests.is_empty() {
        let mut list = builder.reborrow().init_digests(len(&msg.digests));
        for (i, digest) in (0..).zip(&msg.digests) {
            fill_digest(digest, list.reborrow().get(i));
        }
    }
    if !msg.wants.is_empty() {
        let mut list = builder.reborrow().init_wants(len(&msg.wants));
        for (i, id) in (0..).zip(&msg.wants) {
            list.set(i, id.0);
        }
    }
    if !msg.members.is_empty() {
        let mut list = builder.init_members(len(&msg.members));
        for (i, record) in (0..).zip(&msg.members) {
            member::fill(record, list.reborrow().get(i));
        }
    }
}

fn fill_data(msg: &Exchange, mut builder: exchange::Builder) {
    if let Some(head) = &msg.head {
        fill_head(head, builder.reborrow().init_head());
    }
    if !msg.withdrawn.is_empty() {
        let mut list = builder.reborrow().init_withdrawn_keys(len(&msg.withdrawn));
        for (i, key) in (0..).zip(&msg.withdrawn) {
            list.set(i, key);
        }
    }
    if !msg.withdrawn_digest.is_empty() {
        let mut list = builder
            .reborrow()
            .init_withdrawn_digest(len(&msg.withdrawn_digest));
        for (i, hash) in (0..).zip(&msg.withdrawn_digest) {
            list.set(i, hash.0);
        }
    }
    if !msg.record_digest.is_empty() {
        let mut list = builder
            .reborrow()
            .init_record_digest(len(&msg.record_digest));
        for (i, stamp) in (0..).zip(&msg.record_digest) {
            fill_stamp(stamp, list.reborrow().get(i));
        }
    }
    if !msg.records.is_empty() {
        let mut list = builder.init_named_records(len(&msg.records));
        for (i, named) in (0..).zip(&msg.records) {
            let mut builder: record::Builder = list.reborrow().get(i);
            builder.set_name(&named.name);
            builder.set_version(named.version);
            builder.set_bytes(&named.bytes);
        }
    }
}

fn fill_summary(summary: &Summary, mut builder: summary::Builder) {
    builder.set_data_centre(summary.data_centre.0);
    builder.set_hash(summary.hash);
    builder.set_beat(summary.beat);
    builder.set_bundle(summary.floor.bundle);
    builder.set_withdrawn(summary.floor.withdrawn);
}

fn fill_beats(beats: &[DataCentreBeat], mut builder: beats::Builder) {
    let mut data_centres = builder.reborrow().init_data_centres(len(beats));
    for (i, beat) in (0..).zip(beats) {
        data_centres.set(i, beat.data_centre);
    }
    let mut values = builder.init_beats(len(beats));
    for (i, beat) in (0..).zip(beats) {
        values.set(i, beat.beat);
    }
}

fn fill_pulses(pulses: &[Pulse], mut builder: pulses::Builder) {
    let n = len(pulses);
    builder.reborrow().init_ids(n);
    builder.reborrow().init_runs(n);
    builder.reborrow().init_revisions(n);
    builder.reborrow().init_heartbeats(n);
    builder.reborrow().init_loads(n);
    builder.reborrow().init_progress(n);
    let mut table: Vec<Progress> = Vec::new();
    for (i, pulse) in (0..).zip(pulses) {
        let known = table
            .iter()
            .position(|progress| *progress == pulse.progress);
        let index = known.unwrap_or(table.len());
        if known.is_none() {
            table.push(pulse.progress);
        }
        set_pulse(i, pulse, index as u8, builder.reborrow());
    }
    let mut list = builder.init_table(len(&table));
    for (i, progress) in (0..).zip(&table) {
        let mut builder = list.reborrow().get(i);
        builder.set_bundle(progress.bundle);
        builder.set_withdrawn(progress.withdrawn);
    }
}

fn set_pulse(i: u32, pulse: &Pulse, progress: u8, builder: pulses::Builder) {
    let mut builder = builder;
    // The caller has allocated the lists, so that reading them back does not fail.
    if let Ok(mut list) = builder.reborrow().get_ids() {
        list.set(i, pulse.id.0);
    }
    if let Ok(mut list) = builder.reborrow().get_runs() {
        list.set(i, pulse.run);
    }
    if let Ok(mut list) = builder.reborrow().get_revisions() {
        list.set(i, pulse.revision);
    }
    if let Ok(mut list) = builder.reborrow().get_heartbeats() {
        list.set(i, pulse.heartbeat);
    }
    if let Ok(mut list) = builder.reborrow().get_loads() {
        list.set(i, pulse.load);
    }
    if let Ok(mut list) = builder.get_progress() {
        list.set(i, progress);
    }
}

fn fill_digest(digest: &MemberDigest, mut builder: digest::Builder) {
    let n = len(&digest.entries);
    builder.set_data_centre(digest.data_centre.0);
    builder.set_is_complete(digest.is_complete);
    let mut ids = builder.reborrow().init_ids(n);
    for (i, entry) in (0..).zip(&digest.entries) {
        ids.set(i, entry.id.0);
    }
    let mut runs = builder.reborrow().init_runs(n);
    for (i, entry) in (0..).zip(&digest.entries) {
        runs.set(i, entry.run);
    }
    let mut revisions = builder.init_revisions(n);
    for (i, entry) in (0..).zip(&digest.entries) {
        revisions.set(i, entry.revision);
    }
}

fn fill_head(bundle: &BundleHead, mut builder: head::Builder) {
    builder.set_version(bundle.version);
    builder.set_bytes(&bundle.bytes);
    let mut list = builder.init_chunks(len(&bundle.chunks));
    for (i, hash) in (0..).zip(&bundle.chunks) {
        list.set(i, &hash.0);
    }
}

fn fill_stamp(stamp: &RecordStamp, mut builder: record_stamp::Builder) {
    builder.set_name(stamp.name.0);
    builder.set_version(stamp.version);
    builder.set_hash(stamp.hash);
}

/// Returns a list length for the wire; messages stay far below the limit of `u32`.
fn len<T>(values: &[T]) -> u32 {
    u32::try_from(values.len()).unwrap_or(u32::MAX)
}
