//! Commands from handles.

use std::rc::Rc;

use super::Node;
use crate::{
    News, PeerError, State,
    peer_handle::{Command, Reply},
    rpc::Slot,
};

/// Most transfers and orders that wait for their answer.
const MAX_CALLS: usize = 256;

impl Node {
    pub(super) fn obey(self: &Rc<Self>, command: Command) {
        let now = self.now();
        match command {
            Command::PublishBundle(bundle, reply) => self.change(reply, |news| {
                news.publish(bundle);
                Ok(())
            }),
            Command::Withdraw(key, reply) => self.change(reply, |news| news.withdraw(&key)),
            Command::PublishRecord(record, reply) => self.change(reply, |news| news.put(record)),
            Command::Transfer(to, transfer, reply) => {
                let node = Rc::clone(self);
                self.spawn_call(reply, async move { node.transfer_to(to, transfer).await });
            }
            Command::ForwardOrder(to, order, reply) => {
                let node = Rc::clone(self);
                self.spawn_call(reply, async move { node.forward_to(to, order).await });
            }
            Command::SetLoad(load) => self.gossip.borrow_mut().membership.set_load(load),
            Command::SetListed(addrs) => self.gossip.borrow_mut().membership.set_listed(addrs),
            Command::AnnounceLeaving => self
                .gossip
                .borrow_mut()
                .membership
                .announce(State::Leaving, now),
            Command::Stop(_) => {}
        }
    }

    /// Changes the news; the snapshot shows the change before the caller gets its answer.
    fn change(&self, reply: Reply<()>, change: impl FnOnce(&mut News) -> Result<(), PeerError>) {
        let outcome = change(&mut self.gossip.borrow_mut().news);
        self.refresh_view(self.now());
        answer(reply, outcome);
    }

    /// Spawns a call whose outcome goes to a waiting handle; refuses it where too many wait.
    fn spawn_call<T: 'static>(
        &self,
        reply: Reply<T>,
        call: impl Future<Output = Result<T, PeerError>> + 'static,
    ) {
        let Some(slot) = Slot::take(&self.calls, MAX_CALLS) else {
            answer(reply, Err(PeerError::Overloaded));
            return;
        };
        self.spawn(async move {
            answer(reply, call.await);
            drop(slot);
        });
    }
}

fn answer<T>(reply: Reply<T>, outcome: Result<T, PeerError>) {
    // A failure means that the caller no longer waits.
    let _ = reply.send(outcome);
}
