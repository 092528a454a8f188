//! Entry instance on the platform.
//!
//! It synchronises with the platform's store, answers look-ups of where callers connect, and steers
//! their requests to backend servers. A request passes these stages, one module each: `caller`
//! (framing), `admission` (route, identify, admit), `dispatch` (choose a backend server, retry),
//! `attempt` (send, verify), `response` (deliver).
//!
//! Instances exchange short-lived state in datagrams (`datagrams`) or through relays (`relay`);
//! durable state is kept in the store.

mod admission;
mod attempt;
mod caller;
mod datagrams;
mod dispatch;
mod endpoints;
mod freshness;
mod instance;
mod moves;
mod peer_fallback;
mod peers;
mod pool;
mod registration;
mod relay;
mod response;
mod shared;
mod steering;
mod store_changes;
mod store_sync;
mod wire;

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, unused, dead_code)]
#[path = "generated/pulse_capnp.rs"]
mod pulse_capnp;

pub use freshness::News;
pub use instance::{Instance, StartError};
pub use peer_fallback::Fallback;
pub use peers::{Carriers, Hubs, Member, MemberInfo, Peers};
pub use relay::{Log, Unseen};
pub use steering::Gate;
pub use wire::{
    Ask, Busy, Proof, Pulse, Spent, Told, WireError, decode, decode_ask, decode_told, encode,
    encode_ask, encode_told,
};
