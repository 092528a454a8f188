//! One entry instance: its listeners, its part in the fleet, its start and its drain.

mod actions;
mod error;
mod fleet;
mod keeper;
mod lender;
mod loader;
mod lookups;
mod messages;
mod moves;
mod node;
mod pages;
mod peers;
mod probes;
mod release;
mod reports;
mod seats;
mod sync;

pub use error::NodeError;
pub use lookups::{LookupPages, Lookups, Named};
pub use node::{Addrs, Node, NodeConfig};
pub use release::sign_off;
