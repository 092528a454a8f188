//! Steering of requests to a changing set of backend servers: choice of the backend server,
//! admission, retry budgets, and version moves of a service.

mod admit;
mod again;
mod choose;
mod cold;
mod entry;
mod fleet;
mod gauge;
mod quota;
mod ranks;
mod regions;
mod rollout;
mod waits;
mod warmth;
mod wide;

pub use admit::{Patience, Verdict, judge, retry_after_ms};
pub use again::AgainBudget;
pub use choose::{Cost, NoPlace, Wanted};
pub use cold::ColdGate;
pub use entry::{BackendKey, Ended, Entry};
pub use fleet::Fleet;
pub use gauge::{Health, ServiceTime};
pub use quota::{Quotas, Tick};
pub use regions::{RegionLoad, RegionSplit};
pub use rollout::{Evidence, Judgement, Rollout, Stage};
pub use waits::Waits;
pub use warmth::{object_hash, rank_weight};
