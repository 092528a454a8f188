//! Usage of client accounts: counts of this instance, and the duty to report the sums of all.
//!
//! Every instance counts and sends each closed window to the holder of the duty (`collect`). The
//! holder writes each report into the store before it sends it (`hold`), so that a successor sends
//! the same one.

mod collect;
mod hold;
mod sent;
mod state;

pub use collect::{collect, flush};
pub use hold::hold;
pub use sent::{SentEnd, SentGuard};
pub use state::Usage;
