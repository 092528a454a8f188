//! Admissions of all instances together stay within burst + rate × window under crashes, pauses,
//! partitions, platform outages and lost, duplicated or delayed messages.

#[path = "support/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use std::time::Duration;

use apricotlug_model::{AccountKey, Bundle};
use apricotlug_policy::budget::{LeaseTerms, Share};
use fleet::{Faults, Fleet, Meter, bundle};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::RngExt;

const TICK_US: u64 = 100_000;
const RUN_TICKS: u64 = 900;
const ACCOUNTS: &[(&str, u32, u32)] = &[("large", 120, 60), ("small", 5, 7)];
const SMALLER_ACCOUNTS: &[(&str, u32, u32)] = &[("large", 50, 20), ("small", 2, 3)];
const SKEW: Duration = Duration::from_secs(1);
const TERMS: LeaseTerms = LeaseTerms {
    floor_permille: 400,
    floor_lease: Duration::from_secs(24),
    surplus_lease: Duration::from_secs(6),
};

/// Probabilities of faults and of lending per tick, and the load pattern.
#[derive(Clone, Copy, Debug, Default)]
struct Scenario {
    crash: f64,
    pause: f64,
    outage: f64,
    partition: f64,
    lend: f64,
    /// Seconds without and with load, in turn, so that buckets fill and are then emptied.
    idle_s: u64,
    busy_s: u64,
}

impl Scenario {
    fn is_busy(self, time: u64) -> bool {
        time / 1_000_000 % (self.idle_s + self.busy_s) >= self.idle_s
    }
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let odds = || prop_oneof![Just(0.0), 0.0..0.02];
    let lend = prop_oneof![Just(0.0), Just(0.9)];
    (odds(), odds(), odds(), odds(), lend, 0..5_u64, 1..4_u64).prop_map(
        |(crash, pause, outage, partition, lend, idle_s, busy_s)| Scenario {
            crash,
            pause,
            outage,
            partition,
            lend,
            idle_s,
            busy_s,
        },
    )
}

fn faults() -> impl Strategy<Value = Faults> {
    let odds = || prop_oneof![Just(0.0), 0.0..0.6];
    (
        odds(),
        odds(),
        odds(),
        odds(),
        odds(),
        0..8_000_u64,
        any::<bool>(),
    )
        .prop_map(
            |(loss, duplication, delayed_write, lost_response, stale_read, delay_ms, is_skewed)| {
                Faults {
                    loss,
                    duplication,
                    delayed_write,
                    lost_response,
                    stale_read,
                    is_lending_only: false,
                    max_delay: Duration::from_millis(delay_ms),
                    skew: if is_skewed { SKEW } else { Duration::ZERO },
                }
            },
        )
}

fn inject_faults(fleet: &mut Fleet, scenario: Scenario) {
    let dcs = fleet.cut_off.len();
    let running = fleet.running();
    if !running.is_empty() && fleet.rng.random_bool(scenario.crash) {
        let i = running[fleet.rng.random_range(0..running.len())];
        let dc = fleet.instances[i].data_centre;
        if fleet.rng.random_bool(0.7) {
            fleet.crash(i);
        } else {
            let now = fleet.instances[i].now(fleet.time);
            fleet.instances[i].budgets.leave(now.mono);
        }
        fleet.start(dc);
    }
    if !running.is_empty() && fleet.rng.random_bool(scenario.pause) {
        let i = running[fleet.rng.random_range(0..running.len())];
        fleet.instances[i].paused_until = fleet.time + fleet.rng.random_range(0..30_000_000);
    }
    if fleet.rng.random_bool(scenario.outage) {
        fleet.platform.is_up = !fleet.platform.is_up;
    }
    if fleet.rng.random_bool(scenario.partition) {
        let dc = fleet.rng.random_range(0..dcs);
        fleet.cut_off[dc] = !fleet.cut_off[dc];
    }
}

fn lend_tokens(fleet: &mut Fleet, scenario: Scenario) {
    let running = fleet.running();
    if running.len() < 2 || !fleet.rng.random_bool(scenario.lend) {
        return;
    }
    let from = running[fleet.rng.random_range(0..running.len())];
    let to = running[fleet.rng.random_range(0..running.len())];
    let account = AccountKey(fleet.rng.random_range(0..2));
    let tokens = fleet.rng.random_range(0..30);
    if from != to {
        fleet.lend(from, to, account, tokens);
    }
}

