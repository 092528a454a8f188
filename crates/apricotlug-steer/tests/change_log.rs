//! Copy of the store's items and recent changes, for instances that poll this one.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use apricotlug_adapter::{Change, Item, Listing};
use apricotlug_model::{BootTime, StoreVersion};
use apricotlug_steer::{ChangeLog, Delta, OlderRead};

/// Time of reads where it does not matter.
const READ_AT: BootTime = BootTime(1);

/// Returns a version of a store that names no era.
const fn first_era(revision: u64) -> StoreVersion {
    StoreVersion::new(0, revision)
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: vec![1],
        revision,
    }
}

#[test]
fn a_listing_after_the_history_was_dropped_yields_only_what_changed() {
    let change_log = ChangeLog::default();
    let listing = |items: Vec<Item>, revision| Listing {
        items,
        version: first_era(revision),
    };
    change_log
        .on_listing(
            &listing(vec![item("a", 1), item("b", 2), item("c", 3)], 5),
            READ_AT,
        )
        .unwrap();
    change_log
        .on_listing(
            &listing(vec![item("a", 1), item("b", 7), item("d", 8)], 9),
            READ_AT,
        )
        .unwrap();
    let Delta::Changes(changes) = change_log.snapshot_after(first_era(5)).delta else {
        panic!("the changes since the first listing are known");
    };
    let expected = [
        Change::Put(item("b", 7)),
        Change::Removed("c".to_owned()),
        Change::Put(item("d", 8)),
    ];
    assert_eq!(changes, expected);
    assert!(matches!(
        change_log.snapshot_after(first_era(9)).delta,
        Delta::Unchanged(_)
    ));
    assert!(
        matches!(change_log.snapshot_after(first_era(4)).delta, Delta::Full(all) if all.len() == 3)
    );
}

#[test]
fn a_relay_that_has_listed_nothing_yet_lets_its_clients_wait() {
    let change_log = ChangeLog::default();
    let Delta::Unchanged(listed) = change_log.snapshot_after(first_era(0)).delta else {
        panic!("an empty state is not the store's");
    };
    let listing = Listing {
        items: vec![item("a", 1)],
        version: first_era(5),
    };
    change_log.on_listing(&listing, READ_AT).unwrap();
    assert!(listed.is_closed(), "the first listing ends the wait");
    assert!(
        matches!(change_log.snapshot_after(first_era(0)).delta, Delta::Full(all) if all.len() == 1)
    );
}

/// Guards against a log that keeps replaced values: 19 storms of large desired states took every
/// instance over its memory limit.
#[test]
fn a_key_that_is_written_again_and_again_is_held_once() {
    const LARGE: usize = 800_000;
    const WRITES: u64 = 100;
    let change_log = ChangeLog::default();
    change_log
        .on_listing(
            &Listing {
                items: vec![item("a", 1), item("b", 2)],
                version: first_era(5),
            },
            READ_AT,
        )
        .unwrap();
    let large = |revision| Item {
        value: vec![7; LARGE],
        ..item("large", revision)
    };
    for revision in 6..6 + WRITES {
        change_log
            .on_changes(
                &[Change::Put(large(revision))],
                first_era(revision),
                READ_AT,
            )
            .unwrap();
    }
    assert!(
        change_log.held_bytes() < 2 * LARGE,
        "{} bytes are held of items with {LARGE}",
        change_log.held_bytes()
    );
    let last = 5 + WRITES;
    for after in [5, 50, last - 1] {
        let Delta::Changes(changes) = change_log.snapshot_after(first_era(after)).delta else {
            panic!("the last change of every key is kept");
        };
        assert_eq!(changes, [Change::Put(large(last))], "after {after}");
    }
    assert!(matches!(
        change_log.snapshot_after(first_era(last)).delta,
        Delta::Unchanged(_)
    ));
}

