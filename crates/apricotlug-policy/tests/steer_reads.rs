//! Where an instance reads next, after which failures.

use std::{net::SocketAddr, time::Duration};

use apricotlug_model::{MonoTime, StoreVersion};
use apricotlug_policy::steer::{Read, ReadLimits, ReadSchedule, ReadSources};

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

/// Returns a version of a store that names no era.
const fn first_era(revision: u64) -> StoreVersion {
    StoreVersion::new(0, revision)
}

fn addr(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

fn limits() -> ReadLimits {
    ReadLimits::new(Duration::from_millis(2_500))
}

fn others() -> ReadSources {
    ReadSources {
        others: vec![addr(1), addr(2)],
        is_listed: true,
        ..ReadSources::default()
    }
}

fn relays() -> ReadSources {
    ReadSources {
        relay: Some(addr(7)),
        ..others()
    }
}

/// Schedule of an instance that has listed the items.
fn listed() -> ReadSchedule {
    let mut schedule = ReadSchedule::new(limits());
    schedule.on_members_listed();
    schedule.on_store_read(first_era(5));
    schedule
}

fn polled(read: Read) -> Option<SocketAddr> {
    match read {
        Read::Poll { instance, .. } => Some(instance),
        _ => None,
    }
}

#[test]
fn an_instance_lists_the_others_then_all_items_then_watches() {
    let mut schedule = ReadSchedule::new(limits());
    assert_eq!(schedule.next(&others(), at(0)), Read::ListMembers);
    schedule.on_members_listed();
    assert_eq!(schedule.next(&others(), at(0)), Read::List);
    schedule.on_store_read(first_era(5));
    let wait = schedule.limits().watch_wait;
    assert_eq!(
        schedule.next(&others(), at(0)),
        Read::Watch {
            after: first_era(5),
            wait
        }
    );
}

/// Guards against a part of the changes that waits for more as if it were all: what is missing is
/// asked for at once.
#[test]
fn after_a_part_of_the_changes_the_rest_is_asked_for_at_once() {
    let mut schedule = listed();
    let full_wait = schedule.limits().watch_wait;
    schedule.on_part_read(first_era(400));
    let Read::Watch { after, wait } = schedule.next(&others(), at(10)) else {
        panic!("the store is not watched");
    };
    assert_eq!(after, first_era(400));
    assert!(wait < Duration::from_millis(10), "{wait:?}");
    schedule.on_store_read(first_era(402));
    assert_eq!(
        schedule.next(&others(), at(20)),
        Read::Watch {
            after: first_era(402),
            wait: full_wait
        }
    );
}

#[test]
fn an_instance_without_callers_gets_all_items_from_a_relay() {
    let mut schedule = ReadSchedule::new(limits());
    let sources = ReadSources {
        listing_relay: Some(addr(7)),
        ..relays()
    };
    schedule.on_members_listed();
    assert!(matches!(
        schedule.next(&sources, at(0)),
        Read::Poll { after, .. } if after == first_era(0)
    ));
    schedule.on_poll_failure(at(0));
    assert_eq!(schedule.next(&sources, at(1)), Read::List);
}

#[test]
fn a_single_store_failure_does_not_switch_to_other_instances() {
    let mut schedule = listed();
    assert!(schedule.on_store_failure(at(1_000)), "the store is lost");
    let read = schedule.next(&others(), at(1_001));
    assert!(
        matches!(read, Read::Watch { wait, .. } if wait < Duration::from_millis(10)),
        "one failure is retried at the store: {read:?}"
    );
    assert!(schedule.on_store_read(first_era(6)), "the store is back");
    assert!(schedule.on_store_failure(at(2_000)));
    assert_eq!(polled(schedule.next(&others(), at(2_001))), None);
    assert!(!schedule.on_store_failure(at(2_100)));
    assert_eq!(
        polled(schedule.next(&others(), at(2_101))),
        Some(addr(1)),
        "two consecutive failures start the fallback"
    );
    schedule.on_poll_failure(at(2_150));
    assert_eq!(
        polled(schedule.next(&others(), at(2_200))),
        None,
        "the other instance had no fresh data either"
    );
    schedule.on_store_failure(at(2_300));
    assert_eq!(
        polled(schedule.next(&others(), at(2_301))),
        Some(addr(2)),
        "the next instance is tried"
    );
}

#[test]
fn an_instance_whose_relay_fails_reads_the_store_for_a_while() {
    let mut schedule = listed();
    assert_eq!(polled(schedule.next(&relays(), at(0))), Some(addr(7)));
    schedule.on_poll_failure(at(1_000));
    assert_eq!(polled(schedule.next(&relays(), at(1_001))), None);
    assert_eq!(polled(schedule.next(&relays(), at(3_999))), None);
    assert_eq!(polled(schedule.next(&relays(), at(4_001))), Some(addr(7)));
}

#[test]
fn a_revision_never_goes_back_to_that_of_an_instance_that_is_behind() {
    let mut schedule = listed();
    schedule.on_poll(first_era(3));
    let read = schedule.next(&relays(), at(0));
    assert!(
        matches!(read, Read::Poll { after, .. } if after == first_era(5)),
        "{read:?}"
    );
}

/// Guards against time limits that add up beyond the bound: a source that stops being current, or a
/// poll that fails, and then the store, which needs its part.
#[test]
fn noticing_a_source_that_is_behind_leaves_time_for_the_store() {
    for apply_ms in [1_000, 2_500, 3_000, 4_000, 10_000] {
        let apply = Duration::from_millis(apply_ms);
        let mut schedule = ReadSchedule::new(ReadLimits::new(apply));
        schedule.on_members_listed();
        schedule.on_store_read(first_era(5));
        let watch = schedule.next(&others(), at(0));
        let unlisted = ReadSources {
            is_listed: false,
            ..relays()
        };
        let polls = [relays(), unlisted].map(|sources| match schedule.next(&sources, at(0)) {
            Read::Poll { time_limit, .. } => time_limit,
            other => panic!("the relay is polled: {other:?}"),
        });
        let is_in_time = |span: Duration| span <= apply.mul_f64(0.6);
        assert!(
            is_in_time(schedule.passes_on_for(watch)),
            "{apply:?}: {watch:?}"
        );
        assert!(polls.into_iter().all(is_in_time), "{apply:?}: {polls:?}");
    }
}

/// Guards against instances that read from each other and take each other for current, and against
/// one that passes on what it read before the store fell silent.
#[test]
fn an_instance_passes_on_only_its_own_reads_of_the_store() {
    let mut schedule = listed();
    let limits = schedule.limits();
    let watch = schedule.next(&others(), at(0));
    let overdue = limits.watch_wait + limits.slack;
    assert_eq!(schedule.passes_on_for(watch), overdue);
    let poll = schedule.next(&relays(), at(0));
    assert_eq!(schedule.passes_on_for(poll), Duration::ZERO);
    schedule.on_poll(first_era(6));
    let watch = schedule.next(&others(), at(0));
    assert_eq!(
        schedule.passes_on_for(watch),
        Duration::ZERO,
        "second hand until the store is read"
    );
    schedule.on_store_read(first_era(6));
    let watch = schedule.next(&others(), at(0));
    assert_eq!(schedule.passes_on_for(watch), overdue);
    schedule.on_store_failure(at(10));
    let watch = schedule.next(&others(), at(11));
    assert_eq!(
        schedule.passes_on_for(watch),
        Duration::ZERO,
        "a read failed"
    );
}

/// Guards against an instance without any source: after the history was dropped it asked no other
/// instance, however long the store turned it away.
#[test]
fn after_the_history_was_dropped_others_are_read_from_while_the_store_fails() {
    let mut schedule = listed();
    schedule.on_history_dropped();
    assert_eq!(schedule.next(&others(), at(0)), Read::List);
    schedule.on_store_failure(at(100));
    schedule.on_store_failure(at(200));
    let read = schedule.next(&others(), at(201));
    assert!(
        matches!(read, Read::Poll { after, .. } if after == first_era(5)),
        "{read:?}"
    );
    schedule.on_poll(first_era(5));
    assert_eq!(
        schedule.next(&others(), at(4_000)),
        Read::List,
        "nothing came after what is known"
    );
    schedule.on_poll(first_era(8));
    let read = schedule.next(&others(), at(4_000));
    assert!(
        matches!(read, Read::Watch { after, .. } if after == first_era(8)),
        "{read:?}"
    );
}

#[test]
fn an_instance_that_the_store_turns_away_at_its_start_gets_all_items_from_another() {
    let mut schedule = ReadSchedule::new(limits());
    schedule.on_members_listed();
    schedule.on_store_failure(at(100));
    schedule.on_store_failure(at(200));
    let read = schedule.next(&others(), at(201));
    assert!(
        matches!(read, Read::Poll { after, .. } if after == first_era(0)),
        "{read:?}"
    );
}

/// Guards against an instance without a plan that goes on asking others, which may have started in the
/// same outage and know nothing either, though the store has answered it.
#[test]
fn a_start_in_an_outage_lists_the_items_as_soon_as_the_store_answers() {
    let mut schedule = ReadSchedule::new(limits());
    for failed_at in [1_000, 2_200, 3_500] {
        assert_eq!(schedule.next(&others(), at(failed_at)), Read::ListMembers);
        schedule.on_store_failure(at(failed_at));
    }
    assert!(schedule.on_members_listed(), "the store is back");
    assert_eq!(schedule.next(&others(), at(3_700)), Read::List);
    schedule.on_store_failure(at(3_800));
    schedule.on_store_failure(at(3_900));
    assert_eq!(
        polled(schedule.next(&others(), at(3_901))),
        Some(addr(1)),
        "turned away again"
    );
}

/// Guards against waits that add up where an instance stops reading from another one: that one's last
/// read may be a whole wait ago, and the store out of reach.
#[test]
fn the_first_watch_after_another_instance_was_read_from_returns_at_once() {
    let mut schedule = listed();
    schedule.on_poll(first_era(6));
    let read = schedule.next(&others(), at(0));
    assert!(
        matches!(read, Read::Watch { after, wait }
            if after == first_era(6) && wait < Duration::from_millis(10)),
        "{read:?}"
    );
    schedule.on_store_read(first_era(6));
    let wait = schedule.limits().watch_wait;
    let read = schedule.next(&others(), at(0));
    assert_eq!(
        read,
        Read::Watch {
            after: first_era(6),
            wait
        }
    );
}

/// Guards against a watch from a revision that the store has given out again since it came back from
/// a copy.
#[test]
fn a_newer_era_in_any_response_leads_to_a_listing() {
    let watches = |schedule: &ReadSchedule| {
        let read = schedule.next(&others(), at(0));
        matches!(read, Read::Watch { .. })
    };
    let mut schedule = listed();
    schedule.on_era(0);
    assert!(watches(&schedule));
    schedule.on_era(1);
    assert_eq!(schedule.next(&others(), at(0)), Read::List);
    schedule.on_store_read(first_era(7));
    assert_eq!(
        schedule.next(&others(), at(0)),
        Read::List,
        "the listing was made before the era began"
    );
    schedule.on_store_read(StoreVersion::new(1, 3));
    assert!(watches(&schedule));
    // An instance that is behind passes on an earlier era.
    schedule.on_poll(first_era(9));
    let read = schedule.next(&others(), at(0));
    assert!(
        matches!(read, Read::Watch { after, .. } if after == StoreVersion::new(1, 3)),
        "{read:?}"
    );
    schedule.on_poll(StoreVersion::new(2, 1));
    let read = schedule.next(&others(), at(0));
    assert!(
        matches!(read, Read::Watch { after, .. } if after == StoreVersion::new(2, 1)),
        "{read:?}"
    );
}

/// Guards against a hundred instances that list all items when a store has just come back.
#[test]
fn an_instance_with_a_relay_waits_for_the_items_of_a_new_era_there() {
    let mut schedule = listed();
    schedule.on_era(1);
    let read = schedule.next(&relays(), at(0));
    assert!(
        matches!(read, Read::Poll { after, .. } if after == first_era(5)),
        "{read:?}"
    );
}
