//! Start and drain of an entry instance.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use apricotlug_config::Settings;
use apricotlug_edge::{Shared, accept};
use apricotlug_http::serve_app;
use apricotlug_model::InstanceId;
use apricotlug_peer::{Addresses, PeerConfig, PeerHandle, PeerNode};
use apricotlug_platform::{BundleStore, Client, ClientConfig, Withdrawals};
use async_std::{
    net::TcpListener,
    task::{self, JoinHandle},
};

use crate::{
    error::NodeError,
    fleet,
    keeper::SeatKeeper,
    lender::Lender,
    loader::Loader,
    lookups::{self, LookupPages, Lookups},
    moves::MoveKeeper,
    pages::{self, AdminPages},
    peers::{Inbound, Outbound},
    probes,
    seats::Reports,
    sync::{self, Links},
};

/// Time for which an instance that leaves still takes new connections: callers hold look-up
/// answers that name it.
const LINGER: Duration = Duration::from_secs(5);

/// What an entry instance is started with.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Settings.
    pub settings: Settings,
    /// Random number that tells this run from all others.
    pub incarnation: u64,
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addrs {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Look-ups.
    pub lookup: SocketAddr,
    /// Operators' pages.
    pub admin: SocketAddr,
    /// Other instances.
    pub peer: SocketAddr,
}

/// Running entry instance.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    addrs: Addrs,
    accept: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    peers: PeerHandle,
    seats: SeatKeeper,
    drain: Duration,
}

impl Node {
    /// Starts an instance. It serves once it has a bundle.
    ///
    /// # Errors
    /// Returns an error where an address cannot be bound.
    pub async fn start(cfg: NodeConfig) -> Result<Self, NodeError> {
        let settings = cfg.settings;
        let caller = bind(settings.listen.caller).await?;
        let lookup = bind(settings.listen.lookup).await?;
        let admin = bind(settings.listen.admin).await?;
        let addrs = Addrs {
            caller: caller.1,
            lookup: lookup.1,
            admin: admin.1,
            peer: settings.listen.peer,
        };
        let identity = InstanceId {
            name: settings.instance.clone(),
            incarnation: cfg.incarnation,
        };
        let seed = cfg.incarnation;
        let shared = Arc::new(Shared::new(identity, settings.data_centre.clone(), seed));
        let lookups = Arc::new(Lookups::new(seed.rotate_left(1)));
        let reports = Arc::new(Reports::default());
        let client = Client::new(ClientConfig {
            addrs: settings.platform.clone(),
            seed: seed.rotate_left(2),
            ..ClientConfig::default()
        });
        let own_peers = Arc::new(OnceLock::new());
        let inbound = Inbound {
            shared: Arc::clone(&shared),
            reports: Arc::clone(&reports),
            peers: Arc::clone(&own_peers),
        };
        let peers = start_peers(&settings, &shared, inbound, addrs)?;
        // Nothing was set before.
        let _ = own_peers.set(peers.clone());
        let lender = Lender {
            shared: Arc::clone(&shared),
            peers: peers.clone(),
        };
        let addrs = Addrs {
            peer: peers.addr(),
            ..addrs
        };
        shared.set_fleet(Arc::new(Outbound {
            identity: shared.identity.clone(),
            peers: peers.clone(),
            client: client.clone(),
        }));
        let loader = Loader::start();
        let links = Links {
            shared: Arc::clone(&shared),
            peers: peers.clone(),
            store: BundleStore::new(client.clone()),
            withdrawals: Withdrawals::new(client.clone()),
            loader: loader.clone(),
        };
        let seats = SeatKeeper {
            shared: Arc::clone(&shared),
            peers: peers.clone(),
            reports,
            client: client.clone(),
        };
        let moves = MoveKeeper {
            shared: Arc::clone(&shared),
            peers: peers.clone(),
            client: client.clone(),
        };
        let pages = LookupPages {
            shared: Arc::clone(&shared),
            lookups: Arc::clone(&lookups),
        };
        let lookup_app = Arc::new(lookups::app(pages));
        let admin_app = Arc::new(pages::app(AdminPages {
            shared: Arc::clone(&shared),
            peers: peers.clone(),
            client,
            moves: moves.clone(),
            loader,
        }));
        let has_seeds = !settings.peers.is_empty();
        let tasks = vec![
            task::spawn(async move { log_end(serve_app(lookup.0, lookup_app).await) }),
            task::spawn(async move { log_end(serve_app(admin.0, admin_app).await) }),
            task::spawn(sync::follow_peers(links.clone())),
            task::spawn(sync::follow_bundle(links.clone(), has_seeds)),
            task::spawn(sync::follow_withdrawals(links)),
            task::spawn(seats.clone().keep()),
            task::spawn(moves.keep()),
            task::spawn(lender.run()),
            task::spawn(probes::run(Arc::clone(&shared))),
            task::spawn(fleet::follow(Arc::clone(&shared), lookups, peers.clone())),
        ];
        let accept = task::spawn(accept(caller.0, Arc::clone(&shared)));
        tracing::info!(
            kind = "start",
            instance = shared.identity.name,
            caller = %addrs.caller,
            lookup = %addrs.lookup,
            admin = %addrs.admin,
            peer = %addrs.peer,
        );
        let drain = Duration::from_millis(settings.drain_ms.into());
        Ok(Self {
            shared,
            addrs,
            accept,
            tasks,
            peers,
            seats,
            drain,
        })
    }

    /// Returns the addresses that it listens on.
    #[must_use]
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Returns the state of the instance.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Tells whether the instance has a bundle and its part of the budgets.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let generation = self
            .shared
            .gate
            .with_budgets(|budgets| budgets.generation());
        generation.flatten().is_some()
    }

    /// Leaves: look-ups stop naming the instance, requests in flight end, then it stops. Returns
    /// the number of requests that were still in flight at the end of the time allowed.
    pub async fn leave(self) -> usize {
        let clock = self.shared.clock;
        let deadline = clock.now().after(self.drain);
        self.shared.drain.leave();
        self.peers.announce_leaving();
        tracing::info!(kind = "leave", in_flight = self.shared.drain.in_flight());
        task::sleep(LINGER.min(self.drain)).await;
        self.accept.cancel().await;
        let left = self.shared.drain.wait_empty(&clock, deadline).await;
        for running in self.tasks {
            running.cancel().await;
        }
        self.seats.hand_back().await;
        self.peers.stop().await;
        tracing::info!(kind = "stop", in_flight = left);
        left
    }
}

async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), NodeError> {
    let failed = |source| NodeError::Listen { addr, source };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

fn log_end(end: Result<(), apricotlug_http::HttpError>) {
    if let Err(e) = end {
        tracing::error!(error = %e, "a listener has failed");
    }
}

fn start_peers(
    settings: &Settings,
    shared: &Arc<Shared>,
    inbound: Inbound,
    addrs: Addrs,
) -> Result<PeerHandle, NodeError> {
    let cfg = PeerConfig {
        id: shared.identity.clone(),
        data_centre: settings.data_centre.clone(),
        addresses: Addresses {
            caller: addrs.caller,
            lookup: addrs.lookup,
            peer: addrs.peer,
        },
        listen: settings.listen.peer,
        seeds: settings.peers.clone(),
        started: shared.clock.unix(),
    };
    Ok(PeerNode::start(cfg, Arc::new(inbound))?)
}
