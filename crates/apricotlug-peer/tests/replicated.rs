//! Replication of bundles, withdrawn keys and records under faults, in virtual time.

mod support;

use std::{sync::Arc, time::Duration};

use apricotlug_model::MonoTime;
use apricotlug_peer::{
    BundleHead, Chunk, ChunkHash, CompleteBundle, Exchange, FetchOutcome, MAX_CHUNKS,
    MAX_HEAD_BYTES, NameHash, NamedRecord, PeerError, ReplicatedData,
};
use proptest::{prelude::*, test_runner::RngSeed};
use support::fleet::{Faults, Fleet, bundle};

const DATA_CENTRES_OF_9: [usize; 6] = [2, 2, 2, 1, 1, 1];
const DATA_CENTRES_OF_100: [usize; 10] = [10; 10];
const SECOND: Duration = Duration::from_secs(1);
const IN_FORCE: Duration = Duration::from_secs(5);

fn settled(data_centres: &[usize], seed: u64) -> Fleet {
    let mut fleet = Fleet::new(data_centres, seed);
    let all = fleet.all();
    let met = fleet.run_until(SECOND * 30, |fleet| fleet.all_see_ready(&all));
    assert!(
        met.is_some(),
        "not all of the {} instances discovered each other",
        all.len()
    );
    fleet
}

fn faults(loss: f64, duplication: f64, max_delay_ms: u64) -> Faults {
    Faults {
        loss,
        duplication,
        max_delay: Duration::from_millis(max_delay_ms),
        ..Faults::default()
    }
}

fn record(name: &str, version: u64, text: &str) -> NamedRecord {
    NamedRecord {
        name: name.to_owned(),
        version,
        bytes: text.as_bytes().into(),
    }
}

/// Runs one gossip session of six messages between two instances.
fn run_session(a: &mut ReplicatedData, b: &mut ReplicatedData) {
    let mut msg = Exchange {
        sender: NameHash(1),
        data: a.digest(),
        ..Exchange::default()
    };
    for round in 1..=6 {
        let to = if round % 2 == 1 { &mut *b } else { &mut *a };
        let mut reply = Exchange {
            sender: NameHash(1 + u64::from(round % 2)),
            round,
            ..Exchange::default()
        };
        to.handle(&msg, &mut reply, MonoTime(u64::from(round)));
        msg = reply;
    }
}

#[test]
fn a_bundle_and_a_withdrawal_are_in_force_everywhere_within_five_seconds() {
    let cases = [
        (
            "9, no faults",
            &DATA_CENTRES_OF_9[..],
            faults(0.0, 0.0, 50),
            1,
        ),
        (
            "100, no faults",
            &DATA_CENTRES_OF_100[..],
            faults(0.0, 0.0, 50),
            2,
        ),
        (
            "9, one message in ten lost",
            &DATA_CENTRES_OF_9[..],
            faults(0.1, 0.0, 50),
            3,
        ),
        (
            "100, one message in ten lost",
            &DATA_CENTRES_OF_100[..],
            faults(0.1, 0.0, 50),
            4,
        ),
        (
            "9, duplicated and reordered",
            &DATA_CENTRES_OF_9[..],
            faults(0.0, 0.5, 200),
            5,
        ),
        (
            "100, duplicated and reordered",
            &DATA_CENTRES_OF_100[..],
            faults(0.05, 0.5, 200),
            6,
        ),
    ];
    for (name, data_centres, faults, seed) in cases {
        let mut fleet = settled(data_centres, seed);
        fleet.faults = faults;
        let all = fleet.all();
        for version in 1..4 {
            fleet.publish(version as usize, version);
            fleet.withdraw(2 * version as usize, &format!("key-{version}"));
            let is_met = fleet.run_until(IN_FORCE, |f| {
                f.has_version(&all, version) && f.has_withdrawn(&all, &format!("key-{version}"))
            });
            assert!(is_met.is_some(), "{name}: version {version}");
        }
    }
}

