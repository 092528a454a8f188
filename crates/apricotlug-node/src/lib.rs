//! One entry instance: its listeners, its part in the fleet, its start and its drain.

mod actions;
mod admin_api;
mod budget_plans;
mod budget_renewal;
mod error;
mod fleet;
mod loader;
mod lookups;
mod messages;
mod moves;
mod node;
mod peers;
mod probes;
mod release;
mod reports;
mod sync;
mod token_exchange;

pub use error::NodeError;
pub use lookups::{LookupPages, Lookups, Named};
pub use node::{Addrs, Node, NodeConfig};
pub use release::sign_off;
