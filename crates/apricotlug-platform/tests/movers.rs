//! Movers that lead a version move over the platform: death, pause, outage over the deadline.

mod common;

use std::time::Duration;

use apricotlug_model::{Move, UnixTime, VersionKey};
use apricotlug_platform::{Client, ClientConfig, Clock, Entry, Leadership, Swap};
use apricotlug_policy::moves::{
    MoveId, MoveRecord, MoveRecordWire, MoveState, Summary, TakeBackReason, advance, share,
};
use apricotlug_standins::platform::{Outage, PlatformStandIn};
use common::{config, stand_in};

const KEY: &str = "move/stock/v2";
const TTL: Duration = Duration::from_secs(8);
const START: UnixTime = UnixTime(1_000_000_000_000);

const INFORMED: Summary = Summary {
    is_faulty: false,
    is_suspect: false,
    reporting: 9,
    alive: 9,
};

fn cfg() -> Move {
    Move {
        from: VersionKey(0),
        deadline: START.after(Duration::from_secs(600)),
        stages: vec![5, 100, 1000],
    }
}

/// Mover with its own view of the clock, which may stand still.
struct Mover {
    client: Client,
    clock: Clock,
    leadership: Option<Leadership>,
}

impl Mover {
    fn new(platform: &PlatformStandIn, clock: &Clock, seed: u64) -> Self {
        let cfg = ClientConfig {
            clock: clock.clone(),
            ..config(platform, seed)
        };
        Self {
            client: Client::new(cfg),
            clock: clock.clone(),
            leadership: None,
        }
    }

    async fn lead(&mut self) -> bool {
        let acquired = self.client.acquire("move", "mover", TTL).await;
        self.leadership = acquired.unwrap();
        self.leadership.is_some()
    }

    async fn read(&self) -> Option<(Entry, MoveRecord)> {
        let entry = self.client.get(KEY).await.unwrap()?;
        let wire: MoveRecordWire = serde_json::from_slice(&entry.value).unwrap();
        Some((entry, wire.try_into().unwrap()))
    }

    async fn write(&self, expected: Option<&Entry>, record: &MoveRecord) -> Swap {
        let value = serde_json::to_vec(&MoveRecordWire::from(record.clone())).unwrap();
        let fence = &self.leadership.as_ref().unwrap().fence;
        let swap = self
            .client
            .compare_and_swap_fenced(KEY, expected, &value, fence);
        swap.await.unwrap()
    }

    async fn begin(&self) -> Swap {
        let id = MoveId {
            service: "stock".to_owned(),
            version: "v2".to_owned(),
            deadline: cfg().deadline,
        };
        self.write(None, &MoveRecord::begin(id, self.fencing(), self.now()))
            .await
    }

    /// Returns what the mover would write, and on top of what.
    async fn decide(&self) -> Option<(Entry, MoveRecord)> {
        let (entry, record) = self.read().await?;
        let next = advance(&cfg(), &record, INFORMED, self.fencing(), self.now())?;
        Some((entry, next))
    }

    fn fencing(&self) -> u64 {
        self.leadership.as_ref().unwrap().fencing() as u64
    }

    fn now(&self) -> UnixTime {
        START.after(Duration::from_micros(self.clock.now().0))
    }
}

#[async_std::test]
async fn a_mover_paused_between_decision_and_write_is_fenced() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let (mut one, mut two) = (
        Mover::new(&platform, &clock, 1),
        Mover::new(&platform, &clock, 2),
    );
    assert!(one.lead().await);
    assert!(matches!(one.begin().await, Swap::Written { .. }));
    clock.advance(Duration::from_secs(320));
    platform.tick();
    let (entry, decided) = one.decide().await.unwrap();
    assert!(two.lead().await, "the first mover's lease has run out");
    assert_eq!(one.write(Some(&entry), &decided).await, Swap::Fenced);
    let (entry, next) = two.decide().await.unwrap();
    assert!(matches!(
        two.write(Some(&entry), &next).await,
        Swap::Written { .. }
    ));
    let (_, record) = one.read().await.unwrap();
    assert_eq!((record.stage, record.fencing), (1, two.fencing()));
}

#[async_std::test]
async fn when_the_mover_dies_another_finishes_the_move() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let mut dead = Mover::new(&platform, &clock, 1);
    assert!(dead.lead().await);
    dead.begin().await;
    let mut next = Mover::new(&platform, &clock, 2);
    assert!(!next.lead().await);
    while clock.now().0 < 600_000_000 {
        clock.advance(Duration::from_secs(5));
        platform.tick();
        if let Some(leadership) = &mut next.leadership {
            next.client.renew(leadership).await.unwrap();
        } else if !next.lead().await {
            continue;
        }
        if let Some((entry, record)) = next.decide().await {
            next.write(Some(&entry), &record).await;
        }
    }
    let (_, record) = next.read().await.unwrap();
    assert_eq!(record.state, MoveState::Finished);
}

#[async_std::test]
async fn a_platform_that_is_out_over_the_deadline_leaves_the_move_taken_back() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let mut mover = Mover::new(&platform, &clock, 1);
    assert!(mover.lead().await);
    mover.begin().await;
    let (_, heard) = mover.read().await.unwrap();
    platform.set_faults(|faults| faults.outage = Outage::Close);
    for (s, expected) in [(1, 5), (400, 5), (600, 0), (900, 0)] {
        let now = START.after(Duration::from_secs(s));
        assert_eq!(share(&cfg(), Some(&heard), 1000, now), expected, "{s} s");
    }
    clock.advance(Duration::from_secs(900));
    platform.tick();
    platform.set_faults(|faults| faults.outage = Outage::None);
    assert!(mover.lead().await);
    let (entry, record) = mover.decide().await.unwrap();
    let back = MoveState::TakenBack(TakeBackReason::Deadline);
    assert_eq!(record.state, back);
    mover.write(Some(&entry), &record).await;
    assert_eq!(mover.read().await.unwrap().1.state, back);
}
