//! Bounds that all instances share: rates of client accounts, retries, cold backend servers.

use std::time::Duration;

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{AgainBudget, ColdGate, Quotas, Tick};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const TICK_MS: u64 = 150;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 60_000))
}

/// Instances that hear each other a little late.
struct Fleet {
    quotas: Vec<Quotas>,
    reports: Vec<(u64, usize, u64, f64)>,
    admitted: Vec<u64>,
}

impl Fleet {
    fn new(instances: usize, rate: f64, burst: f64, since_ms: Option<u64>) -> Self {
        let starts_full = since_ms.is_none();
        let quotas = (0..instances).map(|_| {
            let mut quotas = Quotas::new(WINDOW, OVERAGE, SLACK, starts_full);
            quotas.set("shop", rate, burst, at(since_ms.unwrap_or(0)));
            quotas
        });
        Self {
            quotas: quotas.collect(),
            reports: Vec::new(),
            admitted: Vec::new(),
        }
    }

    /// Runs for a span with so many requests a second, of which each instance gets its part.
    fn run(
        &mut self,
        from_ms: u64,
        to_ms: u64,
        per_s: f64,
        parts: &[f64],
        rng: &mut SmallRng,
    ) -> u64 {
        let n = self.quotas.len();
        let mut asked = 0;
        for ms in from_ms..to_ms {
            let now = at(ms);
            for (i, quotas) in self.quotas.iter_mut().enumerate() {
                if ms % TICK_MS == (i as u64 * 13) % TICK_MS {
                    quotas.tick(
                        Tick {
                            instances: n,
                            silent: 0,
                            is_told: false,
                        },
                        now,
                    );
                    let (_, total, demand) = quotas.totals(|_| false).next().unwrap();
                    self.reports
                        .push((ms + rng.random_range(1..400), i, total, demand));
                }
            }
            let due: Vec<_> = self.reports.extract_if(.., |(at, ..)| *at == ms).collect();
            for (_, from, total, demand) in due {
                for (i, quotas) in self.quotas.iter_mut().enumerate() {
                    if i != from {
                        quotas.on_report(from as u64, "shop", total, demand, false);
                    }
                }
            }
            for (quotas, part) in self.quotas.iter_mut().zip(parts) {
                if rng.random::<f64>() < per_s * part / 1_000.0 {
                    asked += 1;
                    if quotas.admit("shop", now).is_ok() {
                        self.admitted.push(ms);
                    }
                }
            }
        }
        asked
    }

    fn most_in_a_window(&self) -> usize {
        let window = WINDOW.as_millis() as u64;
        let ends = self.admitted.iter().enumerate();
        ends.map(|(i, ms)| {
            let first = self.admitted.partition_point(|at| at + window <= *ms);
            i + 1 - first
        })
        .max()
        .unwrap_or_default()
    }
}

fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * 5.0 + burst) * (1.0 + OVERAGE) + SLACK
}

#[test]
fn an_account_far_over_its_rate_stays_within_the_bound_over_all_instances() {
    let even = [1.0 / 9.0; 9];
    let skewed = [0.6, 0.1, 0.1, 0.05, 0.05, 0.04, 0.03, 0.02, 0.01];
    for seed in 0..12 {
        for (rate, burst) in [(200.0, 200.0), (30.0, 30.0), (5.0, 5.0)] {
            for parts in [&even, &skewed] {
                let mut rng = SmallRng::seed_from_u64(seed);
                let mut fleet = Fleet::new(9, rate, burst, None);
                fleet.run(0, 12_000, rate * 8.0, parts, &mut rng);
                let most = fleet.most_in_a_window() as f64;
                assert!(
                    most <= allowed(rate, burst),
                    "seed {seed}, rate {rate}: {most}"
                );
            }
        }
    }
}

#[test]
fn an_account_within_its_rate_is_hardly_ever_refused() {
    for (rate, burst) in [(200.0, 200.0), (30.0, 30.0), (5.0, 5.0)] {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut fleet = Fleet::new(9, rate, burst, None);
        let asked = fleet.run(0, 20_000, rate / 1.6, &[1.0 / 9.0; 9], &mut rng);
        let refused = asked - fleet.admitted.len() as u64;
        assert!(refused * 50 <= asked, "rate {rate}: {refused} of {asked}");
    }
}

