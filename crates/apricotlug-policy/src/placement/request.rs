//! Inputs and results of placement.

use std::time::Duration;

use apricotlug_model::{EndpointKey, MonoTime, ServiceKey, VersionKey};

/// Constraints on the endpoint of a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConstraints<'a> {
    /// Service that the request is for.
    pub service: ServiceKey,
    /// Version that must serve the request; `None` for any version that no version move is bringing
    /// in.
    pub version: Option<VersionKey>,
    /// Endpoints that must not be chosen, such as those that an earlier attempt used.
    pub exclude: &'a [EndpointKey],
}

/// Handle of a placed request, used to settle it. It stays valid when the bundle changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(super) state: u32,
    pub(super) is_shifted_in: bool,
}

/// Placement of a request on an endpoint. It occupies a slot until the ticket is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedRequest {
    /// Endpoint in the bundle that the request was placed with.
    pub endpoint: EndpointKey,
    /// Handle with which the request is settled.
    pub ticket: Ticket,
    /// Number of endpoints that the choice was made from.
    pub candidates: usize,
    /// Why the endpoint was chosen.
    pub reason: PlaceReason,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceReason {
    /// Better of two random endpoints of the home data centre.
    Home,
    /// Better of two random endpoints in the other data centres of the home region.
    Region,
    /// The request was shifted to another region: the home region had no healthy endpoint with a
    /// free slot, or requests are still returning to it gradually.
    Shift,
    /// The endpoint's ejection has ended and this request tests it.
    Probe,
    /// At least half of the home region's endpoints are unhealthy, so the request went to a random
    /// reachable one.
    Panic,
}

/// Refusal to place a request; no slot was occupied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRefusal {
    /// Why the request was not placed.
    pub reason: Refusal,
    /// Estimated time from which a retry may succeed.
    pub retry_at: MonoTime,
}

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This instance has a slot share at no endpoint of the version, or all of them are draining.
    NoEndpoint,
    /// The caller's bundle is not the one that the placement state was built from; the caller must
    /// retry with the current bundle.
    OtherBundle,
    /// The home region has a healthy endpoint, but no slot that the request may use is free.
    Full,
    /// No endpoint of the home region is healthy, and no other region could take the request.
    Unhealthy,
    /// No endpoint of the home region is healthy, and the shift cap of another region is reached.
    ShiftCap,
    /// No endpoint of the home region is healthy, and the byte budget of a link is exhausted.
    Link,
}

/// How a placed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered {
        /// Time from sending the request to receiving the response head.
        latency: Duration,
        /// Whether the response reports a server error.
        server_error: bool,
    },
    /// The backend server refused the request and stated that it did not run.
    Shed,
    /// No connection could be established.
    ConnectFailed,
    /// The deadline passed without a response.
    TimedOut,
    /// The connection broke, or the response was truncated or malformed.
    Broken,
    /// The caller cancelled the request.
    Cancelled,
}

/// Backend server's report of its own state. Outcomes that this instance observed take precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Whether the server reports itself healthy.
    pub healthy: bool,
    /// Number of requests that the server is running, from all instances.
    pub outstanding: u32,
    /// Whether the server wants no new requests.
    pub draining: bool,
    /// Time from which the reported health and load are ignored.
    pub stale_at: MonoTime,
}