/// Guards against keys of backend servers that come and go, each under a new name.
#[test]
fn keys_that_come_and_go_are_held_up_to_a_limit() {
    const KEYS: u64 = 20_000;
    let change_log = ChangeLog::default();
    change_log
        .on_listing(
            &Listing {
                items: vec![item("a", 1)],
                version: first_era(5),
            },
            READ_AT,
        )
        .unwrap();
    let long_key = |i| format!("{}{i}", "x".repeat(1_000));
    for i in 0..KEYS {
        let (key, revision) = (long_key(i), 6 + 2 * i);
        change_log
            .on_changes(
                &[Change::Put(item(&key, revision))],
                first_era(revision),
                READ_AT,
            )
            .unwrap();
        change_log
            .on_changes(&[Change::Removed(key)], first_era(revision + 1), READ_AT)
            .unwrap();
    }
    assert!(
        change_log.held_bytes() < 2 << 20,
        "{} bytes are held of one item",
        change_log.held_bytes()
    );
    let last = 5 + 2 * KEYS;
    let Delta::Changes(changes) = change_log.snapshot_after(first_era(last - 1)).delta else {
        panic!("recent removals are kept");
    };
    assert_eq!(changes, [Change::Removed(long_key(KEYS - 1))]);
    assert!(
        matches!(change_log.snapshot_after(first_era(6)).delta, Delta::Full(all) if all == [Change::Put(item("a", 1))]),
        "an instance that missed a dropped removal gets all items"
    );
}

/// Guards against waits that ended without a change and stay until the next one, which may be hours
/// away: dozens of instances wait anew several times a second.
#[test]
fn a_wait_that_timed_out_leaves_nothing_behind() {
    let change_log = ChangeLog::default();
    change_log
        .on_changes(&[Change::Put(item("a", 5))], first_era(5), READ_AT)
        .unwrap();
    for _ in 0..1_000 {
        let delta = change_log.snapshot_after(first_era(5)).delta;
        assert!(matches!(delta, Delta::Unchanged(_)));
    }
    assert_eq!(change_log.waiting(), 0);
    let waits = [
        change_log.snapshot_after(first_era(5)).delta,
        change_log.snapshot_after(first_era(5)).delta,
    ];
    assert_eq!(change_log.waiting(), 2);
    change_log
        .on_changes(&[Change::Put(item("a", 6))], first_era(6), READ_AT)
        .unwrap();
    for wait in waits {
        assert!(matches!(wait, Delta::Unchanged(changed) if changed.is_closed()));
    }
    assert_eq!(change_log.waiting(), 0);
}

/// Guards against a change that is missed for good: it was recorded while a response to another
/// instance was put together, of which the changes did not have it, and the revision did.
#[test]
fn a_snapshot_holds_all_changes_up_to_its_revision_while_others_are_recorded() {
    const ROUNDS: u64 = 50_000;
    let change_log = ChangeLog::default();
    let record = |revision| {
        let change = Change::Put(item("plan", revision));
        change_log
            .on_changes(&[change], first_era(revision), BootTime(revision))
            .unwrap();
    };
    record(1);
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut revisions = 2..;
            while !is_done.load(Ordering::Relaxed) {
                revisions.by_ref().take(1).for_each(record);
            }
        });
        let mut known = 1;
        let mut wrong = None;
        for _ in 0..ROUNDS {
            let snapshot = change_log.snapshot_after(first_era(known));
            let held = match &snapshot.delta {
                Delta::Unchanged(_) => known,
                Delta::Changes(changes) | Delta::Full(changes) => match changes.last() {
                    Some(Change::Put(item)) => item.revision,
                    _ => 0,
                },
            };
            let claimed = (snapshot.version.revision, snapshot.read_at);
            if claimed != (held, Some(BootTime(held))) {
                wrong = Some((held, claimed));
            }
            known = snapshot.version.revision;
        }
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(
            wrong, None,
            "held, and claimed revision and time of the read"
        );
    });
}

/// Guards against items that go back: after the history was dropped, a relay that was itself behind
/// passed on all of its items, and they counted as of the higher revision that was known.
#[test]
fn a_listing_that_is_older_than_what_is_known_changes_nothing() {
    let change_log = ChangeLog::default();
    let listing = |revision| Listing {
        items: vec![item("plan", revision)],
        version: first_era(revision),
    };
    change_log.on_listing(&listing(60), BootTime(1)).unwrap();
    let newer = Change::Put(item("plan", 65));
    change_log
        .on_changes(std::slice::from_ref(&newer), first_era(67), BootTime(2))
        .unwrap();
    let older = OlderRead {
        read: first_era(60),
        known: first_era(67),
    };
    assert_eq!(change_log.on_listing(&listing(60), BootTime(3)), Err(older));
    let snapshot = change_log.snapshot_after(first_era(60));
    assert_eq!(
        (snapshot.version, snapshot.read_at),
        (first_era(67), Some(BootTime(2)))
    );
    assert!(matches!(snapshot.delta, Delta::Changes(changes) if changes == [newer]));
}

