//! State of the fleet, as reported to operators.

use std::net::SocketAddr;

use apricotlug_model::{BundleVersion, UnixTime};
use serde::{Deserialize, Serialize};

/// State of an instance, as seen by the instance that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Accepts new requests.
    Ready,
    /// Holds no bundle yet and serves nothing.
    Empty,
    /// Finishes its requests in flight before it stops.
    Leaving,
    /// Has sent no heartbeat recently.
    Suspect,
    /// Is considered failed or stopped.
    Dead,
}

impl InstanceState {
    /// Returns the name shown in tables.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Empty => "empty",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
        }
    }
}

/// Status of one entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: String,
    /// Id of the instance's data centre.
    pub data_centre: String,
    /// State as seen by the instance that reports it.
    pub state: InstanceState,
    /// Address at which callers send requests.
    pub caller: SocketAddr,
    /// Version of the instance's bundle; `None` where it has none.
    pub bundle: Option<BundleVersion>,
    /// Load in thousandths of the instance's slots; `None` where it is not known.
    pub load: Option<u16>,
}

/// State of the platform, as seen by the instance that reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the platform has answered a call recently.
    pub is_reachable: bool,
    /// Time of the last answer; `None` before the first.
    pub answered_at: Option<UnixTime>,
    /// Number of calls since the start of the instance.
    pub calls: u64,
}

/// Use of a client account's rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// Id of the client account.
    pub id: String,
    /// Allowed requests per second, over all instances.
    pub rate: u32,
    /// Requests per second that were admitted recently.
    pub admitted: u32,
    /// Requests per second that were refused recently although within the rate.
    pub refused_in_rate: u32,
}

/// Load of a region against its cap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// Id of the region.
    pub id: String,
    /// Slots of its endpoints that are not draining.
    pub slots: u32,
    /// Number of slots that requests may occupy.
    pub cap: u32,
    /// Slots that requests occupy.
    pub occupied: u32,
    /// Slots occupied by requests shifted from other regions.
    pub shifted: u32,
}

/// Stage of a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveStage {
    /// Traffic moves to the new version stage by stage.
    Running,
    /// An operator has paused the move.
    Paused,
    /// The new version has all the traffic.
    Done,
    /// All traffic has been returned to the old version.
    TakenBack,
}

impl MoveStage {
    /// Returns the name shown in tables.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Paused => "paused",
            Self::Done => "done",
            Self::TakenBack => "taken back",
        }
    }
}

/// Move of a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// Id of the service.
    pub service: String,
    /// Version that the traffic leaves.
    pub from: String,
    /// Version that the traffic moves to.
    pub to: String,
    /// Stage of the move.
    pub stage: MoveStage,
    /// Share of the traffic that the new version gets, in thousandths.
    pub share: u16,
    /// Time by which the move must be finished; otherwise it is taken back.
    pub deadline: UnixTime,
    /// Reason for the stage, as text for operators.
    pub reason: String,
}

/// Moves of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moves {
    /// Moves by service.
    pub moves: Vec<MoveStatus>,
}

/// State of the fleet, seen from one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Name of the instance that reports the state.
    pub instance: String,
    /// Time of the report.
    pub at: UnixTime,
    /// Version of that instance's bundle; `None` where it has none.
    pub bundle: Option<BundleVersion>,
    /// State of the platform.
    pub platform: PlatformStatus,
    /// Instances by name.
    pub instances: Vec<InstanceStatus>,
    /// Regions of the bundle with their load; empty without a bundle.
    pub regions: Vec<RegionStatus>,
    /// Client accounts with the use of their rates.
    pub accounts: Vec<AccountStatus>,
    /// Version moves of all services.
    pub moves: Vec<MoveStatus>,
    /// Withdrawn keys that some instances have not confirmed, with those instances.
    pub unconfirmed: Vec<Unconfirmed>,
}

/// Withdrawn key that some instances have not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unconfirmed {
    /// Public id of the key.
    pub key: String,
    /// Names of the instances that have not confirmed its withdrawal.
    pub instances: Vec<String>,
}
