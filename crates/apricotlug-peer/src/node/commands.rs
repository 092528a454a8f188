//! Execution of the commands sent by handles.

use std::rc::Rc;

use super::Node;
use crate::{
    PeerError, ReplicatedData, State,
    peer_handle::{Command, Reply},
    rpc::Slot,
};

/// Maximum number of transfers and orders in flight.
const MAX_CALLS: usize = 256;

impl Node {
    pub(super) fn handle_command(self: &Rc<Self>, command: Command) {
        let now = self.now();
        match command {
            Command::PublishBundle(bundle, reply) => self.apply_change(reply, |data| {
                data.publish(bundle);
                Ok(())
            }),
            Command::Withdraw(key, reply) => self.apply_change(reply, |data| data.withdraw(&key)),
            Command::PublishRecord(record, reply) => {
                self.apply_change(reply, |data| data.put(record))
            }
            Command::Transfer(to, transfer, reply) => {
                let node = Rc::clone(self);
                self.spawn_call(reply, async move { node.transfer_to(to, transfer).await });
            }
            Command::ForwardOrder(to, order, reply) => {
                let node = Rc::clone(self);
                self.spawn_call(reply, async move { node.forward_to(to, order).await });
            }
            Command::SetLoad(load) => self.gossip.borrow_mut().membership.set_load(load),
            Command::SetPlatformAddresses(addrs) => self
                .gossip
                .borrow_mut()
                .membership
                .set_platform_addresses(addrs),
            Command::AnnounceLeaving => self
                .gossip
                .borrow_mut()
                .membership
                .announce(State::Leaving, now),
            Command::Stop(_) => {}
        }
    }

    /// Changes the replicated data and refreshes the snapshot before it replies to the caller.
    fn apply_change(
        &self,
        reply: Reply<()>,
        apply_change: impl FnOnce(&mut ReplicatedData) -> Result<(), PeerError>,
    ) {
        let outcome = apply_change(&mut self.gossip.borrow_mut().data);
        self.refresh_view(self.now());
        answer(reply, outcome);
    }

    /// Spawns a call whose outcome is sent to the waiting handle; replies
    /// [`PeerError::Overloaded`] if too many calls are in flight.
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
    // Fails if the caller no longer waits.
    let _ = reply.send(outcome);
}
