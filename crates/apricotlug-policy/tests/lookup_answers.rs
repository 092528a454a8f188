//! Look-up answers: who is named, and what a shift may bring.

#[path = "../examples/support/mod.rs"]
mod support;

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use apricotlug_model::{Bundle, DataCentreKey, RegionKey, UnixTime};
use apricotlug_policy::lookup::{
    Answer, AnswerReason, Directory, InstanceEntry, InstanceLoad, InstanceState,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, rngs::StdRng};
use support::fleet::{Fleet, NOVAK};

struct Bed {
    bundle: Bundle,
    directory: Directory,
    entries: Vec<InstanceEntry>,
    now: UnixTime,
    rng: StdRng,
}

impl Bed {
    fn new(instances: usize) -> Self {
        Self::with(Fleet { instances, ..NOVAK })
    }

    fn with(fleet: Fleet) -> Self {
        let bundle = fleet.bundle();
        let entry =
            |(i, holder): (usize, apricotlug_policy::placement::ShareHolder)| InstanceEntry {
                id: holder.id,
                addr: SocketAddr::from(([127, 0, 0, 1], i as u16)),
                data_centre: holder.data_centre,
                state: InstanceState::Ready,
                load: InstanceLoad {
                    outstanding: 4,
                    slots: 10,
                },
            };
        let mut bed = Self {
            entries: fleet.holders().into_iter().enumerate().map(entry).collect(),
            directory: Directory::new(&bundle, DataCentreKey(0)),
            bundle,
            now: UnixTime(1_000_000_000),
            rng: StdRng::seed_from_u64(5),
        };
        bed.update();
        bed.pass(20_000);
        bed
    }

    fn update(&mut self) {
        self.directory
            .update(&self.bundle, &self.bundle, &self.entries, self.now);
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
    }

    fn lookup(&mut self, site: usize) -> Answer {
        let client = Fleet::client(site, 1);
        self.directory
            .lookup(&self.bundle, client, self.now, &mut self.rng)
    }

    fn region(&self, addr: &SocketAddr) -> RegionKey {
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.addr == *addr)
            .unwrap();
        self.bundle.data_centres[entry.data_centre].region
    }

    fn set_region(&mut self, region: u32, state: InstanceState, outstanding: u32) {
        for entry in &mut self.entries {
            if self.bundle.data_centres[entry.data_centre].region == RegionKey(region) {
                entry.state = state;
                entry.load.outstanding = outstanding;
            }
        }
        self.update();
    }
}

#[test]
fn an_answer_names_three_instances_of_the_home_region_the_home_data_centre_first() {
    let mut bed = Bed::new(9);
    for site in 0..6 {
        let answer = bed.lookup(site);
        assert_eq!(answer.reason, AnswerReason::Home);
        let distinct: HashSet<_> = answer.instances.iter().collect();
        assert_eq!(distinct.len(), 3);
        let home = RegionKey(site as u32 / 2);
        assert!(answer.instances.iter().all(|addr| bed.region(addr) == home));
        let first = bed
            .entries
            .iter()
            .find(|entry| entry.addr == answer.instances[0])
            .unwrap();
        assert_eq!(first.data_centre, DataCentreKey(site as u32));
        assert!(answer.expires_at > bed.now);
    }
}

#[test]
fn leaving_and_dead_instances_are_not_named_and_suspect_ones_seldom() {
    let cases = [
        (InstanceState::Leaving, 0..=0),
        (InstanceState::Dead, 0..=0),
        (InstanceState::Suspect, 50..=250),
        (InstanceState::Ready, 400..=600),
    ];
    for (state, expected) in cases {
        let mut bed = Bed::new(36);
        let addr = bed.entries[0].addr;
        for entry in &mut bed.entries[2..6] {
            entry.state = InstanceState::Dead;
        }
        bed.entries[0].state = state;
        bed.update();
        let first = (0..1_000)
            .filter(|_| bed.lookup(0).instances[0] == addr)
            .count();
        assert!(expected.contains(&first), "{state:?}: {first}");
    }
}

#[test]
fn callers_of_a_dead_region_go_elsewhere_as_far_as_the_shift_caps_reach() {
    let mut bed = Bed::new(9);
    bed.set_region(0, InstanceState::Dead, 0);
    let answers: Vec<_> = (0..5_000).map(|_| bed.lookup(0)).collect();
    let shifted = answers
        .iter()
        .filter(|answer| answer.reason == AnswerReason::HomeDown);
    assert!(shifted.clone().count() > 0);
    assert!(
        shifted
            .flat_map(|a| &a.instances)
            .all(|addr| bed.region(addr) != RegionKey(0))
    );
    let last = answers.last().unwrap();
    assert_eq!(last.reason, AnswerReason::NoRoom);
    assert!(last.instances.is_empty());
    bed.pass(7_000);
    assert_eq!(bed.lookup(0).reason, AnswerReason::HomeDown);
}

