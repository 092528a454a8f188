//! What goes into a placement and what comes out of it.

use std::time::Duration;

use apricotlug_model::{EndpointKey, MonoTime, ServiceKey, VersionKey};

/// Request for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Service that must answer.
    pub service: ServiceKey,
    /// Version that must answer; `None` for any version that serves already.
    pub version: Option<VersionKey>,
    /// Endpoints that must not be chosen, such as those that an earlier attempt used.
    pub exclude: &'a [EndpointKey],
}

/// Handle of a placed request. It stays valid when the bundle changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(super) state: u32,
    pub(super) is_shifted_in: bool,
}

/// Endpoint that a request was placed on. It occupies a slot until the ticket is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Endpoint in the bundle that the request was placed with.
    pub endpoint: EndpointKey,
    /// Handle for settling.
    pub ticket: Ticket,
    /// Number of endpoints that the choice was made from.
    pub candidates: usize,
    /// Why the endpoint was chosen.
    pub reason: PlaceReason,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceReason {
    /// Better of two in the home data centre.
    Home,
    /// Better of two in another data centre of the home region.
    Region,
    /// The home region had no usable endpoint or no free slot.
    Shift,
    /// The endpoint's ejection ended and this request tests it.
    Probe,
    /// Most endpoints answer with errors, so the request was spread over all.
    Panic,
}

/// Refusal to place a request; nothing was occupied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPlace {
    /// Why there was no place.
    pub reason: Refusal,
    /// Point from which another try is worthwhile.
    pub retry_at: MonoTime,
}

/// Why there was no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint runs the version within this instance's share, or all of them drain.
    NoEndpoint,
    /// The caller holds another bundle than this state does; take the present one.
    OtherBundle,
    /// Every slot of this instance's share is taken.
    Full,
    /// No reachable endpoint is healthy.
    Unhealthy,
    /// Free slots are left in other regions only, and the shift caps are reached.
    ShiftCap,
    /// Free slots are left in other regions only, and the links carry all that they may.
    Link,
}

/// How a placed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered {
        /// Time from sending the request to the head of the answer.
        latency: Duration,
        /// Whether the answer reports a fault of the server.
        server_error: bool,
    },
    /// The backend server stated that the request did not run.
    Shed,
    /// No connection came about.
    ConnectFailed,
    /// The deadline passed without an answer.
    TimedOut,
    /// The connection broke, or the answer was cut or malformed.
    Broken,
    /// The caller gave up.
    Cancelled,
}

/// Backend server's word on its own state. Own outcomes go before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Whether the server calls itself healthy.
    pub healthy: bool,
    /// Requests that the server runs, from all instances.
    pub outstanding: u32,
    /// Whether the server wants no new work.
    pub draining: bool,
    /// Point from which the report's health and load are disregarded.
    pub stale_at: MonoTime,
}
