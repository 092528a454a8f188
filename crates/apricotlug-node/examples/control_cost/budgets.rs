//! Measures the budget plans of one data centre and the messages about them: time and size.

use std::{error::Error, time::Duration};

use apricotlug_model::{Bundle, InstanceId, UnixTime};
use apricotlug_policy::budget::{
    DataCentrePlan, InstancePlan, LeaseTerms, PlanWire, Report, update_data_centre_plan,
    update_instance_plan,
};

use crate::{
    mean_us,
    messages::Message,
    text::{self, DATA_CENTRES, DESIGN_SIZES, Sizes},
};

/// Instances of one data centre: 1,500 over 41.
const INSTANCES: usize = 37;
/// Time between two plan updates of a data centre that write.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Rounds of plan updates after which the plans no longer change.
const ROUNDS: usize = 8;

pub fn measure() -> Result<(), Box<dyn Error>> {
    println!(
        "\naccounts | share step us  plan bytes | seat step us  plan bytes | read both us | report bytes | allotments bytes"
    );
    for accounts in [10, 100, 300, 1_000] {
        let sizes = Sizes {
            accounts,
            blocks: 1_000,
            ..DESIGN_SIZES
        };
        print_row(&text::bundle(sizes)?)?;
    }
    Ok(())
}

fn print_row(bundle: &Bundle) -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::settled(bundle);
    let now = fleet.now.after(WRITE_INTERVAL);
    let reports = reports(bundle, fleet.instance_plans[1].as_ref());
    let data_centre_plan = fleet.data_centre_plan.ok_or("no data centre plan")?;
    let instance_plan = fleet.instance_plans[1].clone().ok_or("no instance plan")?;
    let dc_us = mean_us(|| {
        std::hint::black_box(update_data_centre_plan(
            Some(&data_centre_plan),
            "dc-1",
            bundle,
            Some(&instance_plan),
            &reports,
            LeaseTerms::DEFAULT,
            now,
        ));
    });
    let instance_us = mean_us(|| {
        std::hint::black_box(update_instance_plan(
            Some(&instance_plan),
            &data_centre_plan,
            "dc-1",
            &reports,
            LeaseTerms::DEFAULT,
            now,
        ));
    });
    let dc_bytes = serde_json::to_vec(&PlanWire::from(&data_centre_plan))?;
    let instance_bytes = serde_json::to_vec(&PlanWire::from(&instance_plan))?;
    let read_us = mean_us(|| {
        let data_centre_plan = serde_json::from_slice::<PlanWire<String>>(&dc_bytes);
        let instance_plan = serde_json::from_slice::<PlanWire<InstanceId>>(&instance_bytes);
        assert!(data_centre_plan.is_ok_and(|wire| DataCentrePlan::try_from(wire).is_ok()));
        assert!(instance_plan.is_ok_and(|wire| InstancePlan::try_from(wire).is_ok()));
    });
    let granted = instance_plan
        .allotments(&reports[0].instance)
        .ok_or("no allotments")?;
    println!(
        "{:8} | {dc_us:13.0}  {:10} | {instance_us:12.0}  {:10} | {read_us:12.0} | {:12} | {:16}",
        bundle.accounts.keys().count(),
        dc_bytes.len(),
        instance_bytes.len(),
        Message::Report(reports[0].clone()).encode().len(),
        Message::Allotments(granted).encode().len(),
    );
    Ok(())
}

/// Budget plans of all data centres.
struct Fleet {
    now: UnixTime,
    data_centre_plan: Option<DataCentrePlan>,
    instance_plans: Vec<Option<InstancePlan>>,
}

impl Fleet {
    /// Updates the plans of all data centres in turn until they no longer change.
    fn settled(bundle: &Bundle) -> Self {
        let mut fleet = Self {
            now: UnixTime::now(),
            data_centre_plan: None,
            instance_plans: vec![None; DATA_CENTRES],
        };
        for _ in 0..ROUNDS {
            for i in 0..DATA_CENTRES {
                fleet.step(bundle, i);
            }
            fleet.now = fleet.now.after(WRITE_INTERVAL);
        }
        fleet
    }

    fn step(&mut self, bundle: &Bundle, i: usize) {
        let (own, now) = (format!("dc-{i}"), self.now);
        let instance_plan = self.instance_plans[i].as_ref();
        let reports = reports(bundle, instance_plan);
        let data_centre_plan = self.data_centre_plan.as_ref();
        let next = update_data_centre_plan(
            data_centre_plan,
            &own,
            bundle,
            instance_plan,
            &reports,
            LeaseTerms::DEFAULT,
            now,
        );
        self.data_centre_plan = next.or_else(|| self.data_centre_plan.take());
        let Some(data_centre_plan) = &self.data_centre_plan else {
            return;
        };
        let next = update_instance_plan(
            instance_plan,
            data_centre_plan,
            &own,
            &reports,
            LeaseTerms::DEFAULT,
            now,
        );
        self.instance_plans[i] = next.or_else(|| self.instance_plans[i].take());
    }
}

/// Returns the reports of a data centre's instances, with demand for every client account.
fn reports(bundle: &Bundle, instance_plan: Option<&InstancePlan>) -> Vec<Report> {
    (0..INSTANCES)
        .map(|i| report(bundle, instance_plan, i))
        .collect()
}

fn report(bundle: &Bundle, instance_plan: Option<&InstancePlan>, i: usize) -> Report {
    let instance = InstanceId {
        name: format!("entry-{i:04}"),
        incarnation: u64::MAX / 3 + i as u64,
    };
    let allocation = instance_plan.and_then(|plan| plan.allocation(&instance));
    let accounts = bundle.accounts.values().enumerate();
    let demand = |n: usize| 20_000 + ((n * 31 + i * 17) % 997) as u64;
    Report {
        confirmed_generation: allocation.map(|allocation| allocation.generation),
        instance,
        is_leaving: false,
        demand_milli: accounts
            .map(|(n, account)| (account.id.clone(), demand(n)))
            .collect(),
    }
}
