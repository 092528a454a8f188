//! Messages between instances, and which instances report to which.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use apricotlug_adapter::{Change, Item, Listing};
use apricotlug_config::{SiteSettings, parse_site};
use apricotlug_model::{BootTime, MonoTime};
use apricotlug_steer::{
    AccountUsage, BackendLoad, ChangeLog, Delta, ListedInstances, MemberInfo, MoveEvidence,
    OlderListing, Peers, RelayRequest, RelayResponse, Relays, StatusDatagram, decode_datagram,
    decode_relay_request, decode_relay_response, encode_datagram, encode_relay_request,
    encode_relay_response,
};

const SETTINGS: &str = include_str!("../../../examples/steer.toml");

/// Time of reads where it does not matter.
const READ_AT: BootTime = BootTime(1);

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms))
}

fn settings(instance: &str) -> SiteSettings {
    let text = SETTINGS.replace("\"brest-1\"", &format!("{instance:?}"));
    parse_site("steer.toml", &text).unwrap()
}

fn info(run: u64, data_centre: &str) -> MemberInfo {
    MemberInfo {
        run,
        caller: ([10, 0, 0, 1], run as u16).into(),
        peer: ([10, 0, 0, 2], run as u16).into(),
        data_centre: data_centre.to_owned(),
        link_mbps: 1000,
    }
}

/// The given number of other instances, alternately in two regions.
fn peers(n: u64) -> Peers {
    let mut peers = Peers::default();
    for run in 1..=n {
        let data_centre = if run % 2 == 0 { "brest-a" } else { "rennes-a" };
        peers.register(&format!("p-{run:02}"), info(run, data_centre), at(0));
    }
    peers
}

fn usage() -> Vec<AccountUsage> {
    vec![AccountUsage {
        account: u64::MAX,
        admitted: 7,
        demand: 0.5,
    }]
}

fn evidence() -> Vec<MoveEvidence> {
    vec![MoveEvidence {
        order: 3,
        counts: [1, 2, 3, u64::MAX],
    }]
}

fn loads() -> Vec<BackendLoad> {
    vec![BackendLoad {
        backend: 9,
        requests: u16::MAX,
    }]
}

#[test]
fn messages_decode_to_what_was_encoded() {
    let datagram = StatusDatagram {
        name: "brest-1".to_owned(),
        run: 1,
        sequence: 2,
        is_leaving: true,
        usage: usage(),
        loads: loads(),
        evidence: evidence(),
    };
    assert_eq!(
        decode_datagram(&encode_datagram(&datagram)).unwrap(),
        datagram
    );
    let request = RelayRequest {
        run: 1,
        after: 2,
        wait_ms: 400,
        usage: usage(),
        evidence: evidence(),
        loads: loads(),
    };
    assert_eq!(
        decode_relay_request(&encode_relay_request(&request)).unwrap(),
        request
    );
    let item = Item {
        key: "a/b".to_owned(),
        value: vec![0, 255],
        revision: 5,
    };
    let response = RelayResponse {
        run: 1,
        revision: 9,
        is_full: true,
        age_ms: 17,
        held_ms: 5,
        is_behind: true,
        changes: vec![Change::Put(item), Change::Removed("c".to_owned())],
        usage: usage(),
        evidence: evidence(),
        loads: loads(),
    };
    assert_eq!(
        decode_relay_response(&encode_relay_response(&response)).unwrap(),
        response
    );
}

#[test]
fn malformed_messages_are_rejected() {
    let complete = encode_datagram(&StatusDatagram {
        name: "brest-1".to_owned(),
        usage: usage(),
        ..StatusDatagram::default()
    });
    assert!(decode_datagram(&[]).is_err());
    assert!(decode_datagram(&[0xff; 40]).is_err());
    assert!(decode_datagram(&complete[..complete.len() / 2]).is_err());
    assert!(
        decode_relay_request(&[1, 2, 3]).is_err() && decode_relay_response(&[1, 2, 3]).is_err()
    );
}

#[test]
fn few_instances_need_no_relay() {
    assert_eq!(
        peers(8).relays(&settings("brest-1"), at(0)),
        Relays::default()
    );
}

#[test]
fn with_many_instances_all_agree_on_two_relays_per_region() {
    let peers = peers(40);
    let first = peers.relays(&settings("a-first"), at(0));
    assert!(first.is_needed && first.includes_self);
    assert_eq!((first.same_region.len(), first.all.len()), (1, 3));
    let last = peers.relays(&settings("z-last"), at(0));
    assert!(!last.includes_self);
    assert_eq!((last.same_region.len(), last.all.len()), (2, 4));
    assert!(
        last.same_region.iter().all(|addr| addr.port() % 2 == 0),
        "relays of its own region"
    );
}

