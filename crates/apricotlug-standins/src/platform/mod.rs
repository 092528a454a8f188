//! Stand-in for the platform's key-value service: an in-memory implementation of the JSON gateway
//! of etcd v3, with faults that can be changed while it runs.

mod faults;
mod handler;
mod server;
mod store;
mod watchers;

pub use faults::{Faults, Outage};
pub use server::{PlatformConfig, PlatformStandIn};
