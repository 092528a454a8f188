//! The request path: accept, identify, admit, place, send, verify, answer, settle.
//!
//! All decisions are made from in-process state. A request makes no platform call, except to claim
//! an idempotency key, and calls a peer only where its order is bound to another instance.

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
pub use decisions::DecisionState;
pub use drain::Drain;
pub use instances::{LiveInstance, LiveInstances, SHARE_SETTLE_TIME};
pub use metrics::Metrics;
pub use move_tracker::{MoveTracker, MoveView};
pub use order::{KEY_HEADER, TOKEN_HEADER};
pub use refusal::{DEADLINE_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER};
pub use remote::{Fleet, FleetFuture, Forwarded, KeyClaim, answer_order};
pub use shared::{InstallError, Shared};
pub use view::{View, ViewCell};
