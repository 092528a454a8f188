//! Sign-offs that are interrupted or lose answers.

mod common;

use apricotlug_model::BundleVersion;
use apricotlug_platform::{BundleStore, ChunkHash, Client, ClientConfig, Clock, SignOff};
use apricotlug_standins::platform::Faults;
use common::{config, stand_in};

const HASHES: [ChunkHash; 3] = [ChunkHash([1; 32]), ChunkHash([2; 32]), ChunkHash([3; 32])];

fn chunks() -> Vec<(ChunkHash, Vec<u8>)> {
    HASHES.map(|hash| (hash, hash.0.to_vec())).to_vec()
}

#[async_std::test]
async fn a_head_that_stands_has_all_its_chunks_wherever_a_sign_off_broke_off() {
    let breaks_off = (0..10).map(|calls| (Some(calls), 0));
    let fails_at_first = (1..10).map(|calls| (None, calls));
    for (calls_per_s, fail_calls) in breaks_off.chain(fails_at_first) {
        let platform = stand_in(&Clock::manual()).await;
        let once = ClientConfig {
            attempts: 1,
            ..config(&platform, 1)
        };
        let store = BundleStore::new(Client::new(once));
        platform.set_faults(|faults| {
            faults.calls_per_s = calls_per_s;
            faults.fail_calls = fail_calls;
        });
        let signed = store
            .sign_off(None, BundleVersion(1), b"m", &chunks())
            .await;
        platform.set_faults(|faults| *faults = Faults::default());
        let head = store.read_head().await.unwrap();
        assert_eq!(head.is_some(), matches!(signed, Ok(SignOff::Accepted)));
        if head.is_some() {
            for hash in HASHES {
                assert!(store.read_chunk(hash).await.unwrap().is_some());
            }
        }
        let again = BundleStore::new(Client::new(config(&platform, 2)));
        let next = BundleVersion(2);
        let signed = again.sign_off(head.as_ref(), next, b"m", &chunks()).await;
        assert_eq!(signed.unwrap(), SignOff::Accepted, "{calls_per_s:?}");
        let history = again.list_history().await.unwrap();
        assert_eq!(history.len(), 1 + usize::from(head.is_some()));
    }
}

#[async_std::test]
async fn a_sign_off_whose_answers_are_lost_is_accepted_once() {
    for lost in 1..=3 {
        let platform = stand_in(&Clock::default()).await;
        let store = BundleStore::new(Client::new(config(&platform, 1)));
        platform.set_faults(|faults| faults.lose_answers = lost);
        let signed = store
            .sign_off(None, BundleVersion(1), b"m", &chunks())
            .await;
        assert_eq!(signed.unwrap(), SignOff::Accepted);
        let head = store.read_head().await.unwrap().unwrap();
        assert_eq!(head.entry.version, 1);
    }
}

#[async_std::test]
async fn chunks_that_stand_are_not_sent_again() {
    let platform = stand_in(&Clock::default()).await;
    let store = BundleStore::new(Client::new(config(&platform, 1)));
    let chunks = chunks();
    let first = store.sign_off(None, BundleVersion(1), b"m", &chunks);
    first.await.unwrap();
    let head = store.read_head().await.unwrap();
    let writes = platform.calls_to("/v3/kv/txn");
    let next = store.sign_off(head.as_ref(), BundleVersion(2), b"m", &chunks);
    next.await.unwrap();
    // The history entry of the former head, the head and its own history entry.
    assert_eq!(platform.calls_to("/v3/kv/txn") - writes, 3);
}
