//! Instances that change between relay and relay client. Guards against figures that are counted
//! twice because two messages report them.

use std::time::Duration;

use apricotlug_config::{SiteSettings, parse_site};
use apricotlug_model::{MonoTime, Plan, PlanAccount};
use apricotlug_steer::{Ask, Gate, MemberInfo, Pulse, Spent, Told};

const SETTINGS: &str = include_str!("../../../examples/steer.toml");
const ACCOUNT: &str = "movers";
const OTHER: u64 = 7;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 10_000))
}

fn settings() -> SiteSettings {
    parse_site("steer.toml", SETTINGS).unwrap()
}

/// State of a relay among twenty instances.
fn relay() -> Gate {
    let settings = settings();
    let mut gate = Gate::new(&settings);
    let mut plan = Plan::default();
    plan.accounts.push(PlanAccount {
        id: ACCOUNT.to_owned(),
        priority: 0,
        rate: 100.0,
        burst: 100.0,
        homes: Vec::new(),
    });
    gate.on_plan(&plan, at(0));
    for run in 1..=20 {
        let info = MemberInfo {
            run,
            caller: ([10, 0, 0, 1], run as u16).into(),
            peer: ([10, 0, 0, 2], run as u16).into(),
            data_centre: "brest-a".to_owned(),
            link_mbps: 10,
        };
        gate.peers.list(&format!("p-{run:02}"), info, at(0));
    }
    gate.tick(&settings, at(0));
    gate
}

fn spent(admitted: u64) -> Vec<Spent> {
    // The account's hash is taken from a datagram of the relay itself.
    let told = relay().pulse("x", 0, 1, false);
    vec![Spent {
        admitted,
        ..told.spent[0]
    }]
}

fn pulse(sequence: u64, admitted: u64) -> Pulse {
    Pulse {
        name: format!("p-{OTHER:02}"),
        run: OTHER,
        sequence,
        spent: spent(admitted),
        ..Pulse::default()
    }
}

fn ask(admitted: u64) -> Ask {
    Ask {
        run: OTHER,
        spent: spent(admitted),
        ..Ask::default()
    }
}

/// Returns the requests that the relay reports to other relays, and those it reports to a client.
fn told(gate: &Gate) -> (u64, u64) {
    let mut told = Told::default();
    gate.tell(99, &mut told);
    let pulse = gate.pulse("x", 0, 1, false);
    (pulse.spent[0].admitted, told.spent[0].admitted)
}

#[test]
fn what_a_relay_told_itself_is_not_told_again_when_it_asks() {
    let mut gate = relay();
    gate.on_pulse(pulse(101, 10), at(100));
    gate.on_pulse(pulse(102, 510), at(500));
    assert_eq!(told(&gate), (0, 500));
    // Of the 510 requests it reported as a relay, 40 are its own.
    gate.on_ask(&ask(40), at(900));
    gate.on_ask(&ask(45), at(1_300));
    let (to_relays, _) = told(&gate);
    assert_eq!(to_relays, 5, "other relays have heard of the rest already");
}

#[test]
fn an_instance_that_becomes_a_relay_speaks_for_itself_from_then_on() {
    let mut gate = relay();
    gate.on_ask(&ask(40), at(100));
    gate.on_ask(&ask(60), at(500));
    assert_eq!(told(&gate).0, 20);
    gate.on_pulse(pulse(101, 60), at(900));
    gate.on_pulse(pulse(102, 160), at(1_300));
    assert_eq!(told(&gate).0, 20, "its datagrams reach the others too");
    assert_eq!(told(&gate).1, 120);
}

#[test]
fn what_older_instances_spent_before_they_were_heard_is_not_held_against_an_account() {
    let settings = settings();
    for (sequence, is_refused) in [(400, false), (3, true)] {
        let mut gate = relay();
        // Run 7 has been silent for too long, or has never sent a datagram.
        gate.tick(&settings, at(2_500));
        gate.on_pulse(pulse(sequence, 90_000), at(3_000));
        gate.tick(&settings, at(3_150));
        let is_admitted = gate.quotas.admit(ACCOUNT, at(3_200)).is_ok();
        assert_eq!(is_admitted, !is_refused, "datagram {sequence}");
    }
}
