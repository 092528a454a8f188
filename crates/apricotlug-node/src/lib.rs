//! Entry instance: listeners, fleet membership, budget renewal, administration API, start and
//! drain.

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
pub use lookups::{InstanceAddress, LookupApi, LookupDirectory};
pub use node::{Addrs, Node, NodeConfig};
pub use release::sign_off;