/// Guards against a state that stays for ever: the store came back from a copy, and its listing
/// looked older than what was known.
#[test]
fn a_listing_of_a_newer_era_is_taken_whatever_its_revision() {
    let change_log = ChangeLog::default();
    let listing = |items: Vec<Item>, era, revision| Listing {
        items,
        version: StoreVersion::new(era, revision),
    };
    let changed = |key: &str| Item {
        value: vec![2],
        ..item(key, 3)
    };
    let first = vec![item("a", 1), item("b", 3), item("c", 9), item("d", 20)];
    change_log
        .on_listing(&listing(first, 1, 60), BootTime(1))
        .unwrap();
    // The copy has the first item as it was, and the number of the second one for another value.
    let copy = vec![item("a", 1), changed("b"), item("c", 4)];
    let listed = change_log
        .on_listing(&listing(copy.clone(), 2, 10), BootTime(2))
        .unwrap();
    let expected = [
        Change::Put(changed("b")),
        Change::Put(item("c", 4)),
        Change::Removed("d".to_owned()),
    ];
    assert_eq!(listed.changes, expected);
    assert_eq!(listed.replaced_era, Some(StoreVersion::new(1, 60)));
    let older = listing(vec![item("a", 99)], 1, 99);
    let known = StoreVersion::new(2, 10);
    assert_eq!(
        change_log.on_listing(&older, BootTime(3)),
        Err(OlderRead {
            read: older.version,
            known
        })
    );
    for version in [StoreVersion::new(1, 99), StoreVersion::new(3, 11)] {
        let wrong = change_log.on_changes(&[Change::Put(item("a", 11))], version, BootTime(3));
        assert_eq!(
            wrong,
            Err(OlderRead {
                read: version,
                known
            })
        );
    }
    let again = change_log
        .on_listing(&listing(copy, 2, 12), BootTime(4))
        .unwrap();
    assert_eq!((again.changes, again.replaced_era), (Vec::new(), None));
}

/// Guards against a wrong delta: a relay client of another era got the changes after a revision that
/// the relay had given out again, or none.
#[test]
fn a_client_of_an_earlier_era_gets_all_items_and_one_of_a_later_era_waits() {
    let change_log = ChangeLog::default();
    let items = vec![item("a", 1), item("b", 8)];
    let listing = |era| Listing {
        items: items.clone(),
        version: StoreVersion::new(era, 10),
    };
    change_log.on_listing(&listing(1), BootTime(1)).unwrap();
    let Delta::Unchanged(waits) = change_log.snapshot_after(StoreVersion::new(1, 10)).delta else {
        panic!("nothing has changed");
    };
    change_log.on_listing(&listing(2), BootTime(2)).unwrap();
    assert!(waits.is_closed(), "a new era ends the waits");
    let cases = [
        (1, 10, "all"),
        (1, 99, "all"),
        (2, 10, "none"),
        (2, 9, "all"),
        (3, 0, "none"),
        (3, 5, "none"),
    ];
    for (era, revision, expected) in cases {
        let snapshot = change_log.snapshot_after(StoreVersion::new(era, revision));
        let got = match snapshot.delta {
            Delta::Full(all) if all.len() == 2 => "all",
            Delta::Unchanged(_) => "none",
            _ => "other",
        };
        assert_eq!(got, expected, "after {revision} of era {era}");
        assert_eq!(snapshot.version, StoreVersion::new(2, 10));
    }
    let change = Change::Put(item("c", 11));
    let next = StoreVersion::new(2, 11);
    change_log
        .on_changes(std::slice::from_ref(&change), next, BootTime(3))
        .unwrap();
    let delta = change_log.snapshot_after(StoreVersion::new(2, 10)).delta;
    assert!(matches!(delta, Delta::Changes(changes) if changes == [change]));
}
