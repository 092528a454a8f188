//! Start and drain of an entry instance.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use apricotlug_config::{Listen, Settings};
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
    admin_api::{self, AdminPages},
    budget_plans::Reports,
    budget_renewal::SeatKeeper,
    error::NodeError,
    fleet,
    loader::Loader,
    lookups::{self, LookupPages, Lookups},
    moves::MoveKeeper,
    peers::{Inbound, Outbound},
    probes,
    sync::{self, Links},
    token_exchange::Lender,
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
        let listeners = Listeners::bind(&settings.listen).await?;
        let identity = InstanceId {
            name: settings.instance.clone(),
            incarnation: cfg.incarnation,
        };
        let seed = cfg.incarnation;
        let shared = Arc::new(Shared::new(identity, settings.data_centre.clone(), seed));
        let parts = Parts::connect(&settings, shared, listeners.addrs, seed)?;
        let addrs = Addrs {
            peer: parts.peers.addr(),
            ..listeners.addrs
        };
        let lookups = Arc::new(Lookups::new(seed.rotate_left(1)));
        let mut tasks = parts.serve_pages(&lookups, listeners.lookup, listeners.admin);
        tasks.extend(parts.follow(lookups, !settings.peers.is_empty()));
        let accept = task::spawn(accept(listeners.caller, Arc::clone(&parts.shared)));
        tracing::info!(
            kind = "start",
            instance = parts.shared.identity.name,
            caller = %addrs.caller,
            lookup = %addrs.lookup,
            admin = %addrs.admin,
            peer = %addrs.peer,
        );
        Ok(Self {
            seats: parts.seats(),
            shared: parts.shared,
            addrs,
            accept,
            tasks,
            peers: parts.peers,
            drain: Duration::from_millis(settings.drain_ms.into()),
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

/// Bound listeners; the peer node binds its own.
struct Listeners {
    caller: TcpListener,
    lookup: TcpListener,
    admin: TcpListener,
    addrs: Addrs,
}

impl Listeners {
    async fn bind(listen: &Listen) -> Result<Self, NodeError> {
        let (caller, caller_addr) = bind(listen.caller).await?;
        let (lookup, lookup_addr) = bind(listen.lookup).await?;
        let (admin, admin_addr) = bind(listen.admin).await?;
        let addrs = Addrs {
            caller: caller_addr,
            lookup: lookup_addr,
            admin: admin_addr,
            peer: listen.peer,
        };
        Ok(Self {
            caller,
            lookup,
            admin,
            addrs,
        })
    }
}

/// Handles that the tasks of an instance share.
struct Parts {
    shared: Arc<Shared>,
    peers: PeerHandle,
    client: Client,
    reports: Arc<Reports>,
    loader: Loader,
}

impl Parts {
    /// Starts the peer node and connects the request path with the fleet.
    fn connect(
        settings: &Settings,
        shared: Arc<Shared>,
        addrs: Addrs,
        seed: u64,
    ) -> Result<Self, NodeError> {
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
        let peers = start_peers(settings, &shared, inbound, addrs)?;
        // Nothing was set before.
        let _ = own_peers.set(peers.clone());
        shared.set_fleet(Arc::new(Outbound {
            identity: shared.identity.clone(),
            peers: peers.clone(),
            client: client.clone(),
        }));
        Ok(Self {
            shared,
            peers,
            client,
            reports,
            loader: Loader::start(),
        })
    }

    fn seats(&self) -> SeatKeeper {
        SeatKeeper {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
            reports: Arc::clone(&self.reports),
            client: self.client.clone(),
        }
    }

    fn moves(&self) -> MoveKeeper {
        MoveKeeper {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
            client: self.client.clone(),
        }
    }

    /// Starts the listeners of look-ups and of the administration API.
    fn serve_pages(
        &self,
        lookups: &Arc<Lookups>,
        lookup: TcpListener,
        admin: TcpListener,
    ) -> Vec<JoinHandle<()>> {
        let lookup_app = Arc::new(lookups::app(LookupPages {
            shared: Arc::clone(&self.shared),
            lookups: Arc::clone(lookups),
        }));
        let admin_app = Arc::new(admin_api::app(AdminPages {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
            client: self.client.clone(),
            moves: self.moves(),
            loader: self.loader.clone(),
        }));
        vec![
            task::spawn(async move { log_end(serve_app(lookup, lookup_app).await) }),
            task::spawn(async move { log_end(serve_app(admin, admin_app).await) }),
        ]
    }

    /// Starts the tasks that follow the fleet and the platform.
    fn follow(&self, lookups: Arc<Lookups>, has_seeds: bool) -> Vec<JoinHandle<()>> {
        let links = Links {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
            store: BundleStore::new(self.client.clone()),
            withdrawals: Withdrawals::new(self.client.clone()),
            loader: self.loader.clone(),
        };
        let lender = Lender {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
        };
        let members = fleet::follow(Arc::clone(&self.shared), lookups, self.peers.clone());
        vec![
            task::spawn(sync::follow_peers(links.clone())),
            task::spawn(sync::follow_bundle(links.clone(), has_seeds)),
            task::spawn(sync::follow_withdrawals(links)),
            task::spawn(self.seats().keep()),
            task::spawn(self.moves().keep()),
            task::spawn(lender.run()),
            task::spawn(probes::run(Arc::clone(&self.shared))),
            task::spawn(members),
        ]
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
