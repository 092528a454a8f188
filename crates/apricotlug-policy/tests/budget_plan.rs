//! Updates of the data centre plan (among data centres) and the instance plan (among instances).

#[path = "support/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{Bundle, InstanceId, UnixTime};
use apricotlug_policy::budget::{
    DataCentrePlan, InstancePlan, InstancePlanWire, LeaseTerms, Plan, Report, Share, apportion,
    max_min_fair, update_data_centre_plan, update_instance_plan,
};
use fleet::bundle;
use proptest::{prelude::*, test_runner::RngSeed};

const SECOND: u64 = 1_000_000;
const EPOCH: u64 = 1_700_000_000 * SECOND;
const SKEW_US: u64 = SECOND;
const TERMS: LeaseTerms = LeaseTerms {
    floor_permille: 300,
    floor_lease: Duration::from_secs(60),
    surplus_lease: Duration::from_secs(10),
};

fn at(seconds: u64) -> UnixTime {
    UnixTime(EPOCH + seconds * SECOND)
}

fn share(rate: u64, burst: u64) -> Share {
    Share {
        rate_milli: rate * 1_000,
        burst,
    }
}

fn one_account() -> Bundle {
    bundle(1, &[("a", 100, 100)])
}

fn report(name: &str, confirmed: Option<u64>, demand: u64) -> Report {
    Report {
        instance: InstanceId {
            name: name.to_owned(),
            incarnation: 1,
        },
        confirmed_generation: confirmed,
        is_leaving: false,
        demand_milli: BTreeMap::from([("a".to_owned(), demand * 1_000)]),
    }
}

/// Data centre with its instance plan.
struct DataCentre {
    name: &'static str,
    instance_plan: Option<InstancePlan>,
}

impl DataCentre {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            instance_plan: None,
        }
    }

    /// Updates both plans and returns whether either was written.
    fn update(
        &mut self,
        dc_plan: &mut Option<DataCentrePlan>,
        bundle: &Bundle,
        reports: &[Report],
        now: UnixTime,
    ) -> bool {
        let (name, instance_plan) = (self.name, self.instance_plan.as_ref());
        let next = update_data_centre_plan(
            dc_plan.as_ref(),
            name,
            bundle,
            instance_plan,
            reports,
            TERMS,
            now,
        );
        let mut is_written = next.is_some();
        if next.is_some() {
            *dc_plan = next;
        }
        let Some(dc_plan) = dc_plan else {
            return is_written;
        };
        if let Some(next) = update_instance_plan(instance_plan, dc_plan, name, reports, TERMS, now)
        {
            is_written = true;
            self.instance_plan = Some(next);
        }
        is_written
    }

    /// Returns the report of an instance that has installed its latest allotments.
    fn confirmed(&self, name: &str, demand: u64) -> Report {
        let instance = report(name, None, demand).instance;
        let allocation = self
            .instance_plan
            .as_ref()
            .and_then(|plan| plan.allocation(&instance));
        report(
            name,
            allocation.map(|allocation| allocation.generation),
            demand,
        )
    }

    fn held(&self, name: &str) -> Share {
        let instance = report(name, None, 0).instance;
        let allocation = self
            .instance_plan
            .as_ref()
            .and_then(|plan| plan.allocation(&instance));
        allocation.map_or(Share::ZERO, |allocation| {
            allocation.floor.shares[0].plus(allocation.surplus.shares[0])
        })
    }
}

#[test]
fn lone_first_instance_gets_the_whole_budget_in_one_step() {
    let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
    assert!(dc.update(&mut dc_plan, &one_account(), &[report("x", None, 0)], at(0)));
    assert_eq!(dc.held("x"), share(100, 100));
    let granted = dc
        .instance_plan
        .unwrap()
        .allotments(&report("x", None, 0).instance)
        .unwrap();
    assert_eq!(granted.surplus_until, at(10));
    assert_eq!(granted.floor_until, at(60));
}

