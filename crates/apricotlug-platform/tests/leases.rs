//! Leases and leaderships: conservative deadlines, pauses, fencing.

mod common;

use std::time::Duration;

use apricotlug_platform::{Client, ClientConfig, Clock, Error, Swap};
use apricotlug_standins::platform::PlatformStandIn;
use common::{config, stand_in};

const TTL: Duration = Duration::from_secs(8);

fn client_with(clock: &Clock, platform: &PlatformStandIn, seed: u64) -> Client {
    Client::new(ClientConfig {
        clock: clock.clone(),
        ..config(platform, seed)
    })
}

#[async_std::test]
async fn a_holder_stops_before_the_platform_lets_another_in() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let (one, two) = (
        client_with(&clock, &platform, 1),
        client_with(&clock, &platform, 2),
    );
    let held = one.acquire("mover", "e1", TTL).await.unwrap().unwrap();
    assert_eq!(two.acquire("mover", "e2", TTL).await.unwrap(), None);
    clock.advance(Duration::from_millis(7000));
    assert!(!held.is_held(clock.now()), "the margin is used up");
    assert_eq!(two.acquire("mover", "e2", TTL).await.unwrap(), None);
    clock.advance(Duration::from_millis(1000));
    let next = two.acquire("mover", "e2", TTL).await.unwrap().unwrap();
    assert!(next.fencing() > held.fencing());
}

#[async_std::test]
async fn renewal_extends_and_a_resigned_leadership_is_free_at_once() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let (one, two) = (
        client_with(&clock, &platform, 1),
        client_with(&clock, &platform, 2),
    );
    let mut held = one.acquire("mover", "e1", TTL).await.unwrap().unwrap();
    for _ in 0..5 {
        clock.advance(Duration::from_secs(6));
        one.renew(&mut held).await.unwrap();
        assert!(held.is_held(clock.now()));
    }
    one.resign(held).await.unwrap();
    assert!(two.acquire("mover", "e2", TTL).await.unwrap().is_some());
}

#[async_std::test]
async fn a_holder_that_was_paused_past_its_lease_changes_nothing() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let (one, two) = (
        client_with(&clock, &platform, 1),
        client_with(&clock, &platform, 2),
    );
    let mut paused = one.acquire("mover", "e1", TTL).await.unwrap().unwrap();
    clock.advance(TTL);
    let lapsed = one
        .compare_and_swap_fenced("move/x", None, b"stage 1", &paused.fence)
        .await;
    assert_eq!(lapsed.unwrap(), Swap::Fenced, "nobody holds it");
    let next = two.acquire("mover", "e2", TTL).await.unwrap().unwrap();
    let late = one
        .compare_and_swap_fenced("move/x", None, b"stage 1", &paused.fence)
        .await;
    assert_eq!(late.unwrap(), Swap::Fenced, "another holds it");
    let renewed = one.renew(&mut paused).await;
    assert!(matches!(renewed, Err(Error::LeaseLost)));
    let written = two
        .compare_and_swap_fenced("move/x", None, b"stage 1", &next.fence)
        .await;
    assert!(matches!(written.unwrap(), Swap::Written { .. }));
}

#[async_std::test]
async fn lost_answers_to_lease_calls_leave_one_holder() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let (one, two) = (
        client_with(&clock, &platform, 1),
        client_with(&clock, &platform, 2),
    );
    for lost in 1..=3 {
        platform.set_faults(|faults| faults.lose_answers = lost);
        let held = one.acquire("mover", "e1", TTL).await.unwrap().unwrap();
        assert_eq!(two.acquire("mover", "e2", TTL).await.unwrap(), None);
        assert_eq!(platform.leases(), 1);
        one.resign(held).await.unwrap();
        assert_eq!(platform.leases(), 0);
    }
}
