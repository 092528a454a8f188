//! Entry instance on the platform.
//!
//! It synchronises with the platform's store, answers look-ups of where callers connect, and steers
//! their requests to backend servers. A request passes these stages, one module each: `caller`
//! (framing), `receive` (body), `admission` (route, identify, admit), `dispatch` (choose a backend server, retry),
//! `attempt` (send, verify), `response` (deliver).
//!
//! Instances exchange short-lived state in datagrams (`datagrams`) or through relays (`relay`);
//! durable state is kept in the store.

mod admission;
mod attempt;
mod body_buffer;
mod caller;
mod coverage;
mod datagrams;
mod dispatch;
mod freshness;
mod http_api;
mod instance;
mod listed;
mod machine;
mod moves;
mod pages;
mod peers;
mod place;
mod pool;
mod rank_admission;
mod read_sources;
mod receive;
mod registration;
mod relay;
mod request_body;
mod response;
mod retry_budgets;
mod shared;
mod slot;
mod steering;
mod store_changes;
mod store_era;
mod store_sync;
mod usage;
mod wire;

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, unused, dead_code)]
#[path = "generated/pulse_capnp.rs"]
mod pulse_capnp;

pub use admission::{CheckedRequest, Refusal, check};
pub use body_buffer::{BodyBuffer, BufferedBytes};
pub use freshness::StoreFreshness;
pub use instance::{Instance, StartError};
pub use listed::ListedInstances;
pub use moves::{DueStatus, Moves, VersionChoice};
pub use peers::{Member, MemberInfo, Peers, Relays};
pub use relay::{ChangeLog, Delta, ListedChanges, OlderRead, Snapshot};
pub use shared::{LastRead, OperatorState, OperatorView, ReadOrigin, Shared};
pub use steering::SteeringState;
pub use store_changes::{ExpiryGrace, apply_changes, apply_later_changes, apply_listed};
pub use store_era::{EraGrace, keep_newer_plan, without_older_plans};
pub use store_sync::record_response;
pub use wire::{
    AccountUsage, BackendLoad, MoveEvidence, RelayRequest, RelayResponse, StatusDatagram,
    WindowUsage, WireError, decode_datagram, decode_relay_request, decode_relay_response,
    encode_datagram, encode_relay_request, encode_relay_response,
};
