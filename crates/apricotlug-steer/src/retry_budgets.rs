//! Retry budgets of all services.

use std::time::Duration;

use apricotlug_config::SiteBounds;
use apricotlug_model::HashMap;
use apricotlug_policy::steer::ServiceRetryBudget;

/// Retry budgets by service, each created on first use.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    by_service: HashMap<String, ServiceRetryBudget>,
    window: Duration,
    ratio: f64,
    slack: f64,
}

impl RetryBudgets {
    /// Creates the budgets that an installation's bounds allow.
    pub fn new(bounds: &SiteBounds) -> Self {
        Self {
            by_service: HashMap::default(),
            window: Duration::from_millis(bounds.retry_window_ms.into()),
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
        }
    }

    /// Returns the budget of a service.
    pub fn of_service(&mut self, service: &str) -> &mut ServiceRetryBudget {
        self.by_service
            .entry(service.to_owned())
            .or_insert_with(|| ServiceRetryBudget::new(self.window, self.ratio, self.slack))
    }
}
