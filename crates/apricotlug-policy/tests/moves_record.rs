//! Move records, stages, shares and the selection of a version.

use std::time::Duration;

use apricotlug_model::{Move, UnixTime, VersionKey};
use apricotlug_policy::moves::{
    ActiveMove, MoveId, MoveRecord, MoveRecordWire, MoveState, Summary, TakeBackReason, advance,
    pick_version, share, stage_due,
};
use rand::{SeedableRng, rngs::StdRng};

const START: UnixTime = UnixTime(1_000_000_000);
const WINDOW: Duration = Duration::from_secs(600);

const INFORMED: Summary = Summary {
    is_faulty: false,
    is_suspect: false,
    reporting: 9,
    alive: 9,
};

fn at(s: u64) -> UnixTime {
    START.after(Duration::from_secs(s))
}

fn cfg() -> Move {
    Move {
        from: VersionKey(0),
        deadline: START.after(WINDOW),
        stages: vec![5, 100, 1000],
    }
}

fn record(state: MoveState, stage: u16) -> MoveRecord {
    let id = MoveId {
        service: "stock".to_owned(),
        version: "v2".to_owned(),
        deadline: cfg().deadline,
    };
    MoveRecord {
        state,
        stage,
        ..MoveRecord::begin(id, 7, START)
    }
}

#[test]
fn a_move_without_fault_finishes_with_a_reserve_before_the_deadline() {
    let mut record = record(MoveState::Running, 0);
    let mut shares = Vec::new();
    for s in 0..600 {
        if let Some(next) = advance(&cfg(), &record, INFORMED, 7, at(s)) {
            assert!(record.is_superseded_by(&next));
            record = next;
            shares.push((s, share(&cfg(), Some(&record), 1000, at(s))));
        }
    }
    assert_eq!(record.state, MoveState::Finished);
    assert_eq!(shares, [(320, 100), (400, 1000), (480, 1000)]);
}

#[test]
fn the_leader_advances_holds_or_takes_back() {
    let faulty = Summary {
        is_faulty: true,
        ..INFORMED
    };
    let suspect = Summary {
        is_suspect: true,
        ..INFORMED
    };
    let uninformed = Summary {
        reporting: 4,
        ..INFORMED
    };
    let back = |reason| Some(MoveState::TakenBack(reason));
    let (running, paused) = (MoveState::Running, MoveState::Paused);
    let rows = [
        (
            "fault",
            running,
            1,
            faulty,
            7,
            30,
            back(TakeBackReason::Fault),
        ),
        (
            "fault while paused",
            paused,
            1,
            faulty,
            7,
            30,
            back(TakeBackReason::Fault),
        ),
        (
            "deadline",
            running,
            2,
            INFORMED,
            7,
            600,
            back(TakeBackReason::Deadline),
        ),
        (
            "deadline while paused",
            paused,
            0,
            INFORMED,
            7,
            600,
            back(TakeBackReason::Deadline),
        ),
        ("due", running, 0, INFORMED, 7, 320, Some(running)),
        ("not due yet", running, 0, INFORMED, 7, 319, None),
        ("paused", paused, 0, INFORMED, 7, 500, None),
        ("suspect", running, 0, suspect, 7, 500, None),
        ("too few reports", running, 0, uninformed, 7, 500, None),
        ("older fencing number", running, 0, faulty, 6, 600, None),
        (
            "newer fencing number",
            running,
            0,
            INFORMED,
            8,
            320,
            Some(running),
        ),
        (
            "last stage done",
            running,
            2,
            INFORMED,
            7,
            480,
            Some(MoveState::Finished),
        ),
        (
            "too close to the deadline to finish",
            running,
            2,
            INFORMED,
            7,
            596,
            None,
        ),
        ("finished", MoveState::Finished, 2, faulty, 7, 601, None),
        (
            "taken back",
            MoveState::TakenBack(TakeBackReason::Fault),
            0,
            INFORMED,
            7,
            500,
            None,
        ),
    ];
    for (name, state, stage, summary, fencing, s, expected) in rows {
        let next = advance(&cfg(), &record(state, stage), summary, fencing, at(s));
        assert_eq!(next.as_ref().map(|it| it.state), expected, "{name}");
        if let Some(next) = next {
            assert_eq!((next.fencing, next.sequence), (fencing, 2), "{name}");
        }
    }
}

