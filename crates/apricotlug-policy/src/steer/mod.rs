//! Steering of requests to a changing set of backend servers: choice of the backend server,
//! admission, retry budgets, and version moves of a service.

mod admit;
mod affinity;
mod caller_waits;
mod choose;
mod cold;
mod entry;
mod fleet;
mod homes;
mod leave;
mod limit_share;
mod measurements;
mod quota;
mod ranking;
mod read_schedule;
mod regions;
mod retry_budget;
mod rollout;

pub use admit::{AdmissionDecision, RequestLimits, decide_admission, retry_after_ms};
pub use affinity::{object_hash, rank_weight};
pub use caller_waits::CallerWaits;
pub use choose::{Choice, ChoiceRequest, NoBackend};
pub use cold::{ColdGate, usable_cold_rate};
pub use entry::{BackendKey, Entry, RequestOutcome};
pub use fleet::Fleet;
pub use leave::Leave;
pub use limit_share::{KnownInstance, LimitShare};
pub use measurements::{Health, ServiceTime};
pub use quota::{Quotas, ReportDelay, ReportInterval};
pub use read_schedule::{Read, ReadLimits, ReadSchedule, ReadSources};
pub use regions::{RegionLoad, RegionSplit};
pub use retry_budget::ServiceRetryBudget;
pub use rollout::{Evidence, MoveDecision, Rollout, Stage};
