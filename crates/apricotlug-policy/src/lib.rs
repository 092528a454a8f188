//! Admission, placement, retries, moves and repeats: pure decisions without I/O, clock or random
//! source of their own. `now` and the random generator are arguments.

pub mod budget;
mod limit;
pub mod lookup;
pub mod moves;
pub mod order;
pub mod placement;
pub mod retry;
pub mod steer;