/// Requests admissions until refused, at 70% of the running instances.
fn admit_all(fleet: &mut Fleet, meters: &mut [Meter]) {
    for i in fleet.running() {
        if fleet.rng.random_bool(0.3) {
            continue;
        }
        for (key, meter) in (0..).map(AccountKey).zip(meters.iter_mut()) {
            while fleet.admit(i, key) {
                meter.charge(fleet.time);
            }
        }
    }
}

fn tick(fleet: &mut Fleet, scenario: Scenario) {
    inject_faults(fleet, scenario);
    fleet.deliver();
    lend_tokens(fleet, scenario);
    if (fleet.time / TICK_US).is_multiple_of(5) {
        fleet.report();
    }
    let running = fleet.running();
    for i in running {
        fleet.acknowledge(i);
        if fleet.rng.random_bool(0.1) {
            fleet.write(i);
        }
    }
}

fn check_sum(fleet: &Fleet, bundle: &Bundle) {
    for (key, account) in bundle.accounts.iter() {
        let held = fleet.held(key);
        let budget = Share::budget_of(account);
        assert!(
            held.fits(budget),
            "{held:?} held of {budget:?} at {}",
            fleet.time
        );
    }
}

fn run(sizes: &[usize], scenario: Scenario, faults: Faults, seed: u64) -> u64 {
    let bundle = bundle(1, ACCOUNTS);
    let mut fleet = Fleet::new(sizes, bundle.clone(), TERMS, faults, seed);
    let mut meters: Vec<Meter> = ACCOUNTS
        .iter()
        .map(|(_, rate, burst)| Meter::new(*rate, *burst, 0))
        .collect();
    for _ in 0..RUN_TICKS {
        tick(&mut fleet, scenario);
        check_sum(&fleet, &bundle);
        if scenario.is_busy(fleet.time) {
            admit_all(&mut fleet, &mut meters);
        }
        check_sum(&fleet, &bundle);
        fleet.time += TICK_US;
    }
    meters.iter().map(|meter| meter.excess).sum()
}

/// Distributes a bundle with smaller budgets during a run. The old budgets bound the sum until all
/// live processes have installed the bundle; from then on the new ones do.
fn run_with_smaller_budgets(sizes: &[usize], scenario: Scenario, faults: Faults, seed: u64) {
    let (old, new) = (bundle(1, ACCOUNTS), bundle(2, SMALLER_ACCOUNTS));
    let mut fleet = Fleet::new(sizes, old.clone(), TERMS, faults, seed);
    let mut meters = vec![Meter::new(1_000, 1_000, 0); ACCOUNTS.len()];
    for i in 0..RUN_TICKS / 2 {
        tick(&mut fleet, scenario);
        if i == RUN_TICKS / 8 {
            fleet.bundle = new.clone();
        }
        for i in fleet.running() {
            let is_old = fleet.instances[i].bundle.version < fleet.bundle.version;
            if is_old && fleet.rng.random_bool(0.02) {
                fleet.install_bundle(i, &new);
            }
        }
        let mut alive = fleet.instances.iter().filter(|i| i.is_alive);
        let have_all = alive.all(|i| i.bundle.version == new.version);
        check_sum(&fleet, if have_all { &new } else { &old });
        admit_all(&mut fleet, &mut meters);
        fleet.time += TICK_US;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..ProptestConfig::default()
    })]

    #[test]
    fn fleet_never_admits_more_than_the_budget(
        sizes in prop::collection::vec(1..4_usize, 1..5),
        scenario in scenario(),
        faults in faults(),
        seed: u64,
    ) {
        prop_assert_eq!(run(&sizes, scenario, faults, seed), 0);
    }

    #[test]
    fn lending_never_creates_tokens(
        sizes in prop::collection::vec(1..4_usize, 2..4),
        idle_s in 3..7_u64,
        loss in 0.0..0.3,
        duplication in 0.0..0.5,
        delay_ms in 0..4_000_u64,
        seed: u64,
    ) {
        let scenario = Scenario { lend: 1.0, idle_s, busy_s: 2, ..Scenario::default() };
        let faults = Faults {
            loss,
            duplication,
            is_lending_only: true,
            max_delay: Duration::from_millis(delay_ms),
            skew: SKEW,
            ..Faults::default()
        };
        prop_assert_eq!(run(&sizes, scenario, faults, seed), 0);
    }

    #[test]
    fn smaller_budget_holds_once_all_instances_have_it(
        sizes in prop::collection::vec(1..4_usize, 1..5),
        scenario in scenario(),
        faults in faults(),
        seed: u64,
    ) {
        run_with_smaller_budgets(&sizes, scenario, faults, seed);
    }
}
