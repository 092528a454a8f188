//! Calls to a healthy platform.

mod common;

use std::time::Duration;

use apricotlug_model::BundleVersion;
use apricotlug_platform::{
    BundleStore, ChunkHash, Client, Clock, InstanceRecord, InstanceState, SignOff, Swap,
    WatchEvent, Withdrawals,
};
use common::{config, stand_in};

#[async_std::test]
async fn a_written_key_is_read_listed_and_deleted() {
    let platform = stand_in(&Clock::default()).await;
    let client = Client::new(config(&platform, 1));
    let value = vec![0_u8, 255, 7];
    let swap = client.compare_and_swap("a/x", None, &value).await.unwrap();
    assert!(matches!(swap, Swap::Written { revision: 1, .. }));
    let entry = client.get("a/x").await.unwrap().unwrap();
    assert_eq!((&entry.value, entry.version), (&value, 1));
    client.compare_and_swap("b", None, b"other").await.unwrap();
    let (entries, revision) = client.list("a/").await.unwrap();
    assert_eq!((entries, revision), (vec![entry.clone()], 2));
    assert!(client.delete(&entry).await.unwrap());
    assert_eq!(client.get("a/x").await.unwrap(), None);
}

#[async_std::test]
async fn a_megabyte_is_stored_and_more_is_refused_without_a_call() {
    let platform = stand_in(&Clock::default()).await;
    let client = Client::new(config(&platform, 1));
    let big = vec![9_u8; 999_000];
    client.compare_and_swap("big", None, &big).await.unwrap();
    assert_eq!(client.get("big").await.unwrap().unwrap().value, big);
    let calls = platform.calls();
    let too_big = vec![9_u8; 1_000_001];
    assert!(
        client
            .compare_and_swap("big2", None, &too_big)
            .await
            .is_err()
    );
    assert_eq!(platform.calls(), calls);
}

#[async_std::test]
async fn a_watch_reports_each_change_as_it_happens() {
    let platform = stand_in(&Clock::default()).await;
    let client = Client::new(config(&platform, 1));
    let mut watch = client.watch("k/", 1);
    client.compare_and_swap("k/1", None, b"one").await.unwrap();
    client.compare_and_swap("other", None, b"no").await.unwrap();
    let events = watch.next().await.unwrap();
    let WatchEvent::Put(entry) = &events[0] else {
        panic!("{events:?}")
    };
    assert_eq!(entry.value, b"one");
    client.delete(entry).await.unwrap();
    let events = watch.next().await.unwrap();
    assert!(matches!(&events[0], WatchEvent::Deleted { key, revision: 3 } if key == "k/1"));
}

#[async_std::test]
async fn a_bundle_is_signed_off_and_a_racing_operator_learns_the_winner() {
    let platform = stand_in(&Clock::default()).await;
    let (one, two) = (
        BundleStore::new(Client::new(config(&platform, 1))),
        BundleStore::new(Client::new(config(&platform, 2))),
    );
    let chunks = [(ChunkHash([7; 32]), b"chunk".to_vec())];
    let first = one.sign_off(None, BundleVersion(1), b"m1", &chunks).await;
    assert_eq!(first.unwrap(), SignOff::Accepted);
    let base = two.read_head().await.unwrap().unwrap();
    let won = one
        .sign_off(Some(&base), BundleVersion(2), b"m2", &[])
        .await;
    assert_eq!(won.unwrap(), SignOff::Accepted);
    let lost = two
        .sign_off(Some(&base), BundleVersion(2), b"mine", &[])
        .await;
    let SignOff::Conflict { winner } = lost.unwrap() else {
        panic!("the second operator did not learn of the first")
    };
    assert_eq!(winner.unwrap().manifest, b"m2");
    let chunk = two.read_chunk(ChunkHash([7; 32])).await.unwrap();
    assert_eq!(chunk.unwrap(), b"chunk");
    let history = two.list_history().await.unwrap();
    let versions: Vec<_> = history.iter().map(|head| head.version.0).collect();
    assert_eq!(versions, [1, 2]);
    assert!(
        one.sign_off(Some(&base), BundleVersion(1), b"m", &[])
            .await
            .is_err()
    );
}

#[async_std::test]
async fn withdrawals_only_grow() {
    let platform = stand_in(&Clock::default()).await;
    let set = Withdrawals::new(Client::new(config(&platform, 1)));
    assert!(set.add("k1", b"by ana").await.unwrap());
    assert!(set.add("k2", b"by ben").await.unwrap());
    assert!(set.add("k1", b"again").await.unwrap());
    let (ids, from) = set.list().await.unwrap();
    assert_eq!(ids.into_iter().collect::<Vec<_>>(), ["k1", "k2"]);
    assert_eq!(from, 3);
}

#[async_std::test]
async fn the_list_of_instances_lags() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    platform.set_faults(|faults| faults.list_lag_ms = 3000);
    let record = InstanceRecord {
        name: "e1".to_owned(),
        addresses: vec![platform.addr()],
        data_centre: "brest".to_owned(),
        state: InstanceState::Live,
    };
    let client = Client::new(config(&platform, 1));
    platform.list_instance(record.clone());
    assert_eq!(client.instances().await.unwrap(), []);
    clock.advance(Duration::from_secs(3));
    platform.tick();
    assert_eq!(client.instances().await.unwrap(), [record]);
    platform.unlist_instance("e1");
    assert_eq!(client.instances().await.unwrap().len(), 1);
    clock.advance(Duration::from_secs(3));
    platform.tick();
    assert_eq!(client.instances().await.unwrap(), []);
}
