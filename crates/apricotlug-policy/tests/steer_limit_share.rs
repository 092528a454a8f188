//! Parts of a limit over all instances together.

use std::time::Duration;

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{KnownInstance, LimitShare};

const REGIONS: [&str; 3] = ["east", "mid", "west"];

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 60_000))
}

fn name(i: usize) -> String {
    format!("p-{i}")
}

/// Instances in three regions, of which look-ups list the given number.
fn known(instances: usize, listed: usize) -> Vec<KnownInstance> {
    let known = (0..instances).map(|i| KnownInstance::new(&name(i), REGIONS[i % 3], i < listed));
    known.collect()
}

fn update(share: &mut LimitShare, own: usize, known: &[KnownInstance], now: MonoTime) {
    share.update(&name(own), known.to_vec(), REGIONS.into_iter(), now);
}

/// Share of an instance that has known the others for long.
fn settled(own: usize, known: &[KnownInstance]) -> LimitShare {
    let mut share = LimitShare::default();
    for ms in [0, 5_000] {
        share.on_entered(at(ms));
        share.on_read(at(ms));
    }
    update(&mut share, own, known, at(5_000));
    share
}

#[test]
fn the_parts_of_instances_that_know_each_other_add_up_to_the_limit() {
    for (instances, listed) in [(1, 1), (8, 8), (9, 4), (64, 12), (295, 60), (1_500, 1_500)] {
        let known = known(instances, listed);
        let shares: Vec<_> = (0..instances).map(|own| settled(own, &known)).collect();
        let of_all: f64 = shares.iter().map(LimitShare::get).sum();
        assert!((of_all - 1.0).abs() < 1e-6, "{instances}: {of_all}");
        for region in REGIONS.into_iter().chain(["elsewhere"]) {
            let sum: f64 = shares.iter().map(|share| share.in_region(region)).sum();
            assert!((sum - 1.0).abs() < 1e-6, "{instances}, {region}: {sum}");
        }
    }
}

#[test]
fn instances_that_look_ups_leave_out_have_a_part_of_their_own() {
    let known = known(64, 12);
    let (listed, unlisted) = (settled(0, &known), settled(63, &known));
    assert!(unlisted.get() > 0.0);
    assert!(listed.get() > unlisted.get() * 10.0);
    assert!(listed.in_region("east") > listed.in_region("west") * 3.0);
}

/// Guards against instances that start together and use their share before they know of each other, or
/// while no read tells them.
#[test]
fn an_instance_uses_nothing_until_it_and_the_others_have_been_known_for_a_while() {
    #[derive(Debug)]
    enum Event {
        Entered(u64),
        Read(u64),
    }
    use Event::{Entered, Read};
    let known = known(9, 9);
    for (events, is_usable) in [
        (vec![], false),
        (vec![Read(0), Read(5_000)], false),
        (vec![Entered(0)], false),
        (vec![Entered(0), Read(0)], false),
        (vec![Entered(0), Read(0), Read(500)], false),
        (vec![Read(0), Entered(4_800), Read(5_000)], false),
        (vec![Entered(0), Read(4_900), Read(5_000)], false),
        (vec![Entered(0), Read(0), Read(700)], true),
        (vec![Read(0), Entered(100), Read(300), Read(800)], true),
    ] {
        let mut share = LimitShare::default();
        for event in &events {
            match event {
                Entered(ms) => share.on_entered(at(*ms)),
                Read(ms) => share.on_read(at(*ms)),
            }
        }
        update(&mut share, 0, &known, at(6_000));
        assert_eq!(share.get() > 0.0, is_usable, "{events:?}");
        assert_eq!(share.in_region("east") > 0.0, is_usable, "{events:?}");
        assert_eq!(share.accrued_s("east", at(6_000)), 0.0);
    }
}

/// Guards against instances that each take the whole of a limit while the others' entries are gone,
/// since the store was away, or since a group is cut off.
#[test]
fn entries_that_lapse_for_some_seconds_do_not_raise_the_share() {
    let all = known(9, 9);
    let alone = &all[..1];
    let mut share = settled(0, &all);
    let before = share.get();
    for ms in (5_100..13_000).step_by(100) {
        update(&mut share, 0, alone, at(ms));
        assert_eq!(share.get(), before, "{ms}");
    }
    for ms in (13_000..40_000).step_by(100) {
        update(&mut share, 0, alone, at(ms));
    }
    assert_eq!(share.get(), 1.0, "the others are gone for good");
}

#[test]
fn the_accrued_share_does_not_depend_on_when_it_is_read() {
    let mut share = settled(0, &known(3, 3));
    let rate = share.in_region("east");
    assert!((share.accrued_s("east", at(6_000)) - rate).abs() < 1e-6);
    update(&mut share, 0, &known(30, 30), at(6_000));
    let lower = share.in_region("east");
    assert!(lower < rate);
    let accrued_s = share.accrued_s("east", at(7_000));
    assert!((accrued_s - rate - lower).abs() < 1e-6, "{accrued_s}");
}

/// Guards against places that all move when one instance comes or goes: each new holder would send at
/// the same time as the one before.
#[test]
fn an_instance_more_moves_the_others_by_one_place_at_most() {
    let (few, more) = (known(30, 30), known(31, 31));
    for salt in 0..20 {
        let place = |known: &[KnownInstance], own: usize| {
            let size = known.len().div_ceil(3) as f64;
            settled(own, known).place("east", salt) * size
        };
        let places: Vec<_> = (0..30).step_by(3).map(|own| place(&few, own)).collect();
        for (i, before) in places.iter().enumerate() {
            let moved = place(&more, i * 3) - before;
            assert!((-0.01..=1.01).contains(&moved), "salt {salt}: {moved}");
        }
        let mut sorted = places.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        let all: Vec<_> = (0..10).map(|i| f64::from(i) + 0.5).collect();
        let differ = |(a, b): (&f64, &f64)| (a - b).abs() > 1e-6;
        assert!(!sorted.iter().zip(&all).any(differ), "{sorted:?}");
    }
}
