//! Steering of requests to backend servers that come and go: where a request goes, whether it is
//! admitted, whether it may go again, and how a service moves to another version.

mod admit;
mod again;
mod cold;
mod fleet;
mod gauge;
mod quota;
mod rollout;
mod waits;
mod warmth;

pub use admit::{Patience, Verdict, judge, retry_after_ms};
pub use again::AgainBudget;
pub use cold::ColdGate;
pub use fleet::{BackendKey, Cost, Ended, Entry, Fleet, NoPlace, Wanted};
pub use gauge::{Health, ServiceTime};
pub use quota::{Quotas, Tick};
pub use rollout::{Evidence, Judgement, Rollout, Stage};
pub use waits::Waits;
pub use warmth::{object_hash, rank_weight};
