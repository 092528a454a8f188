//! The request path: accept, identify, admit, place, send, verify, answer, settle.
//!
//! A request reads only this process's memory: it waits for no platform call, and for a peer
//! only where its order is bound to another instance.

mod answer;
mod attempt;
mod board;
mod caller;
mod clock;
mod deliver;
mod drain;
mod exchange;
mod gate;
mod holders;
mod identify;
mod metrics;
mod order;
mod place;
mod pool;
mod remote;
mod run;
mod settle;
mod shared;
mod slots;
mod view;
mod wait;

pub use answer::{DEADLINE_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER};
pub use board::{Board, MoveView};
pub use caller::accept;
pub use clock::Clock;
pub use drain::Drain;
pub use gate::Gate;
pub use holders::{Holder, Holders, SETTLE};
pub use metrics::Metrics;
pub use order::{KEY_HEADER, TOKEN_HEADER};
pub use remote::{Fleet, FleetFuture, Forwarded, KeyClaim, answer as answer_order};
pub use shared::{NotInstalled, Shared};
pub use view::{View, ViewCell};
