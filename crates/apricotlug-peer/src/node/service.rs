//! Incoming calls of a node.

use apricotlug_model::{InstanceId, UnixTime};
use futures::future::LocalBoxFuture;

use super::Node;
use crate::{ChunkHash, Exchange, Transfer, TransferOutcome, rpc::PeerService};

impl PeerService for Node {
    fn exchange(&self, msg: &Exchange) -> Exchange {
        let reply = self.gossip.borrow_mut().answer(msg, self.now());
        self.wake();
        reply
    }

    fn chunks(&self, hashes: &[ChunkHash]) -> Vec<Vec<u8>> {
        self.gossip.borrow().data.chunks(hashes)
    }

    fn transfer(&self, to: &InstanceId, transfer: Transfer) -> TransferOutcome {
        if *to != self.id {
            return TransferOutcome::Gone;
        }
        let outcome = self
            .transfers
            .borrow_mut()
            .admit(&transfer, UnixTime::now());
        if outcome == TransferOutcome::Applied {
            self.handler.apply_transfer(transfer);
        }
        outcome
    }

    fn order(&self, to: &InstanceId, order: Vec<u8>) -> Option<LocalBoxFuture<'static, Vec<u8>>> {
        (*to == self.id).then(|| self.handler.answer_order(order) as LocalBoxFuture<_>)
    }
}
