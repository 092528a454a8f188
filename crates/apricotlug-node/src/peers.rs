//! Handles messages from other instances, forwards orders to them, and claims idempotency keys in
//! the platform.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, OnceLock},
};

use apricotlug_edge::{Fleet, FleetFuture, Forwarded, KeyClaim, Shared, answer_order};
use apricotlug_model::InstanceId;
use apricotlug_peer::{PeerHandle, PeerHandler, Transfer};
use apricotlug_platform::{Client, Swap};
use async_std::task;

use crate::{
    budget_plans::{self, Reports},
    messages::{self, Message, TokenRequest},
    token_exchange,
};

/// Prefix of the platform keys that hold claims on callers' idempotency keys.
const CLAIM_PREFIX: &str = "orders/";

/// Handler of messages and forwarded orders from other instances.
#[derive(Debug)]
pub struct Inbound {
    /// State shared by all tasks of the instance.
    pub shared: Arc<Shared>,
    /// Reports that this instance collects as a delegate.
    pub reports: Arc<Reports>,
    /// Handle of the peer node; empty until it has started.
    pub peers: Arc<OnceLock<PeerHandle>>,
}

impl Inbound {
    /// Lends tokens that can be spared. They are sent by a task of their own, so that the peer node
    /// does not wait.
    fn lend(&self, borrower: InstanceId, wants: &[TokenRequest]) {
        let lent = token_exchange::lend(&self.shared, &borrower, wants);
        let Some(peers) = self.peers.get().cloned() else {
            return;
        };
        if lent.is_empty() {
            return;
        }
        let shared = Arc::clone(&self.shared);
        task::spawn(async move {
            for transfer in lent {
                messages::send(&shared, &peers, &borrower, &Message::Lend(transfer)).await;
            }
        });
    }
}

impl PeerHandler for Inbound {
    fn apply_transfer(&self, transfer: Transfer) {
        match Message::decode(&transfer.payload) {
            Some(Message::Report(report)) => {
                self.reports.put(report, self.shared.clock.now());
            }
            Some(Message::Allotments(granted)) => budget_plans::install(&self.shared, &granted),
            Some(Message::Evidence(id, report)) => {
                let now = self.shared.clock.now();
                self.shared.moves.add_report(&id, report, now);
            }
            Some(Message::Ask { from, wants }) => self.lend(from, &wants),
            Some(Message::Lend(transfer)) => token_exchange::receive(&self.shared, &transfer),
            Some(Message::Spent(transfer)) => token_exchange::settle(&self.shared, &transfer),
            None => tracing::warn!("malformed message from a peer discarded"),
        }
    }

    fn answer_order(
        &self,
        order: Vec<u8>,
    ) -> Pin<Box<dyn Future<Output = Vec<u8>> + Send + 'static>> {
        let shared = Arc::clone(&self.shared);
        Box::pin(async move { answer_order(&shared, &order).await })
    }
}

/// Sender of forwarded orders to other instances and of claims to the platform.
#[derive(Debug)]
pub struct Outbound {
    /// Identity of this run, stored as the holder of claims.
    pub identity: InstanceId,
    /// Handle of the peer node.
    pub peers: PeerHandle,
    /// Client for calls to the platform.
    pub client: Client,
}

impl Fleet for Outbound {
    fn forward(&self, to: InstanceId, order: Vec<u8>) -> FleetFuture<'_, Forwarded> {
        Box::pin(async move {
            match self.peers.forward_order(&to, order).await {
                Ok(Some(answer)) => Forwarded::Answered(answer),
                Ok(None) => Forwarded::NoAnswer,
                Err(e) => {
                    tracing::info!(holder = %to, error = %e, "cannot forward an order");
                    Forwarded::NoAnswer
                }
            }
        })
    }

    fn claim(&self, account: String, key: String) -> FleetFuture<'_, KeyClaim> {
        Box::pin(async move {
            let key = claim_key(&account, &key);
            let Ok(holder) = serde_json::to_vec(&self.identity) else {
                return KeyClaim::Unavailable;
            };
            match self.client.compare_and_swap(&key, None, &holder).await {
                Ok(Swap::Written { .. }) => KeyClaim::New,
                Ok(Swap::Conflict {
                    current: Some(entry),
                }) => {
                    let holder = serde_json::from_slice(&entry.value);
                    holder.map_or(KeyClaim::Unavailable, KeyClaim::HeldBy)
                }
                Ok(_) => KeyClaim::Unavailable,
                Err(e) => {
                    tracing::info!(error = %e, "cannot claim an idempotency key");
                    KeyClaim::Unavailable
                }
            }
        })
    }
}

/// Returns the platform key of a claim. Both names are hex-encoded, so that each forms one segment.
fn claim_key(account: &str, key: &str) -> String {
    let segment = |text: &str| -> String { text.bytes().map(|b| format!("{b:02x}")).collect() };
    format!("{CLAIM_PREFIX}{}/{}", segment(account), segment(key))
}
