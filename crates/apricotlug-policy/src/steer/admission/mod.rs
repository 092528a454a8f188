//! Whether a request is accepted, or refused at once because it could not be answered in time.

mod admit;
mod caller_waits;
mod leave;
mod room;

pub use admit::{AdmissionDecision, RequestLimits, decide_admission, retry_after_ms};
pub use caller_waits::CallerWaits;
pub use leave::Leave;
pub use room::{BodyKey, Room, RoomDecision};