#[test]
fn an_instance_that_leaves_or_is_deregistered_is_neither_relay_nor_listed() {
    let mut peers = peers(40);
    let before = peers.relays(&settings("z-last"), at(0));
    peers.on_datagram("p-02", 2, 1, true, at(10));
    peers.deregister("p-04");
    let after = peers.relays(&settings("z-last"), at(10));
    assert!(
        before
            .same_region
            .iter()
            .all(|addr| !after.same_region.contains(addr))
    );
    assert!(
        peers
            .live(at(10))
            .all(|(name, _)| name != "p-02" && name != "p-04")
    );
    assert_eq!(peers.sweep(at(5_000)), [4]);
}

#[test]
fn late_datagrams_and_those_of_another_run_are_ignored() {
    let mut peers = peers(3);
    assert!(peers.on_datagram("p-01", 1, 5, false, at(10)));
    assert!(!peers.on_datagram("p-01", 1, 5, false, at(20)));
    assert!(!peers.on_datagram("p-01", 77, 9, false, at(20)));
    assert!(!peers.on_datagram("unregistered", 1, 9, false, at(20)));
    assert_eq!(peers.register("p-01", info(77, "brest-a"), at(30)), Some(1));
    assert!(peers.on_datagram("p-01", 77, 1, false, at(40)));
}

#[test]
fn a_silent_instance_is_not_live_although_it_is_registered() {
    let mut peers = peers(3);
    assert_eq!(peers.live(at(100)).count(), 3);
    peers.on_datagram("p-01", 1, 1, false, at(4_000));
    let live: Vec<_> = peers.live(at(5_000)).map(|(name, _)| name).collect();
    assert_eq!(live, ["p-01"]);
    assert_eq!((peers.count(), peers.count_unreported(at(4_100))), (4, 2));
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
    let listing = |items: Vec<Item>, revision| Listing { items, revision };
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
    let Delta::Changes(changes) = change_log.snapshot_after(5).delta else {
        panic!("the changes since the first listing are known");
    };
    let expected = [
        Change::Put(item("b", 7)),
        Change::Removed("c".to_owned()),
        Change::Put(item("d", 8)),
    ];
    assert_eq!(changes, expected);
    assert!(matches!(
        change_log.snapshot_after(9).delta,
        Delta::Unchanged(_)
    ));
    assert!(matches!(change_log.snapshot_after(4).delta, Delta::Full(all) if all.len() == 3));
}

#[test]
fn instances_with_the_fastest_links_are_relays() {
    let mut peers = peers(20);
    for run in [14, 18] {
        let fast = MemberInfo {
            link_mbps: 10_000,
            ..info(run, "brest-a")
        };
        peers.register(&format!("p-{run:02}"), fast, at(0));
    }
    let relays = peers.relays(&settings("p-99"), at(100));
    let fast: Vec<_> = [14, 18].map(|run| info(run, "brest-a").peer).into();
    assert_eq!(relays.same_region, fast);
}

#[test]
fn only_instances_with_fast_links_are_counted_as_listed() {
    let mut peers = peers(20);
    let all = peers.listed_instances(&settings("p-03"));
    assert_eq!(
        all,
        ListedInstances {
            count: 21,
            includes_self: true,
            own_index: 2
        }
    );
    for run in [4, 5, 8] {
        let data_centre = if run % 2 == 0 { "brest-a" } else { "rennes-a" };
        let fast = MemberInfo {
            link_mbps: 10_000,
            ..info(run, data_centre)
        };
        peers.register(&format!("p-{run:02}"), fast, at(0));
    }
    let unlisted = peers.listed_instances(&settings("p-99"));
    assert_eq!(
        unlisted,
        ListedInstances {
            count: 3,
            includes_self: false,
            own_index: 3
        }
    );
    let mut own = settings("p-06");
    own.link_mbps = 10_000.0;
    assert_eq!(
        peers.listed_instances(&own),
        ListedInstances {
            count: 4,
            includes_self: true,
            own_index: 2
        }
    );
}

