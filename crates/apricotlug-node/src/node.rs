//! Start and drain of an entry instance.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use apricotlug_config::{Listen, Settings};
use apricotlug_edge::{Shared, accept};
use apricotlug_http::{AppLimits, serve_app};
use apricotlug_model::InstanceId;
use apricotlug_peer::{Addresses, PeerConfig, PeerHandle, PeerNode};
use apricotlug_platform::{BundleStore, Client, ClientConfig, Withdrawals};
use async_std::{
    net::TcpListener,
    task::{self, JoinHandle},
};

use crate::{
    admin_api::{self, AdminApi},
    budget_plans::Reports,
    budget_renewal::BudgetRenewer,
    error::NodeError,
    fleet,
    loader::Loader,
    lookups::{self, LookupApi, LookupDirectory},
    moves::MoveAdvancer,
    peers::{Inbound, Outbound},
    probes,
    sync::{self, SyncContext},
    token_exchange::TokenBorrower,
};

/// Time for which a leaving instance still accepts connections: callers hold look-up answers that
/// list it.
const LEAVING_ACCEPT_TIME: Duration = Duration::from_secs(5);

/// Configuration of an entry instance.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Settings from the settings file.
    pub settings: Settings,
    /// Random number that identifies this run of the instance; also seeds its random numbers.
    pub incarnation: u64,
}

/// Addresses that an instance listens on, after binding.
#[derive(Clone, Copy, Debug)]
pub struct Addrs {
    /// Address for callers' requests.
    pub caller: SocketAddr,
    /// Address for look-ups and order tokens.
    pub lookup: SocketAddr,
    /// Address of the administration API and the metrics.
    pub admin: SocketAddr,
    /// Address for messages from other instances.
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
    budgets: BudgetRenewer,
    drain_time: Duration,
}

impl Node {
    /// Starts an instance. It serves requests once it has a bundle.
    ///
    /// # Errors
    /// Returns an error where an address cannot be bound or the peer node does not start.
    pub async fn start(cfg: NodeConfig) -> Result<Self, NodeError> {
        let settings = cfg.settings;
        let listeners = Listeners::bind(&settings.listen).await?;
        let identity = InstanceId {
            name: settings.instance.clone(),
            incarnation: cfg.incarnation,
        };
        let seed = cfg.incarnation;
        let shared = Arc::new(Shared::new(identity, settings.data_centre.clone(), seed));
        let components = Components::connect(&settings, shared, listeners.addrs, seed)?;
        let addrs = Addrs {
            peer: components.peers.addr(),
            ..listeners.addrs
        };
        let lookups = Arc::new(LookupDirectory::new(seed.rotate_left(1)));
        let mut tasks = components.start_servers(&lookups, listeners.lookup, listeners.admin);
        tasks.extend(components.start_tasks(lookups, !settings.peers.is_empty()));
        let accept = task::spawn(accept(listeners.caller, Arc::clone(&components.shared)));
        tracing::info!(
            kind = "start",
            instance = components.shared.identity.name,
            caller = %addrs.caller,
            lookup = %addrs.lookup,
            admin = %addrs.admin,
            peer = %addrs.peer,
        );
        Ok(Self {
            budgets: components.budget_renewer(),
            shared: components.shared,
            addrs,
            accept,
            tasks,
            peers: components.peers,
            drain_time: Duration::from_millis(settings.drain_ms.into()),
        })
    }

    /// Returns the addresses that the instance listens on.
    #[must_use]
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Returns the state shared by all tasks of the instance.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Tells whether the instance has a bundle and its share of the budgets.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let generation = self
            .shared
            .decisions
            .with_budgets(|budgets| budgets.generation());
        generation.flatten().is_some()
    }

    /// Leaves the fleet: look-ups stop listing the instance, requests in flight finish, then it
    /// stops. Returns the number of requests still in flight at the end of the drain time.
    pub async fn leave(self) -> usize {
        let clock = self.shared.clock;
        let deadline = clock.now().after(self.drain_time);
        self.shared.drain.start();
        self.peers.announce_leaving();
        tracing::info!(kind = "leave", in_flight = self.shared.drain.in_flight());
        task::sleep(LEAVING_ACCEPT_TIME.min(self.drain_time)).await;
        self.accept.cancel().await;
        let left = self.shared.drain.wait_empty(&clock, deadline).await;
        for task in self.tasks {
            task.cancel().await;
        }
        self.budgets.release().await;
        self.peers.stop().await;
        tracing::info!(kind = "stop", in_flight = left);
        left
    }
}

/// Bound listeners, without the one that the peer node binds itself.
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

/// Handles from which the tasks of an instance are started.
struct Components {
    shared: Arc<Shared>,
    peers: PeerHandle,
    client: Client,
    reports: Arc<Reports>,
    loader: Loader,
}

impl Components {
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
        let peers_cell = Arc::new(OnceLock::new());
        let inbound = Inbound {
            shared: Arc::clone(&shared),
            reports: Arc::clone(&reports),
            peers: Arc::clone(&peers_cell),
        };
        let peers = start_peers(settings, &shared, inbound, addrs)?;
        // The cell is empty: this is the only place that sets it.
        let _ = peers_cell.set(peers.clone());
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

    fn budget_renewer(&self) -> BudgetRenewer {
        BudgetRenewer {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
            reports: Arc::clone(&self.reports),
            client: self.client.clone(),
        }
    }

    fn move_advancer(&self) -> MoveAdvancer {
        MoveAdvancer {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
            client: self.client.clone(),
        }
    }

    /// Starts the servers of look-ups and of the administration API.
    fn start_servers(
        &self,
        lookups: &Arc<LookupDirectory>,
        lookup: TcpListener,
        admin: TcpListener,
    ) -> Vec<JoinHandle<()>> {
        let lookup_app = Arc::new(lookups::app(LookupApi {
            shared: Arc::clone(&self.shared),
            lookups: Arc::clone(lookups),
        }));
        let admin_app = Arc::new(admin_api::app(AdminApi {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
            client: self.client.clone(),
            moves: self.move_advancer(),
            loader: self.loader.clone(),
        }));
        vec![
            task::spawn(serve_app(lookup, lookup_app, AppLimits::default())),
            task::spawn(serve_app(admin, admin_app, AppLimits::default())),
        ]
    }

    /// Starts the background tasks that follow the fleet and the platform.
    fn start_tasks(
        &self,
        lookups: Arc<LookupDirectory>,
        has_seed_peers: bool,
    ) -> Vec<JoinHandle<()>> {
        let context = SyncContext {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
            store: BundleStore::new(self.client.clone()),
            withdrawals: Withdrawals::new(self.client.clone()),
            loader: self.loader.clone(),
        };
        let borrower = TokenBorrower {
            shared: Arc::clone(&self.shared),
            peers: self.peers.clone(),
        };
        let follow_fleet = fleet::follow(Arc::clone(&self.shared), lookups, self.peers.clone());
        vec![
            task::spawn(sync::follow_peers(context.clone())),
            task::spawn(sync::follow_bundle(context.clone(), has_seed_peers)),
            task::spawn(sync::follow_withdrawals(context)),
            task::spawn(self.budget_renewer().run()),
            task::spawn(self.move_advancer().run()),
            task::spawn(borrower.run()),
            task::spawn(probes::run(Arc::clone(&self.shared))),
            task::spawn(follow_fleet),
        ]
    }
}

async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), NodeError> {
    let failed = |source| NodeError::Listen { addr, source };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
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
