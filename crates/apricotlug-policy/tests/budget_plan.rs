//! Updates of the share plan (among data centres) and the seat plan (among instances).

#[path = "support/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{Bundle, InstanceId, UnixTime};
use apricotlug_policy::budget::{
    Part, Plan, Report, SeatPlan, SeatPlanWire, SharePlan, Terms, apportion, max_min_fair,
    step_seats, step_shares,
};
use fleet::bundle;
use proptest::{prelude::*, test_runner::RngSeed};

const SECOND: u64 = 1_000_000;
const EPOCH: u64 = 1_700_000_000 * SECOND;
const SKEW_US: u64 = SECOND;
const TERMS: Terms = Terms {
    floor_permille: 300,
    floor_lease: Duration::from_secs(60),
    surplus_lease: Duration::from_secs(10),
};

fn at(seconds: u64) -> UnixTime {
    UnixTime(EPOCH + seconds * SECOND)
}

fn share(rate: u64, burst: u64) -> Part {
    Part {
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
        confirmed,
        is_leaving: false,
        demand_milli: BTreeMap::from([("a".to_owned(), demand * 1_000)]),
    }
}

/// Data centre with its seat plan.
struct DataCentre {
    name: &'static str,
    seats: Option<SeatPlan>,
}

impl DataCentre {
    fn new(name: &'static str) -> Self {
        Self { name, seats: None }
    }

    /// Updates both plans and returns whether either was written.
    fn step(
        &mut self,
        shares: &mut Option<SharePlan>,
        bundle: &Bundle,
        reports: &[Report],
        now: UnixTime,
    ) -> bool {
        let (name, seats) = (self.name, self.seats.as_ref());
        let next = step_shares(shares.as_ref(), name, bundle, seats, reports, TERMS, now);
        let mut is_written = next.is_some();
        if next.is_some() {
            *shares = next;
        }
        let Some(shares) = shares else {
            return is_written;
        };
        if let Some(next) = step_seats(seats, shares, name, reports, TERMS, now) {
            is_written = true;
            self.seats = Some(next);
        }
        is_written
    }

    /// Returns the report of an instance that has installed its latest allotments.
    fn confirmed(&self, name: &str, demand: u64) -> Report {
        let instance = report(name, None, demand).instance;
        let seat = self.seats.as_ref().and_then(|plan| plan.seat(&instance));
        report(name, seat.map(|seat| seat.generation), demand)
    }

    fn held(&self, name: &str) -> Part {
        let instance = report(name, None, 0).instance;
        let seat = self.seats.as_ref().and_then(|plan| plan.seat(&instance));
        seat.map_or(Part::ZERO, |seat| {
            seat.floor.shares[0].plus(seat.surplus.shares[0])
        })
    }
}

#[test]
fn lone_first_instance_gets_the_whole_budget_in_one_step() {
    let (mut shares, mut dc) = (None, DataCentre::new("n"));
    assert!(dc.step(&mut shares, &one_account(), &[report("x", None, 0)], at(0)));
    assert_eq!(dc.held("x"), share(100, 100));
    let granted = dc
        .seats
        .unwrap()
        .allotments(&report("x", None, 0).instance)
        .unwrap();
    assert_eq!(granted.surplus_until, at(10));
    assert_eq!(granted.floor_until, at(60));
}

#[test]
fn steady_state_is_written_at_half_of_the_lease_only() {
    let (mut shares, mut dc) = (None, DataCentre::new("n"));
    let mut writes = Vec::new();
    for now in 0..30 {
        let reports = [dc.confirmed("x", 10)];
        if dc.step(&mut shares, &one_account(), &reports, at(now)) {
            writes.push(now);
        }
    }
    assert_eq!(writes, [0, 5, 10, 15, 20, 25]);
}

#[test]
fn second_data_centre_waits_for_confirmation_not_for_the_lease() {
    let (mut shares, mut first, mut second) = (None, DataCentre::new("n"), DataCentre::new("m"));
    let bundle = one_account();
    first.step(&mut shares, &bundle, &[report("x", None, 50)], at(0));
    second.step(&mut shares, &bundle, &[report("y", None, 50)], at(1));
    assert_eq!(second.held("y"), Part::ZERO);
    for now in 2..5 {
        let reports = [first.confirmed("x", 50)];
        first.step(&mut shares, &bundle, &reports, at(now));
        let reports = [second.confirmed("y", 50)];
        second.step(&mut shares, &bundle, &reports, at(now));
    }
    assert_eq!(first.held("x"), share(50, 50));
    assert_eq!(second.held("y"), share(50, 50));
}

