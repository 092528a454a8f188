//! The evaluated bundle: read-only, shared by all calls of a process.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    AccountKey, Arena, BlockTable, DataCentreKey, EndpointKey, RegionKey, RouteKey, ServiceKey,
    SiteKey, UnixTime, VersionKey,
};

/// Version of a bundle. The highest version wins everywhere.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

impl fmt::Display for BundleVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Client account with its allowance.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, unique in the bundle.
    pub id: String,
    /// Allowed requests per second, over all instances together.
    pub rate: u32,
    /// Allowed requests at once beyond the rate, over all instances together.
    pub burst: u32,
}

/// SHA-256 of salt and secret.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct SecretHash {
    /// Random salt.
    pub salt: [u8; 16],
    /// SHA-256 over salt, then secret.
    pub digest: [u8; 32],
}

impl fmt::Debug for SecretHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretHash(..)")
    }
}

/// API key of a client account: callers send `id.secret`.
#[derive(Clone, Debug, PartialEq)]
pub struct Credential {
    /// Account the key belongs to.
    pub account: AccountKey,
    /// Hash of the secret part.
    pub hash: SecretHash,
    /// Whether the key is withdrawn.
    pub is_withdrawn: bool,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// May read everything.
    Viewer,
    /// May also withdraw keys, drain, and pause or take back moves.
    Responder,
    /// May also sign off bundles.
    Signer,
}

/// Operator with a key of their own.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Hash of the secret part of the operator's key.
    pub hash: SecretHash,
    /// What the operator may do.
    pub role: Role,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Anybody, with or without a key.
    Open,
    /// Callers with a valid key.
    Keyed,
}

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// Route: requests whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the bundle.
    pub id: String,
    /// Prefix of the path, in whole segments.
    pub prefix: String,
    /// Who may use it.
    pub access: Access,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// Service that answers.
    pub service: ServiceKey,
    /// Time that a request may take, in milliseconds; its deadline is set when it arrives.
    pub timeout_ms: u32,
}

/// Service: backend servers that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in the bundle.
    pub id: String,
    /// Versions of the service, in the order of the bundle.
    pub versions: Vec<VersionKey>,
}

/// Version of a service's backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceVersion {
    /// Name, unique within the service.
    pub id: String,
    /// Service it belongs to.
    pub service: ServiceKey,
    /// Move that brings this version in; `None` for a version that serves already.
    pub incoming: Option<Move>,
}

/// Move of a service's traffic from one version to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Version that the traffic leaves.
    pub from: VersionKey,
    /// Point by which the move must be finished, or counts as taken back.
    pub deadline: UnixTime,
    /// Shares of the new version, stage by stage, in thousandths, rising; the last is 1000.
    pub stages: Vec<u16>,
}

/// Backend server endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name, unique in the bundle.
    pub id: String,
    /// Address.
    pub addr: SocketAddr,
    /// Site where it stands.
    pub site: SiteKey,
    /// Version that it runs.
    pub version: VersionKey,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Whether operators are draining it.
    pub is_draining: bool,
}

/// Region: data centres near each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Name, unique in the bundle.
    pub id: String,
    /// Part of its slots that requests may occupy, in hundredths.
    pub cap_percent: u8,
    /// Part of its slots that requests shifted from other regions may occupy, in hundredths.
    pub shift_cap_percent: u8,
}

/// Data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentre {
    /// Name, unique in the bundle.
    pub id: String,
    /// Region where it stands.
    pub region: RegionKey,
}

/// Site: backend servers of one data centre that take the clients of some blocks.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Name, unique in the bundle.
    pub id: String,
    /// Data centre where it stands.
    pub data_centre: DataCentreKey,
}

/// Link from one region to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// One-way delay, in microseconds.
    pub delay_us: u32,
    /// Traffic that it carries, in Mbit/s.
    pub mbit_per_s: u32,
}

/// Evaluated bundle: names resolved to keys, everything checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bundle {
    /// Version.
    pub version: BundleVersion,
    /// Client accounts.
    pub accounts: Arena<AccountKey, Account>,
    /// API keys by their public id.
    pub credentials: BTreeMap<String, Credential>,
    /// Operators by the public id of their key.
    pub operators: BTreeMap<String, Operator>,
    /// Routes.
    pub routes: Arena<RouteKey, Route>,
    /// Services.
    pub services: Arena<ServiceKey, Service>,
    /// Versions of all services.
    pub versions: Arena<VersionKey, ServiceVersion>,
    /// Backend server endpoints.
    pub endpoints: Arena<EndpointKey, Endpoint>,
    /// Regions.
    pub regions: Arena<RegionKey, Region>,
    /// Data centres.
    pub data_centres: Arena<DataCentreKey, DataCentre>,
    /// Sites.
    pub sites: Arena<SiteKey, Site>,
    /// Links by source and destination region.
    pub links: BTreeMap<(RegionKey, RegionKey), Link>,
    /// Blocks of client addresses.
    pub blocks: BlockTable,
}

impl Bundle {
    /// Returns the route with the longest prefix that matches the path in whole segments.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<RouteKey> {
        self.routes
            .iter()
            .filter(|(_, route)| has_prefix(path, &route.prefix))
            .max_by_key(|(_, route)| route.prefix.len())
            .map(|(key, _)| key)
    }

    /// Returns the key of the data centre with a name.
    #[must_use]
    pub fn data_centre(&self, id: &str) -> Option<DataCentreKey> {
        self.data_centres.find(|dc| dc.id == id)
    }

    /// Returns the data centre of an endpoint.
    #[must_use]
    pub fn data_centre_of(&self, endpoint: EndpointKey) -> DataCentreKey {
        self.sites[self.endpoints[endpoint].site].data_centre
    }

    /// Returns the region of an endpoint.
    #[must_use]
    pub fn region_of(&self, endpoint: EndpointKey) -> RegionKey {
        self.data_centres[self.data_centre_of(endpoint)].region
    }
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}
