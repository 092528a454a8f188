//! Measures the cost of budgets: nanoseconds per admission, size of the plan records, and duration
//! of a plan update: `cargo run --release -p apricotlug-policy --example budget_cost`.

use std::{
    collections::BTreeMap,
    hint::black_box,
    time::{Duration, Instant},
};

use apricotlug_model::{
    Account, AccountKey, Bundle, BundleVersion, InstanceId, MonoTime, UnixTime,
};
use apricotlug_policy::budget::{
    Admission, Budgets, DataCentrePlan, DataCentrePlanWire, InstancePlan, InstancePlanWire,
    LeaseTerms, Now, Report, update_data_centre_plan, update_instance_plan,
};

const ADMISSIONS: u64 = 5_000_000;
const ROUNDS: u32 = 5;
/// Simulated time between two admissions.
const GAP: Duration = Duration::from_micros(5);
const LEASE: Duration = Duration::from_secs(600);
const EPOCH: UnixTime = UnixTime(1_700_000_000_000_000);

/// Size limit of a value in the platform, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

fn bundle(accounts: usize) -> Bundle {
    let account = |i| Account {
        id: format!("account-{i:04}"),
        rate: 20_000,
        burst: 20_000,
    };
    Bundle {
        version: BundleVersion(1),
        accounts: (0..accounts).map(account).collect(),
        ..Bundle::default()
    }
}

fn instance(dc: usize, i: usize) -> InstanceId {
    InstanceId {
        name: format!("entry-{dc:02}-{i:03}"),
        incarnation: 0x9e37_79b9_7f4a_7c15 ^ (dc * 1_000 + i) as u64,
    }
}

fn report(bundle: &Bundle, dc: usize, i: usize) -> Report {
    let accounts = bundle.accounts.values().enumerate();
    let demand = |n: usize| 1_000 + ((n * 7 + dc * 13 + i * 5) % 11) as u64 * 900;
    Report {
        instance: instance(dc, i),
        confirmed_generation: None,
        is_leaving: false,
        demand_milli: accounts.map(|(n, a)| (a.id.clone(), demand(n))).collect(),
    }
}

/// Returns the data centre plan, and the instance plan and the reports of the first data centre.
fn plans(
    bundle: &Bundle,
    dcs: usize,
    instances: usize,
) -> (DataCentrePlan, InstancePlan, Vec<Report>) {
    let per_dc = instances.div_ceil(dcs);
    let reports: Vec<Report> = (0..per_dc).map(|i| report(bundle, 0, i)).collect();
    let mut data_centre_plan: Option<DataCentrePlan> = None;
    for round in 0..3 {
        for dc in 0..dcs {
            let name = format!("data-centre-{dc:02}");
            let own: Vec<Report> = (0..per_dc).map(|i| report(bundle, dc, i)).collect();
            // Rounds are 2000 s apart so that leases expire and every data centre gets its share.
            let now = EPOCH.after(Duration::from_secs(round * 2_000));
            let terms = LeaseTerms::DEFAULT;
            let next = update_data_centre_plan(
                data_centre_plan.as_ref(),
                &name,
                bundle,
                None,
                &own,
                terms,
                now,
            );
            data_centre_plan = next.or(data_centre_plan);
        }
    }
    let data_centre_plan =
        data_centre_plan.unwrap_or_else(|| unreachable!("the first update always writes"));
    let now = EPOCH.after(Duration::from_secs(4_000));
    let instance_plan = update_instance_plan(
        None,
        &data_centre_plan,
        "data-centre-00",
        &reports,
        LeaseTerms::DEFAULT,
        now,
    );
    let instance_plan =
        instance_plan.unwrap_or_else(|| unreachable!("the first update always writes"));
    (data_centre_plan, instance_plan, reports)
}

fn time(mut op: impl FnMut()) -> Duration {
    let run = |_| {
        let start = Instant::now();
        op();
        start.elapsed()
    };
    (0..ROUNDS).map(run).min().unwrap_or_default()
}