#[test]
fn the_share_follows_the_record_the_deadline_and_the_guard() {
    let taken_back = MoveState::TakenBack(TakeBackReason::Operator);
    let rows = [
        ("no record", None, 1000, 0, 0),
        ("first stage", Some((MoveState::Running, 0)), 1000, 0, 5),
        (
            "no newer record for a long time",
            Some((MoveState::Running, 1)),
            1000,
            599,
            100,
        ),
        (
            "unfinished at the deadline",
            Some((MoveState::Running, 2)),
            1000,
            600,
            0,
        ),
        ("paused", Some((MoveState::Paused, 1)), 1000, 10, 100),
        (
            "paused at the deadline",
            Some((MoveState::Paused, 1)),
            1000,
            600,
            0,
        ),
        ("cut by the guard", Some((MoveState::Running, 2)), 0, 10, 0),
        (
            "limited by the guard",
            Some((MoveState::Running, 2)),
            500,
            10,
            500,
        ),
        (
            "finished, after the deadline",
            Some((MoveState::Finished, 2)),
            1000,
            900,
            1000,
        ),
        ("taken back", Some((taken_back, 2)), 1000, 10, 0),
        (
            "stage that the bundle no longer has",
            Some((MoveState::Running, 9)),
            1000,
            10,
            0,
        ),
    ];
    for (name, state, limit, s, expected) in rows {
        let record = state.map(|(state, stage)| record(state, stage));
        let share = share(&cfg(), record.as_ref(), limit, at(s));
        assert_eq!(share, expected, "{name}");
    }
}

#[test]
fn a_leader_that_takes_over_late_still_finishes_in_time() {
    for gap in [0, 100, 250, 400] {
        let mut record = record(MoveState::Running, 0);
        for s in gap..600 {
            record = advance(&cfg(), &record, INFORMED, 8, at(s)).unwrap_or(record);
        }
        assert_eq!(
            record.state,
            MoveState::Finished,
            "without a leader for {gap} s"
        );
    }
}

#[test]
fn a_leader_with_an_outdated_fencing_number_changes_nothing() {
    let record = record(MoveState::Running, 0);
    let next = advance(&cfg(), &record, INFORMED, 8, at(320)).unwrap();
    assert_eq!(advance(&cfg(), &next, INFORMED, 7, at(599)), None);
    let paused = next.with_state(MoveState::Paused, 7, at(330));
    assert_eq!(paused, None);
    assert!(
        !next.is_superseded_by(&record),
        "a stale record that arrives late is dropped"
    );
}

#[test]
fn an_operator_pauses_resumes_and_takes_back() {
    let running = record(MoveState::Running, 1);
    let paused = running.with_state(MoveState::Paused, 7, at(50)).unwrap();
    let resumed = paused.with_state(MoveState::Running, 7, at(90)).unwrap();
    assert_eq!((resumed.stage, resumed.sequence), (1, 3));
    assert!(stage_due(&cfg(), &resumed) > at(90));
    let back = MoveState::TakenBack(TakeBackReason::Operator);
    let back = resumed.with_state(back, 7, at(91)).unwrap();
    assert_eq!(back.with_state(MoveState::Running, 7, at(92)), None);
}

#[test]
fn a_record_round_trips_through_json_and_an_invalid_one_is_rejected() {
    let record = record(MoveState::TakenBack(TakeBackReason::Fault), 1);
    let json = serde_json::to_string(&MoveRecordWire::from(record.clone())).unwrap();
    let wire: MoveRecordWire = serde_json::from_str(&json).unwrap();
    assert_eq!(MoveRecord::try_from(wire).unwrap(), record);
    for (field, value) in [("sequence", 0), ("stage_since", START.0 - 1)] {
        let mut json: serde_json::Value = serde_json::from_str(&json).unwrap();
        json[field] = value.into();
        let wire: MoveRecordWire = serde_json::from_value(json).unwrap();
        assert!(MoveRecord::try_from(wire).is_err(), "{field}");
    }
}

#[test]
fn versions_are_picked_by_share_even_when_moves_overlap() {
    let [v1, v2, v3] = [0, 1, 2].map(VersionKey);
    let to = |from, to, share| ActiveMove { from, to, share };
    let rows = [
        ("none", vec![], [10_000, 0, 0]),
        ("one", vec![to(v1, v2, 100)], [9_000, 1_000, 0]),
        ("all", vec![to(v1, v2, 1000)], [0, 10_000, 0]),
        (
            "two from one version",
            vec![to(v1, v2, 100), to(v1, v3, 300)],
            [6_000, 1_000, 3_000],
        ),
        (
            "shares above 1000 together",
            vec![to(v1, v2, 800), to(v1, v3, 800)],
            [0, 8_000, 2_000],
        ),
        (
            "chain",
            vec![to(v1, v2, 500), to(v2, v3, 500)],
            [5_000, 2_500, 2_500],
        ),
        ("other service", vec![to(v3, v2, 1000)], [10_000, 0, 0]),
    ];
    for (name, moves, expected) in rows {
        let mut rng = StdRng::seed_from_u64(1);
        let mut counts = [0_i32; 3];
        for _ in 0..10_000 {
            counts[pick_version(v1, &moves, &mut rng).0 as usize] += 1;
        }
        for (count, expected) in counts.into_iter().zip(expected) {
            assert!((count - expected).abs() <= 200, "{name}: {counts:?}");
            assert_eq!(count == 0, expected == 0, "{name}: {counts:?}");
        }
    }
}
