//! Membership under crashes, pauses, partitions and lossy networks, in virtual time.

mod support;

use std::time::Duration;

use apricotlug_peer::State;
use proptest::{prelude::*, test_runner::RngSeed};
use support::fleet::Fleet;

const DATA_CENTRES_OF_9: [usize; 6] = [2, 2, 2, 1, 1, 1];
const DATA_CENTRES_OF_100: [usize; 10] = [10; 10];
const SECOND: Duration = Duration::from_secs(1);

/// Returns a fleet in which every instance sees every other one as ready.
fn settled(data_centres: &[usize], seed: u64) -> Fleet {
    let mut fleet = Fleet::new(data_centres, seed);
    let all = fleet.all();
    let met = fleet.run_until(SECOND * 30, |fleet| fleet.all_see_ready(&all));
    assert!(
        met.is_some(),
        "not all of the {} instances discovered each other",
        all.len()
    );
    fleet
}

/// Asserts that the condition holds within the span.
fn assert_within(
    fleet: &mut Fleet,
    span: Duration,
    what: &str,
    is_met: impl FnMut(&Fleet) -> bool,
) {
    assert!(
        fleet.run_until(span, is_met).is_some(),
        "{what}: not within {span:?}"
    );
}

/// Returns all instances but one.
fn others(fleet: &Fleet, i: usize) -> Vec<usize> {
    fleet
        .all()
        .into_iter()
        .filter(|other| *other != i)
        .collect()
}

fn none_sees_ready(fleet: &Fleet, observers: &[usize], subject: usize) -> bool {
    observers
        .iter()
        .all(|observer| !fleet.sees_ready(*observer, subject))
}

#[test]
fn all_members_discover_each_other_from_one_seed() {
    for data_centres in [&DATA_CENTRES_OF_9[..], &DATA_CENTRES_OF_100[..]] {
        settled(data_centres, 1);
    }
}

#[test]
fn a_crashed_instance_is_not_seen_ready_after_eight_seconds() {
    for (data_centres, seed) in [(&DATA_CENTRES_OF_9[..], 2), (&DATA_CENTRES_OF_100[..], 3)] {
        let mut fleet = settled(data_centres, seed);
        fleet.crash(1);
        let others = others(&fleet, 1);
        assert_within(&mut fleet, SECOND * 8, "crash", |f| {
            none_sees_ready(f, &others, 1)
        });
        fleet.run(SECOND * 30);
        assert!(
            fleet.all_see_ready(&others),
            "a live instance is no longer seen ready"
        );
    }
}

/// Makes an instance fail.
type Fail = fn(&mut Fleet, usize);

/// Some instances receive the declaration of death before they suspect the instance themselves, so
/// the states are checked when the first one suspects it.
#[test]
fn missing_heartbeats_make_an_instance_suspect_before_it_is_declared_dead() {
    let cases: [(&str, Fail, u32); 2] = [("crash", Fleet::crash, 4), ("pause", Fleet::pause, 5)];
    let peers = [0, 2, 3, 4, 5, 6, 7, 8, 9];
    for (name, fail, seconds) in cases {
        let mut fleet = settled(&[10, 2], 33);
        fail(&mut fleet, 1);
        let not_ready = |f: &Fleet| peers.iter().filter(|m| !f.sees_ready(**m, 1)).count();
        assert_within(&mut fleet, SECOND * seconds, name, |f| not_ready(f) > 0);
        let is_dead = |peer: &usize| fleet.state(*peer, 1) == Some(State::Dead);
        assert!(!peers.iter().any(is_dead), "{name}: dead before suspect");
        assert_within(&mut fleet, SECOND * seconds, name, |f| not_ready(f) == 9);
    }
}

#[test]
fn a_crashed_lone_instance_of_a_data_centre_is_not_seen_ready_after_ten_seconds() {
    let mut fleet = settled(&DATA_CENTRES_OF_9, 4);
    let lone = fleet.data_centre(5)[0];
    fleet.crash(lone);
    let others = others(&fleet, lone);
    assert_within(&mut fleet, SECOND * 10, "crash", |f| {
        none_sees_ready(f, &others, lone)
    });
}

