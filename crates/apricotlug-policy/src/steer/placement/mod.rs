//! Which backend server gets a request.

mod affinity;
mod choose;
mod entry;
mod estimate;
mod fleet;
mod homes;
mod machine_speed;
mod measurements;
mod ranking;
mod regions;
mod skill;
mod utilisation;
mod work_cost;
mod work_left;

pub use affinity::{object_hash, rank_weight};
pub use choose::{Choice, ChoiceRequest, NoBackend};
pub use entry::{BackendKey, Entry, RequestOutcome};
pub use estimate::Estimate;
pub use fleet::Fleet;
pub use machine_speed::{MachineSpeed, SpeedReading, SpeedSkill};
pub use measurements::{Health, ServiceTime};
pub use regions::{RegionLoad, RegionSplit};
pub use skill::Skill;
pub use work_cost::{CostKeys, WorkCosts};
