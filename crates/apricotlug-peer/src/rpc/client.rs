//! Client side of a connection to one peer; each call has a time limit.

use std::{
    cell::Cell,
    future::Future,
    net::{Shutdown, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use apricotlug_model::InstanceId;
use async_std::{future::timeout, net::TcpStream};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{
    FutureExt,
    executor::LocalSpawner,
    future::{Either, RemoteHandle, select},
    io::BufReader,
    task::LocalSpawnExt,
};

use super::traffic::{Meter, Metered};
use crate::{
    ChunkHash, Exchange, MAX_CHUNK_BYTES, PeerError, Transfer, TransferOutcome,
    peer_capnp::{TransferOutcome as WireOutcome, peer, target},
    wire::{fill_exchange, reader_options},
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for an exchange, a transfer or a heartbeat.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for fetching chunks.
const FETCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for a forwarded order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of heartbeats on a connection whose peer runs an order.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time after which a connection is probed before an order is sent over it.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Open connection, shut down when the last owner drops it.
pub(crate) struct Connection {
    addr: SocketAddr,
    client: peer::Client,
    stream: TcpStream,
    meter: Arc<Meter>,
    used_at: Cell<Instant>,
    is_broken: Cell<bool>,
    _driver: RemoteHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Fails if the other side closed it first.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Returns an error if it cannot be opened in time; nothing was sent then.
    pub async fn open(
        addr: SocketAddr,
        meter: Arc<Meter>,
        spawner: LocalSpawner,
    ) -> Result<Rc<Self>, PeerError> {
        let connect_error = |reason: String| PeerError::Connect { addr, reason };
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| connect_error("timed out".to_owned()))?;
        let stream = stream.map_err(|e| connect_error(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| connect_error(e.to_string()))?;
        Meter::count(&meter.connects, 1);
        let metered = || Metered {
            stream: stream.clone(),
            meter: Arc::clone(&meter),
        };
        let reader = BufReader::new(metered());
        let network = VatNetwork::new(reader, metered(), Side::Client, reader_options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let driver = spawner.spawn_local_with_handle(system.map(|_| ()));
        let driver = driver.map_err(|e| connect_error(e.to_string()))?;
        Ok(Rc::new(Self {
            addr,
            client,
            stream,
            meter,
            used_at: Cell::new(Instant::now()),
            is_broken: Cell::new(false),
            _driver: driver,
        }))
    }

    /// Returns the time since the last call.
    pub fn idle_time(&self) -> Duration {
        self.used_at.get().elapsed()
    }

    /// Returns whether a call has failed, so that the connection must not be reused.
    pub fn is_broken(&self) -> bool {
        self.is_broken.get()
    }

    /// Sends a gossip message and returns the reply.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives in time.
    pub async fn exchange(&self, msg: &Exchange) -> Result<Exchange, PeerError> {
        let mut request = self.client.exchange_request();
        fill_exchange(msg, request.get().init_message());
        let response = self.call(SHORT_TIMEOUT, request.send().promise).await?;
        let reply = response.get().and_then(|results| results.get_reply())?;
        let reply = Exchange::try_from(reply);
        reply.inspect_err(|_| self.is_broken.set(true))
    }

    /// Fetches chunks; an empty entry stands for a chunk that the peer is missing.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives in time.
    pub async fn fetch_chunks(&self, hashes: &[ChunkHash]) -> Result<Vec<Vec<u8>>, PeerError> {
        let mut request = self.client.fetch_chunks_request();
        let mut list = request.get().init_hashes(hashes.len() as u32);
        for (i, hash) in (0..).zip(hashes) {
            list.set(i, &hash.0);
        }
        let response = self.call(FETCH_TIMEOUT, request.send().promise).await?;
        let chunks = response.get().and_then(|results| results.get_chunks())?;
        let mut fetched = Vec::new();
        for chunk in chunks.iter().take(hashes.len()) {
            let chunk = chunk?;
            if chunk.len() > MAX_CHUNK_BYTES {
                return Err(PeerError::Malformed("length of a chunk"));
            }
            fetched.push(chunk.to_vec());
        }
        Ok(fetched)
    }

    /// Sends a transfer to one run of the peer.
    ///
    /// # Errors
    /// Returns an error if no answer arrives in time; the transfer may have been applied then.
    pub async fn transfer(
        &self,
        to: &InstanceId,
        transfer: &Transfer,
    ) -> Result<TransferOutcome, PeerError> {
        let mut request = self.client.transfer_request();
        fill_target(to, request.get().init_to());
        let mut builder = request.get().init_transfer();
        builder.set_id_high((transfer.id.0 >> 64) as u64);
        builder.set_id_low(transfer.id.0 as u64);
        builder.set_expires_unix_micros(transfer.expires.0);
        builder.set_payload(&transfer.payload);
        let response = self.call(SHORT_TIMEOUT, request.send().promise).await?;
        Ok(response.get()?.get_outcome()?.into())
    }

    /// Forwards an order to one run of the peer. Returns `None` if that run no longer exists.
    ///
    /// # Errors
    /// Returns an error if no answer arrives in time; the order may have run then.
    pub async fn forward_order(
        &self,
        to: &InstanceId,
        order: &[u8],
    ) -> Result<Option<Vec<u8>>, PeerError> {
        let mut request = self.client.forward_order_request();
        fill_target(to, request.get().init_to());
        request.get().set_order(order);
        let answer = self.call(ORDER_TIMEOUT, request.send().promise);
        let response = self.with_heartbeat(Box::pin(answer)).await?;
        let results = response.get()?;
        if results.get_is_gone() {
            return Ok(None);
        }
        Ok(Some(results.get_answer()?.to_vec()))
    }

    /// Checks that the peer answers on this connection, if it has been idle.
    ///
    /// # Errors
    /// Returns an error if the peer does not answer.
    pub async fn probe(&self) -> Result<(), PeerError> {
        if self.idle_time() < PROBE_AFTER {
            return Ok(());
        }
        self.heartbeat().await
    }

    async fn heartbeat(&self) -> Result<(), PeerError> {
        let request = self.client.fetch_chunks_request();
        match self.call(SHORT_TIMEOUT, request.send().promise).await {
            // A peer that refuses the call is reachable.
            Ok(_) | Err(PeerError::Overloaded) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Waits for a call, and fails it early if a heartbeat on the connection fails.
    async fn with_heartbeat<F, T>(&self, mut call: F) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, PeerError>> + Unpin,
    {
        loop {
            let interval = async_std::task::sleep(HEARTBEAT_INTERVAL);
            match select(call, Box::pin(interval)).await {
                Either::Left((outcome, _)) => return outcome,
                Either::Right(((), pending)) => call = pending,
            }
            match select(call, Box::pin(self.heartbeat())).await {
                Either::Left((outcome, _)) => return outcome,
                Either::Right((Err(e), _)) => return Err(e),
                Either::Right((Ok(()), pending)) => call = pending,
            }
        }
    }

    async fn call<T>(
        &self,
        time_limit: Duration,
        promise: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, PeerError> {
        self.used_at.set(Instant::now());
        Meter::count(&self.meter.calls_out, 1);
        let outcome = match timeout(time_limit, promise).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) if e.kind == capnp::ErrorKind::Overloaded => Err(PeerError::Overloaded),
            Ok(Err(e)) => Err(PeerError::Call {
                addr: self.addr,
                reason: e.to_string(),
            }),
            Err(_) => Err(PeerError::Timeout(self.addr)),
        };
        if let Err(e) = &outcome {
            Meter::count(&self.meter.calls_failed, 1);
            let is_broken = *e != PeerError::Overloaded;
            self.is_broken.set(self.is_broken.get() || is_broken);
        }
        self.used_at.set(Instant::now());
        outcome
    }
}

fn fill_target(to: &InstanceId, mut builder: target::Builder) {
    builder.set_name(&to.name);
    builder.set_incarnation(to.incarnation);
}

impl From<WireOutcome> for TransferOutcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Applied => Self::Applied,
            WireOutcome::Duplicate => Self::Duplicate,
            WireOutcome::Expired => Self::Expired,
            WireOutcome::Gone => Self::Gone,
            WireOutcome::Full => Self::Full,
        }
    }
}

impl From<TransferOutcome> for WireOutcome {
    fn from(outcome: TransferOutcome) -> Self {
        match outcome {
            TransferOutcome::Applied => Self::Applied,
            TransferOutcome::Duplicate => Self::Duplicate,
            TransferOutcome::Expired => Self::Expired,
            TransferOutcome::Gone => Self::Gone,
            TransferOutcome::Full => Self::Full,
        }
    }
}
