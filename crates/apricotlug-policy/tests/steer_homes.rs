//! Choice of a backend server in large deployments, and the traffic shares of the regions.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::LazyLock,
    time::Duration,
};

use apricotlug_model::{Backend, BackendState, MonoTime};
use apricotlug_policy::steer::{
    BackendKey, Choice, ChoiceRequest, Fleet, LimitShare, RegionLoad, RegionSplit, RequestOutcome,
    object_hash,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const TARGET_MS: u32 = 800;
const SERVICE: &str = "stock";
const SLOTS: u32 = 6;

static NO_SHARE: LazyLock<LimitShare> = LazyLock::new(LimitShare::default);

/// Maximum permitted change of a region's share in two seconds.
const MAX_SHIFT: f64 = 0.15;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 10_000))
}

fn backend(id: &str, data_centre: &str, version: &str) -> Backend {
    Backend {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        addr: ([127, 0, 0, 1], 7_000).into(),
        data_centre: data_centre.to_owned(),
        version: version.to_owned(),
        slots: SLOTS,
        state: BackendState::Ready,
        cold_ms: 0,
        born_ms: 1,
    }
}

/// Creates three regions of two data centres, with `each[i]` backend servers in each data centre of
/// region `i`.
fn fleet(each: [usize; 3]) -> Fleet {
    let mut fleet = Fleet::default();
    for (region, count) in ["east", "mid", "west"].iter().zip(each) {
        for suffix in ["a", "b"] {
            let data_centre = format!("{region}-{suffix}");
            for i in 0..count {
                let id = format!("{data_centre}-{i}");
                fleet.register(backend(&id, &data_centre, "v1"), region, at(0));
            }
        }
    }
    fleet
}

fn request(region: &'static str, data_centre: &'static str, object: u64) -> ChoiceRequest<'static> {
    ChoiceRequest {
        service: SERVICE,
        route: "lookup",
        object: Some(object),
        account: None,
        is_large: false,
        region,
        data_centre,
        home_regions: [&[], &[]],
        evacuated: &[],
        version_filter: None,
        excluded: &[],
        cold_rate: 0.0,
        share: &NO_SHARE,
        is_large_deployment: true,
    }
}

fn objects(n: usize) -> impl Iterator<Item = u64> {
    (0..n).map(|i| object_hash(SERVICE, &format!("thing-{i}")))
}

fn choose(fleet: &mut Fleet, request: &ChoiceRequest<'_>, now: MonoTime) -> Choice {
    fleet.choose(request, TARGET_MS, now).unwrap()
}

#[test]
fn all_data_centres_of_a_region_send_an_object_to_one_home() {
    let (mut one, mut other) = (fleet([10; 3]), fleet([10; 3]));
    let mut counts: HashMap<BackendKey, u32> = HashMap::new();
    for object in objects(400) {
        let key = choose(&mut one, &request("east", "east-a", object), at(0)).key;
        let other_key = choose(&mut other, &request("east", "east-b", object), at(0)).key;
        assert_eq!(other_key, key);
        assert_eq!(one.entry(key).region, "east");
        *counts.entry(key).or_default() += 1;
    }
    assert_eq!(counts.len(), 20);
}

#[test]
fn large_answers_stay_in_the_data_centre() {
    let mut fleet = fleet([10; 3]);
    for object in objects(100) {
        let large = ChoiceRequest {
            is_large: true,
            ..request("mid", "mid-b", object)
        };
        let key = choose(&mut fleet, &large, at(0)).key;
        assert_eq!(fleet.entry(key).backend.data_centre, "mid-b");
    }
}

#[test]
fn a_backend_server_that_leaves_moves_only_its_own_objects() {
    let mut fleet = fleet([10; 3]);
    let request = |object| request("east", "east-a", object);
    let before: Vec<_> = objects(200)
        .map(|object| choose(&mut fleet, &request(object), at(0)).key)
        .collect();
    let removed = before[0];
    let id = fleet.entry(removed).backend.id.clone();
    fleet.remove(&id);
    for (object, key) in objects(200).zip(before) {
        let now = choose(&mut fleet, &request(object), at(0)).key;
        assert!(now != removed);
        assert!(key == removed || now == key);
    }
}

#[test]
fn a_region_with_little_capacity_serves_its_share_from_the_first_request_on() {
    let mut fleet = fleet([36, 43, 9]);
    let mut counts: HashMap<String, f64> = HashMap::new();
    for object in objects(2_000) {
        let key = choose(&mut fleet, &request("west", "west-a", object), at(0)).key;
        *counts.entry(fleet.entry(key).region.clone()).or_default() += 1.0 / 2_000.0;
    }
    // The region has 9 of 88 slots for a third of all callers: 9 / 88 * 3 = 0.307.
    assert!((counts["west"] - 0.307).abs() < 0.04, "{counts:?}");
    assert!(counts["mid"] > counts["east"], "{counts:?}");
}

