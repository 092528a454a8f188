//! Candidates that lead version moves in turn, second by second on a clock moved by hand.

mod common;

use std::time::Duration;

use apricotlug_model::{Move, UnixTime, VersionKey};
use apricotlug_platform::{Client, ClientConfig, Clock, MoveStore, Mover};
use apricotlug_policy::moves::{MoveId, MoveRecord, MoveState, Summary, TakeBackReason};
use apricotlug_standins::platform::{Outage, PlatformStandIn};
use common::{config, stand_in};

const START: UnixTime = UnixTime(1_000_000_000_000);

const INFORMED: Summary = Summary {
    is_faulty: false,
    is_suspect: false,
    reporting: 9,
    alive: 9,
};

fn moves() -> Vec<(MoveId, Move)> {
    ["stock", "bookings"]
        .map(|service| {
            let deadline = START.after(Duration::from_secs(200));
            let id = MoveId {
                service: service.to_owned(),
                version: "v2".to_owned(),
                deadline,
            };
            let cfg = Move {
                from: VersionKey(0),
                deadline,
                stages: vec![5, 100, 1000],
            };
            (id, cfg)
        })
        .to_vec()
}

fn client(platform: &PlatformStandIn, clock: &Clock, seed: u64) -> Client {
    Client::new(ClientConfig {
        clock: clock.clone(),
        attempts: 2,
        ..config(platform, seed)
    })
}

/// Lets two candidates step each second; `before` may interfere, and tells which of them steps.
async fn run(
    summary: impl Fn(&MoveId) -> Summary,
    before: impl Fn(u64, &PlatformStandIn) -> [bool; 2],
) -> Vec<MoveRecord> {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let mut movers = [1, 2].map(|seed| Mover::new(client(&platform, &clock, seed), "mover"));
    for s in 0..210 {
        let wall = START.after(Duration::from_secs(s));
        for (mover, is_awake) in movers.iter_mut().zip(before(s, &platform)) {
            if is_awake {
                mover.step(&moves(), &summary, wall).await.ok();
            }
        }
        let leading = movers.iter().filter(|mover| mover.is_leading()).count();
        assert!(leading <= 1, "two leaders at {s} s");
        clock.advance(Duration::from_secs(1));
        platform.tick();
    }
    let store = MoveStore::new(client(&platform, &clock, 3));
    let (stored, _) = store.list().await.unwrap();
    stored.into_iter().map(|it| it.record).collect()
}

fn states(records: &[MoveRecord]) -> Vec<(&str, MoveState)> {
    let of = |it: &MoveRecord| it.state;
    let pairs = records.iter();
    pairs.map(|it| (it.id.service.as_str(), of(it))).collect()
}

#[async_std::test]
async fn two_moves_at_once_are_led_to_their_ends_each_by_its_own_evidence() {
    let summary = |id: &MoveId| Summary {
        is_faulty: id.service == "stock",
        ..INFORMED
    };
    let records = run(summary, |_, _| [true, true]).await;
    let back = MoveState::TakenBack(TakeBackReason::Fault);
    let expected = [("bookings", MoveState::Finished), ("stock", back)];
    assert_eq!(states(&records), expected);
}

#[async_std::test]
async fn leaders_that_die_sleep_and_wake_still_finish_in_time() {
    let records = run(
        |_| INFORMED,
        |s, _| [s % 50 < 20, !(20..40).contains(&(s % 60))],
    )
    .await;
    let expected = [
        ("bookings", MoveState::Finished),
        ("stock", MoveState::Finished),
    ];
    assert_eq!(states(&records), expected);
}

#[async_std::test]
async fn an_outage_in_the_midst_delays_and_one_over_the_deadline_takes_back() {
    let back = MoveState::TakenBack(TakeBackReason::Deadline);
    let rows = [(20..60, MoveState::Finished), (100..205, back)];
    for (outage, expected) in rows {
        let records = run(
            |_| INFORMED,
            |s, platform| {
                platform.set_faults(|faults| {
                    faults.outage = match outage.contains(&s) {
                        true => Outage::Close,
                        false => Outage::None,
                    };
                });
                [true, true]
            },
        )
        .await;
        assert!(records.iter().all(|it| it.state == expected), "{records:?}");
    }
}

#[async_std::test]
async fn lost_answers_do_not_stop_a_move() {
    let records = run(
        |_| INFORMED,
        |s, platform| {
            platform.set_faults(|faults| faults.lose_answers = u32::from(s % 3 == 0));
            [true, true]
        },
    )
    .await;
    assert!(
        records.iter().all(|it| it.state == MoveState::Finished),
        "{records:?}"
    );
}