#[test]
fn a_leaving_instance_is_not_seen_ready_after_three_seconds() {
    for (data_centres, seed) in [(&DATA_CENTRES_OF_9[..], 5), (&DATA_CENTRES_OF_100[..], 6)] {
        let mut fleet = settled(data_centres, seed);
        let now = fleet.now;
        fleet.nodes[3]
            .gossip
            .membership
            .announce(State::Leaving, now);
        let others = others(&fleet, 3);
        assert_within(&mut fleet, SECOND * 3, "leaving", |f| {
            none_sees_ready(f, &others, 3)
        });
        assert_eq!(fleet.state(0, 3), Some(State::Leaving));
    }
}

#[test]
fn a_restarted_instance_replaces_its_earlier_run() {
    // Generations of the second run: with a correct clock, and with a clock set back below that of
    // the first run. In the fleet of two no third instance can declare the first run dead.
    let cases = [
        (&DATA_CENTRES_OF_9[..], 2, 7),
        (&DATA_CENTRES_OF_9[..], 0, 8),
        (&[1, 1][..], 0, 9),
    ];
    for (data_centres, generation, seed) in cases {
        let mut fleet = settled(data_centres, seed);
        fleet.crash(1);
        fleet.run(SECOND);
        fleet.restart(1, generation);
        let incarnation = fleet.nodes[1].record.id.incarnation;
        let id = apricotlug_peer::NameHash::of(&fleet.nodes[1].record.id.name);
        let is_new = |f: &Fleet, i: usize| {
            let record = f.nodes[i].gossip.membership.record(id);
            record.is_some_and(|record| record.id.incarnation == incarnation)
        };
        let all = fleet.all();
        assert_within(&mut fleet, SECOND * 20, "restart", |f| {
            all.iter().all(|i| is_new(f, *i)) && f.all_see_ready(&all)
        });
        assert!(!fleet.nodes[1].gossip.membership.is_superseded());
    }
}

#[test]
fn a_live_run_under_the_same_name_supersedes_the_earlier_run() {
    let mut fleet = settled(&[3, 3], 9);
    // Instance 5 starts under the name of instance 1, at its own address.
    let mut record = support::fleet::record(5, 0, 9);
    record.id.name = fleet.nodes[1].record.id.name.clone();
    let seed = fleet.nodes[0].record.addresses.peer;
    let now = fleet.now;
    fleet.nodes[5].gossip = apricotlug_peer::Gossip::new(record, vec![seed], now);
    assert_within(&mut fleet, SECOND * 15, "name conflict", |f| {
        f.nodes[1].gossip.membership.is_superseded()
    });
}

#[test]
fn a_paused_and_resumed_instance_makes_no_other_suspect_and_is_ready_again() {
    for (pause, seed) in [(1, 10), (5, 11), (90, 12)] {
        let mut fleet = settled(&DATA_CENTRES_OF_9, seed);
        fleet.pause(0);
        fleet.run(SECOND * pause);
        fleet.resume(0);
        let all = fleet.all();
        let mut is_any_suspect = false;
        assert_within(&mut fleet, SECOND * 12, "resume", |f| {
            is_any_suspect |= all[1..]
                .iter()
                .any(|a| !f.sees_ready(*a, 1) || !f.sees_ready(*a, 2));
            f.all_see_ready(&all)
        });
        assert!(
            !is_any_suspect,
            "after a pause of {pause} s others are not seen ready"
        );
    }
}

#[test]
fn a_resumed_instance_does_not_suspect_others_for_its_own_pause() {
    let mut fleet = settled(&[5, 5], 13);
    fleet.pause(0);
    fleet.run(SECOND * 20);
    fleet.lose_deferred(0);
    fleet.resume(0);
    fleet.run(Duration::from_millis(1));
    for other in 1..10 {
        assert!(
            fleet.sees_ready(0, other),
            "instance {other} is not seen ready after the pause"
        );
    }
}

#[test]
fn an_instance_without_input_from_its_data_centre_does_not_make_the_others_suspect_each_other() {
    let mut fleet = settled(&[5, 3], 14);
    let peers = [1, 2, 3, 4];
    fleet.cut(&peers, &[0]);
    let mut has_suspicion = false;
    fleet.run_until(SECOND * 30, |f| {
        has_suspicion |= !f.all_see_ready(&peers);
        false
    });
    assert!(
        !has_suspicion,
        "a declaration of death overrode recent heartbeats"
    );
    fleet.heal();
    let all = fleet.all();
    assert_within(&mut fleet, SECOND * 20, "heal", |f| f.all_see_ready(&all));
}

