//! Movers that lead a version move over the platform: death, pause, outage over the deadline.

mod common;

use std::time::Duration;

use apricotlug_model::{Move, UnixTime, VersionKey};
use apricotlug_platform::{Client, ClientConfig, Clock, Leadership, MoveStore, StoredMove, Swap};
use apricotlug_policy::moves::{
    MoveId, MoveRecord, MoveState, Summary, TakeBackReason, advance, share,
};
use apricotlug_standins::platform::{Outage, PlatformStandIn};
use common::{config, stand_in};

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

fn id() -> MoveId {
    MoveId {
        service: "stock".to_owned(),
        version: "v2".to_owned(),
        deadline: cfg().deadline,
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

    async fn read(&self) -> Option<StoredMove> {
        self.store().read(&id()).await.unwrap()
    }

    fn store(&self) -> MoveStore {
        MoveStore::new(self.client.clone())
    }

    async fn write(&self, expected: Option<&StoredMove>, record: &MoveRecord) -> Swap {
        let leadership = self.leadership.as_ref().unwrap();
        let written = self.store().write(expected, record, leadership).await;
        written.unwrap()
    }

    async fn begin(&self) -> Swap {
        let record = MoveRecord::begin(id(), self.fencing(), self.now());
        self.write(None, &record).await
    }

    /// Returns what the mover would write, and on top of what.
    async fn decide(&self) -> Option<(StoredMove, MoveRecord)> {
        let stored = self.read().await?;
        let fencing = self.fencing();
        let next = advance(&cfg(), &stored.record, INFORMED, fencing, self.now())?;
        Some((stored, next))
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
    let record = one.read().await.unwrap().record;
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
    let record = next.read().await.unwrap().record;
    assert_eq!(record.state, MoveState::Finished);
}

#[async_std::test]
async fn a_platform_that_is_out_over_the_deadline_leaves_the_move_taken_back() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let mut mover = Mover::new(&platform, &clock, 1);
    assert!(mover.lead().await);
    mover.begin().await;
    let heard = mover.read().await.unwrap().record;
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
    assert_eq!(mover.read().await.unwrap().record.state, back);
}

#[async_std::test]
async fn of_an_operator_and_a_mover_one_wins_and_watchers_see_each_record() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let mut mover = Mover::new(&platform, &clock, 1);
    assert!(mover.lead().await);
    mover.begin().await;
    let operator = MoveStore::new(Client::new(config(&platform, 2)));
    let (moves, from) = operator.list().await.unwrap();
    let mut watch = operator.watch(from);
    clock.advance(Duration::from_secs(5));
    let paused = operator.set_state(&moves[0], MoveState::Paused, mover.now());
    assert!(matches!(paused.await.unwrap(), Some(Swap::Written { .. })));
    let next = moves[0]
        .record
        .with_state(MoveState::Finished, mover.fencing(), mover.now());
    let late = mover.write(Some(&moves[0]), &next.unwrap()).await;
    let Swap::Conflict {
        current: Some(entry),
    } = late
    else {
        panic!("{late:?}")
    };
    let standing = StoredMove::try_from(entry).unwrap();
    assert_eq!(standing.record.state, MoveState::Paused);
    let events = watch.next().await.unwrap();
    assert_eq!(
        MoveStore::records_in(events).unwrap(),
        vec![standing.clone()]
    );
    let again = operator.set_state(&standing, MoveState::Paused, mover.now());
    assert_eq!(again.await.unwrap(), None);
}

#[async_std::test]
async fn a_record_worked_out_from_an_older_one_does_not_undo_an_operators_wish() {
    let clock = Clock::manual();
    let platform = stand_in(&clock).await;
    let mut mover = Mover::new(&platform, &clock, 1);
    assert!(mover.lead().await);
    mover.begin().await;
    let heard = mover.read().await.unwrap();
    let operator = MoveStore::new(Client::new(config(&platform, 2)));
    let back = MoveState::TakenBack(TakeBackReason::Operator);
    let taken_back = operator.set_state(&heard, back, mover.now());
    assert!(matches!(
        taken_back.await.unwrap(),
        Some(Swap::Written { .. })
    ));
    let finished = MoveState::Finished;
    let late = heard
        .record
        .with_state(finished, mover.fencing(), mover.now());
    let standing = mover.read().await;
    let written = mover.write(standing.as_ref(), &late.unwrap()).await;
    assert!(matches!(written, Swap::Conflict { .. }), "{written:?}");
    assert_eq!(mover.read().await.unwrap().record.state, back);
}
