//! Limits that hold over all instances together, without a call for each request.

mod cold;
mod limit_share;
mod quota;
mod retry_budget;

pub use cold::{ColdGate, usable_cold_rate};
pub use limit_share::{KnownInstance, LimitShare};
pub use quota::{Quotas, ReportDelay, ReportInterval};
pub use retry_budget::ServiceRetryBudget;
