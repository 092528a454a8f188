//! Messages between instances, and which instances report to which.

use std::time::Duration;

use apricotlug_adapter::{Change, Item, Page};
use apricotlug_config::{SiteSettings, parse_site};
use apricotlug_model::MonoTime;
use apricotlug_steer::{
    Ask, Busy, Carriers, Fallback, Hubs, Log, MemberInfo, Peers, Proof, Pulse, Spent, Told, Unseen,
    decode, decode_ask, decode_told, encode, encode_ask, encode_told,
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
        peers.list(&format!("p-{run:02}"), info(run, data_centre), at(0));
    }
    peers
}

fn spent() -> Vec<Spent> {
    vec![Spent {
        account: u64::MAX,
        admitted: 7,
        demand: 0.5,
    }]
}

fn proofs() -> Vec<Proof> {
    vec![Proof {
        order: 3,
        counts: [1, 2, 3, u64::MAX],
    }]
}

fn busy() -> Vec<Busy> {
    vec![Busy {
        backend: 9,
        requests: u16::MAX,
    }]
}

#[test]
fn messages_come_back_as_they_were_sent() {
    let pulse = Pulse {
        name: "brest-1".to_owned(),
        run: 1,
        sequence: 2,
        is_leaving: true,
        spent: spent(),
        busy: busy(),
        proofs: proofs(),
    };
    assert_eq!(decode(&encode(&pulse)).unwrap(), pulse);
    let ask = Ask {
        run: 1,
        after: 2,
        wait_ms: 400,
        spent: spent(),
        proofs: proofs(),
        busy: busy(),
    };
    assert_eq!(decode_ask(&encode_ask(&ask)).unwrap(), ask);
    let item = Item {
        key: "a/b".to_owned(),
        value: vec![0, 255],
        revision: 5,
    };
    let told = Told {
        run: 1,
        revision: 9,
        is_full: true,
        age_ms: 17,
        changes: vec![Change::Put(item), Change::Removed("c".to_owned())],
        spent: spent(),
        proofs: proofs(),
        busy: busy(),
    };
    assert_eq!(decode_told(&encode_told(&told)).unwrap(), told);
}

#[test]
fn broken_messages_are_refused() {
    let whole = encode(&Pulse {
        name: "brest-1".to_owned(),
        spent: spent(),
        ..Pulse::default()
    });
    assert!(decode(&[]).is_err());
    assert!(decode(&[0xff; 40]).is_err());
    assert!(decode(&whole[..whole.len() / 2]).is_err());
    assert!(decode_ask(&[1, 2, 3]).is_err() && decode_told(&[1, 2, 3]).is_err());
}

#[test]
fn few_instances_need_no_relay() {
    assert_eq!(peers(8).hubs(&settings("brest-1"), at(0)), Hubs::default());
}

#[test]
fn where_instances_are_many_all_agree_on_two_relays_a_region() {
    let peers = peers(40);
    let first = peers.hubs(&settings("a-first"), at(0));
    assert!(first.is_needed && first.is_own);
    assert_eq!((first.near.len(), first.all.len()), (1, 3));
    let last = peers.hubs(&settings("z-last"), at(0));
    assert!(!last.is_own);
    assert_eq!((last.near.len(), last.all.len()), (2, 4));
    assert!(
        last.near.iter().all(|addr| addr.port() % 2 == 0),
        "those of its own region"
    );
}

#[test]
fn an_instance_that_leaves_or_is_gone_is_no_relay_and_is_not_named() {
    let mut peers = peers(40);
    let before = peers.hubs(&settings("z-last"), at(0));
    peers.on_heard("p-02", 2, 1, true, at(10));
    peers.remove("p-04");
    let after = peers.hubs(&settings("z-last"), at(10));
    assert!(before.near.iter().all(|addr| !after.near.contains(addr)));
    assert!(
        peers
            .live(at(10))
            .all(|(name, _)| name != "p-02" && name != "p-04")
    );
    assert_eq!(peers.sweep(at(5_000)), [4]);
}

