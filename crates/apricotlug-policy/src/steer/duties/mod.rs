//! Duties that one instance at a time has for all: who holds one, and the usage of client accounts
//! that its holder reports.

mod collection;
mod holder;
mod outbox;
mod record;
mod usage_counts;
mod wall_anchor;

pub use collection::Collection;
pub use holder::{DutyHolder, DutyStep, DutyWrite};
pub use outbox::{LostWindow, Outbox};
pub use record::{DutyInstance, DutyRecord, DutyTerms, WindowCounts, window_end, window_number};
pub use usage_counts::{SentRequest, UsageCounts};
pub use wall_anchor::WallAnchor;
