//! RPC server for calls from other instances.

use std::{
    cell::Cell,
    net::Shutdown,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use apricotlug_model::{InstanceId, UnixTime};
use async_std::net::{TcpListener, TcpStream};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{
    FutureExt,
    executor::LocalSpawner,
    future::{LocalBoxFuture, select},
    io::BufReader,
    task::LocalSpawnExt,
};

use super::{
    slot::Slot,
    traffic::{Meter, Metered},
};
use crate::{
    ChunkHash, Exchange, MAX_TRANSFER_BYTES, PeerError, Transfer, TransferId, TransferOutcome,
    peer_capnp::{peer, target, transfer},
    wire::{fill_exchange, read_chunk_hashes, reader_options},
};

/// Maximum number of connections from other instances.
const MAX_CONNECTIONS: usize = 512;
/// Maximum number of calls in flight on one connection.
const MAX_CALLS: usize = 32;
/// Time since the last call after which a connection without calls in flight is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval of checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum size of a forwarded order, in bytes.
const MAX_ORDER_BYTES: usize = 1024 * 1024;
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handlers of the calls from other instances.
pub(crate) trait PeerService: 'static {
    fn exchange(&self, msg: &Exchange) -> Exchange;
    fn chunks(&self, hashes: &[ChunkHash]) -> Vec<Vec<u8>>;
    fn transfer(&self, to: &InstanceId, transfer: Transfer) -> TransferOutcome;
    fn order(&self, to: &InstanceId, order: Vec<u8>) -> Option<LocalBoxFuture<'static, Vec<u8>>>;
}

/// Accepts and serves connections; never returns.
pub(crate) async fn serve<S: PeerService>(
    listener: TcpListener,
    service: Rc<S>,
    meter: Arc<Meter>,
    spawner: LocalSpawner,
) {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(slot) = Slot::take(&open_connections, MAX_CONNECTIONS) else {
            continue;
        };
        let served = serve_connection(stream, Rc::clone(&service), Arc::clone(&meter));
        // Fails if the node is shutting down.
        let _ = spawner.spawn_local(served.map(move |()| drop(slot)));
    }
}

async fn serve_connection<S: PeerService>(stream: TcpStream, service: Rc<S>, meter: Arc<Meter>) {
    // If this fails, small answers are only delayed.
    let _ = stream.set_nodelay(true);
    let metered = || Metered {
        stream: stream.clone(),
        meter: Arc::clone(&meter),
    };
    let reader = BufReader::new(metered());
    let network = VatNetwork::new(reader, metered(), Side::Server, reader_options());
    let activity = Rc::new(Activity::default());
    let server = Server {
        service,
        meter: Arc::clone(&meter),
        activity: Rc::clone(&activity),
    };
    let client: peer::Client = capnp_rpc::new_client(server);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    select(system, Box::pin(activity.wait_until_idle())).await;
    // Fails if the other side closed it first.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Calls in flight on one connection and the time of the last call.
struct Activity {
    calls: Rc<Cell<usize>>,
    called_at: Cell<Instant>,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            calls: Rc::default(),
            called_at: Cell::new(Instant::now()),
        }
    }
}

impl Activity {
    fn begin_call(&self) -> Result<Slot, capnp::Error> {
        self.called_at.set(Instant::now());
        let slot = Slot::take(&self.calls, MAX_CALLS);
        slot.ok_or_else(|| capnp::Error::overloaded("too many calls in flight".into()))
    }

    async fn wait_until_idle(&self) {
        while self.calls.get() > 0 || self.called_at.get().elapsed() < IDLE_TIMEOUT {
            async_std::task::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }
}

struct Server<S> {
    service: Rc<S>,
    meter: Arc<Meter>,
    activity: Rc<Activity>,
}

impl<S: PeerService> Server<S> {
    fn begin_call(&self) -> Result<Slot, capnp::Error> {
        Meter::count(&self.meter.calls_in, 1);
        self.activity.begin_call()
    }
}

impl<S: PeerService> peer::Server for Server<S> {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let _slot = self.begin_call()?;
        let msg = Exchange::try_from(params.get()?.get_message()?).map_err(to_rpc_error)?;
        let reply = self.service.exchange(&msg);
        fill_exchange(&reply, results.get().init_reply());
        Ok(())
    }

    async fn fetch_chunks(
        self: Rc<Self>,
        params: peer::FetchChunksParams,
        mut results: peer::FetchChunksResults,
    ) -> Result<(), capnp::Error> {
        let _slot = self.begin_call()?;
        let hashes = read_chunk_hashes(params.get()?.get_hashes()?).map_err(to_rpc_error)?;
        let chunks = self.service.chunks(&hashes);
        let mut list = results.get().init_chunks(chunks.len() as u32);
        for (i, chunk) in (0..).zip(&chunks) {
            list.set(i, chunk);
        }
        Ok(())
    }

    async fn transfer(
        self: Rc<Self>,
        params: peer::TransferParams,
        mut results: peer::TransferResults,
    ) -> Result<(), capnp::Error> {
        let _slot = self.begin_call()?;
        let params = params.get()?;
        let to = InstanceId::try_from(params.get_to()?).map_err(to_rpc_error)?;
        let transfer = Transfer::try_from(params.get_transfer()?).map_err(to_rpc_error)?;
        let outcome = self.service.transfer(&to, transfer);
        results.get().set_outcome(outcome.into());
        Ok(())
    }

    async fn forward_order(
        self: Rc<Self>,
        params: peer::ForwardOrderParams,
        mut results: peer::ForwardOrderResults,
    ) -> Result<(), capnp::Error> {
        let _slot = self.begin_call()?;
        let params = params.get()?;
        let to = InstanceId::try_from(params.get_to()?).map_err(to_rpc_error)?;
        let order = params.get_order()?;
        if order.len() > MAX_ORDER_BYTES {
            return Err(to_rpc_error(PeerError::Malformed("length of an order")));
        }
        match self.service.order(&to, order.to_vec()) {
            Some(answer) => results.get().set_answer(&answer.await),
            None => results.get().set_is_gone(true),
        }
        Ok(())
    }
}

impl TryFrom<target::Reader<'_>> for InstanceId {
    type Error = PeerError;

    fn try_from(reader: target::Reader) -> Result<Self, PeerError> {
        Ok(Self {
            name: reader.get_name()?.to_str()?.to_owned(),
            incarnation: reader.get_incarnation(),
        })
    }
}

impl TryFrom<transfer::Reader<'_>> for Transfer {
    type Error = PeerError;

    fn try_from(reader: transfer::Reader) -> Result<Self, PeerError> {
        let payload = reader.get_payload()?;
        if payload.len() > MAX_TRANSFER_BYTES {
            return Err(PeerError::Malformed("length of a transfer"));
        }
        let id = u128::from(reader.get_id_high()) << 64 | u128::from(reader.get_id_low());
        Ok(Self {
            id: TransferId(id),
            expires: UnixTime(reader.get_expires_unix_micros()),
            payload: payload.to_vec(),
        })
    }
}

fn to_rpc_error(e: PeerError) -> capnp::Error {
    capnp::Error::failed(e.to_string())
}