fn measure_admissions(accounts: usize) {
    let bundle = bundle(accounts);
    let own = instance(0, 0);
    let (_, instance_plan, _) = plans(&bundle, 1, 1);
    let mut budgets = Budgets::new(own.clone(), &bundle, MonoTime(0));
    let Some(mut allotments) = instance_plan.allotments(&own) else {
        return;
    };
    let mut now = Now {
        mono: MonoTime(0),
        unix: EPOCH,
    };
    let (mut granted, mut nanos) = (0_u64, f64::MAX);
    for _ in 0..ROUNDS {
        allotments.generation += 1;
        allotments.floor_until = now.unix.after(LEASE);
        allotments.surplus_until = now.unix.after(LEASE);
        budgets.install(&allotments, now);
        let start = Instant::now();
        for i in 0..ADMISSIONS {
            let account = AccountKey(((i * 7_919) % accounts as u64) as u32);
            let admission = budgets.admit(account, now.mono.after(GAP * (i as u32)));
            granted += u64::from(admission == Admission::Granted);
        }
        nanos = nanos.min(start.elapsed().as_nanos() as f64 / ADMISSIONS as f64);
        now.mono = now.mono.after(GAP * (ADMISSIONS as u32));
        now.unix = now.unix.after(GAP * (ADMISSIONS as u32));
    }
    let share = 100.0 * granted as f64 / (u64::from(ROUNDS) * ADMISSIONS) as f64;
    println!("| {accounts} | {nanos:.1} | {share:.0}% |");
}

fn measure_records(dcs: usize, instances: usize, accounts: usize) {
    let bundle = bundle(accounts);
    let (data_centre_plan, instance_plan, reports) = plans(&bundle, dcs, instances);
    let data_centre_plan_text =
        serde_json::to_string(&DataCentrePlanWire::from(&data_centre_plan)).unwrap_or_default();
    let instance_plan_text =
        serde_json::to_string(&InstancePlanWire::from(&instance_plan)).unwrap_or_default();
    let now = EPOCH.after(Duration::from_secs(4_006));
    let name = "data-centre-00";
    let terms = LeaseTerms::DEFAULT;
    let data_centre_plan_time = time(|| {
        let next = update_data_centre_plan(
            Some(&data_centre_plan),
            name,
            &bundle,
            Some(&instance_plan),
            &reports,
            terms,
            now,
        );
        black_box(next);
    });
    let instance_plan_time = time(|| {
        black_box(update_instance_plan(
            Some(&instance_plan),
            &data_centre_plan,
            name,
            &reports,
            terms,
            now,
        ));
    });
    let codec_time = time(|| {
        let read: Result<InstancePlanWire, _> = serde_json::from_str(&instance_plan_text);
        black_box(read.is_ok());
        let read: Result<DataCentrePlanWire, _> = serde_json::from_str(&data_centre_plan_text);
        black_box(read.is_ok());
        black_box(serde_json::to_string(&InstancePlanWire::from(&instance_plan)).is_ok());
        black_box(serde_json::to_string(&DataCentrePlanWire::from(&data_centre_plan)).is_ok());
    });
    let sizes: BTreeMap<&str, usize> = BTreeMap::from([
        ("shares", data_centre_plan_text.len()),
        ("seats", instance_plan_text.len()),
    ]);
    let fits = sizes.values().all(|size| *size <= MAX_VALUE_BYTES);
    println!(
        "| {dcs} | {instances} | {accounts} | {} | {} | {} | {:.2} | {:.2} | {:.2} |",
        sizes["shares"],
        sizes["seats"],
        if fits { "yes" } else { "no" },
        data_centre_plan_time.as_secs_f64() * 1e3,
        instance_plan_time.as_secs_f64() * 1e3,
        codec_time.as_secs_f64() * 1e3,
    );
}

fn main() {
    println!("| accounts | ns per admission | granted |\n|---|---|---|");
    for accounts in [10, 100, 1_000] {
        measure_admissions(accounts);
    }
    println!(
        "\n| data centres | instances | accounts | share plan, bytes | seat plan, bytes | under 1 MiB \
         | share plan update, ms | seat plan update, ms | read and write JSON, ms |"
    );
    println!("|{}", "---|".repeat(9));
    for (dcs, instances) in [(6, 9), (41, 1_500)] {
        for accounts in [8, 100, 1_000] {
            measure_records(dcs, instances, accounts);
        }
    }
}
