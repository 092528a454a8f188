//! Choice of a backend server by object affinity, load, home regions, evacuation and health.

use std::{collections::HashMap, sync::LazyLock, time::Duration};

use apricotlug_model::{Backend, BackendState, MonoTime};
use apricotlug_policy::steer::{
    BackendKey, Choice, ChoiceRequest, Fleet, LimitShare, NoBackend, RequestOutcome, object_hash,
};

const TARGET_MS: u32 = 400;
const SERVICE: &str = "stock";

static NO_SHARE: LazyLock<LimitShare> = LazyLock::new(LimitShare::default);

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 10_000))
}

fn backend(id: &str, data_centre: &str) -> Backend {
    Backend {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        addr: ([127, 0, 0, 1], 7_000).into(),
        data_centre: data_centre.to_owned(),
        version: "v1".to_owned(),
        slots: 6,
        state: BackendState::Ready,
        cold_ms: 0,
        born_ms: 1,
    }
}

/// Creates two data centres in one region and one in another, with `each` backend servers in each.
fn fleet(each: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for (data_centre, region) in [("a", "west"), ("b", "west"), ("c", "east")] {
        for i in 0..each {
            let backend = backend(&format!("{data_centre}-{i}"), data_centre);
            fleet.register(backend, region, at(0));
        }
    }
    fleet
}

fn request(object: Option<u64>) -> ChoiceRequest<'static> {
    ChoiceRequest {
        service: SERVICE,
        route: "lookup",
        object,
        account: None,
        is_large: false,
        region: "west",
        data_centre: "a",
        home_regions: [&[], &[]],
        evacuated: &[],
        version_filter: None,
        excluded: &[],
        cold_rate: 0.0,
        share: &NO_SHARE,
        is_large_deployment: false,
    }
}

fn choose(
    fleet: &mut Fleet,
    request: &ChoiceRequest<'_>,
    now: MonoTime,
) -> Result<BackendKey, NoBackend> {
    fleet
        .choose(request, TARGET_MS, now)
        .map(|choice| choice.key)
}

fn objects() -> impl Iterator<Item = u64> {
    (0..200).map(|i| object_hash(SERVICE, &format!("thing-{i}")))
}

#[test]
fn instances_without_shared_state_send_an_object_to_the_same_backend_server() {
    let (mut one, mut other) = (fleet(4), fleet(4));
    for object in objects() {
        let request = request(Some(object));
        let key = choose(&mut one, &request, at(0)).unwrap();
        assert_eq!(choose(&mut other, &request, at(0)).unwrap(), key);
    }
}

#[test]
fn a_backend_server_that_leaves_moves_only_its_own_objects() {
    let mut fleet = fleet(4);
    let before: Vec<_> = objects()
        .map(|object| choose(&mut fleet, &request(Some(object)), at(0)).unwrap())
        .collect();
    let removed = before[0];
    let id = fleet.entry(removed).backend.id.clone();
    fleet.remove(&id);
    for (object, key) in objects().zip(before) {
        let now = choose(&mut fleet, &request(Some(object)), at(0)).unwrap();
        assert!(now != removed);
        assert!(
            key == removed || now == key,
            "an object moved that was at home elsewhere"
        );
    }
}

