//! Rates of client accounts over all instances of an installation with relays.

use std::time::Duration;

use apricotlug_config::{SiteSettings, parse_site};
use apricotlug_model::{MonoTime, Plan, PlanAccount};
use apricotlug_steer::{MemberInfo, RelayRequest, RelayResponse, SteeringState};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SETTINGS: &str = include_str!("../../../examples/steer.toml");
const ACCOUNT: &str = "movers";
const TICK_MS: u64 = 150;
const DATAGRAM_MS: u64 = 450;
const POLL_MS: u64 = 400;
const UNLISTED_POLL_MS: u64 = 1_000;
const WINDOW_MS: u64 = 5_000;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 60_000))
}

fn data_centre(index: usize) -> &'static str {
    ["brest-a", "rennes-a"][index % 2]
}

/// Instances that report to each other through relays. Look-ups list the first ones.
struct Fleet {
    settings: Vec<SiteSettings>,
    instances: Vec<SteeringState>,
    relay_of: Vec<usize>,
    /// Times of admissions, ascending.
    admitted: Vec<u64>,
    requests: usize,
    /// Whether the relays of one region hear nothing of those of the other.
    is_cut: bool,
    rng: SmallRng,
}

impl Fleet {
    fn new(listed: usize, all: usize, rate: f64, seed: u64) -> Self {
        let mut plan = Plan::default();
        plan.accounts.push(PlanAccount {
            id: ACCOUNT.to_owned(),
            priority: 0,
            rate,
            burst: rate,
            homes: Vec::new(),
        });
        let link_mbps = |i: usize| if i < listed { 200 } else { 10 };
        let settings = (0..all).map(|i| {
            let text = SETTINGS.replace("\"brest-1\"", &format!("\"p-{i:04}\""));
            let mut settings = parse_site("steer.toml", &text).unwrap();
            settings.link_mbps = f64::from(link_mbps(i));
            settings.data_centre = data_centre(i).to_owned();
            settings
        });
        let settings: Vec<_> = settings.collect();
        let instances = settings.iter().enumerate().map(|(own, settings)| {
            let mut steering = SteeringState::new(settings);
            for other in (0..all).filter(|other| *other != own) {
                let info = MemberInfo {
                    run: other as u64 + 1,
                    caller: ([10, 0, 0, 1], 1).into(),
                    peer: ([10, 0, 0, 2], other as u16).into(),
                    data_centre: data_centre(other).to_owned(),
                    link_mbps: link_mbps(other),
                };
                let name = format!("p-{other:04}");
                steering.peers.register(&name, info, at(0));
            }
            steering.on_plan(&plan, at(0));
            steering
        });
        Self {
            instances: instances.collect(),
            settings,
            relay_of: (0..all).map(|i| i % 4).collect(),
            admitted: Vec::new(),
            requests: 0,
            is_cut: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn exchange(&mut self, ms: u64) {
        let now = at(ms);
        for i in 0..self.instances.len() {
            let phase = i as u64 * 37;
            let is_due = |interval| ms % interval == phase % interval;
            if is_due(TICK_MS) {
                self.instances[i].tick(&self.settings[i], now);
            }
            let run = i as u64 + 1;
            let is_relay = self.instances[i].relays().includes_self;
            if is_relay && is_due(DATAGRAM_MS) {
                let name = &self.settings[i].instance;
                let datagram = self.instances[i].datagram(name, run, ms + 100, false);
                let is_cut = self.is_cut;
                let hears = |to: &usize| !is_cut || data_centre(*to) == data_centre(i);
                for to in (0..4).filter(|to| *to != i).filter(hears) {
                    self.instances[to].on_datagram(datagram.clone(), now);
                }
            }
            let poll_ms = if self.instances[i].listed_instances().includes_self {
                POLL_MS
            } else {
                UNLISTED_POLL_MS
            };
            if !is_relay && is_due(poll_ms) {
                let relay = self.relay_of[i];
                let mut request = RelayRequest {
                    run,
                    ..RelayRequest::default()
                };
                self.instances[i].fill_request(&mut request);
                self.instances[relay].on_relay_request(&request, now);
                let mut response = RelayResponse {
                    run: relay as u64 + 1,
                    ..RelayResponse::default()
                };
                self.instances[relay].fill_response(run, &mut response);
                self.instances[i].on_relay_response(&response, now);
            }
        }
    }

    /// Sends `per_s` requests per second, each to one of the first `to` instances by draw.
    fn run(&mut self, from_ms: u64, to_ms: u64, per_s: f64, to: usize) {
        for ms in from_ms..to_ms {
            self.exchange(ms);
            let mut due = per_s / 1_000.0;
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                self.requests += 1;
                let i = self.rng.random_range(0..to);
                if self.instances[i].quotas.admit(ACCOUNT, at(ms)).is_ok() {
                    self.admitted.push(ms);
                }
            }
        }
    }

    fn max_admitted_in_a_window(&self) -> usize {
        let ends = self.admitted.iter().enumerate();
        let counts =
            ends.map(|(i, ms)| i + 1 - self.admitted.partition_point(|at| at + WINDOW_MS <= *ms));
        counts.max().unwrap_or_default()
    }
}

/// Guards against unlisted instances that each admit requests beyond their credit as if only the listed
/// ones did, all of them at the same time.
#[test]
fn an_account_that_turns_hot_at_all_instances_stays_within_the_bound() {
    let cases = [
        (12, 64, 300.0),
        (12, 64, 60.0),
        (12, 64, 15.0),
        (12, 64, 5.0),
        (28, 296, 60.0),
    ];
    for (listed, all, rate) in cases {
        let mut fleet = Fleet::new(listed, all, rate, 1);
        fleet.run(0, 2_000, rate * 0.6, all);
        fleet.run(2_000, 7_000, rate * 8.0, all);
        let max = fleet.max_admitted_in_a_window();
        let allowed = rate * 6.0 * 1.1 + 20.0;
        assert!(
            max as f64 <= allowed,
            "{all} instances, rate {rate}: {max} of {allowed}"
        );
    }
}

#[test]
fn an_account_within_its_rate_is_rarely_refused_at_listed_instances() {
    for rate in [225.0, 60.0, 15.0] {
        let mut fleet = Fleet::new(12, 64, rate, 7);
        fleet.run(0, 12_000, rate / 1.6, 12);
        let refused = fleet.requests - fleet.admitted.len();
        assert!(
            refused * 50 <= fleet.requests,
            "rate {rate}: {refused} of {}",
            fleet.requests
        );
    }
}

/// Guards against relays that take what they have heard for the reports of all instances: each region
/// then admits the whole rate.
#[test]
fn regions_that_do_not_hear_of_each_other_share_the_rate_of_an_account() {
    let (listed, all, rate) = (12, 64, 60.0);
    let mut fleet = Fleet::new(listed, all, rate, 1);
    fleet.run(0, 3_000, rate * 0.6, all);
    fleet.is_cut = true;
    fleet.run(3_000, 4_000, rate * 0.6, all);
    fleet.run(4_000, 14_000, rate * 8.0, all);
    let max = fleet.max_admitted_in_a_window();
    let allowed = rate * 6.0 * 1.1 + 20.0;
    assert!(max as f64 <= allowed, "{max} of {allowed}");
}

/// Guards against usage that is charged twice after a cut: what was left to the other region, and what it
/// then reports.
#[test]
fn an_account_within_its_rate_is_served_when_a_cut_has_healed() {
    let (listed, all, rate) = (12, 64, 60.0);
    let mut fleet = Fleet::new(listed, all, rate, 1);
    fleet.run(0, 3_000, rate * 0.6, listed);
    fleet.is_cut = true;
    fleet.run(3_000, 13_000, rate * 0.9, listed);
    fleet.is_cut = false;
    let (requests, admitted) = (fleet.requests, fleet.admitted.len());
    fleet.run(13_000, 19_000, rate * 0.9, listed);
    let requests = fleet.requests - requests;
    let refused = requests - (fleet.admitted.len() - admitted);
    assert!(refused * 20 <= requests, "{refused} of {requests}");
}
