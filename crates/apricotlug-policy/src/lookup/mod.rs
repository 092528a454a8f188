//! Look-ups: select the entry instances that a caller should connect to.
//!
//! An answer lists instances of the home region of the caller's address block. If the home region
//! has no instance or is overloaded, callers are shifted to other regions within the limits of
//! those regions' shift caps. Callers cache answers, so each shifted answer counts against the
//! cap until it expires.

mod charge;
mod directory;
mod entry;
mod overflow;
mod pool;

pub use directory::{Answer, AnswerReason, Directory};
pub use entry::{InstanceEntry, InstanceLoad, InstanceState};