#[test]
fn objects_leave_a_home_of_higher_average_utilisation_one_by_one() {
    let mut fleet = fleet([10; 3]);
    let request = |object| request("east", "east-a", object);
    let home = choose(&mut fleet, &request(objects(1).next().unwrap()), at(0)).key;
    let at_home: Vec<_> = objects(600)
        .filter(|object| choose(&mut fleet, &request(*object), at(0)).key == home)
        .collect();
    let remaining_share = |fleet: &mut Fleet, load: u32| {
        fleet.entry_mut(home).other_requests = load;
        for step in 0..40 {
            let now = at(u64::from(load) * 20_000 + step * 250);
            let _ = fleet.choose(&request(at_home[0]), TARGET_MS, now);
        }
        let now = at(u64::from(load) * 20_000 + 10_000);
        let stayed = at_home.iter().filter(|object| {
            let choice = fleet.choose(&request(**object), TARGET_MS, now).unwrap();
            choice.key == home
        });
        stayed.count() as f64 / at_home.len() as f64
    };
    let (at_load_3, at_load_5) = (
        remaining_share(&mut fleet, 3),
        remaining_share(&mut fleet, 5),
    );
    assert!(at_load_3 < 0.9 && at_load_3 > 0.2, "{at_load_3}");
    assert!(at_load_5 < at_load_3, "{at_load_5} of {at_load_3}");
}

#[test]
fn home_regions_versions_evacuation_and_earlier_attempts_limit_the_choice() {
    let mut fleet = fleet([4; 3]);
    fleet.register(backend("new", "east-b", "v2"), "east", at(0));
    let base = || request("east", "east-a", objects(1).next().unwrap());
    let new = ChoiceRequest {
        version_filter: Some(("v2", true)),
        ..base()
    };
    let key = choose(&mut fleet, &new, at(0)).key;
    assert_eq!(fleet.entry(key).backend.id, "new");
    let west = ["west".to_owned()];
    let limited = ChoiceRequest {
        home_regions: [&west, &[]],
        ..base()
    };
    let key = choose(&mut fleet, &limited, at(0)).key;
    assert_eq!(fleet.entry(key).region, "west");
    let both = ["east-a".to_owned(), "east-b".to_owned()];
    let evacuated = ChoiceRequest {
        evacuated: &both,
        ..base()
    };
    let key = choose(&mut fleet, &evacuated, at(0)).key;
    assert_ne!(fleet.entry(key).region, "east");
    let mut excluded = Vec::new();
    for _ in 0..13 {
        let more = ChoiceRequest {
            excluded: &excluded,
            ..base()
        };
        let key = choose(&mut fleet, &more, at(0)).key;
        assert!(!excluded.contains(&key));
        excluded.push(key);
    }
}

fn load(region: &str, slots: f64, load: f64) -> RegionLoad {
    RegionLoad {
        region: region.to_owned(),
        callers: 1.0 / 3.0,
        slots,
        load,
    }
}

#[test]
fn a_share_changes_slowly_under_any_load() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut split = RegionSplit::default();
        let mut history = Vec::new();
        for step in 0..200 {
            let mut one =
                |region: &str, slots: f64| load(region, slots, slots * rng.random_range(0.0..3.0));
            let loads = [one("east", 72.0), one("mid", 86.0), one("west", 18.0)];
            split.update("west", &loads, at(step * 200));
            history.push(split.own_share());
        }
        for pair in history.windows(11) {
            let change = (pair[10] - pair[0]).abs();
            assert!(change < MAX_SHIFT / 2.0, "seed {seed}: {change}");
        }
    }
}

#[test]
fn the_share_of_a_failed_data_centre_moves_at_once() {
    let mut split = RegionSplit::default();
    let even = [
        load("east", 60.0, 30.0),
        load("mid", 60.0, 30.0),
        load("west", 60.0, 30.0),
    ];
    split.update("west", &even, at(0));
    assert!(split.own_share() > 0.99);
    let lost = [
        load("east", 60.0, 30.0),
        load("mid", 60.0, 30.0),
        load("west", 30.0, 30.0),
    ];
    split.update("west", &lost, at(200));
    assert!(
        (split.own_share() - 0.5).abs() < 0.01,
        "{}",
        split.own_share()
    );
    let empty = [
        load("east", 60.0, 30.0),
        load("mid", 60.0, 30.0),
        load("west", 0.0, 0.0),
    ];
    split.update("west", &empty, at(400));
    assert!(split.region_of(0.0).is_some());
}

/// Simulated deployment with one instance per data centre; load reports arrive one round late.
struct Simulation {
    fleets: Vec<(&'static str, &'static str, Fleet)>,
    slots_free_at: Vec<Vec<u64>>,
    warm: HashMap<(BackendKey, u64), u64>,
    running: BinaryHeap<Reverse<(u64, usize, u32, u64)>>,
    choices: HashMap<u64, Choice>,
    reported: Vec<Vec<u32>>,
    served: Vec<(u64, &'static str, String)>,
}

impl Simulation {
    fn new(each: [usize; 3]) -> Self {
        let data_centres = [
            ("east", "east-a"),
            ("east", "east-b"),
            ("mid", "mid-a"),
            ("mid", "mid-b"),
            ("west", "west-a"),
            ("west", "west-b"),
        ];
        let fleets = data_centres.map(|(region, data_centre)| (region, data_centre, fleet(each)));
        let backends = 2 * each.iter().sum::<usize>();
        Self {
            fleets: fleets.into(),
            slots_free_at: vec![vec![0; SLOTS as usize]; backends],
            warm: HashMap::new(),
            running: BinaryHeap::new(),
            choices: HashMap::new(),
            reported: vec![vec![0; backends]; 6],
            served: Vec::new(),
        }
    }