#[test]
fn instances_that_all_start_again_do_not_give_the_burst_twice() {
    let (rate, burst) = (200.0, 200.0);
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(9, rate, burst, None);
        fleet.run(0, 3_000, rate * 8.0, &[1.0 / 9.0; 9], &mut rng);
        let mut again = Fleet::new(9, rate, burst, Some(3_500));
        again.admitted = std::mem::take(&mut fleet.admitted);
        again.run(3_500, 9_000, rate * 8.0, &[1.0 / 9.0; 9], &mut rng);
        let most = again.most_in_a_window() as f64;
        assert!(most <= allowed(rate, burst), "seed {seed}: {most}");
    }
}

#[test]
fn an_instance_that_hears_nobody_spends_only_its_part() {
    let mut quotas = Quotas::new(WINDOW, OVERAGE, SLACK, true);
    quotas.set("shop", 100.0, 100.0, at(0));
    let mut admitted = 0;
    for ms in 0..10_000 {
        if ms % TICK_MS == 0 {
            quotas.tick(
                Tick {
                    instances: 9,
                    silent: 8,
                    is_told: false,
                },
                at(ms),
            );
        }
        admitted += u64::from(quotas.admit("shop", at(ms)).is_ok());
    }
    let even = (100.0 * 10.0 + 100.0) / 9.0;
    assert!(admitted as f64 <= even * 4.0, "{admitted}");
}

#[test]
fn an_account_without_a_limit_is_never_refused() {
    let mut quotas = Quotas::new(WINDOW, OVERAGE, SLACK, true);
    quotas.set("free", 0.0, 0.0, at(0));
    assert!((0..10_000).all(|_| quotas.admit("free", at(1)).is_ok()));
    assert!(quotas.admit("not in the plan", at(1)).is_ok());
}

#[test]
fn retries_of_all_instances_stay_within_ratio_and_slack() {
    let instances = 9;
    let window = Duration::from_secs(10);
    let mut budgets = vec![AgainBudget::new(window, 0.2, 58.0); instances];
    let (mut requests, mut again) = (0, 0);
    for ms in 0..10_000 {
        let budget = &mut budgets[ms as usize % instances];
        budget.on_request(at(ms));
        requests += 1;
        again += u32::from(budget.take(at(ms), instances));
    }
    assert!(f64::from(again) <= f64::from(requests) * 0.2 + 58.0);
    assert!(f64::from(again) >= f64::from(requests) * 0.1);
}

#[test]
fn a_quiet_service_may_still_retry_out_of_the_slack() {
    let mut budget = AgainBudget::new(Duration::from_secs(10), 0.2, 58.0);
    budget.on_request(at(0));
    assert!(budget.take(at(0), 9));
    let taken = (0..100).filter(|_| budget.take(at(1), 9)).count();
    assert!((1..7).contains(&taken), "{taken}");
    assert!(budget.take(at(20_000), 9), "an old window is forgotten");
}

#[test]
fn a_cold_backend_server_gets_no_more_than_it_bears_from_all_instances() {
    for (instances, rate) in [(1, 13.0), (9, 13.0), (90, 13.0), (8, 5.2), (64, 2.0)] {
        let mut gates = vec![ColdGate::default(); instances];
        gates.iter_mut().for_each(|gate| gate.set(at(10_000)));
        let mut sent = Vec::new();
        for ms in 0..5_000 {
            for (place, gate) in gates.iter_mut().enumerate() {
                if gate.may_send(at(ms), rate, instances, place) {
                    gate.on_send(at(ms), rate, instances);
                    sent.push(ms);
                }
            }
        }
        let most = sent.iter().map(|ms| {
            sent.iter()
                .filter(|other| (*ms..*ms + 1_000).contains(*other))
                .count()
        });
        let most = most.max().unwrap_or_default();
        assert!(
            most as f64 <= rate * 1.5 + 5.0,
            "{instances} instances: {most}"
        );
        assert!(!sent.is_empty());
    }
}

#[test]
fn a_warm_backend_server_is_not_held_back() {
    let gate = ColdGate::default();
    assert!(gate.may_send(at(0), 13.0, 9, 8));
}

#[test]
fn an_account_that_was_told_too_much_is_refused_for_one_window_at_most() {
    let mut quotas = Quotas::new(WINDOW, OVERAGE, SLACK, true);
    quotas.set("shop", 20.0, 20.0, at(0));
    quotas.on_report(1, "shop", 0, 1.0, true);
    quotas.on_report(1, "shop", 1_000_000, 1.0, false);
    let tick = Tick {
        instances: 1,
        silent: 0,
        is_told: true,
    };
    quotas.tick(tick, at(4_000));
    assert!(quotas.admit("shop", at(4_000)).is_err());
    for ms in [5_500, 5_650, 5_800] {
        quotas.tick(tick, at(ms));
    }
    assert!(quotas.admit("shop", at(5_900)).is_ok());
}
