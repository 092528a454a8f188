//! Tests of look-up answers: which instances are listed, and how much load may be shifted.

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

struct Fixture {
    bundle: Bundle,
    directory: Directory,
    entries: Vec<InstanceEntry>,
    now: UnixTime,
    rng: StdRng,
}

impl Fixture {
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
        let mut fixture = Self {
            entries: fleet.holders().into_iter().enumerate().map(entry).collect(),
            directory: Directory::new(&bundle, DataCentreKey(0)),
            bundle,
            now: UnixTime(1_000_000_000),
            rng: StdRng::seed_from_u64(5),
        };
        fixture.update();
        fixture.advance(20_000);
        fixture
    }

    fn update(&mut self) {
        self.directory
            .update(&self.bundle, &self.bundle, &self.entries, self.now);
    }

    fn advance(&mut self, millis: u64) {
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
fn an_answer_lists_three_instances_of_the_home_region_the_home_data_centre_first() {
    let mut fixture = Fixture::new(9);
    for site in 0..6 {
        let answer = fixture.lookup(site);
        assert_eq!(answer.reason, AnswerReason::Home);
        let distinct: HashSet<_> = answer.instances.iter().collect();
        assert_eq!(distinct.len(), 3);
        let home = RegionKey(site as u32 / 2);
        assert!(
            answer
                .instances
                .iter()
                .all(|addr| fixture.region(addr) == home)
        );
        let first = fixture
            .entries
            .iter()
            .find(|entry| entry.addr == answer.instances[0])
            .unwrap();
        assert_eq!(first.data_centre, DataCentreKey(site as u32));
        assert!(answer.expires_at > fixture.now);
    }
}

#[test]
fn leaving_and_dead_instances_are_not_listed_and_suspect_ones_seldom() {
    let cases = [
        (InstanceState::Leaving, 0..=0),
        (InstanceState::Dead, 0..=0),
        (InstanceState::Suspect, 50..=250),
        (InstanceState::Ready, 400..=600),
    ];
    for (state, expected) in cases {
        let mut fixture = Fixture::new(36);
        let addr = fixture.entries[0].addr;
        for entry in &mut fixture.entries[2..6] {
            entry.state = InstanceState::Dead;
        }
        fixture.entries[0].state = state;
        fixture.update();
        let first = (0..1_000)
            .filter(|_| fixture.lookup(0).instances[0] == addr)
            .count();
        assert!(expected.contains(&first), "{state:?}: {first}");
    }
}

#[test]
fn callers_of_a_dead_region_are_shifted_within_the_shift_caps() {
    let mut fixture = Fixture::new(9);
    fixture.set_region(0, InstanceState::Dead, 0);
    let answers: Vec<_> = (0..5_000).map(|_| fixture.lookup(0)).collect();
    let shifted = answers
        .iter()
        .filter(|answer| answer.reason == AnswerReason::HomeDown);
    assert!(shifted.clone().count() > 0);
    assert!(
        shifted
            .flat_map(|a| &a.instances)
            .all(|addr| fixture.region(addr) != RegionKey(0))
    );
    let last = answers.last().unwrap();
    assert_eq!(last.reason, AnswerReason::NoRoom);
    assert!(last.instances.is_empty());
    fixture.advance(7_000);
    assert_eq!(fixture.lookup(0).reason, AnswerReason::HomeDown);
}

#[test]
fn an_overloaded_region_redirects_some_callers_and_takes_them_back_with_hysteresis() {
    let mut fixture = Fixture::with(Fleet {
        instances: 3,
        shift_cap_percent: 100,
        ..NOVAK
    });
    let mut shifted = Vec::new();
    for outstanding in [10, 10, 10, 7, 7, 4, 4, 4, 4, 4, 4] {
        fixture.advance(1_000);
        fixture.set_region(0, InstanceState::Ready, outstanding);
        let over = (0..100).filter(|_| fixture.lookup(0).reason == AnswerReason::HomeOver);
        shifted.push(over.count());
    }
    assert!(shifted[0] > 0 && shifted[2] > shifted[0], "{shifted:?}");
    assert!(shifted[4] > 30, "{shifted:?}");
    assert_eq!(shifted[10], 0, "{shifted:?}");
}

#[test]
fn a_restarted_instance_gives_no_shifted_answer_before_earlier_ones_expire() {
    let mut fixture = Fixture::new(9);
    fixture.directory = Directory::new(&fixture.bundle, DataCentreKey(2));
    fixture.set_region(0, InstanceState::Dead, 0);
    assert_eq!(fixture.lookup(0).reason, AnswerReason::NoRoom);
    fixture.advance(8_001);
    assert_eq!(fixture.lookup(0).reason, AnswerReason::HomeDown);
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
        let mut fixture = Fixture::new(9);
        let mut live: Vec<(RegionKey, UnixTime)> = Vec::new();
        for (site, millis, outstanding, is_dead) in steps {
            fixture.advance(millis);
            let state = if is_dead { InstanceState::Dead } else { InstanceState::Ready };
            fixture.set_region(site as u32 / 2, state, outstanding);
            for _ in 0..20 {
                let answer = fixture.lookup(site);
                if let Some(region) = answer.region.filter(|r| r.0 != site as u32 / 2) {
                    live.push((region, answer.expires_at));
                    let cap = fixture.directory.shift_cap_milli_slots(region, fixture.now);
                    prop_assert!(fixture.directory.charged_milli_slots(region, fixture.now) <= cap);
                }
            }
            let now = fixture.now;
            live.retain(|(_, expires_at)| !expires_at.is_past(now));
            for region in fixture.bundle.regions.keys() {
                let charged = fixture.directory.charged_milli_slots(region, now);
                let answers = live.iter().filter(|(other, _)| *other == region).count() as u64;
                prop_assert!(charged >= answers, "every live answer is charged");
            }
        }
    }
}

#[test]
fn the_scale_on_which_instances_report_load_does_not_matter() {
    let charge_of_one_answer = |scale: u32| {
        let mut fixture = Fixture::new(9);
        for entry in &mut fixture.entries {
            entry.load = InstanceLoad {
                outstanding: entry.load.outstanding * scale,
                slots: entry.load.slots * scale,
            };
        }
        for _ in 0..20 {
            for site in 0..6 {
                fixture.lookup(site);
            }
            fixture.advance(500);
            fixture.update();
        }
        fixture.set_region(0, InstanceState::Dead, 0);
        let region = fixture.lookup(0).region.unwrap();
        fixture.directory.charged_milli_slots(region, fixture.now)
    };
    let charge = charge_of_one_answer(1);
    assert!((80..=160).contains(&charge), "{charge}");
    assert_eq!(charge_of_one_answer(100), charge);
}

#[test]
fn a_region_without_usable_slots_counts_as_down_but_is_listed_if_no_other_has_capacity() {
    let mut fixture = Fixture::new(9);
    for entry in &mut fixture.entries[..3] {
        entry.load.slots = 0;
    }
    fixture.update();
    let answers: Vec<_> = (0..5_000).map(|_| fixture.lookup(0)).collect();
    assert_eq!(answers[0].reason, AnswerReason::HomeDown);
    let last = answers.last().unwrap();
    assert_eq!(last.region, Some(RegionKey(0)));
    assert!(last.expires_at <= fixture.now.after(Duration::from_secs(1)));
}
