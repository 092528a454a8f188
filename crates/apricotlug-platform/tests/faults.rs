//! The client against a platform that is down, slow or loses answers, over real TCP.

mod common;

use apricotlug_platform::{CallKind, Client, ClientConfig, Clock, Error, Swap};
use apricotlug_standins::platform::{Faults, Outage};
use async_std::task;
use common::{config, stand_in};

#[derive(Debug, PartialEq)]
enum Seen {
    Written,
    Unknown,
    NotRun,
    Conflict,
}

fn seen(swap: Result<Swap, Error>) -> Seen {
    match swap {
        Ok(Swap::Written { .. }) => Seen::Written,
        Ok(Swap::Unknown) => Seen::Unknown,
        Ok(Swap::Conflict { .. } | Swap::Fenced) => Seen::Conflict,
        Err(e) => {
            assert!(e.is_not_run(), "{e}");
            Seen::NotRun
        }
    }
}

#[async_std::test]
async fn a_write_under_faults_has_one_effect_and_its_outcome_is_true() {
    let none = Faults::default();
    let rows = [
        ("healthy", none.clone(), Seen::Written, 1),
        (
            "slow",
            Faults {
                delay_ms: 60,
                ..none.clone()
            },
            Seen::Written,
            1,
        ),
        (
            "first answer lost",
            Faults {
                lose_answers: 1,
                ..none.clone()
            },
            Seen::Written,
            1,
        ),
        (
            "three answers lost",
            Faults {
                lose_answers: 3,
                ..none.clone()
            },
            Seen::Written,
            1,
        ),
        (
            "every answer lost",
            Faults {
                lose_answers: 99,
                ..none.clone()
            },
            Seen::Written,
            1,
        ),
        (
            "every answer lost, reads cut",
            Faults {
                lose_answers: 99,
                cut_answers: 99,
                ..none.clone()
            },
            Seen::Unknown,
            1,
        ),
        (
            "failing at first",
            Faults {
                fail_calls: 2,
                ..none.clone()
            },
            Seen::Written,
            1,
        ),
        (
            "over the rate",
            Faults {
                calls_per_s: Some(0),
                ..none.clone()
            },
            Seen::NotRun,
            0,
        ),
        (
            "hanging",
            Faults {
                outage: Outage::Hang,
                ..none.clone()
            },
            Seen::Unknown,
            0,
        ),
        (
            "closing",
            Faults {
                outage: Outage::Close,
                ..none.clone()
            },
            Seen::Unknown,
            0,
        ),
    ];
    for (name, faults, expected, writes) in rows {
        let platform = stand_in(&Clock::default()).await;
        let client = Client::new(ClientConfig {
            call_timeout_ms: if faults.outage == Outage::Hang {
                100
            } else {
                3000
            },
            ..config(&platform, 1)
        });
        platform.set_faults(|it| *it = faults);
        let swap = client.compare_and_swap("k", None, b"v").await;
        assert_eq!(seen(swap), expected, "{name}");
        platform.set_faults(|it| *it = none.clone());
        let stored = client.get("k").await.unwrap();
        let version = stored.map_or(0, |entry| entry.version);
        assert_eq!(version, writes, "{name}");
    }
}

#[async_std::test]
async fn attempts_are_bounded_and_counted_while_the_platform_is_down() {
    let platform = stand_in(&Clock::default()).await;
    let client = Client::new(config(&platform, 1));
    platform.set_faults(|faults| faults.outage = Outage::Close);
    assert!(client.get("k").await.is_err());
    let reads = client.calls().of(CallKind::Read);
    assert_eq!((reads.made, reads.failed), (4, 4));
    assert_eq!(client.last_answer(), None);
    platform.set_faults(|faults| faults.outage = Outage::None);
    assert_eq!(client.get("k").await.unwrap(), None);
    assert!(client.last_answer().is_some());
}

