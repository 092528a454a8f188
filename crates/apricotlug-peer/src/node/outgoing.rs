//! Outgoing calls of a node.

use std::{net::SocketAddr, rc::Rc};

use apricotlug_model::InstanceId;

use super::Node;
use crate::{
    Exchange, Fetch, MAX_TRANSFER_BYTES, NameHash, PeerError, Target, Transfer, TransferOutcome,
};

impl Node {
    /// Runs one gossip session with a peer; does nothing if one with the same address is active.
    pub(super) async fn run_session(self: Rc<Self>, target: Target) {
        if !self.active_sessions.borrow_mut().insert(target.addr) {
            return;
        }
        let mut msg = Some(self.gossip.borrow_mut().request(&target, self.now()));
        while let Some(request) = msg.take() {
            match self.exchange(target.addr, &request).await {
                Ok(reply) => msg = self.gossip.borrow_mut().follow_up(&reply, self.now()),
                Err(e) => {
                    tracing::debug!(peer = %target.addr, error = %e, "exchange failed");
                    self.gossip.borrow_mut().call_failed(&target);
                }
            }
        }
        self.active_sessions.borrow_mut().remove(&target.addr);
        self.wake();
    }

    /// Sends one message; if a reused connection fails, retries once over a new one.
    async fn exchange(&self, addr: SocketAddr, msg: &Exchange) -> Result<Exchange, PeerError> {
        let (connection, is_reused) = self.pool.get(addr).await?;
        let outcome = connection.exchange(msg).await;
        if outcome.is_ok() || !is_reused {
            return outcome;
        }
        self.pool.open(addr).await?.exchange(msg).await
    }

    /// Starts the next fetch of chunks, if one is due.
    pub(super) fn start_fetch(self: &Rc<Self>) {
        let fetch = self.gossip.borrow_mut().data.next_fetch(self.now());
        if let Some(fetch) = fetch {
            self.spawn(Rc::clone(self).fetch(fetch));
        }
    }

    async fn fetch(self: Rc<Self>, fetch: Fetch) {
        let chunks = self.fetch_chunks(&fetch).await.unwrap_or_default();
        let outcome = self
            .gossip
            .borrow_mut()
            .data
            .store_fetched(&fetch, chunks, self.now());
        tracing::debug!(peer = fetch.peer.0, ?outcome, "chunk fetch finished");
        self.wake();
    }

    async fn fetch_chunks(&self, fetch: &Fetch) -> Result<Vec<Vec<u8>>, PeerError> {
        let target = self.gossip.borrow().membership.target(fetch.peer);
        let target = target.ok_or_else(|| PeerError::UnknownInstance(fetch.peer.0.to_string()))?;
        let (connection, is_reused) = self.pool.get(target.addr).await?;
        let outcome = connection.fetch_chunks(&fetch.hashes).await;
        if outcome.is_ok() || !is_reused {
            return outcome;
        }
        let connection = self.pool.open(target.addr).await?;
        connection.fetch_chunks(&fetch.hashes).await
    }

    /// Sends a transfer; if a reused connection fails, retries once over a new one, which is safe
    /// as the receiver recognises the id.
    pub(super) async fn transfer_to(
        &self,
        to: InstanceId,
        transfer: Transfer,
    ) -> Result<TransferOutcome, PeerError> {
        if transfer.payload.len() > MAX_TRANSFER_BYTES {
            return Err(PeerError::TooLarge {
                what: "transfer",
                limit: MAX_TRANSFER_BYTES,
            });
        }
        let addr = self.address_of(&to)?;
        let (connection, is_reused) = self.pool.get(addr).await?;
        let outcome = connection.transfer(&to, &transfer).await;
        if outcome.is_ok() || !is_reused {
            return outcome;
        }
        let first = outcome;
        match self.pool.open(addr).await {
            Ok(connection) => connection.transfer(&to, &transfer).await,
            Err(_) => first,
        }
    }

    /// Forwards an order without retry: a reused connection that has been idle is probed first.
    pub(super) async fn forward_to(
        &self,
        to: InstanceId,
        order: Vec<u8>,
    ) -> Result<Option<Vec<u8>>, PeerError> {
        let addr = self.address_of(&to)?;
        let (connection, is_reused) = self.pool.get(addr).await?;
        let is_alive = !is_reused || connection.probe().await.is_ok();
        let connection = if is_alive {
            connection
        } else {
            self.pool.open(addr).await?
        };
        connection.forward_order(&to, &order).await
    }

    fn address_of(&self, to: &InstanceId) -> Result<SocketAddr, PeerError> {
        let gossip = self.gossip.borrow();
        let target = gossip.membership.target(NameHash::of(&to.name));
        let target = target.ok_or_else(|| PeerError::UnknownInstance(to.to_string()))?;
        Ok(target.addr)
    }
}
