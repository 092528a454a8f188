//! Whether a request is accepted, or refused at once because it could not be answered in time.

mod admit;
mod caller_waits;
mod leave;
mod rank;
mod rank_cut;
mod rank_gate;
mod ranked_request;
mod room;
mod served_share;
mod shortage;

pub use admit::{AdmissionDecision, RequestLimits, decide_admission, retry_after_ms};
pub use caller_waits::CallerWaits;
pub use leave::Leave;
pub use rank::{Rank, ranks_by_service};
pub use rank_gate::RankGate;
pub use ranked_request::{RankedRequest, Room};
pub use room::{BodyKey, BodyRoom, BodyRoomDecision};