#[async_std::test]
async fn a_stopped_platform_is_reported_as_not_run_and_the_next_address_is_tried() {
    let (gone, platform) = (
        stand_in(&Clock::default()).await,
        stand_in(&Clock::default()).await,
    );
    let gone_cfg = config(&gone, 1);
    let both = ClientConfig {
        addrs: vec![gone.addr(), platform.addr()],
        attempts: 1,
        ..gone_cfg.clone()
    };
    gone.stop().await;
    let swap = Client::new(gone_cfg)
        .compare_and_swap("k", None, b"v")
        .await;
    assert_eq!(seen(swap), Seen::NotRun);
    let swap = Client::new(both).compare_and_swap("k", None, b"v").await;
    assert_eq!(seen(swap), Seen::Written);
}

#[async_std::test]
async fn an_answer_cut_short_is_an_error_and_never_a_value() {
    let platform = stand_in(&Clock::default()).await;
    let once = Client::new(ClientConfig {
        attempts: 1,
        ..config(&platform, 1)
    });
    once.compare_and_swap("k", None, &[7; 5000]).await.unwrap();
    platform.set_faults(|faults| faults.cut_answers = 1);
    let cut = once.get("k").await;
    assert!(matches!(cut, Err(Error::Cut { .. })), "{cut:?}");
    platform.set_faults(|faults| faults.cut_answers = 1);
    let again = Client::new(config(&platform, 2))
        .get("k")
        .await
        .unwrap()
        .unwrap();
    assert_eq!(again.value, [7; 5000]);
}

#[async_std::test]
async fn of_two_racing_writers_one_wins_and_the_other_learns_the_winner() {
    let platform = stand_in(&Clock::default()).await;
    platform.set_faults(|faults| faults.lose_answers = 20);
    let writers = [
        Client::new(config(&platform, 1)),
        Client::new(config(&platform, 2)),
    ];
    let mut expected = None;
    for round in 0..25_u8 {
        let [one, two] = &writers;
        let values = [[round, 1], [round, 2]];
        let (first, second) = futures_lite::future::zip(
            one.compare_and_swap("k", expected.as_ref(), &values[0]),
            two.compare_and_swap("k", expected.as_ref(), &values[1]),
        )
        .await;
        let current = one.get("k").await.unwrap().unwrap();
        let swaps = [first.unwrap(), second.unwrap()];
        let is_win = |swap: &Swap| matches!(swap, Swap::Written { .. });
        assert_eq!(swaps.iter().filter(|it| is_win(it)).count(), 1, "{swaps:?}");
        for (swap, value) in swaps.iter().zip(values) {
            match swap {
                Swap::Written { .. } => assert_eq!(current.value, value),
                Swap::Conflict { current: Some(it) } => assert_eq!(it, &current),
                other => panic!("{other:?}"),
            }
        }
        expected = Some(current);
    }
    assert_eq!(expected.unwrap().version, 25);
}

#[async_std::test]
async fn fifty_clients_that_lose_the_platform_stay_within_their_call_budgets() {
    const CLIENTS: u64 = 50;
    const BURST: u32 = 4;
    const CALLS_PER_S: u32 = 2;
    let platform = stand_in(&Clock::default()).await;
    let clock = Clock::default();
    let clients: Vec<Client> = (0..CLIENTS)
        .map(|seed| {
            Client::new(ClientConfig {
                burst: BURST,
                calls_per_s: CALLS_PER_S,
                attempts: 100,
                clock: clock.clone(),
                ..config(&platform, seed)
            })
        })
        .collect();
    platform.set_faults(|faults| faults.outage = Outage::Close);
    let reads: Vec<_> = clients
        .iter()
        .cloned()
        .map(|client| task::spawn(async move { client.get("k").await }))
        .collect();
    while clients
        .iter()
        .any(|client| client.calls().total() <= BURST.into())
    {
        task::yield_now().await;
    }
    platform.set_faults(|faults| faults.outage = Outage::None);
    for read in reads {
        read.await.unwrap();
    }
    let made: u64 = clients.iter().map(|client| client.calls().total()).sum();
    let refilled = clock.now().0 * u64::from(CALLS_PER_S) / 1_000_000 + 1;
    // A call is counted when it is reserved, which may be one call ahead of its time.
    let budget = CLIENTS * (u64::from(BURST) + refilled + 1);
    assert!(made <= budget, "{made} calls, {budget} allowed");
}
