//! Decoding of messages from hostile or faulty peers: an error, never a panic.

use apricotlug_model::MonoTime;
use apricotlug_peer::{
    BundleHead, Chunk, DataCentreBeat, DataDigest, DigestEntry, Exchange, MAX_HEAD_BYTES,
    MemberDigest, MemberRecord, NameHash, NamedRecord, PeerError, Progress, Pulse, RecordStamp,
    State, Summary, decode_exchange, encode_exchange,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, rngs::StdRng};

mod support;

fn full_message() -> Exchange {
    let progress = Progress {
        bundle: 4,
        withdrawn: 5,
    };
    Exchange {
        sender: NameHash(1),
        data_centre: NameHash(2),
        round: 3,
        summaries: vec![Summary {
            data_centre: NameHash(2),
            hash: 6,
            beat: 7,
            floor: progress,
        }],
        beats: vec![DataCentreBeat {
            data_centre: 27,
            beat: 28,
        }],
        pulses: vec![Pulse {
            id: NameHash(8),
            run: 9,
            revision: 10,
            heartbeat: 11,
            load: 12,
            progress,
        }],
        digests: vec![MemberDigest {
            data_centre: NameHash(2),
            is_complete: true,
            entries: vec![DigestEntry {
                id: NameHash(13),
                run: 14,
                revision: 15,
            }],
        }],
        wants: vec![NameHash(16)],
        members: vec![support::fleet::record(17, 1, 18)],
        data: DataDigest {
            progress,
            records: 19,
        },
        head: Some(BundleHead {
            version: 20,
            bytes: b"head".as_slice().into(),
            chunks: vec![Chunk::new(Vec::from("chunk")).hash],
        }),
        withdrawn: vec!["key-21".to_owned()],
        withdrawn_digest: vec![NameHash(22)],
        record_digest: vec![RecordStamp {
            name: NameHash(23),
            version: 24,
            hash: 25,
        }],
        records: vec![NamedRecord {
            name: "seats".to_owned(),
            version: 26,
            bytes: b"plan".as_slice().into(),
        }],
    }
}

#[test]
fn a_message_survives_encoding_and_decoding() {
    for msg in [full_message(), Exchange::default()] {
        assert_eq!(decode_exchange(&encode_exchange(&msg)), Ok(msg));
    }
}

/// Changes a message so that it exceeds one limit.
type Mutation = fn(&mut Exchange);

#[test]
fn a_message_that_exceeds_a_limit_is_refused_as_a_whole() {
    let mutations: [(&str, Mutation); 9] = [
        ("empty name", |msg| msg.members[0].id.name.clear()),
        ("long name", |msg| msg.members[0].id.name = "n".repeat(129)),
        ("suspicion", |msg| msg.members[0].state = State::Suspect),
        ("version of a member", |msg| {
            msg.members[0].version = u32::MAX
        }),
        ("many members", |msg| {
            msg.members = vec![msg.members[0].clone(); 257]
        }),
        ("long key", |msg| msg.withdrawn[0] = "k".repeat(65)),
        ("many pulses", |msg| msg.pulses = vec![msg.pulses[0]; 257]),
        ("large record", |msg| {
            msg.records[0].bytes = vec![0; 64 * 1024 + 1].into()
        }),
        ("large head", |msg| {
            if let Some(head) = &mut msg.head {
                head.bytes = vec![0; MAX_HEAD_BYTES + 1].into();
            }
        }),
    ];
    for (name, mutate) in mutations {
        let mut msg = full_message();
        mutate(&mut msg);
        let decoded = decode_exchange(&encode_exchange(&msg));
        assert!(decoded.is_err(), "{name} was accepted");
    }
}

#[test]
fn an_oversized_message_is_refused() {
    let mut msg = full_message();
    let record = NamedRecord {
        name: "large".to_owned(),
        version: 1,
        bytes: vec![0; 64 * 1024].into(),
    };
    msg.records = vec![record; 200];
    let decoded = decode_exchange(&encode_exchange(&msg));
    assert!(matches!(decoded, Err(PeerError::Malformed(_))));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4096,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn mutated_bytes_never_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..12),
        cut in any::<prop::sample::Index>(),
        is_cut in prop::bool::weighted(0.2),
    ) {
        let mut bytes = encode_exchange(&full_message());
        for (index, value) in changes {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        if is_cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        // A message that still parses is merged, which must not panic either.
        if let Ok(msg) = decode_exchange(&bytes) {
            let mut gossip = gossip();
            let reply = gossip.answer(&msg, MonoTime(1));
            prop_assert!(decode_exchange(&encode_exchange(&reply)).is_ok());
            gossip.poll(MonoTime(2_000_000), &mut StdRng::seed_from_u64(1));
        }
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode_exchange(&bytes);
    }
}

fn gossip() -> apricotlug_peer::Gossip {
    let record: MemberRecord = support::fleet::record(0, 0, 1);
    apricotlug_peer::Gossip::new(record, Vec::new(), MonoTime(0))
}
