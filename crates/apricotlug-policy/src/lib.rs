//! Decision logic for admission, placement, retries, version moves and repeated orders.
//!
//! Pure code without I/O: the current time (`now`) and the random generator are arguments.

pub mod budget;
mod limit;
pub mod lookup;
pub mod moves;
pub mod order;
pub mod placement;
pub mod retry;
pub mod steer;
