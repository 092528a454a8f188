//! Updates this data centre's share of the budgets and divides it among its instances.
//!
//! The delegate of a data centre updates the plans. Every write is a compare-and-swap, so that two
//! delegates at once only cause conflicts.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use apricotlug_edge::Shared;
use apricotlug_model::{InstanceId, MonoTime};
use apricotlug_platform::{Client, Entry, Error, Swap};
use apricotlug_policy::budget::{
    Allotments, DataCentrePlan, InstancePlan, LeaseTerms, Now, Plan, PlanWire, Report,
    update_data_centre_plan, update_instance_plan,
};
use serde::{Serialize, de::DeserializeOwned};

/// Platform key of the plan that divides budgets among data centres.
const DATA_CENTRE_PLAN_KEY: &str = "seats/shares";

/// Time after which a report is discarded.
const REPORT_LIFETIME: std::time::Duration = std::time::Duration::from_secs(5);

/// Latest report of each instance of this data centre, with the time at which it is discarded.
#[derive(Debug, Default)]
pub struct Reports(Mutex<BTreeMap<InstanceId, (Report, MonoTime)>>);

impl Reports {
    /// Stores a report in place of the instance's last one.
    pub fn put(&self, report: Report, now: MonoTime) {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.insert(
            report.instance.clone(),
            (report, now.after(REPORT_LIFETIME)),
        );
    }

    /// Returns the generation of allotments that an instance has confirmed, if any.
    pub fn confirmed(&self, id: &InstanceId) -> Option<u64> {
        let reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports
            .get(id)
            .and_then(|(report, _)| report.confirmed_generation)
    }

    fn recent(&self, now: MonoTime) -> Vec<Report> {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|_, (_, expires_at)| !expires_at.is_past(now));
        reports.values().map(|(report, _)| report.clone()).collect()
    }
}

/// Plans as last read from the platform; absent where not read or not stored.
#[derive(Debug, Default)]
struct StoredPlans {
    data_centre_plan: Option<Entry>,
    instance_plan: Option<Entry>,
}

/// Updates the budget plans on behalf of one data centre.
#[derive(Debug)]
pub struct PlanDriver {
    shared: Arc<Shared>,
    client: Client,
    reports: Arc<Reports>,
    stored: StoredPlans,
}

/// Failure to update a plan.
#[derive(Debug, thiserror::Error)]
pub enum UpdateError {
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] Error),
    /// A plan could not be encoded or decoded.
    #[error("malformed budget plan: {0}")]
    Malformed(String),
}

impl PlanDriver {
    /// Creates the driver, with no plan read yet.
    #[must_use]
    pub fn new(shared: Arc<Shared>, client: Client, reports: Arc<Reports>) -> Self {
        Self {
            shared,
            client,
            reports,
            stored: StoredPlans::default(),
        }
    }

    /// Updates both plans where due. Returns the allotments of the instances; none without a bundle
    /// or after a lost write.
    ///
    /// # Errors
    /// Returns an error where a call to the platform fails or a plan is malformed.
    pub async fn update(&mut self) -> Result<Vec<Allotments>, UpdateError> {
        let Some(bundle) = self.shared.view.load().bundle.clone() else {
            return Ok(Vec::new());
        };
        let own = self.shared.data_centre.as_str();
        let instance_plan_key = format!("seats/{own}");
        self.stored.data_centre_plan = self.client.get(DATA_CENTRE_PLAN_KEY).await?;
        if self.stored.instance_plan.is_none() {
            self.stored.instance_plan = self.client.get(&instance_plan_key).await?;
        }
        let reports = self.reports.recent(self.shared.clock.now());
        let instance_plan: Option<InstancePlan> = decode(self.stored.instance_plan.as_ref())?;
        let mut data_centre_plan: Option<DataCentrePlan> =
            decode(self.stored.data_centre_plan.as_ref())?;
        let now = self.shared.clock.unix();
        let next = update_data_centre_plan(
            data_centre_plan.as_ref(),
            own,
            &bundle,
            instance_plan.as_ref(),
            &reports,
            LeaseTerms::DEFAULT,
            now,
        );
        if let Some(plan) = next {
            let is_written = self
                .write(
                    DATA_CENTRE_PLAN_KEY,
                    self.stored.data_centre_plan.as_ref(),
                    &plan,
                )
                .await?;
            if !is_written {
                return Ok(Vec::new());
            }
            data_centre_plan = Some(plan);
        }
        let Some(data_centre_plan) = data_centre_plan else {
            return Ok(Vec::new());
        };
        let next = update_instance_plan(
            instance_plan.as_ref(),
            &data_centre_plan,
            own,
            &reports,
            LeaseTerms::DEFAULT,
            now,
        );
        let plan = match next {
            None => instance_plan,
            Some(plan) => {
                let is_written = self
                    .write(
                        &instance_plan_key,
                        self.stored.instance_plan.as_ref(),
                        &plan,
                    )
                    .await?;
                self.stored.instance_plan = None;
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
            .allocations
            .iter()
            .filter_map(|allocation| plan.allotments(&allocation.holder))
            .collect())
    }

    async fn write<H: Clone + Serialize>(
        &self,
        key: &str,
        expected: Option<&Entry>,
        plan: &Plan<H>,
    ) -> Result<bool, UpdateError> {
        let bytes = serde_json::to_vec(&PlanWire::from(plan))
            .map_err(|e| UpdateError::Malformed(e.to_string()))?;
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

fn decode<H: DeserializeOwned>(entry: Option<&Entry>) -> Result<Option<Plan<H>>, UpdateError> {
    let Some(entry) = entry else { return Ok(None) };
    let malformed =
        |e: &dyn std::fmt::Display| UpdateError::Malformed(format!("{}: {e}", entry.key));
    let wire: PlanWire<H> = serde_json::from_slice(&entry.value).map_err(|e| malformed(&e))?;
    Plan::try_from(wire).map(Some).map_err(|e| malformed(&e))
}

/// Measures the demand at this instance since the last report; `None` before the first bundle.
pub fn report(shared: &Shared) -> Option<Report> {
    let now = shared.clock.now();
    shared.decisions.with_budgets(|budgets| budgets.report(now))
}

/// Installs allotments if they are granted to this run and newer than those installed.
pub fn install(shared: &Shared, allotments: &Allotments) {
    // The monotonic clock is read first: a pause between the two readings only shortens the
    // deadlines.
    let now = Now {
        mono: shared.clock.now(),
        unix: shared.clock.unix(),
    };
    shared
        .decisions
        .with_budgets(|budgets| budgets.install(allotments, now));
}
