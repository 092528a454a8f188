//! When a backend server counts as cold: its records, its answers, and the end of an evacuation.

use std::time::Duration;

use apricotlug_model::{Backend, BackendState, MonoTime};
use apricotlug_policy::steer::{Fleet, KnownInstance, LimitShare};

const COLD_MS: u32 = 3_000;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 10_000))
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The record is read; start of the process, and milliseconds for which it stays cold.
    Record(u64, u32),
    /// An answer arrives that says for how many milliseconds it stays cold.
    Answer(u32),
    /// The evacuation ends; milliseconds for which the plan says that a backend server is cold.
    EvacuationOver(u32),
    /// The record lapses in the store.
    Lapse,
}

use Event::{Answer, EvacuationOver, Lapse, Record};

fn apply(fleet: &mut Fleet, event: Event, now: MonoTime) {
    match event {
        Record(born_ms, cold_ms) => {
            let backend = Backend {
                id: "x".to_owned(),
                service: "stock".to_owned(),
                addr: ([127, 0, 0, 1], 7_000).into(),
                data_centre: "a".to_owned(),
                version: "v1".to_owned(),
                slots: 6,
                state: BackendState::Ready,
                cold_ms,
                born_ms,
            };
            fleet.register(backend, "west", now);
        }
        Answer(cold_ms) => {
            let key = fleet.find("x").unwrap();
            let until = now.after(Duration::from_millis(cold_ms.into()));
            fleet.entry_mut(key).cold.set_cold_until(until);
        }
        EvacuationOver(cold_ms) => fleet.on_evacuation_over("a", now, |_| cold_ms),
        Lapse => fleet.remove("x"),
    }
}

/// Returns the millisecond from which the backend server counts as warm after the events.
fn warm_from(events: &[(u64, Event)]) -> u64 {
    let mut fleet = Fleet::default();
    for (ms, event) in events {
        apply(&mut fleet, *event, at(*ms));
    }
    let entry = fleet.entry(fleet.find("x").unwrap());
    let last = events.last().map_or(0, |(ms, _)| *ms);
    (last..).find(|ms| !entry.cold.is_cold(at(*ms))).unwrap()
}

#[test]
fn a_backend_server_is_cold_as_its_newest_record_says() {
    for (events, expected, name) in [
        (vec![(0, Record(1, 0))], 0, "warm"),
        (vec![(0, Record(1, COLD_MS))], 3_000, "cold"),
        (
            vec![(0, Record(1, COLD_MS)), (1_500, Record(1, 1_400))],
            2_900,
            "the next record is more exact",
        ),
        (
            vec![(0, Record(1, COLD_MS)), (1, Record(1, 0))],
            1,
            "both records are read late, with the same changes",
        ),
        (
            vec![(0, Record(1, 0)), (500, Record(1, COLD_MS))],
            3_500,
            "cold again without a new start",
        ),
        (
            vec![(0, Record(1, 0)), (500, Record(2, COLD_MS))],
            3_500,
            "a new start",
        ),
        (
            vec![(0, Record(1, COLD_MS)), (900, Record(2, 0))],
            900,
            "a new start that is warm",
        ),
        (
            vec![(0, Record(1, 0)), (10, Lapse), (900, Record(1, 2_000))],
            2_900,
            "back after it lapsed",
        ),
        (
            vec![
                (0, Record(1, COLD_MS)),
                (1_500, EvacuationOver(COLD_MS)),
                (1_600, Record(1, 1_400)),
            ],
            3_000,
            "a record after the evacuation overrides its estimate",
        ),
    ] {
        assert_eq!(warm_from(&events), expected, "{name}");
    }
}

/// Guards against a cold backend server that counted as warm once an evacuation ended under a plan
/// with a shorter cold period, or without its service, or once an answer from before came in late.
#[test]
fn neither_a_late_answer_nor_the_end_of_an_evacuation_shortens_a_cold_period() {
    for event in [
        EvacuationOver(0),
        EvacuationOver(1_000),
        Answer(0),
        Answer(700),
    ] {
        let events = [(0, Record(1, COLD_MS)), (100, event)];
        assert_eq!(warm_from(&events), 3_000, "{event:?}");
    }
    for event in [EvacuationOver(COLD_MS), Answer(COLD_MS)] {
        let events = [(0, Record(1, 1_000)), (100, event)];
        assert_eq!(warm_from(&events), 3_100, "{event:?}");
    }
}

/// Guards against a cold backend server whose limit started anew, with credit for a request, each
/// time its record lapsed or could not be read, and came back.
#[test]
fn a_cold_backend_server_whose_record_comes_back_has_no_new_credit() {
    const RATE: f64 = 4.7;
    let mut share = LimitShare::default();
    share.on_entered(at(0).before(Duration::from_secs(2)));
    share.on_read(at(0).before(Duration::from_secs(2)));
    share.on_read(at(0));
    let alone = KnownInstance::new("p-1", "west", true);
    share.update("p-1", vec![alone], ["west"].into_iter(), at(0));
    let mut fleet = Fleet::default();
    apply(&mut fleet, Record(1, COLD_MS), at(0));
    let mut sent = 0;
    for ms in 0..1_000 {
        if ms % 100 == 50 {
            apply(&mut fleet, Lapse, at(ms));
            assert!(fleet.find("x").is_none());
            apply(&mut fleet, Record(1, COLD_MS - ms as u32), at(ms));
            assert_eq!(fleet.of_service("stock").count(), 1);
        }
        let key = fleet.find("x").unwrap();
        fleet.update_cold(at(ms), &share);
        let gate = &mut fleet.entry_mut(key).cold;
        if gate.may_send(at(ms), RATE, "west", &share) {
            gate.on_send(at(ms), RATE, "west", &share);
            sent += 1;
        }
    }
    assert!(f64::from(sent) <= RATE + 1.0, "{sent}");
}