#[test]
fn unconfirmed_share_stays_reserved_until_the_lease_and_the_skew_are_over() {
    let (mut shares, mut first, mut second) = (None, DataCentre::new("n"), DataCentre::new("m"));
    let bundle = one_account();
    first.step(&mut shares, &bundle, &[report("x", None, 50)], at(0));
    let surplus_expired = at(10).after(Duration::from_micros(SKEW_US));
    let floor_expired = at(60).after(Duration::from_micros(SKEW_US));
    let just_after = Duration::from_micros(1);
    for (now, held) in [
        (at(1), Part::ZERO),
        (surplus_expired, Part::ZERO),
        (surplus_expired.after(just_after), share(70, 70)),
        (floor_expired, share(70, 70)),
        (floor_expired.after(just_after), share(100, 100)),
    ] {
        second.step(&mut shares, &bundle, &[report("y", None, 50)], now);
        assert_eq!(second.held("y"), held, "at {now}");
    }
}

#[test]
fn share_taken_back_is_reserved_until_the_seat_plan_was_written_after_it() {
    let (mut shares, mut first, mut second) = (None, DataCentre::new("n"), DataCentre::new("m"));
    let bundle = one_account();
    first.step(&mut shares, &bundle, &[report("x", None, 50)], at(0));
    second.step(&mut shares, &bundle, &[report("y", None, 50)], at(1));
    let mut unused = first.seats.clone().unwrap();
    for seat in &mut unused.seats {
        seat.floor.shares.fill(Part::ZERO);
        seat.surplus.shares.fill(Part::ZERO);
    }
    let reports = [first.confirmed("x", 50)];
    for now in [2, 3] {
        let next = step_shares(
            shares.as_ref(),
            "n",
            &bundle,
            Some(&unused),
            &reports,
            TERMS,
            at(now),
        );
        shares = next.or(shares);
        let seat = shares.as_ref().unwrap().seat(&"n".to_owned()).unwrap();
        assert_eq!(seat.spendable(0, at(now)), share(100, 100), "at {now}");
    }
}

#[test]
fn older_share_plan_changes_no_seat() {
    let (mut shares, mut dc) = (None, DataCentre::new("n"));
    dc.step(&mut shares, &one_account(), &[report("x", None, 5)], at(0));
    let old = shares.clone().unwrap();
    let reports = [dc.confirmed("x", 5)];
    dc.step(&mut shares, &one_account(), &reports, at(5));
    assert_ne!(shares.as_ref(), Some(&old));
    let next = step_seats(dc.seats.as_ref(), &old, "n", &reports, TERMS, at(9));
    assert_eq!(next, None);
}

#[test]
fn seat_never_outlives_its_share() {
    let (mut shares, mut dc) = (None, DataCentre::new("n"));
    dc.step(&mut shares, &one_account(), &[report("x", None, 5)], at(0));
    let shares = shares.unwrap();
    let late = [dc.confirmed("x", 5), report("y", None, 90)];
    let next = step_seats(dc.seats.as_ref(), &shares, "n", &late, TERMS, at(9)).unwrap();
    for seat in &next.seats {
        assert_eq!(seat.surplus.until, at(10));
        assert_eq!(seat.floor.until, at(60));
    }
}

#[test]
fn smaller_budget_takes_effect_without_growth_in_between() {
    let (mut shares, mut first, mut second) = (None, DataCentre::new("n"), DataCentre::new("m"));
    let (old, new) = (one_account(), bundle(2, &[("a", 40, 20)]));
    for now in 0..6 {
        let reports = [first.confirmed("x", 80)];
        first.step(&mut shares, &old, &reports, at(now));
        let reports = [second.confirmed("y", 20)];
        second.step(&mut shares, &old, &reports, at(now));
    }
    let check = |plan: &SharePlan, now| {
        let granted =
            |i: usize| plan.seats[i].floor.shares[0].plus(plan.seats[i].surplus.shares[0]);
        let total = granted(0).plus(granted(1));
        assert!(total.fits(share(40, 20)), "{total:?} at {now}");
        assert!(plan.spendable(0, now).fits(share(100, 100)));
    };
    for now in 6..20 {
        let reports = [first.confirmed("x", 80)];
        first.step(&mut shares, &new, &reports, at(now));
        check(shares.as_ref().unwrap(), at(now));
        let reports = [second.confirmed("y", 90)];
        second.step(&mut shares, &old, &reports, at(now));
        check(shares.as_ref().unwrap(), at(now));
    }
    let total = first.held("x").plus(second.held("y"));
    assert!(total.fits(share(40, 20)));
    assert!(total.rate_milli > 38_000, "{total:?}");
}