#[test]
fn changes_are_pushed_before_the_next_periodic_exchange() {
    for seed in 20..24 {
        let mut fleet = settled(&[10], seed);
        fleet.withdraw(0, "key-1");
        fleet.run(Duration::from_millis(400));
        let knows = |i: &usize| fleet.has_withdrawn(&[*i], "key-1");
        let informed = fleet.all().iter().filter(|i| knows(i)).count();
        assert!(informed >= 8, "{informed} of 10 after 400 ms");
    }
}

#[test]
fn changes_reach_all_reachable_instances_while_others_are_dead_or_cut_off() {
    let mut fleet = settled(&DATA_CENTRES_OF_9, 10);
    fleet.crash(1);
    let cut = fleet.data_centre(2);
    let reachable: Vec<usize> = fleet
        .all()
        .into_iter()
        .filter(|i| *i != 1 && !cut.contains(i))
        .collect();
    fleet.cut(&cut, &reachable);
    fleet.cut(&reachable, &cut);
    fleet.publish(0, 1);
    fleet.withdraw(0, "key-1");
    let met = fleet.run_until(IN_FORCE, |f| {
        f.has_version(&reachable, 1) && f.has_withdrawn(&reachable, "key-1")
    });
    assert!(met.is_some());
    assert!(
        !fleet.has_withdrawn(&cut, "key-1"),
        "the cut data centre received the withdrawal"
    );
    fleet.withdraw(cut[0], "key-2");
    fleet.run(SECOND * 60);
    fleet.heal();
    let live: Vec<usize> = fleet.all().into_iter().filter(|i| *i != 1).collect();
    let met = fleet.run_until(SECOND * 15, |f| {
        f.has_version(&live, 1)
            && f.has_withdrawn(&live, "key-1")
            && f.has_withdrawn(&live, "key-2")
    });
    assert!(
        met.is_some(),
        "data not replicated within 15 s after the heal"
    );
}

#[test]
fn a_one_way_partition_does_not_keep_changes_from_instances_with_another_path() {
    let mut fleet = settled(&DATA_CENTRES_OF_9, 11);
    let (left, right) = (fleet.data_centre(0), fleet.data_centre(1));
    fleet.cut(&left, &right);
    fleet.publish(left[0], 1);
    let all = fleet.all();
    assert!(
        fleet
            .run_until(IN_FORCE, |f| f.has_version(&all, 1))
            .is_some()
    );
}

#[test]
fn an_empty_restarted_instance_gets_everything_from_its_peers() {
    let mut fleet = settled(&DATA_CENTRES_OF_9, 12);
    let all = fleet.all();
    fleet.publish(0, 7);
    for key in 0..1000 {
        fleet.withdraw(0, &format!("key-{key:04}"));
    }
    fleet.nodes[0]
        .gossip
        .data
        .put(record("seats", 3, "plan"))
        .unwrap();
    fleet.run_until(SECOND * 20, |f| {
        f.has_version(&all, 7) && f.has_withdrawn(&all, "key-0999")
    });
    fleet.restart(4, 2);
    let met = fleet.run_until(SECOND * 10, |f| {
        let data = &f.nodes[4].gossip.data;
        let has_record = data.records().get("seats").is_some_and(|r| r.version == 3);
        data.version() == 7 && data.withdrawn().len() == 1000 && has_record
    });
    assert!(
        met.is_some(),
        "{} keys",
        fleet.nodes[4].gossip.data.withdrawn().len()
    );
}

#[test]
fn a_lower_version_is_never_installed() {
    let mut data = ReplicatedData::default();
    data.publish(bundle(5));
    data.publish(bundle(4));
    assert_eq!(data.version(), 5);
    data.offer(bundle(3).head, NameHash(1), MonoTime(0));
    assert_eq!(
        data.next_fetch(MonoTime(0)),
        None,
        "a bundle with a lower version is fetched"
    );
    data.offer(bundle(6).head, NameHash(1), MonoTime(0));
    let fetch = data.next_fetch(MonoTime(0)).unwrap();
    data.publish(bundle(9));
    let late = bundle(6)
        .chunks
        .iter()
        .map(|chunk| chunk.bytes.to_vec())
        .collect();
    data.store_fetched(&fetch, late, MonoTime(1));
    assert_eq!(data.version(), 9, "a late fetch result lowered the version");
}

