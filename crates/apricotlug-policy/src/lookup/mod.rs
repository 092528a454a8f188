//! Look-ups: which entry instances a caller should use.
//!
//! An answer names instances of the region that is home to the caller's block. Other regions
//! serve where the home region has no instance or is over its cap, as far as their shift caps
//! reach. Callers cache answers, so each shifted answer counts against the cap until it expires.

mod charge;
mod directory;
mod entry;
mod overflow;
mod pool;

pub use directory::{Answer, AnswerReason, Directory};
pub use entry::{InstanceEntry, InstanceLoad, InstanceState};
