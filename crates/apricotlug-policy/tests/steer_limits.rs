//! Limits over all instances together: rates of client accounts, retries, cold backend servers.

use std::time::Duration;

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{
    ColdGate, KnownInstance, LimitShare, Quotas, ReportDelay, ReportInterval, ServiceRetryBudget,
    usable_cold_rate,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const TICK_MS: u64 = 150;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 60_000))
}

/// Instances whose reports to each other arrive with a random delay.
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

    /// Sends `per_s` requests per second from `from_ms` to `to_ms`, of which each instance gets its
    /// share. Returns the number of requests sent.
    fn run(
        &mut self,
        from_ms: u64,
        to_ms: u64,
        per_s: f64,
        shares: &[f64],
        rng: &mut SmallRng,
    ) -> u64 {
        let n = self.quotas.len();
        let mut requests = 0;
        for ms in from_ms..to_ms {
            let now = at(ms);
            for (i, quotas) in self.quotas.iter_mut().enumerate() {
                if ms % TICK_MS == (i as u64 * 13) % TICK_MS {
                    quotas.tick(
                        ReportInterval {
                            instances: n,
                            spenders: n,
                            own_index: 0,
                            unreported: 0,
                            has_full_reports: false,
                            delay: ReportDelay::Direct,
                        },
                        now,
                    );
                    let (_, total, demand) = quotas.admitted_totals(|_| false).next().unwrap();
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
            for (quotas, share) in self.quotas.iter_mut().zip(shares) {
                if rng.random::<f64>() < per_s * share / 1_000.0 {
                    requests += 1;
                    if quotas.admit("shop", now).is_ok() {
                        self.admitted.push(ms);
                    }
                }
            }
        }
        requests
    }

    fn max_admitted_in_a_window(&self) -> usize {
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
            for shares in [&even, &skewed] {
                let mut rng = SmallRng::seed_from_u64(seed);
                let mut fleet = Fleet::new(9, rate, burst, None);
                fleet.run(0, 12_000, rate * 8.0, shares, &mut rng);
                let max = fleet.max_admitted_in_a_window() as f64;
                assert!(
                    max <= allowed(rate, burst),
                    "seed {seed}, rate {rate}: {max}"
                );
            }
        }
    }
}

#[test]
fn an_account_within_its_rate_is_rarely_refused() {
    for (rate, burst) in [(200.0, 200.0), (30.0, 30.0), (5.0, 5.0)] {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut fleet = Fleet::new(9, rate, burst, None);
        let requests = fleet.run(0, 20_000, rate / 1.6, &[1.0 / 9.0; 9], &mut rng);
        let refused = requests - fleet.admitted.len() as u64;
        assert!(
            refused * 50 <= requests,
            "rate {rate}: {refused} of {requests}"
        );
    }
}

#[test]
fn a_restart_of_all_instances_does_not_grant_the_burst_twice() {
    let (rate, burst) = (200.0, 200.0);
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(9, rate, burst, None);
        fleet.run(0, 3_000, rate * 8.0, &[1.0 / 9.0; 9], &mut rng);
        let mut restarted = Fleet::new(9, rate, burst, Some(3_500));
        restarted.admitted = std::mem::take(&mut fleet.admitted);
        restarted.run(3_500, 9_000, rate * 8.0, &[1.0 / 9.0; 9], &mut rng);
        let max = restarted.max_admitted_in_a_window() as f64;
        assert!(max <= allowed(rate, burst), "seed {seed}: {max}");
    }
}

