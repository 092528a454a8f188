//! Membership under faults, in virtual time.

mod support;

use std::time::Duration;

use apricotlug_peer::State;
use proptest::{prelude::*, test_runner::RngSeed};
use support::fleet::Fleet;

const SITES_OF_9: [usize; 6] = [2, 2, 2, 1, 1, 1];
const SITES_OF_100: [usize; 10] = [10; 10];
const SECOND: Duration = Duration::from_secs(1);

/// Returns a fleet in which everybody knows everybody.
fn settled(sites: &[usize], seed: u64) -> Fleet {
    let mut fleet = Fleet::new(sites, seed);
    let all = fleet.all();
    let met = fleet.run_until(SECOND * 30, |fleet| fleet.all_see_ready(&all));
    assert!(met.is_some(), "the fleet of {} never met", all.len());
    fleet
}

/// Asserts that the condition holds within the span, and returns after how long.
fn within(fleet: &mut Fleet, span: Duration, what: &str, is_met: impl FnMut(&Fleet) -> bool) {
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
fn all_meet_from_one_seed() {
    for sites in [&SITES_OF_9[..], &SITES_OF_100[..]] {
        settled(sites, 1);
    }
}

#[test]
fn a_crashed_instance_stops_being_named_within_eight_seconds() {
    for (sites, seed) in [(&SITES_OF_9[..], 2), (&SITES_OF_100[..], 3)] {
        let mut fleet = settled(sites, seed);
        fleet.crash(1);
        let others = others(&fleet, 1);
        within(&mut fleet, SECOND * 8, "crash", |f| {
            none_sees_ready(f, &others, 1)
        });
        fleet.run(SECOND * 30);
        assert!(
            fleet.all_see_ready(&others),
            "a live instance lost its name"
        );
    }
}

/// Makes an instance fail.
type Fail = fn(&mut Fleet, usize);

/// Death spreads to some before they suspect on their own, so the first to doubt is looked at.
#[test]
fn silence_makes_an_instance_suspect_before_it_is_declared_dead() {
    let cases: [(&str, Fail, u32); 2] = [("crash", Fleet::crash, 4), ("pause", Fleet::pause, 5)];
    let mates = [0, 2, 3, 4, 5, 6, 7, 8, 9];
    for (name, fail, seconds) in cases {
        let mut fleet = settled(&[10, 2], 33);
        fail(&mut fleet, 1);
        let unnamed = |f: &Fleet| mates.iter().filter(|m| !f.sees_ready(**m, 1)).count();
        within(&mut fleet, SECOND * seconds, name, |f| unnamed(f) > 0);
        let is_dead = |mate: &usize| fleet.state(*mate, 1) == Some(State::Dead);
        assert!(!mates.iter().any(is_dead), "{name}: dead before suspect");
        within(&mut fleet, SECOND * seconds, name, |f| unnamed(f) == 9);
    }
}

#[test]
fn a_crashed_lone_instance_of_a_data_centre_stops_being_named() {
    let mut fleet = settled(&SITES_OF_9, 4);
    let lone = fleet.site(5)[0];
    fleet.crash(lone);
    let others = others(&fleet, lone);
    within(&mut fleet, SECOND * 10, "crash", |f| {
        none_sees_ready(f, &others, lone)
    });
}

#[test]
fn a_leaving_instance_stops_being_named_within_three_seconds() {
    for (sites, seed) in [(&SITES_OF_9[..], 5), (&SITES_OF_100[..], 6)] {
        let mut fleet = settled(sites, seed);
        let now = fleet.now;
        fleet.nodes[3]
            .gossip
            .membership
            .announce(State::Leaving, now);
        let others = others(&fleet, 3);
        within(&mut fleet, SECOND * 3, "leaving", |f| {
            none_sees_ready(f, &others, 3)
        });
        assert_eq!(fleet.state(0, 3), Some(State::Leaving));
    }
}

#[test]
fn a_restarted_instance_replaces_its_earlier_run() {
    // Generations of the second run: clock right, clock set back below the first run's. In the
    // fleet of two nobody is there to declare the first run dead.
    let cases = [
        (&SITES_OF_9[..], 2, 7),
        (&SITES_OF_9[..], 0, 8),
        (&[1, 1][..], 0, 9),
    ];
    for (sites, generation, seed) in cases {
        let mut fleet = settled(sites, seed);
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
        within(&mut fleet, SECOND * 20, "restart", |f| {
            all.iter().all(|i| is_new(f, *i)) && f.all_see_ready(&all)
        });
        assert!(!fleet.nodes[1].gossip.membership.is_superseded());
    }
}

#[test]
fn a_live_rival_under_the_same_name_supersedes_the_earlier_run() {
    let mut fleet = settled(&[3, 3], 9);
    // The impostor stands elsewhere in the fleet and takes the name of instance 1.
    let mut record = support::fleet::record(5, 0, 9);
    record.id.name = fleet.nodes[1].record.id.name.clone();
    let seed = fleet.nodes[0].record.addresses.peer;
    let now = fleet.now;
    fleet.nodes[5].gossip = apricotlug_peer::Gossip::new(record, vec![seed], now);
    within(&mut fleet, SECOND * 15, "rival", |f| {
        f.nodes[1].gossip.membership.is_superseded()
    });
}

#[test]
fn a_paused_and_woken_instance_accuses_nobody_and_is_named_again() {
    for (pause, seed) in [(1, 10), (5, 11), (90, 12)] {
        let mut fleet = settled(&SITES_OF_9, seed);
        fleet.pause(0);
        fleet.run(SECOND * pause);
        fleet.wake(0);
        let all = fleet.all();
        let mut is_accused = false;
        within(&mut fleet, SECOND * 12, "wake", |f| {
            is_accused |= all[1..]
                .iter()
                .any(|a| !f.sees_ready(*a, 1) || !f.sees_ready(*a, 2));
            f.all_see_ready(&all)
        });
        assert!(
            !is_accused,
            "a pause of {pause} s made others lose their name"
        );
    }
}

#[test]
fn a_woken_instance_does_not_take_its_own_pause_for_the_others_silence() {
    let mut fleet = settled(&[5, 5], 13);
    fleet.pause(0);
    fleet.run(SECOND * 20);
    fleet.lose_deferred(0);
    fleet.wake(0);
    fleet.run(Duration::from_millis(1));
    for other in 1..10 {
        assert!(
            fleet.sees_ready(0, other),
            "instance {other} is not named after the pause"
        );
    }
}

#[test]
fn one_that_hears_nobody_of_its_data_centre_does_not_make_the_others_doubt_each_other() {
    let mut fleet = settled(&[5, 3], 14);
    let mates = [1, 2, 3, 4];
    fleet.cut(&mates, &[0]);
    let mut has_doubt = false;
    fleet.run_until(SECOND * 30, |f| {
        has_doubt |= !f.all_see_ready(&mates);
        false
    });
    assert!(
        !has_doubt,
        "a declaration of death went before fresh signs of life"
    );
    fleet.heal();
    let all = fleet.all();
    within(&mut fleet, SECOND * 20, "heal", |f| f.all_see_ready(&all));
}

/// Partition: groups by data centre, and whether it cuts one way only.
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
fn nobody_alive_stays_declared_dead_after_a_partition_heals() {
    for (name, sites, is_one_way, span, seed) in PARTITIONS {
        let mut fleet = settled(&SITES_OF_9, seed);
        let all = fleet.all();
        let (inside, outside): (Vec<usize>, Vec<usize>) = all
            .iter()
            .partition(|i| sites.contains(&fleet.nodes[**i].site));
        fleet.cut(&inside, &outside);
        if !is_one_way {
            fleet.cut(&outside, &inside);
        }
        fleet.run(SECOND * span as u32);
        assert!(
            fleet.all_see_ready(&inside),
            "{name}: the part inside lost itself"
        );
        assert!(
            fleet.all_see_ready(&outside),
            "{name}: the part outside lost itself"
        );
        fleet.heal();
        within(&mut fleet, SECOND * 20, name, |f| f.all_see_ready(&all));
    }
}

#[test]
fn a_data_centre_cut_in_two_heals() {
    let mut fleet = settled(&[10, 3], 30);
    let (left, right) = ([0, 1, 2, 3, 4], [5, 6, 7, 8, 9]);
    fleet.cut(&left, &right);
    fleet.cut(&right, &left);
    // The third group would carry the signs of life; it is cut from the right half as well.
    fleet.cut(&[10, 11, 12], &right);
    fleet.cut(&right, &[10, 11, 12]);
    fleet.run(SECOND * 60);
    assert!(
        none_sees_ready(&fleet, &left, 7),
        "the left half still names the right one"
    );
    fleet.heal();
    let all = fleet.all();
    within(&mut fleet, SECOND * 30, "heal", |f| f.all_see_ready(&all));
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
    for (name, sites, left, right, seed) in cases {
        let mut fleet = settled(sites, seed);
        fleet.crash(0);
        fleet.crash(1);
        fleet.cut(&left, &right);
        fleet.cut(&right, &left);
        fleet.run(SECOND * 60);
        assert!(
            none_sees_ready(&fleet, &left, 6),
            "{name}: the cut went unnoticed"
        );
        fleet.heal();
        let live = [left, right].concat();
        within(&mut fleet, SECOND * 20, name, |f| f.all_see_ready(&live));
    }
}

#[test]
fn one_that_was_cut_off_alone_brings_no_deaths_along() {
    let mut fleet = settled(&[4, 4], 36);
    let others = others(&fleet, 0);
    fleet.cut(&[0], &others);
    fleet.cut(&others, &[0]);
    fleet.run(SECOND * 60);
    fleet.heal();
    let all = fleet.all();
    let mut has_doubt = false;
    within(&mut fleet, SECOND * 20, "heal", |f| {
        has_doubt |= !f.all_see_ready(&others);
        f.all_see_ready(&all)
    });
    assert!(
        !has_doubt,
        "the others lost each other through the one that came back"
    );
}

#[test]
fn stale_gossip_does_not_bring_a_dead_instance_back() {
    let mut fleet = settled(&SITES_OF_9, 31);
    let cut = fleet.site(5);
    let rest = others(&fleet, cut[0]);
    fleet.cut(&cut, &rest);
    fleet.cut(&rest, &cut);
    fleet.crash(1);
    // Longer than deaths are part of digests.
    fleet.run(SECOND * 180);
    fleet.heal();
    let live = others(&fleet, 1);
    let mut is_back = false;
    let observers: Vec<usize> = live.iter().copied().filter(|i| *i != cut[0]).collect();
    within(&mut fleet, SECOND * 30, "heal", |f| {
        is_back |= observers.iter().any(|i| f.sees_ready(*i, 1));
        f.all_see_ready(&live) && !f.sees_ready(cut[0], 1)
    });
    assert!(!is_back, "the dead instance came back");
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
fn rumours_of_a_whole_fleets_start_run_dry_soon() {
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
        "{sent} records sent, and more to come"
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
    fn random_faults_leave_no_live_instance_dead_and_no_dead_one_named(
        seed in any::<u64>(),
        loss in 0.0..0.2_f64,
        duplication in 0.0..0.3_f64,
        delay_ms in 10..300_u64,
        steps in prop::collection::vec((0..6_u8, 0..9_usize, 0..9_usize, 1..8_u64), 1..8),
    ) {
        let mut fleet = settled(&SITES_OF_9, seed);
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
                _ if fleet.nodes[a].is_paused => fleet.wake(a),
                _ => fleet.heal(),
            }
            fleet.run(SECOND * span as u32);
        }
        fleet.heal();
        fleet.faults.loss = 0.0;
        for i in fleet.all() {
            if fleet.nodes[i].is_paused {
                fleet.wake(i);
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
