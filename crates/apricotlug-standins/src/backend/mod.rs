//! Stand-in for a backend server: slots, cold start, drain, deadlines and faults by path prefix.

mod answer;
mod fault;
mod server;

pub use fault::{Fault, FaultRule};
pub use server::{BackendConfig, BackendStandIn};
