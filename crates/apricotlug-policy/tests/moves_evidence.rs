//! Reports of instances: merging, sequential test, guard.

use std::time::Duration;

use apricotlug_model::{InstanceId, MonoTime};
use apricotlug_policy::moves::{
    Evidence, Fault, Guard, Pair, Report, Sample, Side, Signal, Totals,
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const GOOD: Sample = Sample {
    is_error: false,
    is_cold: false,
    latency: Duration::from_millis(20),
};

const ERROR: Sample = Sample {
    is_error: true,
    ..GOOD
};

const SLOW: Sample = Sample {
    latency: Duration::from_millis(90),
    ..GOOD
};

fn at(s: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs(s))
}

fn report(name: &str, sequence: u64, totals: Totals) -> Report {
    Report {
        instance: InstanceId {
            name: name.to_owned(),
            incarnation: 1,
        },
        sequence,
        has_cut: false,
        totals,
    }
}

/// Simulated traffic of one instance on two routes, with versions drawn by a share.
struct Traffic {
    rng: StdRng,
    totals: Totals,
    sequence: u64,
}

impl Traffic {
    fn new(seed: u64) -> Self {
        let routes = ["a", "b"].map(|route| (route.to_owned(), Pair::default()));
        Self {
            rng: StdRng::seed_from_u64(seed),
            totals: routes.into(),
            sequence: 0,
        }
    }

    /// Serves `count` requests on one route at `share` thousandths. `answer` maps the side and a
    /// uniform random number from 0 to 1 to the sample.
    fn serve(&mut self, route: &str, count: u32, share: u16, answer: impl Fn(Side, f64) -> Sample) {
        for _ in 0..count {
            let side = match self.rng.random_range(0..1000) < share {
                true => Side::New,
                false => Side::Old,
            };
            let sample = answer(side, self.rng.random());
            let pair = self.totals.get_mut(route).unwrap();
            pair.record(side, share, sample);
        }
    }

    fn report(&mut self) -> Report {
        self.sequence += 1;
        report("e1", self.sequence, self.totals.clone())
    }
}

/// Runs a guard for 300 s at 50 requests per route and second. Returns the first fault and the time
/// of its detection, in seconds.
fn run_guard(
    seed: u64,
    share: u16,
    answer: fn(Side, &str, u64, f64) -> Sample,
) -> Option<(u64, Fault)> {
    let mut traffic = Traffic::new(seed);
    let mut guard = Guard::default();
    for s in 0..300 {
        for route in ["a", "b"] {
            traffic.serve(route, 50, share, |side, drawn| {
                answer(side, route, s, drawn)
            });
        }
        guard.observe_own(&traffic.report(), at(s));
        if let Some(fault) = guard.fault() {
            return Some((s, fault.clone()));
        }
    }
    assert!(!guard.has_cut());
    None
}

fn normal_answer(drawn: f64) -> Sample {
    match drawn {
        it if it < 0.01 => ERROR,
        it if it < 0.05 => SLOW,
        it => Sample {
            latency: Duration::from_secs_f64(0.01 + 0.02 * it),
            ..GOOD
        },
    }
}

#[test]
fn a_version_that_is_as_good_as_the_old_one_is_never_cut() {
    for seed in 0..20 {
        for share in [5, 100, 500, 1000] {
            let found = run_guard(seed, share, |_, _, _, drawn| normal_answer(drawn));
            assert_eq!(found, None, "seed {seed}, share {share}");
        }
    }
}

#[test]
fn a_fault_of_both_versions_does_not_cut_the_new_one() {
    for seed in 0..20 {
        for share in [5, 100, 500] {
            let found = run_guard(seed, share, |_, _, s, drawn| match s % 60 {
                50..60 if drawn < 0.3 => ERROR,
                50..60 if drawn < 0.6 => SLOW,
                _ => normal_answer(drawn),
            });
            assert_eq!(found, None, "seed {seed}, share {share}");
        }
    }
}

#[test]
fn a_faulty_version_is_cut_whenever_its_fault_begins() {
    type Answer = fn(Side, &str, u64, f64) -> Sample;
    let errors: Answer = |side, _, _, drawn| match side {
        Side::New if drawn < 0.5 => ERROR,
        _ => normal_answer(drawn),
    };
    let slow: Answer = |side, _, _, drawn| match side {
        Side::New => SLOW,
        Side::Old => normal_answer(drawn),
    };
    let later: Answer = |side, _, s, drawn| match side {
        Side::New if s >= 200 && drawn < 0.5 => ERROR,
        _ => normal_answer(drawn),
    };
    let one_route: Answer = |side, route, _, drawn| match side {
        Side::New if route == "b" && drawn < 0.5 => ERROR,
        _ => normal_answer(drawn),
    };
    let rows = [
        ("errors", errors, 0, Signal::Errors),
        ("slow", slow, 0, Signal::Slow),
        ("errors later", later, 200, Signal::Errors),
        ("errors on one route", one_route, 0, Signal::Errors),
    ];
    for (name, answer, from, signal) in rows {
        for share in [100, 500] {
            for seed in 0..5 {
                let (s, fault) = run_guard(seed, share, answer).expect(name);
                assert_eq!(fault.signal, signal, "{name}");
                assert!(
                    (from..from + 10).contains(&s),
                    "{name} at {share}: after {s} s"
                );
            }
        }
    }
}

