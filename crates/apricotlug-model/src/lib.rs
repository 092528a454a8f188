//! Plain types shared by every apricotlug crate: keys and arenas, units, points in time, the
//! evaluated bundle, findings and the one error enum. Depends on no other apricotlug crate.

mod arena;
mod block;
mod bundle;
mod error;
mod finding;
mod key;
mod plan;
mod store_version;
mod time;

pub use arena::Arena;
pub use block::{Block, BlockTable};
pub use bundle::{
    Access, Account, Bundle, BundleVersion, Credential, DataCentre, Endpoint, Link, Move, Operator,
    Region, Repeat, Role, Route, SecretHash, Service, ServiceVersion, Site,
};
pub use error::{Error, Result};
pub use finding::{Finding, FindingCode, Findings, Place};
pub use key::{
    AccountKey, DataCentreKey, EndpointKey, InstanceId, RegionKey, RouteKey, ServiceKey, SiteKey,
    VersionKey,
};
pub use plan::{
    Backend, BackendState, CallerLimits, Exchange, MoveOrder, MoveState, MoveStatus, Part, Plan,
    PlanAccount, PlanRoute, PlanService, PlanVersion,
};
pub use store_version::StoreVersion;
pub use time::{BootTime, MonoTime, UnixTime};

/// Hash map with a fast hasher, for keys that no outsider chooses.
pub type HashMap<K, V> = std::collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// Hash set with a fast hasher, for keys that no outsider chooses.
pub type HashSet<K> = std::collections::HashSet<K, rustc_hash::FxBuildHasher>;