#[test]
fn steady_state_is_written_at_half_of_the_lease_only() {
    let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
    let mut writes = Vec::new();
    for now in 0..30 {
        let reports = [dc.confirmed("x", 10)];
        if dc.update(&mut dc_plan, &one_account(), &reports, at(now)) {
            writes.push(now);
        }
    }
    assert_eq!(writes, [0, 5, 10, 15, 20, 25]);
}

#[test]
fn second_data_centre_waits_for_confirmation_not_for_the_lease() {
    let (mut dc_plan, mut first, mut second) = (None, DataCentre::new("n"), DataCentre::new("m"));
    let bundle = one_account();
    first.update(&mut dc_plan, &bundle, &[report("x", None, 50)], at(0));
    second.update(&mut dc_plan, &bundle, &[report("y", None, 50)], at(1));
    assert_eq!(second.held("y"), Share::ZERO);
    for now in 2..5 {
        let reports = [first.confirmed("x", 50)];
        first.update(&mut dc_plan, &bundle, &reports, at(now));
        let reports = [second.confirmed("y", 50)];
        second.update(&mut dc_plan, &bundle, &reports, at(now));
    }
    assert_eq!(first.held("x"), share(50, 50));
    assert_eq!(second.held("y"), share(50, 50));
}

#[test]
fn unconfirmed_share_stays_reserved_until_the_lease_and_the_skew_are_over() {
    let (mut dc_plan, mut first, mut second) = (None, DataCentre::new("n"), DataCentre::new("m"));
    let bundle = one_account();
    first.update(&mut dc_plan, &bundle, &[report("x", None, 50)], at(0));
    let surplus_expired = at(10).after(Duration::from_micros(SKEW_US));
    let floor_expired = at(60).after(Duration::from_micros(SKEW_US));
    let just_after = Duration::from_micros(1);
    for (now, held) in [
        (at(1), Share::ZERO),
        (surplus_expired, Share::ZERO),
        (surplus_expired.after(just_after), share(70, 70)),
        (floor_expired, share(70, 70)),
        (floor_expired.after(just_after), share(100, 100)),
    ] {
        second.update(&mut dc_plan, &bundle, &[report("y", None, 50)], now);
        assert_eq!(second.held("y"), held, "at {now}");
    }
}

#[test]
fn share_taken_back_is_reserved_until_the_instance_plan_was_written_after_it() {
    let (mut dc_plan, mut first, mut second) = (None, DataCentre::new("n"), DataCentre::new("m"));
    let bundle = one_account();
    first.update(&mut dc_plan, &bundle, &[report("x", None, 50)], at(0));
    second.update(&mut dc_plan, &bundle, &[report("y", None, 50)], at(1));
    let mut unused = first.instance_plan.clone().unwrap();
    for allocation in &mut unused.allocations {
        allocation.floor.shares.fill(Share::ZERO);
        allocation.surplus.shares.fill(Share::ZERO);
    }
    let reports = [first.confirmed("x", 50)];
    for now in [2, 3] {
        let next = update_data_centre_plan(
            dc_plan.as_ref(),
            "n",
            &bundle,
            Some(&unused),
            &reports,
            TERMS,
            at(now),
        );
        dc_plan = next.or(dc_plan);
        let allocation = dc_plan
            .as_ref()
            .unwrap()
            .allocation(&"n".to_owned())
            .unwrap();
        assert_eq!(
            allocation.spendable(0, at(now)),
            share(100, 100),
            "at {now}"
        );
    }
}

#[test]
fn older_data_centre_plan_changes_no_allocation() {
    let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
    dc.update(&mut dc_plan, &one_account(), &[report("x", None, 5)], at(0));
    let old = dc_plan.clone().unwrap();
    let reports = [dc.confirmed("x", 5)];
    dc.update(&mut dc_plan, &one_account(), &reports, at(5));
    assert_ne!(dc_plan.as_ref(), Some(&old));
    let next = update_instance_plan(dc.instance_plan.as_ref(), &old, "n", &reports, TERMS, at(9));
    assert_eq!(next, None);
}

