//! The plan in force: what an installation's operators ask for, evaluated for the request path.

use std::net::SocketAddr;

use crate::{AccountKey, Arena, HashMap, RouteKey};

/// Version of a plan. The highest version wins everywhere.
pub type PlanVersion = u64;

/// What requests of a route may do and how their answers travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// Running it again does no harm; the answer is small.
    Idempotent,
    /// It runs at most once.
    Once,
    /// Running it again does no harm; the answer is large.
    Download,
}

impl Exchange {
    /// Tells whether a request may run more than once.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        self != Self::Once
    }
}

/// Part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Name of the service.
    pub service: String,
    /// Weight against the other parts.
    pub weight: f64,
}

/// Route of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanRoute {
    /// Name.
    pub id: String,
    /// Host that the request names.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What its requests may do.
    pub exchange: Exchange,
    /// Services that answer; one part, or several by weight.
    pub parts: Vec<Part>,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u32,
    /// Time within which an answer has its full worth, in milliseconds.
    pub target_ms: u32,
    /// Most backend servers that one request is sent to.
    pub attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Regions that may serve it; empty for all.
    pub homes: Vec<String>,
    /// Whether callers need no key.
    pub is_open: bool,
    /// Whether requests for one object are faster where that object was handled lately.
    pub has_affinity: bool,
}

/// Client account of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanAccount {
    /// Name.
    pub id: String,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Requests per second over all instances; 0 for no limit.
    pub rate: f64,
    /// Requests at once beyond the rate, over all instances.
    pub burst: f64,
    /// Regions that may serve it; empty for all.
    pub homes: Vec<String>,
}

/// Service of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanService {
    /// Path that tells a backend server's health.
    pub health_path: String,
    /// Connections that a backend server accepts from all callers.
    pub connection_limit: u32,
    /// Time for which a backend server is cold after its start, in milliseconds.
    pub cold_ms: u32,
    /// Requests per second that a cold backend server bears; 0 for no limit.
    pub cold_rate: f64,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Longest time that a head may take, in milliseconds.
    pub head_ms: u32,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 << 20,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// Evaluated plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Version.
    pub version: PlanVersion,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Client accounts.
    pub accounts: Arena<AccountKey, PlanAccount>,
    /// Account of each API key.
    pub keys: HashMap<String, AccountKey>,
    /// Routes.
    pub routes: Arena<RouteKey, PlanRoute>,
    /// Routes of each host, longest prefix first.
    pub hosts: HashMap<String, Vec<RouteKey>>,
    /// Services by name.
    pub services: HashMap<String, PlanService>,
}

impl Plan {
    /// Returns the route of a host with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .copied()
            .find(|key| path.starts_with(self.routes[*key].prefix.as_str()))
    }

    /// Tells whether requests need a key at all.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        self.accounts.iter().next().is_some()
    }
}

/// Whether a backend server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// Backend server as it tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of this start of it.
    pub id: String,
    /// Service that it answers for.
    pub service: String,
    /// Address.
    pub addr: SocketAddr,
    /// Data centre where it stands.
    pub data_centre: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: BackendState,
    /// Time for which it stays cold, in milliseconds from when it said so.
    pub cold_ms: u32,
    /// Wall-clock millisecond of its start; tells two starts under one name apart.
    pub born_ms: u64,
}

/// Order to move a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// Service.
    pub service: String,
    /// Version to move to.
    pub target: String,
    /// Time that the move may take, in milliseconds from when it was given.
    pub within_ms: u32,
}

/// State of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveState {
    /// Under way.
    Running,
    /// All traffic is on the new version.
    Completed,
    /// All traffic is on the old version again.
    RolledBack,
}

/// What is known of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveStatus {
    /// Version that it moves to.
    pub target: String,
    /// State.
    pub state: MoveState,
}
