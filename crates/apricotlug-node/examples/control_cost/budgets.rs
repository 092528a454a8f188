//! Cost of the budget plans of one data centre, and of the messages about them.

use std::{error::Error, time::Duration};

use apricotlug_model::{Bundle, InstanceId, UnixTime};
use apricotlug_policy::budget::{
    PlanWire, Report, SeatPlan, SharePlan, Terms, step_seats, step_shares,
};

use crate::{
    mean_us,
    messages::Message,
    text::{self, DATA_CENTRES, FULL, Sizes},
};

/// Instances of one data centre: 1,500 over 41.
const INSTANCES: usize = 37;
/// Time between two steps of a data centre that write.
const STEP: Duration = Duration::from_secs(5);
/// Rounds of steps after which the plans have settled.
const ROUNDS: usize = 8;

pub fn measure() -> Result<(), Box<dyn Error>> {
    println!(
        "\naccounts | share step us  plan bytes | seat step us  plan bytes | read both us | report bytes | allotments bytes"
    );
    for accounts in [10, 100, 300, 1_000] {
        let sizes = Sizes {
            accounts,
            blocks: 1_000,
            ..FULL
        };
        row(&text::bundle(sizes)?)?;
    }
    Ok(())
}

fn row(bundle: &Bundle) -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::settled(bundle);
    let now = fleet.now.after(STEP);
    let reports = reports(bundle, fleet.seats[1].as_ref());
    let shares = fleet.shares.ok_or("no share plan")?;
    let seats = fleet.seats[1].clone().ok_or("no seat plan")?;
    let share_us = mean_us(|| {
        std::hint::black_box(step_shares(
            Some(&shares),
            "dc-1",
            bundle,
            Some(&seats),
            &reports,
            Terms::DEFAULT,
            now,
        ));
    });
    let seat_us = mean_us(|| {
        std::hint::black_box(step_seats(
            Some(&seats),
            &shares,
            "dc-1",
            &reports,
            Terms::DEFAULT,
            now,
        ));
    });
    let share_bytes = serde_json::to_vec(&PlanWire::from(&shares))?;
    let seat_bytes = serde_json::to_vec(&PlanWire::from(&seats))?;
    let read_us = mean_us(|| {
        let shares = serde_json::from_slice::<PlanWire<String>>(&share_bytes);
        let seats = serde_json::from_slice::<PlanWire<InstanceId>>(&seat_bytes);
        assert!(shares.is_ok_and(|wire| SharePlan::try_from(wire).is_ok()));
        assert!(seats.is_ok_and(|wire| SeatPlan::try_from(wire).is_ok()));
    });
    let granted = seats
        .allotments(&reports[0].instance)
        .ok_or("no allotments")?;
    println!(
        "{:8} | {share_us:13.0}  {:10} | {seat_us:12.0}  {:10} | {read_us:12.0} | {:12} | {:16}",
        bundle.accounts.keys().count(),
        share_bytes.len(),
        seat_bytes.len(),
        Message::Report(reports[0].clone()).encode().len(),
        Message::Allotments(granted).encode().len(),
    );
    Ok(())
}

/// Plans of all data centres.
struct Fleet {
    now: UnixTime,
    shares: Option<SharePlan>,
    seats: Vec<Option<SeatPlan>>,
}

impl Fleet {
    /// Takes steps in all data centres in turn until the plans have settled.
    fn settled(bundle: &Bundle) -> Self {
        let mut fleet = Self {
            now: UnixTime::now(),
            shares: None,
            seats: vec![None; DATA_CENTRES],
        };
        for _ in 0..ROUNDS {
            for i in 0..DATA_CENTRES {
                fleet.step(bundle, i);
            }
            fleet.now = fleet.now.after(STEP);
        }
        fleet
    }

    fn step(&mut self, bundle: &Bundle, i: usize) {
        let (own, now) = (format!("dc-{i}"), self.now);
        let seats = self.seats[i].as_ref();
        let reports = reports(bundle, seats);
        let shares = self.shares.as_ref();
        let next = step_shares(shares, &own, bundle, seats, &reports, Terms::DEFAULT, now);
        self.shares = next.or_else(|| self.shares.take());
        let Some(shares) = &self.shares else { return };
        let next = step_seats(seats, shares, &own, &reports, Terms::DEFAULT, now);
        self.seats[i] = next.or_else(|| self.seats[i].take());
    }
}

/// Returns the reports of a data centre's instances, with demand for every client account.
fn reports(bundle: &Bundle, seats: Option<&SeatPlan>) -> Vec<Report> {
    (0..INSTANCES).map(|i| report(bundle, seats, i)).collect()
}

fn report(bundle: &Bundle, seats: Option<&SeatPlan>, i: usize) -> Report {
    let instance = InstanceId {
        name: format!("entry-{i:04}"),
        incarnation: u64::MAX / 3 + i as u64,
    };
    let seat = seats.and_then(|plan| plan.seat(&instance));
    let accounts = bundle.accounts.values().enumerate();
    let demand = |n: usize| 20_000 + ((n * 31 + i * 17) % 997) as u64;
    Report {
        confirmed: seat.map(|seat| seat.generation),
        instance,
        is_leaving: false,
        demand_milli: accounts
            .map(|(n, account)| (account.id.clone(), demand(n)))
            .collect(),
    }
}
