//! Communication between entry instances: membership, bundle distribution, withdrawn keys, small
//! records, budget transfers and forwarded orders.
//!
//! [`Gossip`] is the protocol's state machine and uses neither clock nor I/O; [`PeerNode`] drives
//! it over Cap'n Proto RPC on a dedicated thread and returns a [`PeerHandle`].

mod bundle;
mod config;
mod error;
mod gossip;
mod member;
mod membership;
mod message;
mod node;
mod peer_handle;
mod replicated;
mod rpc;
mod transfer;
mod wire;

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, unused)]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use bundle::{
    BundleHead, Chunk, ChunkHash, CompleteBundle, MAX_CHUNK_BYTES, MAX_CHUNKS, MAX_HEAD_BYTES,
};
pub use config::{PeerConfig, PeerHandler};
pub use error::PeerError;
pub use gossip::{ExchangeKind, Gossip, Target};
pub use member::{Addresses, Member, MemberRecord, NameHash, Progress, State};
pub use membership::Membership;
pub use message::{
    DataCentreBeat, DataDigest, DigestEntry, Exchange, MemberDigest, Pulse, RecordStamp, Summary,
};
pub use node::PeerNode;
pub use peer_handle::{FleetView, PeerHandle};
pub use replicated::{
    Fetch, FetchOutcome, MAX_KEY_BYTES, MAX_RECORD_BYTES, NamedRecord, ReplicatedData,
};
pub use rpc::Traffic;
pub use transfer::{MAX_TRANSFER_BYTES, Transfer, TransferId, TransferLog, TransferOutcome};
pub use wire::{decode_exchange, encode_exchange};
