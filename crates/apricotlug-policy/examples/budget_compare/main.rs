//! Compares schemes that enforce client accounts' budgets over all instances, under the same load
//! from a fixed seed in virtual time:
//! `cargo run --release -p apricotlug-policy --example budget_compare`.

#[path = "../../tests/support/fleet.rs"]
#[allow(dead_code)]
mod fleet;
mod load;
mod schemes;

use std::time::Duration;

use apricotlug_policy::budget::LeaseTerms;

use crate::{
    fleet::Meter,
    load::{
        Arrival, EVENTS, Event, LONG_OUTAGE, ONE_CRASH, PHASES, SECOND, USERS, User, all_killed,
        arrivals,
    },
    schemes::{Scheme, World},
};

const RUN_S: u64 = 600;
const LONG_RUN_S: u64 = 1_500;
const TICK_US: u64 = 10_000;
const WINDOW_S: u64 = 10;
const SEED: u64 = 20_261_204;

/// Results of one run.
struct Outcome {
    /// Admissions beyond the budget.
    excess: u64,
    /// Admissions of one exact bucket per account, by window and account.
    ideal: Vec<Vec<u64>>,
    /// Admissions of the scheme, by window and account.
    actual: Vec<Vec<u64>>,
    /// Platform calls, platform bytes, and messages between peers.
    cost: (u64, u64, u64),
}

impl Outcome {
    /// Returns the percentage of the ideal admissions that the scheme missed between two times,
    /// over the given accounts.
    fn missed(&self, accounts: &[usize], from_s: u64, to_s: u64) -> f64 {
        let windows = (from_s / WINDOW_S) as usize..(to_s / WINDOW_S) as usize;
        let (mut ideal, mut missed) = (0, 0);
        for window in windows {
            for account in accounts {
                ideal += self.ideal[window][*account];
                missed +=
                    self.ideal[window][*account].saturating_sub(self.actual[window][*account]);
            }
        }
        100.0 * missed as f64 / ideal.max(1) as f64
    }

    fn worst(&self, accounts: &[usize]) -> f64 {
        accounts
            .iter()
            .map(|account| self.missed(&[*account], 30, RUN_S))
            .fold(0.0, f64::max)
    }
}

fn apply_event(event: Event, world: &mut World, scheme: &mut Scheme) {
    match event {
        Event::Crash(slot) => {
            world.is_alive[slot] = false;
            scheme.crash(slot);
        }
        Event::Start(slot) => {
            world.is_alive[slot] = true;
            scheme.restart(slot, world);
        }
        Event::Platform(is_up) => world.is_up = is_up,
        Event::Link(dc, is_linked) => world.is_linked[dc] = is_linked,
    }
}

/// Returns the instance that an arrival goes to: one of its data centre, or of the next data centre
/// with a running instance.
fn instance_of(arrival: &Arrival, world: &World) -> usize {
    let dcs = world.is_linked.len();
    for i in 0..dcs {
        let dc = (arrival.data_centre + i) % dcs;
        let slots: Vec<usize> = (0..world.is_alive.len())
            .filter(|slot| world.is_alive[*slot] && world.data_centre_of[*slot] == dc)
            .collect();
        if !slots.is_empty() {
            return slots[arrival.pick % slots.len()];
        }
    }
    0
}

fn run(user: &User, mut scheme: Scheme, load: &[Arrival], events: &[(u64, Event)]) -> Outcome {
    let run_s = load
        .last()
        .map_or(0, |arrival| arrival.time / SECOND + 1)
        .next_multiple_of(WINDOW_S);
    let accounts = user.accounts.len();
    let meters = || -> Vec<Meter> {
        let meter = |(_, rate, burst): &(_, u32, u32)| Meter::new(*rate, *burst, 0);
        user.accounts.iter().map(meter).collect()
    };
    let (mut ideal, mut actual) = (meters(), meters());
    let mut world = World::new(user);
    let none = vec![vec![0; accounts]; (run_s / WINDOW_S) as usize];
    let mut outcome = Outcome {
        excess: 0,
        ideal: none.clone(),
        actual: none,
        cost: (0, 0, 0),
    };
    let (mut next, mut next_event) = (0, 0);
    for tick in 0..run_s * SECOND / TICK_US {
        world.time = tick * TICK_US;
        while next_event < events.len() && events[next_event].0 * SECOND <= world.time {
            apply_event(events[next_event].1, &mut world, &mut scheme);
            next_event += 1;
        }
        scheme.tick(&world);
        let end = world.time + TICK_US;
        while next < load.len() && load[next].time < end {
            let arrival = &load[next];
            next += 1;
            world.time = arrival.time;
            let window = (arrival.time / SECOND / WINDOW_S) as usize;
            let account = arrival.account;
            outcome.ideal[window][account] += u64::from(ideal[account].take(arrival.time));
            let slot = instance_of(arrival, &world);
            if scheme.admit(slot, account, &world) {
                outcome.actual[window][account] += 1;
                actual[account].charge(arrival.time);
            }
        }
    }
    outcome.excess = actual.iter().map(|meter| meter.excess).sum();
    outcome.cost = scheme.cost();
    outcome
}

