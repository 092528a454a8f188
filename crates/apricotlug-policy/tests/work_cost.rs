//! Learned cost factors, and the measure of how far a figure is believed.

use apricotlug_policy::steer::{CostKeys, Skill, WorkCosts};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// More keys than are kept.
const MANY: u64 = 5_000;

fn keys(object: u64) -> CostKeys {
    CostKeys {
        route: 1,
        account: None,
        object: Some(object),
    }
}

/// Teaches that of ten objects each, the first costs five times as much as the others.
fn taught(costs: &mut WorkCosts, rounds: u64) {
    for i in 0..rounds * 10 {
        let ratio = if i % 10 == 0 { 3.6 } else { 0.72 };
        costs.observe(keys(i % 10), ratio);
    }
}

#[test]
fn a_figure_counts_as_far_as_it_came_true() {
    // Slope and noise of what is observed, and the bounds of the weight.
    for (slope, noise, min, max) in [
        (1.0, 0.1, 0.9, 1.0),
        (0.5, 0.1, 0.4, 0.6),
        (3.0, 0.1, 1.0, 1.0),
        (0.0, 1.0, 0.0, 0.0),
        (-1.0, 0.1, 0.0, 0.0),
        (f64::NAN, 0.1, 0.0, 0.0),
    ] {
        let mut rng = StdRng::seed_from_u64(1);
        let mut skill = Skill::default();
        for _ in 0..3_000 {
            let predicted = rng.random_range(-1.0..1.0);
            let observed = predicted * slope + rng.random_range(-noise..noise);
            skill.observe(predicted, observed);
        }
        let weight = skill.weight(0.02);
        assert!((min..=max).contains(&weight), "slope {slope}: {weight}");
    }
    let mut constant = Skill::default();
    for _ in 0..3_000 {
        constant.observe(0.0, 1.0);
    }
    assert_eq!(constant.weight(0.02), 0.0);
}

#[test]
fn objects_that_differ_get_their_factor_and_unknown_ones_none() {
    let mut costs = WorkCosts::default();
    assert_eq!(costs.factor(keys(0)), 1.0);
    taught(&mut costs, 100);
    let (dear, cheap) = (costs.factor(keys(0)), costs.factor(keys(1)));
    assert!((2.8..4.4).contains(&dear), "{dear}");
    assert!((0.5..0.9).contains(&cheap), "{cheap}");
    assert_eq!(costs.factor(keys(77)), 1.0);
    let other_route = CostKeys {
        route: 2,
        ..keys(0)
    };
    assert_eq!(costs.factor(other_route), 1.0);
}

#[test]
fn an_object_whose_cost_changes_is_learned_anew() {
    let mut costs = WorkCosts::default();
    taught(&mut costs, 100);
    assert!(costs.factor(keys(0)) > 2.8);
    for i in 1..=30 * 9 {
        costs.observe(keys(i % 10), 0.72);
        if i % 9 == 0 {
            costs.observe(keys(0), 0.72);
        }
    }
    let factor = costs.factor(keys(0));
    assert!(factor < 1.5, "{factor}");
}

#[test]
fn the_most_used_objects_keep_their_factors_in_a_flood_of_others() {
    let mut costs = WorkCosts::default();
    taught(&mut costs, 100);
    for i in 0..MANY * 4 {
        costs.observe(keys(1_000 + i), 0.72);
        if i % 20 == 0 {
            costs.observe(keys(i / 20 % 10), if i / 20 % 10 == 0 { 3.6 } else { 0.72 });
        }
    }
    assert!(costs.len() <= 2_048 * 2, "{}", costs.len());
    assert!(costs.factor(keys(0)) > 2.0, "{}", costs.factor(keys(0)));
}

#[test]
fn unusable_times_teach_nothing_and_absurd_ones_are_bounded() {
    let mut costs = WorkCosts::default();
    taught(&mut costs, 100);
    let before = costs.factor(keys(0));
    for odd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(costs.observe(keys(0), odd), None);
    }
    assert_eq!(costs.factor(keys(0)), before);
    for odd in [0.0, -5.0, 1e300] {
        costs.observe(keys(0), odd);
        let factor = costs.factor(keys(0));
        assert!((0.1..=10.0).contains(&factor), "{odd}: {factor}");
        assert!(costs.spread().is_finite());
    }
}