#[test]
fn old_datagrams_and_those_of_an_earlier_run_are_no_news() {
    let mut peers = peers(3);
    assert!(peers.on_heard("p-01", 1, 5, false, at(10)));
    assert!(!peers.on_heard("p-01", 1, 5, false, at(20)));
    assert!(!peers.on_heard("p-01", 77, 9, false, at(20)));
    assert!(!peers.on_heard("stranger", 1, 9, false, at(20)));
    assert_eq!(peers.list("p-01", info(77, "brest-a"), at(30)), Some(1));
    assert!(peers.on_heard("p-01", 77, 1, false, at(40)));
}

#[test]
fn a_silent_instance_is_not_named_though_the_store_still_lists_it() {
    let mut peers = peers(3);
    assert_eq!(peers.live(at(100)).count(), 3);
    peers.on_heard("p-01", 1, 1, false, at(4_000));
    let live: Vec<_> = peers.live(at(5_000)).map(|(name, _)| name).collect();
    assert_eq!(live, ["p-01"]);
    assert_eq!((peers.count(), peers.unheard(at(4_100))), (4, 2));
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: vec![1],
        revision,
    }
}

#[test]
fn a_listing_after_the_history_was_dropped_tells_others_only_what_changed() {
    let log = Log::default();
    let page = |items: Vec<Item>, revision| Page { items, revision };
    log.on_page(&page(vec![item("a", 1), item("b", 2), item("c", 3)], 5));
    log.on_page(&page(vec![item("a", 1), item("b", 7), item("d", 8)], 9));
    let Unseen::Changes(changes) = log.after(5) else {
        panic!("those that knew the first listing need no other");
    };
    let expected = [
        Change::Put(item("b", 7)),
        Change::Removed("c".to_owned()),
        Change::Put(item("d", 8)),
    ];
    assert_eq!(changes, expected);
    assert!(matches!(log.after(9), Unseen::None(_)));
    assert!(matches!(log.after(4), Unseen::Full(all) if all.len() == 3));
}

#[test]
fn instances_with_the_widest_links_tell_the_others() {
    let mut peers = peers(20);
    for run in [14, 18] {
        let wide = MemberInfo {
            link_mbps: 10_000,
            ..info(run, "brest-a")
        };
        peers.list(&format!("p-{run:02}"), wide, at(0));
    }
    let hubs = peers.hubs(&settings("p-99"), at(100));
    let wide: Vec<_> = [14, 18].map(|run| info(run, "brest-a").peer).into();
    assert_eq!(hubs.near, wide);
}

#[test]
fn bounds_are_split_among_the_instances_that_carry_traffic() {
    let mut peers = peers(20);
    let all = peers.carriers(&settings("p-03"));
    assert_eq!(
        all,
        Carriers {
            count: 21,
            is_own: true,
            own_place: 2
        }
    );
    for run in [4, 5, 8] {
        let data_centre = if run % 2 == 0 { "brest-a" } else { "rennes-a" };
        let wide = MemberInfo {
            link_mbps: 10_000,
            ..info(run, data_centre)
        };
        peers.list(&format!("p-{run:02}"), wide, at(0));
    }
    let narrow = peers.carriers(&settings("p-99"));
    assert_eq!(
        narrow,
        Carriers {
            count: 3,
            is_own: false,
            own_place: 3
        }
    );
    let mut own = settings("p-06");
    own.link_mbps = 10_000.0;
    assert_eq!(
        peers.carriers(&own),
        Carriers {
            count: 4,
            is_own: true,
            own_place: 2
        }
    );
}

#[test]
fn connections_to_the_store_that_end_once_are_made_again_before_others_are_asked() {
    let mut fallback = Fallback::default();
    fallback.on_failure(at(1_000));
    assert!(!fallback.is_on(at(1_001)), "the store itself comes first");
    fallback.on_answer();
    fallback.on_failure(at(2_000));
    assert!(!fallback.is_on(at(2_001)));
    fallback.on_failure(at(2_100));
    assert!(fallback.is_on(at(2_101)), "it turns this instance away");
    fallback.on_peer_failed();
    assert!(!fallback.is_on(at(2_200)), "others know no more");
}
