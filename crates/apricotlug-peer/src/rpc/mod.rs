//! Cap'n Proto RPC between instances. It runs on one thread, as its types are not `Send`.

mod client;
mod pool;
mod server;
mod slot;
mod traffic;

pub use traffic::Traffic;
pub(crate) use {
    pool::Pool,
    server::{PeerService, serve},
    slot::Slot,
    traffic::Meter,
};