    fn send(&mut self, ms: u64, from: usize, object: u64, id: u64, is_large_deployment: bool) {
        let (region, data_centre, fleet) = &mut self.fleets[from];
        let request = ChoiceRequest {
            is_large_deployment,
            ..request(region, data_centre, object)
        };
        let Ok(choice) = fleet.choose(&request, TARGET_MS, at(ms)) else {
            return;
        };
        fleet.on_send(&request, choice.key, at(ms));
        let served_in = fleet.entry(choice.key).region.clone();
        let slot = self.slots_free_at[choice.key.0 as usize]
            .iter_mut()
            .min()
            .unwrap();
        let is_warm = self
            .warm
            .get(&(choice.key, object))
            .is_some_and(|seen| ms < seen + 10_000);
        *slot = ms.max(*slot) + if is_warm { 290 } else { 960 };
        let round_trip_ms = if served_in == *region { 5 } else { 110 };
        self.warm.insert((choice.key, object), *slot);
        self.running
            .push(Reverse((*slot + round_trip_ms, from, choice.key.0, id)));
        self.choices.insert(id, choice);
        self.served.push((ms, region, served_in));
    }

    fn end(&mut self, ms: u64) {
        while let Some(Reverse((ends_at, from, _, id))) = self.running.peek().copied() {
            if ends_at > ms {
                return;
            }
            self.running.pop();
            let choice = self.choices.remove(&id).unwrap();
            let fleet = &mut self.fleets[from].2;
            fleet.on_end(
                &choice,
                "lookup",
                RequestOutcome::Answered(choice.expected_ms),
                at(ms),
            );
        }
    }

    /// Gives every instance the load of the others as of the previous call.
    fn exchange_reports(&mut self) {
        let own: Vec<Vec<u32>> = self
            .fleets
            .iter()
            .map(|(_, _, fleet)| fleet.iter().map(|(_, entry)| entry.own_requests).collect())
            .collect();
        for (i, (_, _, fleet)) in self.fleets.iter_mut().enumerate() {
            for key in 0..self.slots_free_at.len() {
                let all: u32 = self.reported.iter().map(|reported| reported[key]).sum();
                let entry = fleet.entry_mut(BackendKey(key as u32));
                entry.other_requests = all - self.reported[i][key];
            }
        }
        self.reported = own;
    }

    /// Returns the largest change of a region's traffic shares between two successive windows of
    /// two seconds.
    fn largest_shift(&self, until_ms: u64) -> f64 {
        let regions = ["east", "mid", "west"];
        let share = |from: u64, region: &str| {
            let served = self.served.iter();
            let served = served.filter(|(ms, from_region, _)| {
                *from_region == region && (from..from + 2_000).contains(ms)
            });
            let mut counts = HashMap::new();
            let mut all = 0.0_f64;
            for (_, _, to) in served {
                *counts.entry(to.as_str()).or_insert(0.0) += 1.0;
                all += 1.0;
            }
            regions.map(|to| counts.get(to).copied().unwrap_or(0.0) / all.max(1.0))
        };
        let starts = (0..until_ms - 4_000).step_by(200);
        let shifts = starts.flat_map(|from| {
            regions.map(|region| {
                let (one, next) = (share(from, region), share(from + 2_000, region));
                let moved = one.iter().zip(next).map(|(one, next)| (one - next).abs());
                moved.sum::<f64>() / 2.0
            })
        });
        shifts.fold(0.0, f64::max)
    }
}

fn largest_shift(seed: u64, each: [usize; 3], per_s: f64, is_large_deployment: bool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(each);
    let until_ms = 14_000;
    let mut id = 0;
    for ms in 0..until_ms {
        simulation.end(ms);
        if ms % 450 == 0 {
            simulation.exchange_reports();
        }
        for from in 0..6 {
            if rng.random::<f64>() < per_s / 6_000.0 {
                id += 1;
                let object_id = rng.random_range(0..60_u32);
                let object = object_hash(simulation.fleets[from].0, &object_id.to_string());
                simulation.send(ms, from, object, id, is_large_deployment);
            }
        }
    }
    simulation.largest_shift(until_ms)
}

#[test]
fn regions_of_unequal_capacity_do_not_shift_traffic_when_all_objects_are_cold() {
    for is_large_deployment in [true, false] {
        for seed in 0..4 {
            let shift = largest_shift(seed, [24, 28, 6], 800.0, is_large_deployment);
            assert!(
                shift <= MAX_SHIFT,
                "large {is_large_deployment}, seed {seed}: {shift}"
            );
        }
    }
}