#[test]
fn allocation_never_outlives_its_share() {
    let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
    dc.update(&mut dc_plan, &one_account(), &[report("x", None, 5)], at(0));
    let dc_plan = dc_plan.unwrap();
    let late = [dc.confirmed("x", 5), report("y", None, 90)];
    let next = update_instance_plan(
        dc.instance_plan.as_ref(),
        &dc_plan,
        "n",
        &late,
        TERMS,
        at(9),
    )
    .unwrap();
    for allocation in &next.allocations {
        assert_eq!(allocation.surplus.until, at(10));
        assert_eq!(allocation.floor.until, at(60));
    }
}

#[test]
fn smaller_budget_takes_effect_without_growth_in_between() {
    let (mut dc_plan, mut first, mut second) = (None, DataCentre::new("n"), DataCentre::new("m"));
    let (old, new) = (one_account(), bundle(2, &[("a", 40, 20)]));
    for now in 0..6 {
        let reports = [first.confirmed("x", 80)];
        first.update(&mut dc_plan, &old, &reports, at(now));
        let reports = [second.confirmed("y", 20)];
        second.update(&mut dc_plan, &old, &reports, at(now));
    }
    let check = |plan: &DataCentrePlan, now| {
        let granted = |i: usize| {
            plan.allocations[i].floor.shares[0].plus(plan.allocations[i].surplus.shares[0])
        };
        let total = granted(0).plus(granted(1));
        assert!(total.fits(share(40, 20)), "{total:?} at {now}");
        assert!(plan.spendable(0, now).fits(share(100, 100)));
    };
    for now in 6..20 {
        let reports = [first.confirmed("x", 80)];
        first.update(&mut dc_plan, &new, &reports, at(now));
        check(dc_plan.as_ref().unwrap(), at(now));
        let reports = [second.confirmed("y", 90)];
        second.update(&mut dc_plan, &old, &reports, at(now));
        check(dc_plan.as_ref().unwrap(), at(now));
    }
    let total = first.held("x").plus(second.held("y"));
    assert!(total.fits(share(40, 20)));
    assert!(total.rate_milli > 38_000, "{total:?}");
}

#[test]
fn removed_account_keeps_a_row_until_nobody_can_spend_it() {
    let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
    dc.update(&mut dc_plan, &one_account(), &[report("x", None, 5)], at(0));
    let next = |dc_plan: &Option<DataCentrePlan>, bundle: &Bundle, now| {
        update_data_centre_plan(
            dc_plan.as_ref(),
            "m",
            bundle,
            None,
            &[report("y", None, 5)],
            TERMS,
            at(now),
        )
    };
    dc_plan = next(&dc_plan, &bundle(2, &[]), 1);
    dc_plan = next(&dc_plan, &bundle(3, &[("a", 100, 100)]), 2);
    let plan = dc_plan.unwrap();
    assert_eq!(plan.spendable(0, at(2)), share(100, 100));
    assert_eq!(
        plan.allocation(&"m".to_owned())
            .unwrap()
            .spendable(0, at(2)),
        Share::ZERO
    );
}

#[test]
fn small_floor_is_held_by_few_instances() {
    // (burst of the account, burst of each of six instances' floors)
    for (burst, floors) in [
        (400, [20; 6]),
        (40, [4, 4, 4, 0, 0, 0]),
        (8, [2, 0, 0, 0, 0, 0]),
    ] {
        let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
        let bundle = bundle(1, &[("a", 100, burst)]);
        let reports = ["p", "q", "r", "s", "t", "u"].map(|name| report(name, None, 1));
        dc.update(&mut dc_plan, &bundle, &reports, at(0));
        let allocations = dc.instance_plan.unwrap().allocations;
        let bursts: Vec<u64> = allocations
            .iter()
            .map(|allocation| allocation.floor.shares[0].burst)
            .collect();
        assert_eq!(bursts, floors, "burst {burst}");
    }
}

