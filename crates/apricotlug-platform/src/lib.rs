//! Client of the platform's key-value service, over the JSON gateway of the etcd v3 protocol.

mod bundle_store;
mod calls;
mod client;
mod clock;
mod envelope;
mod error;
mod instances;
mod leadership;
mod lease;
mod move_store;
mod outcome;
mod pacer;
mod swap;
mod transport;
mod watch;
mod withdrawals;

pub mod wire;

pub use bundle_store::{BundleStore, ChunkHash, Head, SignOff};
pub use calls::{CallCounts, CallKind, Calls};
pub use client::{Client, ClientConfig};
pub use clock::Clock;
pub use envelope::WriteId;
pub use error::{Error, Result};
pub use instances::{InstanceRecord, InstanceState};
pub use leadership::Leadership;
pub use lease::{Lease, LeaseId};
pub use move_store::{MoveStore, StoredMove};
pub use outcome::{Entry, Fence, Swap};
pub use pacer::{Backoff, Pacer};
pub use watch::{Watch, WatchEvent};
pub use withdrawals::Withdrawals;
