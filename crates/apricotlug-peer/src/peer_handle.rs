//! Handle through which the rest of the process uses its peer node.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, RwLock},
};

use apricotlug_model::InstanceId;
use async_channel::{Receiver, Sender};
use futures::channel::oneshot;

use crate::{
    BundleHead, Chunk, CompleteBundle, Member, NamedRecord, PeerError, Traffic, Transfer,
    TransferOutcome, rpc::Meter,
};

/// Snapshot of the node's members and replicated data.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Members, this instance included, sorted by name.
    pub members: Arc<[Member]>,
    /// Ids of withdrawn keys.
    pub withdrawn: Arc<BTreeSet<String>>,
    /// Names of members that have not confirmed a withdrawal, by key id; a key that all members
    /// have confirmed is absent.
    pub unconfirmed: Arc<BTreeMap<String, Vec<String>>>,
    /// Records by name.
    pub records: Arc<BTreeMap<String, NamedRecord>>,
    /// Newest complete bundle; `None` before the first one.
    pub bundle: Option<Arc<CompleteBundle>>,
    /// Whether another live run uses this instance's name.
    pub is_superseded: bool,
    /// Whether no message from another instance has arrived recently.
    pub is_isolated: bool,
}

/// Command from a handle to its node.
pub(crate) enum Command {
    PublishBundle(CompleteBundle, Reply<()>),
    Withdraw(String, Reply<()>),
    PublishRecord(NamedRecord, Reply<()>),
    Transfer(InstanceId, Transfer, Reply<TransferOutcome>),
    ForwardOrder(InstanceId, Vec<u8>, Reply<Option<Vec<u8>>>),
    SetLoad(u16),
    SetPlatformAddresses(Vec<SocketAddr>),
    AnnounceLeaving,
    Stop(oneshot::Sender<()>),
}

/// Sender of the result of a command.
pub(crate) type Reply<T> = oneshot::Sender<Result<T, PeerError>>;

/// Handle of a running peer node. All clones refer to the same node.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    pub(crate) id: InstanceId,
    pub(crate) addr: SocketAddr,
    pub(crate) commands: Sender<Command>,
    pub(crate) view: Arc<RwLock<Arc<FleetView>>>,
    pub(crate) bundles: Receiver<Arc<CompleteBundle>>,
    pub(crate) meter: Arc<Meter>,
}

impl PeerHandle {
    /// Returns the name and incarnation of this run.
    #[must_use]
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Returns the address that the node listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the latest snapshot, at most one gossip period old.
    ///
    /// # Panics
    /// Panics if the thread of the node panicked while it replaced the snapshot.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.read().expect("snapshot lock"))
    }

    /// Returns the members, this instance included.
    #[must_use]
    pub fn members(&self) -> Arc<[Member]> {
        Arc::clone(&self.view().members)
    }

    /// Returns the ids of withdrawn keys.
    #[must_use]
    pub fn withdrawn(&self) -> Arc<BTreeSet<String>> {
        Arc::clone(&self.view().withdrawn)
    }

    /// Returns the records by name.
    #[must_use]
    pub fn records(&self) -> Arc<BTreeMap<String, NamedRecord>> {
        Arc::clone(&self.view().records)
    }

    /// Returns the newest complete bundle.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<CompleteBundle>> {
        self.view().bundle.clone()
    }

    /// Returns the receiver of completed bundles, each with a higher version than the one before.
    /// All clones share one queue; if the reader lags, the oldest entries are dropped.
    #[must_use]
    pub fn bundle_updates(&self) -> Receiver<Arc<CompleteBundle>> {
        self.bundles.clone()
    }

    /// Publishes a bundle; has no effect unless its version is higher than the newest one.
    ///
    /// # Errors
    /// Returns an error if a limit is exceeded, a chunk is missing or the node has stopped.
    pub async fn publish_bundle(
        &self,
        head: BundleHead,
        chunks: Vec<Chunk>,
    ) -> Result<(), PeerError> {
        let bundle = CompleteBundle::new(head, &chunks)?;
        self.request(|reply| Command::PublishBundle(bundle, reply))
            .await
    }

    /// Withdraws a key on all instances; those that are unreachable learn of it once they
    /// reconnect.
    ///
    /// # Errors
    /// Returns an error if the id is empty or too long, too many keys are withdrawn or the node has
    /// stopped.
    pub async fn withdraw(&self, key_id: impl Into<String>) -> Result<(), PeerError> {
        let key_id = key_id.into();
        self.request(|reply| Command::Withdraw(key_id, reply)).await
    }

    /// Publishes a record. On every instance the highest version of a name wins.
    ///
    /// # Errors
    /// Returns an error if a limit is exceeded or the node has stopped.
    pub async fn publish_record(&self, record: NamedRecord) -> Result<(), PeerError> {
        self.request(|reply| Command::PublishRecord(record, reply))
            .await
    }

    /// Sends a transfer to one run of an instance. A retry with the same id is not applied again.
    ///
    /// # Errors
    /// After [`PeerError::Timeout`] or [`PeerError::Call`] the transfer may have been applied;
    /// every other error means that it was not.
    pub async fn send_transfer(
        &self,
        to: &InstanceId,
        transfer: Transfer,
    ) -> Result<TransferOutcome, PeerError> {
        let to = to.clone();
        self.request(|reply| Command::Transfer(to, transfer, reply))
            .await
    }

    /// Forwards an order to the run that it is bound to. Returns `None` if that run no longer
    /// exists.
    ///
    /// # Errors
    /// After [`PeerError::Timeout`] or [`PeerError::Call`] the order may have run; every other
    /// error means that it was not sent.
    pub async fn forward_order(
        &self,
        to: &InstanceId,
        order: Vec<u8>,
    ) -> Result<Option<Vec<u8>>, PeerError> {
        let to = to.clone();
        self.request(|reply| Command::ForwardOrder(to, order, reply))
            .await
    }

    /// Returns the traffic counters of the node since it started.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.meter.read()
    }

    /// Sets the load that members of the same data centre see, in thousandths of the capacity.
    pub fn set_load(&self, load: u16) {
        self.post(Command::SetLoad(load));
    }

    /// Sets the peer addresses from the platform's list of instances, which may lag behind.
    pub fn set_platform_addresses(&self, addrs: Vec<SocketAddr>) {
        self.post(Command::SetPlatformAddresses(addrs));
    }

    /// Announces that this instance accepts no new requests.
    pub fn announce_leaving(&self) {
        self.post(Command::AnnounceLeaving);
    }

    /// Announces that this instance has left, then stops the node. Returns once it has stopped.
    pub async fn stop(&self) {
        let (tx, rx) = oneshot::channel();
        self.post(Command::Stop(tx));
        let _ = rx.await;
    }

    fn post(&self, command: Command) {
        // Fails if the node has stopped or its queue is full; the command is then dropped.
        let _ = self.commands.try_send(command);
    }

    async fn request<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, PeerError> {
        let (tx, rx) = oneshot::channel();
        let sent = self.commands.send(command(tx)).await;
        sent.map_err(|_| PeerError::Stopped)?;
        rx.await.map_err(|_| PeerError::Stopped)?
    }
}
