//! Stand-in of the platform's key-value service: the JSON gateway of the etcd v3 protocol, in
//! memory, with faults that are switched while it runs.

mod faults;
mod handler;
mod server;
mod store;
mod watchers;

pub use faults::{Faults, Outage};
pub use server::{PlatformConfig, PlatformStandIn};