#[test]
fn objects_spread_over_all_backend_servers_of_the_region() {
    let mut fleet = fleet(4);
    let mut counts: HashMap<BackendKey, u32> = HashMap::new();
    for object in objects() {
        let key = choose(&mut fleet, &request(Some(object)), at(0)).unwrap();
        assert_eq!(fleet.entry(key).region, "west");
        *counts.entry(key).or_default() += 1;
    }
    assert_eq!(counts.len(), 8);
    assert!(
        counts.values().all(|count| (10..=50).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn requests_overflow_to_the_second_choice_and_then_to_another_region() {
    let mut fleet = fleet(2);
    let object = objects().next();
    let request = request(object);
    let mut chosen = Vec::new();
    for _ in 0..200 {
        let Ok(key) = choose(&mut fleet, &request, at(0)) else {
            break;
        };
        fleet.on_send(&request, key, at(0));
        if !chosen.contains(&key) {
            chosen.push(key);
        }
    }
    assert!(chosen.len() >= 3, "{chosen:?}");
    assert_eq!(fleet.entry(chosen[0]).region, "west");
    assert!(chosen.iter().any(|key| fleet.entry(*key).region == "east"));
}

#[test]
fn no_backend_server_is_chosen_beyond_its_load_limit() {
    let mut fleet = fleet(1);
    let request = request(None);
    let mut sent = 0;
    while let Ok(key) = choose(&mut fleet, &request, at(0)) {
        fleet.on_send(&request, key, at(0));
        sent += 1;
        assert!(sent <= 3 * 6 * 3);
    }
    assert_eq!(choose(&mut fleet, &request, at(0)), Err(NoBackend::Full));
}

#[test]
fn home_regions_evacuation_versions_and_earlier_attempts_limit_the_choice() {
    let east = ["east".to_owned()];
    let evacuated = ["a".to_owned(), "b".to_owned()];
    let cases: [(&str, ChoiceRequest<'_>); 3] = [
        (
            "home regions of the route",
            ChoiceRequest {
                home_regions: [&east, &[]],
                ..request(None)
            },
        ),
        (
            "home regions of the account",
            ChoiceRequest {
                home_regions: [&[], &east],
                ..request(None)
            },
        ),
        (
            "evacuated data centres",
            ChoiceRequest {
                evacuated: &evacuated,
                ..request(None)
            },
        ),
    ];
    for (name, request) in cases {
        let mut fleet = fleet(2);
        let key = choose(&mut fleet, &request, at(0)).unwrap();
        assert_eq!(fleet.entry(key).region, "east", "{name}");
    }
    let mut fleet = fleet(2);
    let other = ChoiceRequest {
        version_filter: Some(("v2", true)),
        ..request(None)
    };
    assert_eq!(choose(&mut fleet, &other, at(0)), Err(NoBackend::None));
    let old = ChoiceRequest {
        version_filter: Some(("v2", false)),
        ..request(None)
    };
    assert!(choose(&mut fleet, &old, at(0)).is_ok());
    let all: Vec<_> = (0..6).map(BackendKey).collect();
    let excluded = ChoiceRequest {
        excluded: &all,
        ..request(None)
    };
    assert_eq!(choose(&mut fleet, &excluded, at(0)), Err(NoBackend::None));
}

#[test]
fn a_draining_or_removed_backend_server_is_never_chosen() {
    let mut fleet = Fleet::default();
    let mut draining = backend("x", "a");
    draining.state = BackendState::Draining;
    fleet.register(draining, "west", at(0));
    assert_eq!(
        choose(&mut fleet, &request(None), at(0)),
        Err(NoBackend::None)
    );
    fleet.register(backend("y", "a"), "west", at(0));
    assert!(choose(&mut fleet, &request(None), at(0)).is_ok());
    fleet.remove("y");
    assert_eq!(
        choose(&mut fleet, &request(None), at(0)),
        Err(NoBackend::None)
    );
}

#[test]
fn a_restart_under_the_same_id_gets_a_new_entry() {
    let mut fleet = Fleet::default();
    let old = fleet.register(backend("x", "a"), "west", at(0));
    let request = request(None);
    fleet.on_send(&request, old, at(0));
    let mut restarted = backend("x", "a");
    restarted.born_ms = 2;
    let new = fleet.register(restarted, "west", at(100));
    assert_ne!(new, old);
    assert_eq!(fleet.entry(new).own_requests, 0);
    assert_eq!(choose(&mut fleet, &request, at(100)), Ok(new));
}

#[test]
fn an_unreachable_backend_server_is_paused_and_tried_again() {
    let mut fleet = Fleet::default();
    let key = fleet.register(backend("x", "a"), "west", at(0));
    let request = request(None);
    let choice = fleet.choose(&request, TARGET_MS, at(0)).unwrap();
    fleet.on_send(&request, key, at(0));
    fleet.on_end(&choice, "lookup", RequestOutcome::Unreachable, at(10));
    assert_eq!(choose(&mut fleet, &request, at(20)), Err(NoBackend::None));
    assert_eq!(choose(&mut fleet, &request, at(6_000)), Ok(key));
}

#[test]
fn a_backend_server_with_failures_is_avoided() {
    let mut fleet = Fleet::default();
    let bad = fleet.register(backend("bad", "a"), "west", at(0));
    let good = fleet.register(backend("good", "a"), "west", at(0));
    for i in 0..20 {
        let mut choice = fleet.choose(&request(None), TARGET_MS, at(i * 50)).unwrap();
        choice.key = bad;
        fleet.on_send(&request(None), bad, at(i * 50));
        fleet.on_end(&choice, "lookup", RequestOutcome::Failed, at(i * 50 + 10));
    }
    assert_eq!(choose(&mut fleet, &request(None), at(1_000)), Ok(good));
}

#[test]
fn after_an_evacuation_the_data_centre_counts_as_cold() {
    let mut fleet = fleet(1);
    fleet.on_evacuation_over("a", at(0), |_| 3_000);
    let (_, entry) = fleet
        .iter()
        .find(|(_, e)| e.backend.data_centre == "a")
        .unwrap();
    assert!(entry.cold.is_cold(at(2_900)));
    assert!(!entry.cold.is_cold(at(3_100)));
}

#[test]
fn a_backend_server_that_refuses_while_it_has_free_slots_stays_in_use() {
    let mut fleet = Fleet::default();
    let key = fleet.register(backend("x", "a"), "west", at(0));
    let choice = fleet.choose(&request(None), TARGET_MS, at(0)).unwrap();
    fleet.on_send(&request(None), key, at(0));
    fleet.on_end(&choice, "lookup", RequestOutcome::Refused, at(5));
    assert_eq!(choose(&mut fleet, &request(None), at(6)), Ok(key));
    let other = fleet.register(backend("y", "a"), "west", at(6));
    assert_eq!(choose(&mut fleet, &request(None), at(7)), Ok(other));
}

#[test]
fn a_backend_server_that_said_it_is_leaving_stays_out_when_its_entry_comes_back() {
    let mut fleet = Fleet::default();
    let key = fleet.register(backend("a-0", "a"), "west", at(0));
    assert!(fleet.choose(&request(Some(1)), TARGET_MS, at(0)).is_ok());
    assert!(fleet.on_leaving(key));
    assert!(!fleet.on_leaving(key), "it said so before");
    let is_chosen = |fleet: &mut Fleet| fleet.choose(&request(Some(1)), TARGET_MS, at(1)).is_ok();
    assert!(!is_chosen(&mut fleet));
    fleet.register(backend("a-0", "a"), "west", at(1));
    assert!(!is_chosen(&mut fleet), "its entry was written again");
    fleet.remove("a-0");
    fleet.register(backend("a-0", "a"), "west", at(1));
    assert!(!is_chosen(&mut fleet), "its entry lapsed and came back");
    let mut restarted = backend("a-0", "a");
    restarted.born_ms += 1;
    fleet.register(restarted, "west", at(1));
    assert!(is_chosen(&mut fleet));
}

#[test]
fn a_backend_server_that_asks_for_a_pause_is_neither_used_nor_judged() {
    let mut fleet = fleet(1);
    let chosen = fleet.choose(&request(Some(1)), TARGET_MS, at(0)).unwrap();
    fleet.on_send(&request(Some(1)), chosen.key, at(0));
    fleet.on_end(&chosen, "lookup", RequestOutcome::Deferred, at(10));
    fleet.entry_mut(chosen.key).on_deferral(at(2_000));
    fleet.entry_mut(chosen.key).on_deferral(at(1_000));
    assert_eq!(fleet.entry(chosen.key).health.failure_rate(at(10)), 0.0);
    let mut key_at = |ms| {
        fleet
            .choose(&request(Some(1)), TARGET_MS, at(ms))
            .unwrap()
            .key
    };
    assert_ne!(key_at(10), chosen.key);
    assert_ne!(
        key_at(1_500),
        chosen.key,
        "a shorter pause ends no longer one"
    );
    assert_eq!(key_at(2_000), chosen.key);
}

#[test]
fn a_backend_server_whose_requests_run_out_of_time_is_expected_to_be_slow() {
    let mut fleet = fleet(1);
    let first = fleet.choose(&request(Some(1)), TARGET_MS, at(0)).unwrap();
    let mut choice = first;
    // None of these requests gets an answer whose time could be measured.
    for i in 1..=4 {
        fleet.on_send(&request(Some(1)), choice.key, at(i));
        fleet.on_end(&choice, "lookup", RequestOutcome::Overdue(2_000.0), at(i));
        choice = Choice {
            key: first.key,
            ..choice
        };
    }
    let health = fleet.entry(first.key).health;
    assert!(health.slowness(at(5)) > 2.0, "{}", health.slowness(at(5)));
    assert!(
        health.failure_rate(at(5)) > 0.3,
        "{}",
        health.failure_rate(at(5))
    );
    let next = fleet.choose(&request(Some(1)), TARGET_MS, at(5)).unwrap();
    assert_ne!(next.key, first.key);
}

/// Guards against a region that looks half empty, because room counts where nothing may be sent, and
/// against loads that no backend server can have.
#[test]
fn utilisation_counts_only_room_that_requests_may_use() {
    let now = at(0);
    let mut fleet = fleet(2);
    let keys: Vec<_> = fleet.of_service(SERVICE).map(|(key, _)| key).collect();
    for key in &keys[..2] {
        fleet.entry_mut(*key).own_requests = 6;
    }
    let evacuated = ["b".to_owned()];
    assert_eq!(fleet.utilisation(SERVICE, "west", &[], now), 0.5);
    assert_eq!(fleet.utilisation(SERVICE, "west", &evacuated, now), 1.0);
    fleet.entry_mut(keys[2]).on_deferral(at(1_000));
    assert_eq!(fleet.utilisation(SERVICE, "west", &[], now), 0.75);
    for key in &keys {
        fleet.entry_mut(*key).on_load_report(now, u32::MAX, 0);
    }
    assert_eq!(fleet.utilisation(SERVICE, "west", &[], now), 3.0);
}
