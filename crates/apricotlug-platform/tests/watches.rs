//! Watches over lost, silent and resumed connections.

mod common;

use apricotlug_platform::{Client, Clock, Error, Watch, WatchEvent};
use apricotlug_standins::platform::{Outage, PlatformStandIn};
use async_std::task;
use common::{config, stand_in};

async fn write(client: &Client, key: &str) {
    client.compare_and_swap(key, None, b"v").await.unwrap();
}

async fn next_keys(watch: &mut Watch) -> Vec<String> {
    let events = watch.next().await.unwrap();
    events
        .into_iter()
        .map(|event| match event {
            WatchEvent::Put(entry) => entry.key,
            WatchEvent::Deleted { key, .. } => key,
        })
        .collect()
}

/// Breaks the open watch in one way, writes a key meanwhile and expects each key once.
async fn check(break_watch: impl Fn(&PlatformStandIn)) {
    let platform = stand_in(&Clock::default()).await;
    let (writer, reader) = (
        Client::new(config(&platform, 1)),
        Client::new(config(&platform, 2)),
    );
    let mut watch = reader.watch("k/", 1);
    for i in 0..5 {
        let keys = [format!("k/{i}a"), format!("k/{i}b")];
        write(&writer, &keys[0]).await;
        assert_eq!(next_keys(&mut watch).await, [keys[0].clone()]);
        break_watch(&platform);
        platform.set_faults(|faults| faults.outage = Outage::None);
        write(&writer, &keys[1]).await;
        assert_eq!(next_keys(&mut watch).await, [keys[1].clone()]);
    }
}

#[async_std::test]
async fn a_dropped_watch_resumes_without_loss_or_repetition() {
    check(PlatformStandIn::drop_watches).await;
}

#[async_std::test]
async fn a_watch_that_went_silent_for_good_is_replaced() {
    check(PlatformStandIn::silence_watches).await;
}

#[async_std::test]
async fn a_watch_resumes_after_an_outage() {
    check(|platform| platform.set_faults(|faults| faults.outage = Outage::Close)).await;
}

#[async_std::test]
async fn a_watch_from_a_forgotten_revision_says_so() {
    let platform = stand_in(&Clock::default()).await;
    let client = Client::new(config(&platform, 1));
    write(&client, "k/1").await;
    platform.compact();
    let missed = client.watch("k/", 1).next().await;
    assert!(matches!(missed, Err(Error::Compacted(1))), "{missed:?}");
}

#[async_std::test]
async fn a_stale_watch_that_repeats_old_changes_reports_each_once() {
    check(|platform| {
        platform.set_faults(|faults| faults.is_watch_stale = true);
        platform.drop_watches();
    })
    .await;
}

#[async_std::test]
async fn an_idle_watch_is_opened_again_and_still_reports() {
    let platform = stand_in(&Clock::default()).await;
    let [writer, reader] = [1, 2].map(|seed| Client::new(config(&platform, seed)));
    let mut watch = reader.watch("k/", 1);
    let reading = task::spawn(async move { next_keys(&mut watch).await });
    while platform.calls_to("/v3/watch") < 3 {
        task::yield_now().await;
    }
    write(&writer, "k/1").await;
    assert_eq!(reading.await, ["k/1"]);
}
