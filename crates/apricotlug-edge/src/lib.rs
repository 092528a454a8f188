//! The request path: accept, identify, admit, place, send, verify, answer, settle.
//!
//! A request reads only this process's memory: it waits for no platform call, and for a peer
//! only where its order is bound to another instance.

mod attempt;
mod caller;
mod clock;
mod decisions;
mod deliver;
mod drain;
mod exchange;
mod identify;
mod instances;
mod metrics;
mod move_tracker;
mod order;
mod place;
mod pool;
mod refusal;
mod remote;
mod run;
mod settle;
mod shared;
mod slot_queue;
mod token_wait;
mod view;

pub use caller::accept;
pub use clock::Clock;
pub use decisions::Gate;
pub use drain::Drain;
pub use instances::{Holder, Holders, SETTLE};
pub use metrics::Metrics;
pub use move_tracker::{Board, MoveView};
pub use order::{KEY_HEADER, TOKEN_HEADER};
pub use refusal::{DEADLINE_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER};
pub use remote::{Fleet, FleetFuture, Forwarded, KeyClaim, answer as answer_order};
pub use shared::{NotInstalled, Shared};
pub use view::{View, ViewCell};
