//! Which backend server gets a request.

mod affinity;
mod choose;
mod entry;
mod fleet;
mod homes;
mod measurements;
mod ranking;
mod regions;
mod utilisation;

pub use affinity::{object_hash, rank_weight};
pub use choose::{Choice, ChoiceRequest, NoBackend};
pub use entry::{BackendKey, Entry, RequestOutcome};
pub use fleet::Fleet;
pub use measurements::{Health, ServiceTime};
pub use regions::{RegionLoad, RegionSplit};