fn print_row(name: &str, outcome: &Outcome, crash: &Outcome, calm: &Outcome) {
    let all: Vec<usize> = (0..outcome.ideal[0].len()).collect();
    let phases: String = PHASES
        .iter()
        .map(|(_, from, to)| format!(" {:6.2} |", outcome.missed(&all, *from, *to)))
        .collect();
    let by_crash = crash.missed(&all, 100, 300) - calm.missed(&all, 100, 300);
    println!(
        "| {name:26} | {:4} | {:6.2} | {:6.2} |{phases} {by_crash:6.2} | {:7.1} | {:7.0} | {:6.1} |",
        outcome.excess,
        outcome.missed(&all, 30, RUN_S),
        outcome.worst(&all),
        outcome.cost.0 as f64 / RUN_S as f64,
        outcome.cost.1 as f64 / RUN_S as f64,
        outcome.cost.2 as f64 / RUN_S as f64,
    );
}

/// Prints the missed admissions of each client account with [`LeaseTerms::DEFAULT`].
fn print_accounts(user: &User, load: &[Arrival]) {
    let scheme = Scheme::shared(user, LeaseTerms::DEFAULT, true, SEED);
    let outcome = run(user, scheme, load, EVENTS);
    println!("\nBy client account, default terms, missed in % of ideal\n");
    println!("| rate | burst | calm | outage | whole run |");
    println!("|---|---|---|---|---|");
    for (account, (_, rate, burst)) in user.accounts.iter().enumerate() {
        println!(
            "| {rate} | {burst} | {:.2} | {:.2} | {:.2} |",
            outcome.missed(&[account], 30, 100),
            outcome.missed(&[account], 320, 440),
            outcome.missed(&[account], 30, RUN_S),
        );
    }
}

/// Prints the missed admissions of a 1200 s platform outage and of a crash of all processes, by
/// floor fraction and floor lease.
fn print_long_events(user: &User) {
    let load = arrivals(user, LONG_RUN_S, SEED);
    let all: Vec<usize> = (0..user.accounts.len()).collect();
    println!("\nLong events, missed in % of ideal from 100 s to {LONG_RUN_S} s\n");
    println!("| floor, lease | platform outage of 1200 s | all processes killed at 100 s |");
    println!("|---|---|---|");
    for (permille, lease) in [
        (500, 300),
        (500, 900),
        (900, 300),
        (900, 900),
        (900, 1_800),
        (1_000, 900),
    ] {
        let missed = |events: &[(u64, Event)]| {
            let scheme = Scheme::shared(user, terms(permille, lease, 10), true, SEED);
            run(user, scheme, &load, events).missed(&all, 100, LONG_RUN_S)
        };
        let outage = missed(LONG_OUTAGE);
        let killed = missed(&all_killed(user));
        let floor = permille as f64 / 1_000.0;
        println!("| {floor:.1}, {lease} s | {outage:.2} | {killed:.2} |");
    }
}

fn terms(floor_permille: u64, floor_lease: u64, surplus_lease: u64) -> LeaseTerms {
    LeaseTerms {
        floor_permille,
        floor_lease: Duration::from_secs(floor_lease),
        surplus_lease: Duration::from_secs(surplus_lease),
    }
}

type Row = (String, Box<dyn Fn(&User) -> Scheme>);

fn rows() -> Vec<Row> {
    let mut rows: Vec<Row> = vec![
        ("fixed split".into(), Box::new(Scheme::fixed)),
        (
            "central, each request".into(),
            Box::new(|user| Scheme::central(user, false)),
        ),
        (
            "central, batch of 100 ms".into(),
            Box::new(|user| Scheme::central(user, true)),
        ),
        (
            "owner, lease 10 s".into(),
            Box::new(|user| Scheme::owner(user, 10)),
        ),
        (
            "owner, lease 300 s".into(),
            Box::new(|user| Scheme::owner(user, 300)),
        ),
    ];
    let mut shared = |permille: u64, floor_lease: u64, surplus_lease: u64, has_lending: bool| {
        let suffix = if has_lending { " +peers" } else { "" };
        let floor = permille as f64 / 1_000.0;
        rows.push((
            format!("floor {floor:.1} {floor_lease}/{surplus_lease} s{suffix}"),
            Box::new(move |user| {
                let terms = terms(permille, floor_lease, surplus_lease);
                Scheme::shared(user, terms, has_lending, SEED)
            }),
        ));
    };
    for permille in [100, 500, 900] {
        shared(permille, 300, 10, false);
    }
    for permille in (100..=1_000).step_by(100) {
        shared(permille, 300, 10, true);
    }
    for floor_lease in [30, 60, 120, 600, 1_200] {
        shared(900, floor_lease, 10, true);
    }
    for surplus_lease in [5, 20, 40] {
        shared(900, 300, surplus_lease, true);
    }
    rows
}

fn main() {
    for user in &USERS {
        let load = arrivals(user, RUN_S, SEED);
        let phases: String = PHASES
            .iter()
            .map(|phase| format!(" {:6} |", phase.0))
            .collect();
        println!("\n{}: {} arrivals in {RUN_S} s\n", user.name, load.len());
        println!(
            "| {:26} | over | missed | worst  |{phases} 1crash | calls/s | bytes/s | peer/s |",
            "scheme, missed % of ideal"
        );
        println!("|{}", "---|".repeat(8 + PHASES.len()));
        for (name, build) in rows() {
            let outcome = run(user, build(user), &load, EVENTS);
            let crash = run(user, build(user), &load, ONE_CRASH);
            let calm = run(user, build(user), &load, &[]);
            print_row(&name, &outcome, &crash, &calm);
        }
        print_accounts(user, &load);
        print_long_events(user);
    }
}