#[test]
fn removed_account_keeps_a_row_until_nobody_can_spend_it() {
    let (mut shares, mut dc) = (None, DataCentre::new("n"));
    dc.step(&mut shares, &one_account(), &[report("x", None, 5)], at(0));
    let next = |shares: &Option<SharePlan>, bundle: &Bundle, now| {
        step_shares(
            shares.as_ref(),
            "m",
            bundle,
            None,
            &[report("y", None, 5)],
            TERMS,
            at(now),
        )
    };
    shares = next(&shares, &bundle(2, &[]), 1);
    shares = next(&shares, &bundle(3, &[("a", 100, 100)]), 2);
    let plan = shares.unwrap();
    assert_eq!(plan.spendable(0, at(2)), share(100, 100));
    assert_eq!(
        plan.seat(&"m".to_owned()).unwrap().spendable(0, at(2)),
        Part::ZERO
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
        let (mut shares, mut dc) = (None, DataCentre::new("n"));
        let bundle = bundle(1, &[("a", 100, burst)]);
        let reports = ["p", "q", "r", "s", "t", "u"].map(|name| report(name, None, 1));
        dc.step(&mut shares, &bundle, &reports, at(0));
        let seats = dc.seats.unwrap().seats;
        let bursts: Vec<u64> = seats
            .iter()
            .map(|seat| seat.floor.shares[0].burst)
            .collect();
        assert_eq!(bursts, floors, "burst {burst}");
    }
}

#[test]
fn leaving_instance_frees_its_parts_at_once() {
    let (mut shares, mut dc) = (None, DataCentre::new("n"));
    for now in 0..4 {
        let reports = [dc.confirmed("x", 50), dc.confirmed("y", 50)];
        dc.step(&mut shares, &one_account(), &reports, at(now));
    }
    assert_eq!(dc.held("x"), share(50, 50));
    let leaving = Report {
        is_leaving: true,
        ..dc.confirmed("y", 0)
    };
    let reports = [dc.confirmed("x", 50), leaving.clone()];
    dc.step(&mut shares, &one_account(), &reports, at(4));
    assert_eq!(dc.held("x"), share(100, 100));
    let last = Report {
        is_leaving: true,
        ..dc.confirmed("x", 0)
    };
    for now in [5, 6] {
        dc.step(
            &mut shares,
            &one_account(),
            &[last.clone(), leaving.clone()],
            at(now),
        );
    }
    assert!(shares.unwrap().seats.is_empty());
}

#[test]
fn restarted_process_is_a_new_holder() {
    let (mut shares, mut dc) = (None, DataCentre::new("n"));
    dc.step(&mut shares, &one_account(), &[report("x", None, 50)], at(0));
    let mut restarted = report("x", None, 50);
    restarted.instance.incarnation = 2;
    dc.step(&mut shares, &one_account(), &[restarted.clone()], at(1));
    let seats = dc.seats.unwrap();
    let seat = seats.seat(&restarted.instance).unwrap();
    assert_eq!(seat.spendable(0, at(1)), Part::ZERO);
    assert_eq!(seats.spendable(0, at(1)), share(100, 100));
}

#[test]
fn records_survive_their_wire_form_and_bad_ones_are_refused() {
    let (mut shares, mut dc) = (None, DataCentre::new("n"));
    for now in 0..3 {
        let reports = [dc.confirmed("x", 50), report("y", None, 20 * now)];
        dc.step(&mut shares, &one_account(), &reports, at(now));
    }
    let plan = dc.seats.unwrap();
    let text = serde_json::to_string(&SeatPlanWire::from(&plan)).unwrap();
    let read = |text: &str| {
        let wire: SeatPlanWire = serde_json::from_str(text).map_err(|e| e.to_string())?;
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