#[test]
fn only_missing_chunks_are_fetched() {
    let mut data = ReplicatedData::default();
    data.publish(bundle(6));
    data.offer(bundle(7).head, NameHash(1), MonoTime(0));
    let fetch = data.next_fetch(MonoTime(0)).unwrap();
    assert_eq!(
        fetch.hashes,
        [bundle(7).head.chunks[1]],
        "versions 6 and 7 share a chunk, which must not be fetched"
    );
    assert_eq!(
        data.next_fetch(MonoTime(1)),
        None,
        "a second fetch started while one is in flight"
    );
    let lost = MonoTime(0).after(SECOND * 6);
    assert!(
        data.next_fetch(lost).is_some(),
        "a lost fetch is not retried"
    );
}

#[test]
fn a_peer_that_sent_a_corrupt_chunk_is_not_used_again_at_once() {
    let (bad, good) = (NameHash(1), NameHash(2));
    let mut data = ReplicatedData::default();
    let mut now = MonoTime(0);
    data.offer(bundle(2).head, bad, now);
    let fetch = data.next_fetch(now).unwrap();
    let corrupt = vec![b"not the chunk".to_vec(); fetch.hashes.len()];
    assert_eq!(
        data.store_fetched(&fetch, corrupt, now),
        FetchOutcome::Corrupt
    );
    assert_eq!(data.version(), 0);
    now = now.after(SECOND * 10);
    assert_eq!(data.next_fetch(now), None, "no other source has the bundle");
    let offer = Exchange {
        sender: good,
        data: apricotlug_peer::DataDigest {
            progress: apricotlug_peer::Progress {
                bundle: 2,
                withdrawn: 0,
            },
            records: 0,
        },
        ..Exchange::default()
    };
    data.handle(&offer, &mut Exchange::default(), now);
    let fetch = data.next_fetch(now).unwrap();
    assert_eq!(fetch.peer, good);
    let bundle = bundle(2);
    let find = |hash| {
        bundle
            .chunks
            .iter()
            .find(|chunk| chunk.hash == hash)
            .unwrap()
    };
    let bytes = |hash: &ChunkHash| find(*hash).bytes.to_vec();
    let answer = fetch.hashes.iter().map(bytes).collect();
    assert_eq!(
        data.store_fetched(&fetch, answer, now),
        FetchOutcome::Fetched
    );
    assert_eq!(data.version(), 2);
}

#[test]
fn a_withdrawal_counts_as_confirmed_once_the_member_holds_it() {
    let mut sender = ReplicatedData::default();
    let mut receiver = ReplicatedData::default();
    sender.withdraw("key-1").unwrap();
    assert_eq!(
        sender.unconfirmed_by(receiver.progress().withdrawn),
        ["key-1"]
    );
    run_session(&mut sender, &mut receiver);
    assert!(
        sender
            .unconfirmed_by(receiver.progress().withdrawn)
            .is_empty()
    );
    sender.withdraw("key-2").unwrap();
    assert_eq!(
        sender.unconfirmed_by(receiver.progress().withdrawn),
        ["key-2"]
    );
}

