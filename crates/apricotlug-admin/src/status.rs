//! State of the fleet, as operators see it.

use std::net::SocketAddr;

use apricotlug_model::{BundleVersion, UnixTime};
use serde::{Deserialize, Serialize};

/// State of an instance, seen from the one that answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Takes new work.
    Ready,
    /// Holds no bundle yet and serves nothing.
    Empty,
    /// Finishes its work and takes no more.
    Leaving,
    /// Has not been heard of for a while.
    Suspect,
    /// Counts as gone.
    Dead,
}

impl InstanceState {
    /// Returns the word that tables show.
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

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// State.
    pub state: InstanceState,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Version of its bundle; `None` where it has none.
    pub bundle: Option<BundleVersion>,
    /// Load in thousandths of its capacity, where it is known.
    pub load: Option<u16>,
}

/// The platform, seen from the instance that answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStatus {
    /// Whether the last call was answered.
    pub is_reachable: bool,
    /// Point of the last answer; `None` before the first.
    pub answered_at: Option<UnixTime>,
    /// Calls so far.
    pub calls: u64,
}

/// Budget of a client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountStatus {
    /// Id.
    pub id: String,
    /// Allowed requests a second, over all instances.
    pub rate: u32,
    /// Requests a second that were admitted lately.
    pub admitted: u32,
    /// Requests a second that were refused lately although inside the rate.
    pub refused_in_rate: u32,
}

/// Load of a region against its cap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// Id.
    pub id: String,
    /// Slots of its endpoints that are not draining.
    pub slots: u32,
    /// Slots that requests may occupy.
    pub cap: u32,
    /// Slots occupied lately.
    pub occupied: u32,
    /// Slots occupied by requests shifted from other regions.
    pub shifted: u32,
}

/// Where a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveStage {
    /// Traffic moves, stage by stage.
    Running,
    /// An operator holds it.
    Paused,
    /// The new version has all the traffic.
    Done,
    /// The old version has all the traffic again.
    TakenBack,
}

impl MoveStage {
    /// Returns the word that tables show.
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
    /// Service.
    pub service: String,
    /// Version that the traffic leaves.
    pub from: String,
    /// Version that comes in.
    pub to: String,
    /// Where it stands.
    pub stage: MoveStage,
    /// Share of the new version, in thousandths.
    pub share: u16,
    /// Point by which it must be finished.
    pub deadline: UnixTime,
    /// Why it stands there.
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
    /// Instance that answers.
    pub instance: String,
    /// Point of the answer.
    pub at: UnixTime,
    /// Version of its bundle; `None` where it has none.
    pub bundle: Option<BundleVersion>,
    /// The platform.
    pub platform: PlatformStatus,
    /// Instances by name.
    pub instances: Vec<InstanceStatus>,
    /// Regions.
    pub regions: Vec<RegionStatus>,
    /// Client accounts.
    pub accounts: Vec<AccountStatus>,
    /// Moves.
    pub moves: Vec<MoveStatus>,
    /// Withdrawn keys that some instances have not confirmed, with those instances.
    pub unconfirmed: Vec<Unconfirmed>,
}

/// Withdrawn key that some instances have not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unconfirmed {
    /// Public id of the key.
    pub key: String,
    /// Names of the instances.
    pub instances: Vec<String>,
}
