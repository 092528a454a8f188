//! Keeps this data centre's part of the budgets and divides it among its instances.
//!
//! The delegate of a data centre takes the steps; two delegates at once only cost conflicts,
//! since every write is a compare-and-swap.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use apricotlug_edge::Shared;
use apricotlug_model::{InstanceId, MonoTime};
use apricotlug_platform::{Client, Entry, Error, Swap};
use apricotlug_policy::budget::{
    Allotments, Now, Plan, PlanWire, Report, SeatPlan, SharePlan, Terms, step_seats, step_shares,
};
use serde::{Serialize, de::DeserializeOwned};

/// Key of the division among data centres.
const SHARES_KEY: &str = "seats/shares";

/// Time after which a report counts no more.
const REPORT_LIFE: std::time::Duration = std::time::Duration::from_secs(5);

/// Reports of the instances of this data centre, with the point at which each counts no more.
#[derive(Debug, Default)]
pub struct Reports(Mutex<BTreeMap<InstanceId, (Report, MonoTime)>>);

impl Reports {
    /// Takes a report in place of the instance's last one.
    pub fn put(&self, report: Report, now: MonoTime) {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.insert(report.instance.clone(), (report, now.after(REPORT_LIFE)));
    }

    /// Returns the generation that an instance has confirmed.
    pub fn confirmed(&self, id: &InstanceId) -> Option<u64> {
        let reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.get(id).and_then(|(report, _)| report.confirmed)
    }

    fn recent(&self, now: MonoTime) -> Vec<Report> {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|_, (_, forget_at)| !forget_at.is_past(now));
        reports.values().map(|(report, _)| report.clone()).collect()
    }
}

/// Plans as they stand in the platform, as far as this instance knows.
#[derive(Debug, Default)]
struct Known {
    shares: Option<Entry>,
    seats: Option<Entry>,
}

/// Driver of the plans of one data centre.
#[derive(Debug)]
pub struct Seats {
    shared: Arc<Shared>,
    client: Client,
    reports: Arc<Reports>,
    known: Known,
}

/// Why a step failed.
#[derive(Debug, thiserror::Error)]
pub enum StepError {
    /// The platform could not be asked.
    #[error(transparent)]
    Platform(#[from] Error),
    /// A record is malformed.
    #[error("malformed record: {0}")]
    Malformed(String),
}

impl Seats {
    /// Creates the driver.
    #[must_use]
    pub fn new(shared: Arc<Shared>, client: Client, reports: Arc<Reports>) -> Self {
        Self {
            shared,
            client,
            reports,
            known: Known::default(),
        }
    }

    /// Takes one step on both plans. Returns the allotments of the instances.
    ///
    /// # Errors
    /// Returns an error where the platform cannot be asked or a record is malformed.
    pub async fn step(&mut self) -> Result<Vec<Allotments>, StepError> {
        let Some(bundle) = self.shared.view.load().bundle.clone() else {
            return Ok(Vec::new());
        };
        let own = self.shared.data_centre.as_str();
        let seats_key = format!("seats/{own}");
        self.known.shares = self.client.get(SHARES_KEY).await?;
        if self.known.seats.is_none() {
            self.known.seats = self.client.get(&seats_key).await?;
        }
        let reports = self.reports.recent(self.shared.clock.now());
        let seats: Option<SeatPlan> = decode(self.known.seats.as_ref())?;
        let mut shares: Option<SharePlan> = decode(self.known.shares.as_ref())?;
        let now = self.shared.clock.unix();
        let next = step_shares(
            shares.as_ref(),
            own,
            &bundle,
            seats.as_ref(),
            &reports,
            Terms::DEFAULT,
            now,
        );
        if let Some(plan) = next {
            let is_written = self
                .write(SHARES_KEY, self.known.shares.as_ref(), &plan)
                .await?;
            if !is_written {
                return Ok(Vec::new());
            }
            shares = Some(plan);
        }
        let Some(shares) = shares else {
            return Ok(Vec::new());
        };
        let next = step_seats(seats.as_ref(), &shares, own, &reports, Terms::DEFAULT, now);
        let plan = match next {
            None => seats,
            Some(plan) => {
                let is_written = self
                    .write(&seats_key, self.known.seats.as_ref(), &plan)
                    .await?;
                self.known.seats = None;
                if !is_written {
                    return Ok(Vec::new());
                }
                Some(plan)
            }
        };
        let Some(plan) = plan else {
            return Ok(Vec::new());
        };
        Ok(plan
            .seats
            .iter()
            .filter_map(|seat| plan.allotments(&seat.holder))
            .collect())
    }

    async fn write<H: Clone + Serialize>(
        &self,
        key: &str,
        expected: Option<&Entry>,
        plan: &Plan<H>,
    ) -> Result<bool, StepError> {
        let bytes = serde_json::to_vec(&PlanWire::from(plan))
            .map_err(|e| StepError::Malformed(e.to_string()))?;
        let swap = self.client.compare_and_swap(key, expected, &bytes).await?;
        Ok(matches!(
            swap,
            Swap::Written {
                is_superseded: false,
                ..
            }
        ))
    }
}

fn decode<H: DeserializeOwned>(entry: Option<&Entry>) -> Result<Option<Plan<H>>, StepError> {
    let Some(entry) = entry else { return Ok(None) };
    let malformed = |e: &dyn std::fmt::Display| StepError::Malformed(format!("{}: {e}", entry.key));
    let wire: PlanWire<H> = serde_json::from_slice(&entry.value).map_err(|e| malformed(&e))?;
    Plan::try_from(wire).map(Some).map_err(|e| malformed(&e))
}

/// Measures the demand here since the last report.
pub fn report(shared: &Shared) -> Option<Report> {
    let now = shared.clock.now();
    shared.gate.with_budgets(|budgets| budgets.report(now))
}

/// Installs allotments, if they are meant for this run and newer than those installed.
pub fn install(shared: &Shared, allotments: &Allotments) {
    // The monotonic clock is read first: a pause in between only shortens the deadlines.
    let now = Now {
        mono: shared.clock.now(),
        unix: shared.clock.unix(),
    };
    shared
        .gate
        .with_budgets(|budgets| budgets.install(allotments, now));
}
