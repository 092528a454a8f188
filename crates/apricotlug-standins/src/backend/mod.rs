//! Stand-in of a backend server: slots, cold start, drain, deadlines and faults by route.

mod answer;
mod fault;
mod server;

pub use fault::{Fault, FaultRule};
pub use server::{BackendConfig, BackendStandIn};
