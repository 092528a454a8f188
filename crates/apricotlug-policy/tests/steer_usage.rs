//! Counts of client accounts' usage: clocks that jump, windows, and what is kept until it is settled.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{BootTime, UnixTime};
use apricotlug_policy::steer::{
    Collection, DutyInstance, DutyRecord, LostWindow, Outbox, UsageCounts, WallAnchor, WindowCounts,
};

const WINDOW: Duration = Duration::from_secs(5);
const START_MS: u64 = 1_767_000_000_000;

fn wall(ms: u64) -> UnixTime {
    UnixTime::default().after(Duration::from_millis(START_MS + ms))
}

fn boot(ms: u64) -> BootTime {
    BootTime::default().after(Duration::from_millis(60_000 + ms))
}

fn counts(number: u64, requests: u64) -> WindowCounts {
    let counts = [("movers".to_owned(), requests)];
    WindowCounts {
        number,
        counts: counts
            .into_iter()
            .filter(|(_, requests)| *requests > 0)
            .collect(),
    }
}

#[test]
fn a_jump_of_the_wall_clock_moves_nothing_unless_it_lasts() {
    // Error of the machine's wall clock in milliseconds, from and until, and the error that shows.
    let cases: [(i64, u64, u64, i64); 4] = [
        (4_000, 20_000, 26_000, 0),
        (-4_000, 20_000, 26_000, 0),
        (30, 20_000, 60_000, 30),
        (-9_000, 20_000, 60_000, -9_000),
    ];
    for (error, from, until, lasting) in cases {
        let mut anchor = WallAnchor::default();
        for ms in (0..60_000).step_by(100) {
            let is_off = (from..until).contains(&ms);
            let off = if is_off { error } else { 0 };
            anchor.on_reading(boot(ms), wall(ms.saturating_add_signed(off)));
            let shown = anchor.unix(boot(ms)).0 as i64 - wall(ms).0 as i64;
            let may_show = is_off && ms >= from + 7_000 && lasting != 0;
            let is_settled = ms >= from + 8_000 && lasting != 0;
            let allowed: &[i64] = match (may_show, is_settled) {
                (_, true) => &[lasting],
                (true, false) => &[0, lasting],
                (false, false) => &[0],
            };
            assert!(
                allowed.contains(&(shown / 1_000)),
                "{error} at {ms}: {shown}"
            );
        }
    }
}

#[test]
fn a_request_counts_once_in_the_window_in_which_it_began() {
    let first = START_MS / 5_000;
    // Sent, began (None where it did not run), ended; the windows that are closed at 8 s.
    let cases: [(u64, Option<u64>, u64, [u64; 2]); 6] = [
        (1_000, Some(1_200), 2_000, [1, 0]),
        (4_900, Some(5_100), 6_000, [0, 1]),
        (4_900, Some(4_950), 6_000, [1, 0]),
        (4_900, None, 5_200, [0, 0]),
        (4_900, Some(4_950), 9_500, [1, 0]),
        (4_900, Some(5_100), 9_500, [1, 0]),
    ];
    for (sent, began, ended, expected) in cases {
        let case = format!("{sent} {began:?} {ended}");
        let mut usage = UsageCounts::new(WINDOW, Duration::from_secs(3), wall(0));
        let mut closed = Vec::new();
        let mut request = None;
        for ms in (0..14_000).step_by(100) {
            if ms == sent {
                request = Some(usage.on_sent("movers", wall(ms)));
            }
            if ms == ended {
                let request = request.take().expect("sent before");
                usage.on_end(request, began.map(wall));
            }
            closed.extend(usage.close(wall(ms)));
        }
        let expected = [
            counts(first - 2, 0),
            counts(first - 1, 0),
            counts(first, expected[0]),
            counts(first + 1, expected[1]),
        ];
        assert_eq!(closed, expected, "{case}");
    }
}

#[test]
fn a_lasting_step_of_the_clock_closes_a_bounded_number_of_windows() {
    for step_ms in [-100_000_i64, 100_000, 10_000_000_000] {
        let mut usage = UsageCounts::new(WINDOW, Duration::from_secs(3), wall(200_000));
        usage.close(wall(205_000));
        let request = usage.on_sent("movers", wall(205_000));
        usage.on_end(request, Some(wall(205_010)));
        let after = 210_000_u64.saturating_add_signed(step_ms);
        let mut closed = usage.close(wall(after));
        assert!(closed.len() <= 40, "{step_ms}: {}", closed.len());
        closed.extend(usage.close_all());
        let sum: u64 = closed
            .iter()
            .flat_map(|window| window.counts.values())
            .sum();
        assert_eq!(sum, 1, "{step_ms}");
    }
}

fn record(run: u64, last_window: u64) -> DutyRecord {
    DutyRecord {
        holder: DutyInstance {
            name: format!("m{run}"),
            run,
            peer: ([127, 0, 0, 1], 7_000).into(),
        },
        fence: run,
        renewals: 0,
        is_released: false,
        last_window,
        reports: Vec::new(),
    }
}

#[test]
fn windows_are_kept_until_a_record_shows_them_settled() {
    let mut outbox = Outbox::default();
    for number in 1..=4 {
        assert_eq!(outbox.push(counts(number, 10 * number)), None);
    }
    assert_eq!(outbox.due_for(7).len(), 4);
    outbox.on_confirmed(7, &[1, 2]);
    let numbers = |outbox: &Outbox, run| -> Vec<u64> {
        outbox
            .due_for(run)
            .iter()
            .map(|window| window.number)
            .collect()
    };
    assert_eq!(numbers(&outbox, 7), [3, 4]);
    // A new holder gets again what the last one had.
    assert_eq!(numbers(&outbox, 8), [1, 2, 3, 4]);
    assert_eq!(outbox.on_record(&record(8, 1)), []);
    assert_eq!(numbers(&outbox, 8), [2, 3, 4]);
    let lost = LostWindow {
        number: 3,
        requests: 30,
    };
    assert_eq!(outbox.on_record(&record(8, 3)), [lost]);
    assert_eq!(numbers(&outbox, 8), [4]);
    for number in 5..=19 {
        assert_eq!(outbox.push(counts(number, 1)), None);
    }
    assert_eq!(outbox.push(counts(20, 1)).map(|lost| lost.number), Some(4));
}

#[test]
fn a_collection_sums_all_instances_and_names_how_many_are_missing() {
    let mut collection = Collection::default();
    assert!(collection.receive(1, counts(5, 3)));
    assert!(collection.receive(2, counts(5, 4)));
    assert!(collection.receive(2, counts(5, 6)));
    assert_eq!(collection.missing(5, &[1, 2, 3]), 1);
    assert_eq!(collection.missing(6, &[1, 2, 3]), 3);
    assert_eq!(collection.total(5), counts(5, 9));
    assert_eq!(collection.total(6).counts, BTreeMap::new());
    for number in 6..25 {
        assert!(collection.receive(1, counts(number, 1)));
    }
    assert!(!collection.receive(1, counts(25, 1)), "bounded");
    assert_eq!(collection.missing_recent(6), 0);
    collection.forget_through(5);
    assert_eq!(collection.missing_recent(6), 1, "run 2");
    assert_eq!(collection.missing(5, &[1]), 1);
    assert!(collection.receive(1, counts(25, 1)));
}
