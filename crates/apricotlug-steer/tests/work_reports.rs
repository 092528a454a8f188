//! Reports between instances of the work that is left at backend servers.

use std::time::Duration;

use apricotlug_config::{SiteSettings, parse_site};
use apricotlug_model::{Backend, BackendState, MonoTime};
use apricotlug_policy::steer::{BackendKey, ChoiceRequest, LimitShare};
use apricotlug_steer::{BackendLoad, MemberInfo, RelayRequest, StatusDatagram, SteeringState};

const SETTINGS: &str = include_str!("../../../examples/steer.toml");
const TARGET_MS: u32 = 400;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 10_000))
}

fn settings() -> SiteSettings {
    parse_site("steer.toml", SETTINGS).unwrap()
}

/// State of one of `instances` instances that knows one backend server.
fn state(instances: u64) -> (SteeringState, BackendKey) {
    let settings = settings();
    let mut steering = SteeringState::new(&settings);
    for run in 1..=instances {
        let info = MemberInfo {
            run,
            caller: ([10, 0, 0, 1], run as u16).into(),
            peer: ([10, 0, 0, 2], run as u16).into(),
            data_centre: "brest-a".to_owned(),
            link_mbps: 10,
        };
        steering.peers.register(&format!("p-{run:02}"), info, at(0));
    }
    steering.tick(&settings, at(0));
    let backend = Backend {
        id: "b-1".to_owned(),
        service: "stock".to_owned(),
        addr: ([127, 0, 0, 1], 7_000).into(),
        data_centre: "brest-a".to_owned(),
        version: "v1".to_owned(),
        slots: 3,
        state: BackendState::Ready,
        cold_ms: 0,
        born_ms: 1,
    };
    let key = steering.fleet.register(backend, settings.region(), at(0));
    steering.on_backend("b-1", key);
    (steering, key)
}

/// Sends one request to the backend server.
fn send(steering: &mut SteeringState, now: MonoTime) {
    let settings = settings();
    let share = LimitShare::default();
    let request = ChoiceRequest {
        service: "stock",
        route: "lookup",
        object: None,
        account: None,
        is_large: false,
        region: settings.region(),
        data_centre: &settings.data_centre,
        home_regions: [&[], &[]],
        evacuated: &[],
        version_filter: None,
        excluded: &[],
        cold_rate: 0.0,
        share: &share,
        is_large_deployment: false,
    };
    let choice = steering.fleet.choose(&request, TARGET_MS, now).unwrap();
    steering.fleet.on_send(&request, choice.key, now);
    steering.fleet.on_work_sent(&choice, now);
}

fn reported(steering: &SteeringState) -> BackendLoad {
    steering.datagram("x", 1, 1, false).loads[0]
}

#[test]
fn a_report_states_the_work_left_which_falls_while_a_request_runs() {
    let (mut steering, _) = state(1);
    send(&mut steering, at(0));
    let first = reported(&steering);
    assert_eq!(first.requests, 1);
    assert!(first.work_ms > 0.0);
    steering.tick(&settings(), at(100));
    let later = reported(&steering);
    assert!(
        (first.work_ms - later.work_ms - 100.0).abs() < 1.0,
        "{first:?} {later:?}"
    );
    // However long it runs, something is left of it.
    steering.tick(&settings(), at(60_000));
    assert!(reported(&steering).work_ms > 0.0);
}

#[test]
fn a_relay_tells_the_sum_only_where_all_its_clients_tell_their_work() {
    for (work_ms, is_told) in [(500.0, true), (0.0, false)] {
        let (mut steering, key) = state(20);
        send(&mut steering, at(0));
        let own = reported(&steering);
        let load = BackendLoad {
            requests: 2,
            work_ms,
            ..own
        };
        let request = RelayRequest {
            run: 7,
            loads: vec![load],
            ..RelayRequest::default()
        };
        steering.on_relay_request(&request, at(100));
        let sum = reported(&steering);
        assert_eq!(sum.requests, 3);
        let expected = if is_told { own.work_ms + work_ms } else { 0.0 };
        assert_eq!(sum.work_ms, expected);
        assert_eq!(steering.fleet.entry(key).other_requests, 2);
    }
}

#[test]
fn the_requests_of_an_instance_that_falls_silent_are_forgotten_whatever_it_told() {
    for work_ms in [0.0, 300.0, f32::MAX, f32::NAN, f32::INFINITY, -1.0] {
        let (mut steering, key) = state(3);
        send(&mut steering, at(0));
        let load = BackendLoad {
            requests: 2,
            work_ms,
            ..reported(&steering)
        };
        let datagram = StatusDatagram {
            name: "p-02".to_owned(),
            run: 2,
            sequence: 1,
            loads: vec![load],
            ..StatusDatagram::default()
        };
        steering.on_datagram(datagram, at(100));
        assert_eq!(steering.fleet.entry(key).other_requests, 2, "{work_ms}");
        steering.remove_run(2);
        assert_eq!(steering.fleet.entry(key).other_requests, 0, "{work_ms}");
    }
}