#[test]
fn a_region_over_its_load_sends_some_callers_elsewhere_and_takes_them_back_late() {
    let mut bed = Bed::with(Fleet {
        instances: 3,
        shift_cap_percent: 100,
        ..NOVAK
    });
    let mut shifted = Vec::new();
    for outstanding in [10, 10, 10, 7, 7, 4, 4, 4, 4, 4, 4] {
        bed.pass(1_000);
        bed.set_region(0, InstanceState::Ready, outstanding);
        let over = (0..100).filter(|_| bed.lookup(0).reason == AnswerReason::HomeOver);
        shifted.push(over.count());
    }
    assert!(shifted[0] > 0 && shifted[2] > shifted[0], "{shifted:?}");
    assert!(shifted[4] > 30, "{shifted:?}");
    assert_eq!(shifted[10], 0, "{shifted:?}");
}

#[test]
fn a_restarted_instance_gives_no_shifted_answer_before_earlier_ones_expired() {
    let mut bed = Bed::new(9);
    bed.directory = Directory::new(&bed.bundle, DataCentreKey(2));
    bed.set_region(0, InstanceState::Dead, 0);
    assert_eq!(bed.lookup(0).reason, AnswerReason::NoRoom);
    bed.pass(8_001);
    assert_eq!(bed.lookup(0).reason, AnswerReason::HomeDown);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn live_shifted_answers_never_exceed_the_cap(
        steps in prop::collection::vec((0..6usize, 0..600u64, 0..20u32, any::<bool>()), 1..400),
    ) {
        let mut bed = Bed::new(9);
        let mut live: Vec<(RegionKey, UnixTime)> = Vec::new();
        for (site, millis, outstanding, is_dead) in steps {
            bed.pass(millis);
            let state = if is_dead { InstanceState::Dead } else { InstanceState::Ready };
            bed.set_region(site as u32 / 2, state, outstanding);
            for _ in 0..20 {
                let answer = bed.lookup(site);
                if let Some(region) = answer.region.filter(|r| r.0 != site as u32 / 2) {
                    live.push((region, answer.expires_at));
                    let cap = bed.directory.shift_cap_milli_slots(region, bed.now);
                    prop_assert!(bed.directory.charged_milli_slots(region, bed.now) <= cap);
                }
            }
            let now = bed.now;
            live.retain(|(_, expires_at)| !expires_at.is_past(now));
            for region in bed.bundle.regions.keys() {
                let charged = bed.directory.charged_milli_slots(region, now);
                let answers = live.iter().filter(|(other, _)| *other == region).count() as u64;
                prop_assert!(charged >= answers, "every live answer is charged");
            }
        }
    }
}

#[test]
fn the_scale_on_which_instances_report_load_does_not_matter() {
    let charge_of_one_answer = |scale: u32| {
        let mut bed = Bed::new(9);
        for entry in &mut bed.entries {
            entry.load = InstanceLoad {
                outstanding: entry.load.outstanding * scale,
                slots: entry.load.slots * scale,
            };
        }
        for _ in 0..20 {
            for site in 0..6 {
                bed.lookup(site);
            }
            bed.pass(500);
            bed.update();
        }
        bed.set_region(0, InstanceState::Dead, 0);
        let region = bed.lookup(0).region.unwrap();
        bed.directory.charged_milli_slots(region, bed.now)
    };
    let charge = charge_of_one_answer(1);
    assert!((80..=160).contains(&charge), "{charge}");
    assert_eq!(charge_of_one_answer(100), charge);
}

#[test]
fn a_region_without_usable_slots_counts_as_down_but_is_named_where_no_other_has_room() {
    let mut bed = Bed::new(9);
    for entry in &mut bed.entries[..3] {
        entry.load.slots = 0;
    }
    bed.update();
    let answers: Vec<_> = (0..5_000).map(|_| bed.lookup(0)).collect();
    assert_eq!(answers[0].reason, AnswerReason::HomeDown);
    let last = answers.last().unwrap();
    assert_eq!(last.region, Some(RegionKey(0)));
    assert!(last.expires_at <= bed.now.after(Duration::from_secs(1)));
}
