//! Entry instance on the platform.
//!
//! It follows the platform's store, tells callers where to connect, and steers their requests to
//! backend servers. A request passes these stages, one module each: `caller` (frame), `prepare`
//! (route, identify, admit), `run` (place, send again), `attempt` (send, verify), `answer`
//! (deliver). What instances share they tell each other in datagrams (`pulse`); what must last
//! lies in the store.

mod answer;
mod apply;
mod attempt;
mod caller;
mod fallback;
mod follow;
mod gate;
mod instance;
mod member;
mod moves;
mod news;
mod pages;
mod peers;
mod pool;
mod prepare;
mod pulse;
mod relay;
mod run;
mod shared;
mod wire;

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, unused, dead_code)]
#[path = "generated/pulse_capnp.rs"]
mod pulse_capnp;

pub use fallback::Fallback;
pub use gate::Gate;
pub use instance::{Instance, StartError};
pub use news::News;
pub use peers::{Carriers, Hubs, Member, MemberInfo, Peers};
pub use relay::{Log, Unseen};
pub use wire::{
    Ask, Busy, Proof, Pulse, Spent, Told, WireError, decode, decode_ask, decode_told, encode,
    encode_ask, encode_told,
};