/// Partitions: name, data centres inside, whether only their messages are lost, duration in
/// seconds, seed.
const PARTITIONS: [(&str, &[usize], bool, u64, u64); 6] = [
    ("one data centre, both ways, short", &[0], false, 5, 20),
    ("one data centre, both ways, long", &[0], false, 120, 21),
    (
        "half of the data centres, both ways",
        &[0, 1, 2],
        false,
        60,
        22,
    ),
    ("one data centre, its messages lost", &[0], true, 30, 23),
    (
        "half of the data centres, their messages lost",
        &[3, 4, 5],
        true,
        30,
        24,
    ),
    ("a lone instance, both ways", &[5], false, 300, 25),
];

#[test]
fn no_live_instance_stays_declared_dead_after_a_partition_heals() {
    for (name, data_centres, is_one_way, span, seed) in PARTITIONS {
        let mut fleet = settled(&DATA_CENTRES_OF_9, seed);
        let all = fleet.all();
        let (inside, outside): (Vec<usize>, Vec<usize>) = all
            .iter()
            .partition(|i| data_centres.contains(&fleet.nodes[**i].data_centre));
        fleet.cut(&inside, &outside);
        if !is_one_way {
            fleet.cut(&outside, &inside);
        }
        fleet.run(SECOND * span as u32);
        assert!(
            fleet.all_see_ready(&inside),
            "{name}: instances inside do not see each other ready"
        );
        assert!(
            fleet.all_see_ready(&outside),
            "{name}: instances outside do not see each other ready"
        );
        fleet.heal();
        assert_within(&mut fleet, SECOND * 20, name, |f| f.all_see_ready(&all));
    }
}

#[test]
fn a_data_centre_cut_in_two_heals() {
    let mut fleet = settled(&[10, 3], 30);
    let (left, right) = ([0, 1, 2, 3, 4], [5, 6, 7, 8, 9]);
    fleet.cut(&left, &right);
    fleet.cut(&right, &left);
    // The other data centre would forward heartbeats; it is cut from the right half as well.
    fleet.cut(&[10, 11, 12], &right);
    fleet.cut(&right, &[10, 11, 12]);
    fleet.run(SECOND * 60);
    assert!(
        none_sees_ready(&fleet, &left, 7),
        "the left half still sees the right one ready"
    );
    fleet.heal();
    let all = fleet.all();
    assert_within(&mut fleet, SECOND * 30, "heal", |f| f.all_see_ready(&all));
}

#[test]
fn partitions_heal_while_no_seed_is_alive() {
    let cases = [
        (
            "between data centres",
            &[2, 3, 3][..],
            [2, 3, 4],
            [5, 6, 7],
            34,
        ),
        (
            "within a data centre",
            &[2, 6][..],
            [2, 3, 4],
            [5, 6, 7],
            35,
        ),
    ];
    for (name, data_centres, left, right, seed) in cases {
        let mut fleet = settled(data_centres, seed);
        fleet.crash(0);
        fleet.crash(1);
        fleet.cut(&left, &right);
        fleet.cut(&right, &left);
        fleet.run(SECOND * 60);
        assert!(
            none_sees_ready(&fleet, &left, 6),
            "{name}: the cut was not detected"
        );
        fleet.heal();
        let live = [left, right].concat();
        assert_within(&mut fleet, SECOND * 20, name, |f| f.all_see_ready(&live));
    }
}

#[test]
fn an_isolated_instance_spreads_no_deaths_when_it_reconnects() {
    let mut fleet = settled(&[4, 4], 36);
    let others = others(&fleet, 0);
    fleet.cut(&[0], &others);
    fleet.cut(&others, &[0]);
    fleet.run(SECOND * 60);
    fleet.heal();
    let all = fleet.all();
    let mut has_suspicion = false;
    assert_within(&mut fleet, SECOND * 20, "heal", |f| {
        has_suspicion |= !f.all_see_ready(&others);
        f.all_see_ready(&all)
    });
    assert!(
        !has_suspicion,
        "the reconnected instance made the others suspect each other"
    );
}

