//! Peer node: drives the gossip state machine on a dedicated thread.

mod commands;
mod outgoing;
mod service;
mod view;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, RwLock},
    thread,
    time::{Duration, Instant},
};

use apricotlug_model::{InstanceId, MonoTime};
use async_channel::{Receiver, Sender};
use async_std::net::TcpListener;
use futures::{
    FutureExt,
    executor::{LocalPool, LocalSpawner},
    future::select,
    select_biased,
    task::LocalSpawnExt,
};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    CompleteBundle, DataDigest, FleetView, Gossip, MemberRecord, PeerConfig, PeerError, PeerHandle,
    PeerHandler, State, TransferLog,
    peer_handle::Command,
    rpc::{Meter, Pool, serve},
};

/// Capacity of the command queue.
const MAX_COMMANDS: usize = 1024;
/// Capacity of the queue of completed bundles; the oldest is dropped when it is full.
const MAX_BUNDLES: usize = 4;
/// Time limit for announcing the departure of a stopping node.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(500);

/// Entry point for starting a peer node.
#[derive(Debug)]
pub struct PeerNode;

impl PeerNode {
    /// Binds the listening socket and starts the node on a dedicated thread.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be bound or the thread cannot be started.
    pub fn start(cfg: PeerConfig, handler: Arc<dyn PeerHandler>) -> Result<PeerHandle, PeerError> {
        let start_error = |e: std::io::Error| PeerError::Start(e.to_string());
        let listener = std::net::TcpListener::bind(cfg.listen).map_err(start_error)?;
        listener.set_nonblocking(true).map_err(start_error)?;
        let addr = listener.local_addr().map_err(start_error)?;
        let (tx, rx) = async_channel::bounded(MAX_COMMANDS);
        let (bundles_tx, bundles_rx) = async_channel::bounded(MAX_BUNDLES);
        let view = Arc::new(RwLock::new(Arc::new(FleetView::default())));
        let meter = Arc::new(Meter::default());
        let handle = PeerHandle {
            id: cfg.id.clone(),
            addr,
            commands: tx,
            view: Arc::clone(&view),
            bundles: bundles_rx,
            meter: Arc::clone(&meter),
        };
        let run = move || {
            let mut pool = LocalPool::new();
            let spawner = pool.spawner();
            let node = Rc::new(Node::new(
                cfg, addr, handler, bundles_tx, view, meter, spawner,
            ));
            let main = node.run(TcpListener::from(listener), rx);
            pool.run_until(main);
        };
        let builder = thread::Builder::new().name("peer".to_owned());
        builder.spawn(run).map_err(start_error)?;
        Ok(handle)
    }
}

/// State of a running node, shared by the tasks of its thread.
struct Node {
    id: InstanceId,
    started: Instant,
    gossip: RefCell<Gossip>,
    rng: RefCell<StdRng>,
    transfers: RefCell<TransferLog>,
    active_sessions: RefCell<BTreeSet<SocketAddr>>,
    calls: Rc<Cell<usize>>,
    published_state: Cell<(DataDigest, u64)>,
    view_expires: Cell<MonoTime>,
    handler: Arc<dyn PeerHandler>,
    pool: Pool,
    meter: Arc<Meter>,
    spawner: LocalSpawner,
    wake: (Sender<()>, Receiver<()>),
    bundles: Sender<Arc<CompleteBundle>>,
    view: Arc<RwLock<Arc<FleetView>>>,
}

impl Node {
    fn new(
        cfg: PeerConfig,
        addr: SocketAddr,
        handler: Arc<dyn PeerHandler>,
        bundles: Sender<Arc<CompleteBundle>>,
        view: Arc<RwLock<Arc<FleetView>>>,
        meter: Arc<Meter>,
        spawner: LocalSpawner,
    ) -> Self {
        let mut addresses = cfg.addresses;
        if addresses.peer.port() == 0 {
            addresses.peer.set_port(addr.port());
        }
        let record = MemberRecord {
            id: cfg.id.clone(),
            generation: cfg.started.0,
            version: 0,
            state: State::Ready,
            data_centre: cfg.data_centre,
            addresses,
        };
        let seeds = cfg.seeds.into_iter().filter(|seed| *seed != addresses.peer);
        Self {
            gossip: RefCell::new(Gossip::new(record, seeds.collect(), MonoTime::default())),
            rng: RefCell::new(StdRng::seed_from_u64(cfg.id.incarnation)),
            id: cfg.id,
            started: Instant::now(),
            transfers: RefCell::default(),
            active_sessions: RefCell::default(),
            calls: Rc::default(),
            published_state: Cell::default(),
            view_expires: Cell::default(),
            handler,
            pool: Pool::new(Arc::clone(&meter), spawner.clone()),
            meter,
            spawner,
            wake: async_channel::bounded(1),
            bundles,
            view,
        }
    }

    fn now(&self) -> MonoTime {
        MonoTime::default().after(self.started.elapsed())
    }

    async fn run(self: Rc<Self>, listener: TcpListener, commands: Receiver<Command>) {
        let meter = Arc::clone(&self.meter);
        let server = serve(listener, Rc::clone(&self), meter, self.spawner.clone());
        let main = self.main_loop(commands);
        select(Box::pin(server), Box::pin(main)).await;
    }

    async fn main_loop(self: &Rc<Self>, commands: Receiver<Command>) {
        loop {
            self.poll();
            let due = self.gossip.borrow().poll_at().since(self.now());
            let due = async_std::task::sleep(due);
            let command = select_biased! {
                command = commands.recv().fuse() => command.ok(),
                _ = self.wake.1.recv().fuse() => continue,
                () = due.fuse() => continue,
            };
            match command {
                Some(Command::Stop(done)) => {
                    self.announce_departure().await;
                    // Fails if the caller no longer waits for the stop.
                    let _ = done.send(());
                    return;
                }
                Some(command) => self.handle_command(command),
                None => return,
            }
        }
    }

    /// Runs the work that is due, and publishes the resulting snapshot and bundles.
    fn poll(self: &Rc<Self>) {
        let now = self.now();
        let targets = self
            .gossip
            .borrow_mut()
            .poll(now, &mut *self.rng.borrow_mut());
        if !targets.is_empty() {
            self.pool.close_idle();
        }
        for target in targets {
            self.spawn(Rc::clone(self).run_session(target));
        }
        self.start_fetch();
        let completed = self.gossip.borrow_mut().data.take_completed();
        self.refresh_view(now);
        for bundle in completed {
            // Fails if all handles have been dropped.
            let _ = self.bundles.force_send(bundle);
        }
    }

    /// Announces to some peers that this instance has left, within a time limit.
    async fn announce_departure(self: &Rc<Self>) {
        let now = self.now();
        let targets = {
            let mut gossip = self.gossip.borrow_mut();
            gossip.membership.announce(State::Dead, now);
            gossip
                .membership
                .push_targets(now, &mut *self.rng.borrow_mut())
        };
        let sessions = targets
            .into_iter()
            .map(|target| Rc::clone(self).run_session(target));
        let sessions = futures::future::join_all(sessions);
        // After a time-out the others detect the departure by the missing heartbeats.
        let _ = async_std::future::timeout(DEPARTURE_TIMEOUT, sessions).await;
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        // Fails if the node is shutting down.
        let _ = self.spawner.spawn_local(task);
    }

    /// Makes the main loop poll again.
    fn wake(&self) {
        // If the channel is full, a poll is pending already.
        let _ = self.wake.0.try_send(());
    }
}
