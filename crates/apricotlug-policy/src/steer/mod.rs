//! Steering of requests to a changing set of backend servers, grouped by decision: whether a request
//! is admitted, where it goes, what it may use of limits over all instances, where the store's items
//! are read, which version of a service answers, and what one instance does for all.

mod admission;
mod duties;
mod limits;
mod placement;
mod read_schedule;
mod rollout;

pub use admission::{
    AdmissionDecision, BodyKey, BodyRoom, BodyRoomDecision, CallerWaits, Leave, Rank, RankGate,
    RankedRequest, RequestLimits, Room, decide_admission, ranks_by_service, retry_after_ms,
};
pub use duties::{
    Collection, DutyHolder, DutyInstance, DutyRecord, DutyStep, DutyTerms, DutyWrite, LostWindow,
    Outbox, SentRequest, UsageCounts, WallAnchor, WindowCounts, window_end, window_number,
};
pub use limits::{
    ColdGate, KnownInstance, LimitShare, Quotas, ReportDelay, ReportInterval, ServiceRetryBudget,
    usable_cold_rate,
};
pub use placement::{
    BackendKey, Choice, ChoiceRequest, CostKeys, Entry, Estimate, Fleet, Health, MachineSpeed,
    NoBackend, RegionLoad, RegionSplit, RequestOutcome, ServiceTime, Skill, SpeedReading,
    SpeedSkill, WorkCosts, object_hash, rank_weight,
};
pub use read_schedule::{Read, ReadLimits, ReadSchedule, ReadSources};
pub use rollout::{Evidence, MoveDecision, Rollout, Stage};