#[test]
fn an_alarm_at_full_share_lowers_it_until_both_versions_can_be_compared() {
    let mut traffic = Traffic::new(1);
    let mut guard = Guard::default();
    let mut limits = Vec::new();
    for s in 0..60 {
        let share = if s < 30 { 500 } else { guard.limit(at(s)) };
        traffic.serve("a", 100, share, |side, drawn| match side {
            Side::New if s >= 40 && drawn < 0.5 => ERROR,
            _ => normal_answer(drawn),
        });
        guard.observe_own(&traffic.report(), at(s));
        limits.push(guard.limit(at(s)));
    }
    assert!(limits[..40].iter().all(|limit| *limit == 1000));
    limits.dedup();
    assert_eq!(limits, [1000, 500, 0]);
}

#[test]
fn a_short_fault_of_both_versions_at_full_share_does_not_cut_the_new_one() {
    for seed in 0..20 {
        let mut traffic = Traffic::new(seed);
        let mut guard = Guard::default();
        for s in 0..300 {
            let share = if s < 30 { 500 } else { guard.limit(at(s)) };
            traffic.serve("a", 100, share, |_, drawn| match s % 60 {
                50..54 if drawn < 0.3 => ERROR,
                _ => normal_answer(drawn),
            });
            guard.observe_own(&traffic.report(), at(s));
        }
        assert!(!guard.has_cut(), "seed {seed}");
        assert_eq!(guard.limit(at(320)), 1000, "the comparison period ends");
    }
}

// The old version's baseline makes weaker concurrent evidence conclusive.
#[test]
fn at_half_share_a_fault_of_a_small_route_is_detected_within_15_s() {
    for seed in 0..10 {
        let mut traffic = Traffic::new(seed);
        let mut guard = Guard::default();
        let mut s = 0;
        while !guard.has_cut() {
            traffic.serve("a", 10, 500, |side, drawn| match side {
                Side::New if s >= 60 && drawn < 0.5 => ERROR,
                _ => normal_answer(drawn),
            });
            guard.observe_own(&traffic.report(), at(s));
            s += 1;
        }
        assert!((60..75).contains(&s), "seed {seed}: after {s} s");
    }
}

#[test]
fn a_past_fault_of_both_versions_raises_no_alarm_later() {
    let mut traffic = Traffic::new(1);
    let mut guard = Guard::default();
    for s in 0..90 {
        let share = if s < 41 { 500 } else { 1000 };
        traffic.serve("a", 100, share, |_, drawn| match s {
            30..40 if drawn < 0.5 => ERROR,
            _ => normal_answer(drawn),
        });
        guard.observe_own(&traffic.report(), at(s));
        assert_eq!(guard.limit(at(s)), 1000, "at {s} s");
    }
}

#[test]
fn cold_endpoints_do_not_count_as_slow() {
    let found = run_guard(1, 100, |side, _, _, drawn| match side {
        Side::New => Sample {
            is_cold: true,
            ..SLOW
        },
        Side::Old => normal_answer(drawn),
    });
    assert_eq!(found, None);
}

#[test]
fn many_instances_together_detect_a_fault_that_one_alone_does_not() {
    let mut all: Vec<Traffic> = (0..9).map(Traffic::new).collect();
    let mut evidence = Evidence::default();
    let (mut fleet, mut alone) = (Guard::default(), Guard::default());
    for s in 0..60 {
        for (i, traffic) in all.iter_mut().enumerate() {
            traffic.serve("a", 40, 50, |side, drawn| match side {
                Side::New if drawn < 0.3 => ERROR,
                _ => normal_answer(drawn),
            });
            let mut report = traffic.report();
            report.instance.name = format!("e{i}");
            evidence.merge(report);
        }
        fleet.observe_fleet(&evidence, at(s));
        if s == 5 {
            assert!(fleet.has_cut());
            assert!(!alone.observe_own(&all[0].report(), at(s)));
        }
    }
}

#[test]
fn a_cut_by_one_instance_applies_to_all() {
    let mut evidence = Evidence::default();
    evidence.merge(report("e1", 1, Totals::new()));
    let mut guard = Guard::default();
    assert!(!guard.observe_fleet(&evidence, at(1)));
    let cut = Report {
        has_cut: true,
        ..report("e2", 1, Totals::new())
    };
    evidence.merge(cut);
    assert!(guard.observe_fleet(&evidence, at(2)));
    assert_eq!((guard.limit(at(2)), guard.fault()), (0, None));
}

#[test]
fn merging_reports_is_commutative_and_idempotent() {
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let reports = prop::collection::vec((0_usize..3, 1_u64..6), 0..20);
    let mut runner = TestRunner::new(config);
    let result = runner.run(&(reports, any::<u64>()), |(reports, seed)| {
        let reports: Vec<Report> = reports
            .into_iter()
            .map(|(instance, sequence)| {
                let mut pair = Pair::default();
                (0..sequence).for_each(|_| pair.record(Side::New, 5, ERROR));
                let totals = Totals::from([("a".to_owned(), pair)]);
                report(["e1", "e2", "e3"][instance], sequence, totals)
            })
            .collect();
        let mut shuffled: Vec<Report> = [reports.clone(), reports.clone()].concat();
        let mut rng = StdRng::seed_from_u64(seed);
        for i in (1..shuffled.len()).rev() {
            shuffled.swap(i, rng.random_range(0..=i));
        }
        let merge = |reports: Vec<Report>| {
            let mut evidence = Evidence::default();
            for report in reports {
                evidence.merge(report);
            }
            evidence
        };
        prop_assert_eq!(merge(reports), merge(shuffled));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_report_round_trips_through_json() {
    let mut traffic = Traffic::new(1);
    traffic.serve("a", 500, 100, |_, drawn| normal_answer(drawn));
    let report = traffic.report();
    let json = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&json).unwrap(), report);
}