#[test]
fn stale_gossip_does_not_bring_a_dead_instance_back() {
    let mut fleet = settled(&DATA_CENTRES_OF_9, 31);
    let cut = fleet.data_centre(5);
    let rest = others(&fleet, cut[0]);
    fleet.cut(&cut, &rest);
    fleet.cut(&rest, &cut);
    fleet.crash(1);
    // Longer than the 60 s for which digests include a death.
    fleet.run(SECOND * 180);
    fleet.heal();
    let live = others(&fleet, 1);
    let mut is_back = false;
    let observers: Vec<usize> = live.iter().copied().filter(|i| *i != cut[0]).collect();
    assert_within(&mut fleet, SECOND * 30, "heal", |f| {
        is_back |= observers.iter().any(|i| f.sees_ready(*i, 1));
        f.all_see_ready(&live) && !f.sees_ready(cut[0], 1)
    });
    assert!(!is_back, "the dead instance was seen ready again");
}

#[test]
fn memory_stays_bounded_while_names_come_and_go() {
    let mut fleet = settled(&[3, 3], 32);
    let now = fleet.now;
    let membership = &mut fleet.nodes[0].gossip.membership;
    for generation in 0..6000 {
        let mut record = support::fleet::record(10_000 + generation, 1, 1);
        record.state = State::Dead;
        let msg = apricotlug_peer::Exchange {
            members: vec![record],
            ..Default::default()
        };
        membership.handle(&msg, &mut apricotlug_peer::Exchange::default(), now);
    }
    membership.tick(now);
    assert!(membership.len() <= 2048 + 6, "{} entries", membership.len());
    let day = now.after(SECOND * 25 * 60 * 60);
    membership.tick(day);
    assert!(
        membership.len() <= 6,
        "{} entries after a day",
        membership.len()
    );
}

#[test]
fn queued_record_changes_of_a_fleet_start_are_bounded() {
    let mut fleet = settled(&[3, 3], 37);
    let now = fleet.now;
    let target = fleet.nodes[0]
        .gossip
        .membership
        .target(apricotlug_peer::NameHash::of("entry-0001"));
    let gossip = &mut fleet.nodes[0].gossip;
    for batch in 0..100_usize {
        let record = |i| support::fleet::record(10_000 + batch * 10 + i, 1, 1);
        let msg = apricotlug_peer::Exchange {
            members: (0..10).map(record).collect(),
            ..Default::default()
        };
        gossip
            .membership
            .handle(&msg, &mut apricotlug_peer::Exchange::default(), now);
    }
    let mut repeats = || gossip.request(&target.unwrap(), now).members.len();
    let sent: usize = (0..100).map(|_| repeats()).sum();
    assert!(
        sent > 0 && repeats() == 0,
        "{sent} records sent, or the queue is not empty after them"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_faults_leave_no_live_instance_dead_and_no_dead_one_ready(
        seed in any::<u64>(),
        loss in 0.0..0.2_f64,
        duplication in 0.0..0.3_f64,
        delay_ms in 10..300_u64,
        steps in prop::collection::vec((0..6_u8, 0..9_usize, 0..9_usize, 1..8_u64), 1..8),
    ) {
        let mut fleet = settled(&DATA_CENTRES_OF_9, seed);
        fleet.faults.loss = loss;
        fleet.faults.duplication = duplication;
        fleet.faults.max_delay = Duration::from_millis(delay_ms);
        let mut generation = 2;
        for (step, a, b, span) in steps {
            match step {
                0 => fleet.crash(a),
                1 => fleet.pause(a),
                2 => fleet.cut(&[a], &[b]),
                3 => {
                    fleet.cut(&[a], &[b]);
                    fleet.cut(&[b], &[a]);
                }
                4 if !fleet.nodes[a].is_up => {
                    generation += 1;
                    fleet.restart(a, generation);
                }
                _ if fleet.nodes[a].is_paused => fleet.resume(a),
                _ => fleet.heal(),
            }
            fleet.run(SECOND * span as u32);
        }
        fleet.heal();
        fleet.faults.loss = 0.0;
        for i in fleet.all() {
            if fleet.nodes[i].is_paused {
                fleet.resume(i);
            }
        }
        let (live, dead): (Vec<usize>, Vec<usize>) =
            fleet.all().into_iter().partition(|i| fleet.nodes[*i].is_up);
        let settled = fleet.run_until(SECOND * 40, |f| {
            f.all_see_ready(&live) && dead.iter().all(|i| none_sees_ready(f, &live, *i))
        });
        prop_assert!(settled.is_some(), "live {:?}, dead {:?}", live, dead);
    }
}