#[test]
fn leaving_instance_frees_its_parts_at_once() {
    let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
    for now in 0..4 {
        let reports = [dc.confirmed("x", 50), dc.confirmed("y", 50)];
        dc.update(&mut dc_plan, &one_account(), &reports, at(now));
    }
    assert_eq!(dc.held("x"), share(50, 50));
    let leaving = Report {
        is_leaving: true,
        ..dc.confirmed("y", 0)
    };
    let reports = [dc.confirmed("x", 50), leaving.clone()];
    dc.update(&mut dc_plan, &one_account(), &reports, at(4));
    assert_eq!(dc.held("x"), share(100, 100));
    let last = Report {
        is_leaving: true,
        ..dc.confirmed("x", 0)
    };
    for now in [5, 6] {
        dc.update(
            &mut dc_plan,
            &one_account(),
            &[last.clone(), leaving.clone()],
            at(now),
        );
    }
    assert!(dc_plan.unwrap().allocations.is_empty());
}

#[test]
fn restarted_process_is_a_new_holder() {
    let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
    dc.update(
        &mut dc_plan,
        &one_account(),
        &[report("x", None, 50)],
        at(0),
    );
    let mut restarted = report("x", None, 50);
    restarted.instance.incarnation = 2;
    dc.update(&mut dc_plan, &one_account(), &[restarted.clone()], at(1));
    let plan = dc.instance_plan.unwrap();
    let allocation = plan.allocation(&restarted.instance).unwrap();
    assert_eq!(allocation.spendable(0, at(1)), Share::ZERO);
    assert_eq!(plan.spendable(0, at(1)), share(100, 100));
}

#[test]
fn records_survive_their_wire_form_and_bad_ones_are_refused() {
    let (mut dc_plan, mut dc) = (None, DataCentre::new("n"));
    for now in 0..3 {
        let reports = [dc.confirmed("x", 50), report("y", None, 20 * now)];
        dc.update(&mut dc_plan, &one_account(), &reports, at(now));
    }
    let plan = dc.instance_plan.unwrap();
    let text = serde_json::to_string(&InstancePlanWire::from(&plan)).unwrap();
    let read = |text: &str| {
        let wire: InstancePlanWire = serde_json::from_str(text).map_err(|e| e.to_string())?;
        Plan::try_from(wire).map_err(|e| e.to_string())
    };
    assert_eq!(read(&text), Ok(plan));
    let cases = [
        (
            "\"accounts\":[[\"a\",[100000,100]]]",
            "\"accounts\":[]",
            "entries for 0 accounts",
        ),
        (
            "\"floor_permille\":300",
            "\"floor_permille\":1001",
            "1001 thousandths",
        ),
        ("\"bundle\":1", "\"bundle\":-1", "invalid value"),
        ("\"bundle\":1", "\"bundle\":1,\"more\":1", "unknown field"),
    ];
    for (from, to, message) in cases {
        assert!(text.contains(from), "{text}");
        let error = read(&text.replace(from, to)).unwrap_err();
        assert!(error.contains(message), "{error}");
    }
}

#[test]
fn demand_is_met_max_min_fairly() {
    let cases: [(u64, &[u64], &[u64]); 6] = [
        (90, &[10, 100, 100], &[10, 40, 40]),
        (100, &[0, 0], &[50, 50]),
        (10, &[100, 100, 100], &[4, 3, 3]),
        (0, &[5, 0], &[0, 0]),
        (100, &[90], &[100]),
        (7, &[], &[]),
    ];
    for (total, demands, shares) in cases {
        assert_eq!(
            max_min_fair(total, demands),
            shares,
            "{total} among {demands:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_206),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn divided_parts_add_up_exactly(
        total: u32,
        demands in prop::collection::vec(any::<u32>(), 1..50),
    ) {
        let demands: Vec<u64> = demands.into_iter().map(u64::from).collect();
        let total = u64::from(total);
        prop_assert_eq!(apportion(total, &demands).iter().sum::<u64>(), total);
        prop_assert_eq!(max_min_fair(total, &demands).iter().sum::<u64>(), total);
    }
}