#[test]
fn a_relay_that_has_listed_nothing_yet_lets_its_clients_wait() {
    let change_log = ChangeLog::default();
    let Delta::Unchanged(listed) = change_log.snapshot_after(0).delta else {
        panic!("an empty state is not the store's");
    };
    let listing = Listing {
        items: vec![item("a", 1)],
        revision: 5,
    };
    change_log.on_listing(&listing, READ_AT).unwrap();
    assert!(listed.is_closed(), "the first listing ends the wait");
    assert!(matches!(change_log.snapshot_after(0).delta, Delta::Full(all) if all.len() == 1));
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
                revision: 5,
            },
            READ_AT,
        )
        .unwrap();
    let large = |revision| Item {
        value: vec![7; LARGE],
        ..item("large", revision)
    };
    for revision in 6..6 + WRITES {
        change_log.on_changes(&[Change::Put(large(revision))], revision, READ_AT);
    }
    assert!(
        change_log.held_bytes() < 2 * LARGE,
        "{} bytes are held of items with {LARGE}",
        change_log.held_bytes()
    );
    let last = 5 + WRITES;
    for after in [5, 50, last - 1] {
        let Delta::Changes(changes) = change_log.snapshot_after(after).delta else {
            panic!("the last change of every key is kept");
        };
        assert_eq!(changes, [Change::Put(large(last))], "after {after}");
    }
    assert!(matches!(
        change_log.snapshot_after(last).delta,
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
                revision: 5,
            },
            READ_AT,
        )
        .unwrap();
    let long_key = |i| format!("{}{i}", "x".repeat(1_000));
    for i in 0..KEYS {
        let (key, revision) = (long_key(i), 6 + 2 * i);
        change_log.on_changes(&[Change::Put(item(&key, revision))], revision, READ_AT);
        change_log.on_changes(&[Change::Removed(key)], revision + 1, READ_AT);
    }
    assert!(
        change_log.held_bytes() < 2 << 20,
        "{} bytes are held of one item",
        change_log.held_bytes()
    );
    let last = 5 + 2 * KEYS;
    let Delta::Changes(changes) = change_log.snapshot_after(last - 1).delta else {
        panic!("recent removals are kept");
    };
    assert_eq!(changes, [Change::Removed(long_key(KEYS - 1))]);
    assert!(
        matches!(change_log.snapshot_after(6).delta, Delta::Full(all) if all == [Change::Put(item("a", 1))]),
        "an instance that missed a dropped removal gets all items"
    );
}

/// Guards against waits that ended without a change and stay until the next one, which may be hours
/// away: dozens of instances wait anew several times a second.
#[test]
fn a_wait_that_timed_out_leaves_nothing_behind() {
    let change_log = ChangeLog::default();
    change_log.on_changes(&[Change::Put(item("a", 5))], 5, READ_AT);
    for _ in 0..1_000 {
        let delta = change_log.snapshot_after(5).delta;
        assert!(matches!(delta, Delta::Unchanged(_)));
    }
    assert_eq!(change_log.waiting(), 0);
    let waits = [
        change_log.snapshot_after(5).delta,
        change_log.snapshot_after(5).delta,
    ];
    assert_eq!(change_log.waiting(), 2);
    change_log.on_changes(&[Change::Put(item("a", 6))], 6, READ_AT);
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
        change_log.on_changes(&[change], revision, BootTime(revision));
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
            let snapshot = change_log.snapshot_after(known);
            let held = match &snapshot.delta {
                Delta::Unchanged(_) => known,
                Delta::Changes(changes) | Delta::Full(changes) => match changes.last() {
                    Some(Change::Put(item)) => item.revision,
                    _ => 0,
                },
            };
            let claimed = (snapshot.revision, snapshot.read_at);
            if claimed != (held, Some(BootTime(held))) {
                wrong = Some((held, claimed));
            }
            known = snapshot.revision;
        }
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(
            wrong, None,
            "held, and claimed revision and time of the read"
        );
    });
}

/// Guards against relayed data that counts as older than it is by the time for which the relay held
/// the request: in quiet times that was up to a second.
#[test]
fn relayed_data_is_as_old_as_when_the_relay_responded() {
    let requested_at = BootTime(10_000_000);
    let response = |age_ms, held_ms| RelayResponse {
        age_ms,
        held_ms,
        ..RelayResponse::default()
    };
    let read_at = |age_ms, held_ms| response(age_ms, held_ms).read_at(requested_at);
    assert_eq!(read_at(300, 0), Some(BootTime(9_699_000)));
    assert_eq!(
        read_at(300, 1_000),
        Some(BootTime(10_699_000)),
        "the relay read the store while it held the request"
    );
    assert_eq!(read_at(u32::MAX, 1_000), None, "it has read nothing");
}

/// Guards against items that go back: after the history was dropped, a relay that was itself behind
/// passed on all of its items, and they counted as of the higher revision that was known.
#[test]
fn a_listing_that_is_older_than_what_is_known_changes_nothing() {
    let change_log = ChangeLog::default();
    let listing = |revision| Listing {
        items: vec![item("plan", revision)],
        revision,
    };
    change_log.on_listing(&listing(60), BootTime(1)).unwrap();
    let newer = Change::Put(item("plan", 65));
    change_log.on_changes(std::slice::from_ref(&newer), 67, BootTime(2));
    let older = OlderListing {
        listed: 60,
        known: 67,
    };
    assert_eq!(change_log.on_listing(&listing(60), BootTime(3)), Err(older));
    let snapshot = change_log.snapshot_after(60);
    assert_eq!(
        (snapshot.revision, snapshot.read_at),
        (67, Some(BootTime(2)))
    );
    assert!(matches!(snapshot.delta, Delta::Changes(changes) if changes == [newer]));
}