#[test]
fn limits_are_refused_with_an_error() {
    let mut data = ReplicatedData::default();
    assert!(matches!(data.withdraw(""), Err(PeerError::TooLarge { .. })));
    assert!(matches!(
        data.withdraw(&"k".repeat(65)),
        Err(PeerError::TooLarge { .. })
    ));
    let large = NamedRecord {
        name: "large".to_owned(),
        version: 1,
        bytes: vec![0; 64 * 1024 + 1].into(),
    };
    assert!(matches!(data.put(large), Err(PeerError::TooLarge { .. })));
    let chunk = Chunk::new(Vec::from("bytes"));
    let head = |version, bytes: Arc<[u8]>, chunks| BundleHead {
        version,
        bytes,
        chunks,
    };
    let heads = [
        head(0, Arc::from([]), vec![]),
        head(1, vec![0; MAX_HEAD_BYTES + 1].into(), vec![]),
        head(1, Arc::from([]), vec![chunk.hash; MAX_CHUNKS + 1]),
        head(1, Arc::from([]), vec![Chunk::new(Vec::new()).hash]),
    ];
    for head in heads {
        assert!(
            CompleteBundle::new(head.clone(), std::slice::from_ref(&chunk)).is_err(),
            "{head:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn two_instances_agree_after_one_session(
        ours in prop::collection::vec((0..40_u8, 0..4_u64), 0..40),
        theirs in prop::collection::vec((0..40_u8, 0..4_u64), 0..40),
    ) {
        let (mut a, mut b) = (ReplicatedData::default(), ReplicatedData::default());
        for (data, values) in [(&mut a, &ours), (&mut b, &theirs)] {
            for (name, version) in values {
                data.withdraw(&format!("key-{name}")).unwrap();
                data.put(record(&format!("record-{name}"), *version, "text")).unwrap();
            }
        }
        run_session(&mut a, &mut b);
        prop_assert_eq!(a.digest(), b.digest());
        prop_assert_eq!(a.withdrawn(), b.withdrawn());
        prop_assert_eq!(a.records(), b.records());
    }

    #[test]
    fn records_merge_alike_in_any_order(
        values in prop::collection::vec((0..4_u8, 0..4_u64, 0..3_u8), 1..20),
    ) {
        let merge = |values: &mut dyn Iterator<Item = &(u8, u64, u8)>| {
            let mut data = ReplicatedData::default();
            for (name, version, text) in values {
                data.put(record(&name.to_string(), *version, &text.to_string())).unwrap();
            }
            (data.records().clone(), data.digest())
        };
        prop_assert_eq!(merge(&mut values.iter()), merge(&mut values.iter().rev()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The simulated fleet checks after each event that no bundle version goes down.
    #[test]
    fn replicated_data_converges_under_random_faults(
        seed in any::<u64>(),
        loss in 0.0..0.25_f64,
        duplication in 0.0..0.5_f64,
        delay_ms in 10..400_u64,
        steps in prop::collection::vec((0..6_u8, 0..9_usize, 0..9_usize, 1..4_u64), 4..12),
    ) {
        let mut fleet = settled(&DATA_CENTRES_OF_9, seed);
        fleet.faults = faults(loss, duplication, delay_ms);
        let (mut highest, mut keys) = (0, 0);
        for (step, a, b, span) in steps {
            match step {
                0 => {
                    // Two concurrent publishers, so that versions arrive in any order.
                    highest += 2;
                    fleet.publish(a, highest);
                    fleet.publish(b, highest - 1);
                }
                1 => {
                    keys += 1;
                    fleet.withdraw(a, &format!("key-{keys}"));
                }
                2 => fleet.cut(&[a], &[b]),
                3 => fleet.pause(a),
                4 if fleet.nodes[a].is_paused => fleet.resume(a),
                _ => fleet.heal(),
            }
            fleet.run(Duration::from_millis(400) * span as u32);
        }
        fleet.heal();
        fleet.faults.loss = 0.0;
        for i in fleet.all() {
            if fleet.nodes[i].is_paused {
                fleet.resume(i);
            }
        }
        let all = fleet.all();
        let met = fleet.run_until(SECOND * 15, |f| {
            f.has_version(&all, highest)
                && (1..=keys).all(|key| f.has_withdrawn(&all, &format!("key-{key}")))
        });
        prop_assert!(met.is_some(), "version {}, {} keys", highest, keys);
    }
}