#[test]
fn an_instance_without_reports_admits_only_its_share() {
    let mut quotas = Quotas::new(WINDOW, OVERAGE, SLACK, true);
    quotas.set("shop", 100.0, 100.0, at(0));
    let mut admitted = 0;
    for ms in 0..10_000 {
        if ms % TICK_MS == 0 {
            quotas.tick(
                ReportInterval {
                    instances: 9,
                    spenders: 9,
                    own_index: 0,
                    unreported: 8,
                    has_full_reports: false,
                    delay: ReportDelay::Direct,
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
    let mut budgets = vec![ServiceRetryBudget::new(window, 0.2, 58.0); instances];
    let (mut requests, mut retries) = (0, 0);
    for ms in 0..10_000 {
        let budget = &mut budgets[ms as usize % instances];
        budget.on_request(at(ms));
        requests += 1;
        retries += u32::from(budget.try_take(at(ms), 1.0 / instances as f64));
    }
    assert!(f64::from(retries) <= f64::from(requests) * 0.2 + 58.0);
    assert!(f64::from(retries) >= f64::from(requests) * 0.1);
}

#[test]
fn a_service_with_few_requests_may_retry_within_the_slack() {
    let mut budget = ServiceRetryBudget::new(Duration::from_secs(10), 0.2, 58.0);
    budget.on_request(at(0));
    assert!(budget.try_take(at(0), 1.0 / 9.0));
    let taken = (0..100)
        .filter(|_| budget.try_take(at(1), 1.0 / 9.0))
        .count();
    assert!((1..7).contains(&taken), "{taken}");
    assert!(
        budget.try_take(at(20_000), 1.0 / 9.0),
        "an old window is forgotten"
    );
}

/// Shares of instances of one region that all know each other.
fn shares(instances: usize, now: MonoTime) -> Vec<LimitShare> {
    let names: Vec<_> = (0..instances).map(|i| format!("p-{i}")).collect();
    let known = names
        .iter()
        .map(|name| KnownInstance::new(name, "west", true));
    let known: Vec<_> = known.collect();
    let shares = names.iter().map(|own| {
        let mut share = LimitShare::default();
        share.on_entered(now.before(Duration::from_secs(1)));
        share.on_read(now.before(Duration::from_secs(1)));
        share.on_read(now);
        share.update(own, known.clone(), ["west"].into_iter(), now);
        share
    });
    shares.collect()
}

#[test]
fn a_cold_backend_server_gets_no_more_than_its_permitted_rate_from_all_instances() {
    for (instances, rate) in [(1, 13.0), (9, 13.0), (90, 13.0), (8, 5.2), (64, 2.0)] {
        let shares = shares(instances, at(0));
        let usable = usable_cold_rate(rate, 1.5, 5.0);
        let mut gates = vec![ColdGate::default(); instances];
        for (gate, share) in gates.iter_mut().zip(&shares) {
            gate.set_cold_until(at(10_000));
            gate.update(at(0), 77, "west", share);
        }
        let mut sent = Vec::new();
        for ms in 0..5_000 {
            for (gate, share) in gates.iter_mut().zip(&shares) {
                if gate.may_send(at(ms), usable, "west", share) {
                    gate.on_send(at(ms), usable, "west", share);
                    sent.push(ms);
                }
            }
        }
        let max = sent.iter().map(|ms| {
            sent.iter()
                .filter(|other| (*ms..*ms + 1_000).contains(*other))
                .count()
        });
        let max = max.max().unwrap_or_default();
        assert!(
            max as f64 <= rate * 1.5 + 5.0,
            "{instances} instances: {max}"
        );
        let used = sent.len() as f64 / 5.0;
        assert!(
            used >= usable * 0.9,
            "{instances} instances: {used} a second"
        );
    }
}

#[test]
fn the_rate_at_cold_backend_servers_leaves_room_for_two_groups() {
    for (rate, overage, slack) in [(13.0, 1.5, 5.0), (4.7, 1.5, 8.0), (2.6, 1.5, 10.0)] {
        let usable = usable_cold_rate(rate, overage, slack);
        assert!(usable <= rate);
        assert!(2.0 * usable * 1.5 <= rate * overage + slack, "{usable}");
        assert!(usable >= rate * 0.5, "{usable} of {rate}");
    }
    assert_eq!(usable_cold_rate(0.0, 1.5, 5.0), 0.0, "no limit");
}

#[test]
fn a_warm_backend_server_has_no_rate_limit() {
    let gate = ColdGate::default();
    assert!(gate.may_send(at(0), 13.0, "west", &LimitShare::default()));
}

#[test]
fn a_report_that_is_too_high_blocks_an_account_for_one_window_at_most() {
    let mut quotas = Quotas::new(WINDOW, OVERAGE, SLACK, true);
    quotas.set("shop", 20.0, 20.0, at(0));
    quotas.on_report(1, "shop", 0, 1.0, true);
    quotas.on_report(1, "shop", 1_000_000, 1.0, false);
    let interval = ReportInterval {
        instances: 1,
        spenders: 1,
        own_index: 0,
        unreported: 0,
        has_full_reports: true,
        delay: ReportDelay::Direct,
    };
    quotas.tick(interval, at(4_000));
    assert!(quotas.admit("shop", at(4_000)).is_err());
    for ms in [5_500, 5_650, 5_800] {
        quotas.tick(interval, at(ms));
    }
    assert!(quotas.admit("shop", at(5_900)).is_ok());
}
