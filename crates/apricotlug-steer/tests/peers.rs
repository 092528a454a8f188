//! Messages between instances, and which instances report to which.

use std::time::Duration;

use apricotlug_adapter::{Change, Item};
use apricotlug_config::{SiteSettings, parse_site};
use apricotlug_model::{BootTime, MonoTime, StoreVersion};
use apricotlug_steer::{
    AccountUsage, BackendLoad, ListedInstances, MemberInfo, MoveEvidence, Peers, RelayRequest,
    RelayResponse, Relays, StatusDatagram, WindowUsage, decode_datagram, decode_relay_request,
    decode_relay_response, encode_datagram, encode_relay_request, encode_relay_response,
};

const SETTINGS: &str = include_str!("../../../examples/steer.toml");

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
        work_ms: 120.5,
    }]
}

fn windows() -> Vec<WindowUsage> {
    vec![WindowUsage {
        number: 353_445_120,
        counts: [("yefi830".to_owned(), u64::MAX)].into_iter().collect(),
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
        covered: vec![u64::MAX, 1],
    };
    assert_eq!(
        decode_datagram(&encode_datagram(&datagram)).unwrap(),
        datagram
    );
    let request = RelayRequest {
        run: 1,
        after: StoreVersion::new(3, 2),
        wait_ms: 400,
        usage: usage(),
        evidence: evidence(),
        loads: loads(),
        windows: windows(),
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
        version: StoreVersion::new(u64::MAX, 9),
        is_full: true,
        age_ms: 17,
        held_ms: 5,
        is_behind: true,
        changes: vec![Change::Put(item), Change::Removed("c".to_owned())],
        usage: usage(),
        evidence: evidence(),
        loads: loads(),
        missing: vec![7],
        confirmed: vec![353_445_120],
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
