//! Start and drain of an entry instance.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_config::Settings;
use apricotlug_edge::{Shared, accept};
use apricotlug_http::serve_app;
use apricotlug_model::InstanceId;
use apricotlug_platform::{BundleStore, Client, ClientConfig};
use apricotlug_policy::lookup::{InstanceEntry, InstanceLoad, InstanceState};
use async_std::{
    net::TcpListener,
    task::{self, JoinHandle},
};

use crate::{
    error::NodeError,
    lookups::{self, LookupPages, Lookups, Named},
    pages::{self, AdminPages},
    seats::{self, Reports, Seats},
    sync,
};

/// Time for which an instance that leaves still takes new connections: callers hold look-up
/// answers that name it.
const LINGER: Duration = Duration::from_secs(5);

/// Pause between two steps on the budgets.
const SEATS_PERIOD: Duration = Duration::from_millis(500);

/// Pause between two looks at the fleet.
const FLEET_PERIOD: Duration = Duration::from_millis(200);

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
}

/// Running entry instance.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    addrs: Addrs,
    accept: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
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
        };
        let identity = InstanceId {
            name: settings.instance.clone(),
            incarnation: cfg.incarnation,
        };
        let seed = cfg.incarnation;
        let shared = Arc::new(Shared::new(identity, settings.data_centre.clone(), seed));
        let lookups = Arc::new(Lookups::new(seed.rotate_left(1)));
        let client = Client::new(ClientConfig {
            addrs: settings.platform.clone(),
            seed: seed.rotate_left(2),
            ..ClientConfig::default()
        });
        let pages = LookupPages {
            shared: Arc::clone(&shared),
            lookups: Arc::clone(&lookups),
        };
        let lookup_app = Arc::new(lookups::app(pages));
        let admin_app = Arc::new(pages::app(AdminPages {
            shared: Arc::clone(&shared),
        }));
        let tasks = vec![
            task::spawn(async move { log_end(serve_app(lookup.0, lookup_app).await) }),
            task::spawn(async move { log_end(serve_app(admin.0, admin_app).await) }),
            task::spawn(sync::follow(
                BundleStore::new(client.clone()),
                Arc::clone(&shared),
            )),
            task::spawn(keep_seats(Arc::clone(&shared), client)),
            task::spawn(follow_fleet(Arc::clone(&shared), lookups, addrs)),
        ];
        let accept = task::spawn(accept(caller.0, Arc::clone(&shared)));
        tracing::info!(
            kind = "start",
            instance = shared.identity.name,
            caller = %addrs.caller,
            lookup = %addrs.lookup,
            admin = %addrs.admin,
        );
        let drain = Duration::from_millis(settings.drain_ms.into());
        Ok(Self {
            shared,
            addrs,
            accept,
            tasks,
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
        tracing::info!(kind = "leave", in_flight = self.shared.drain.in_flight());
        task::sleep(LINGER.min(self.drain)).await;
        self.accept.cancel().await;
        let left = self.shared.drain.wait_empty(&clock, deadline).await;
        for running in self.tasks {
            running.cancel().await;
        }
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

async fn keep_seats(shared: Arc<Shared>, client: Client) {
    let reports = Arc::new(Reports::default());
    let mut seats = Seats::new(Arc::clone(&shared), client, Arc::clone(&reports));
    loop {
        if let Some(report) = seats::report(&shared) {
            reports.put(report, shared.clock.now());
            match seats.step().await {
                Ok(allotments) => allotments.iter().for_each(|a| seats::install(&shared, a)),
                Err(e) => tracing::warn!(error = %e, "budgets not renewed"),
            }
        }
        task::sleep(SEATS_PERIOD).await;
    }
}

async fn follow_fleet(shared: Arc<Shared>, lookups: Arc<Lookups>, addrs: Addrs) {
    loop {
        let bundle = shared.view.load().bundle.clone();
        let own = bundle
            .as_ref()
            .and_then(|bundle| bundle.data_centres.find(|dc| dc.id == shared.data_centre));
        if let (Some(bundle), Some(own)) = (bundle, own) {
            let state = match shared.drain.is_leaving() {
                true => InstanceState::Leaving,
                false => InstanceState::Ready,
            };
            let entry = InstanceEntry {
                id: shared.identity.clone(),
                addr: addrs.caller,
                data_centre: own,
                state,
                load: InstanceLoad {
                    outstanding: 0,
                    slots: 1,
                },
            };
            let named = Named {
                name: shared.identity.name.clone(),
                lookup: addrs.lookup,
            };
            let names = BTreeMap::from([(addrs.caller, named)]);
            lookups.update(&bundle, own, &[entry], names, shared.clock.unix());
        }
        task::sleep(FLEET_PERIOD).await;
    }
}
