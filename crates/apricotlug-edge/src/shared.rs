//! State shared by all tasks of one entry instance.

use std::{
    collections::BTreeSet,
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use apricotlug_http::Limits;
use apricotlug_model::{Bundle, InstanceId};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    clock::Clock, decisions::DecisionState, drain::Drain, instances::LiveInstances,
    metrics::Metrics, move_tracker::MoveTracker, pool::Pool, remote::Fleet, slot_queue::SlotQueues,
    token_wait::TokenWaits, view::ViewCell,
};

/// State shared by all tasks of one entry instance.
pub struct Shared {
    /// Name and incarnation of this run.
    pub identity: InstanceId,
    /// Data centre, by its name in the bundle.
    pub data_centre: String,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// Bundle and withdrawn keys in force.
    pub view: ViewCell,
    /// Budgets, placement, retries and orders.
    pub decisions: DecisionState,
    /// Version moves of the bundle in force.
    pub moves: MoveTracker,
    /// Requests that wait for a slot of a backend server.
    pub slot_queues: SlotQueues,
    /// Requests that wait for a token of their client account.
    pub token_waits: TokenWaits,
    /// Live instances among which slots are split.
    pub live_instances: LiveInstances,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Requests in flight, and whether this instance is leaving.
    pub drain: Drain,
    /// Instruments of the request path.
    pub metrics: Metrics,
    /// Size and time limits of callers' connections.
    pub limits: Limits,
    fleet: OnceLock<Arc<dyn Fleet>>,
    install_lock: Mutex<()>,
    request_count: AtomicU64,
}

/// Reason for which a bundle was not put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstallError {
    /// The bundle in force has the same or a later version.
    NotNewer,
    /// It does not name this instance's data centre.
    UnknownDataCentre,
}

impl Shared {
    /// Creates the state of a process that has no bundle yet. `seed` seeds the random number
    /// generator of its decisions.
    #[must_use]
    pub fn new(identity: InstanceId, data_centre: String, seed: u64) -> Self {
        let clock = Clock::start();
        let decisions = DecisionState::new(identity.clone(), SmallRng::seed_from_u64(seed));
        Self {
            identity,
            data_centre,
            clock,
            view: ViewCell::default(),
            decisions,
            moves: MoveTracker::default(),
            slot_queues: SlotQueues::default(),
            token_waits: TokenWaits::default(),
            live_instances: LiveInstances::default(),
            pool: Pool::default(),
            drain: Drain::default(),
            metrics: Metrics::default(),
            limits: Limits::default(),
            fleet: OnceLock::new(),
            install_lock: Mutex::default(),
            request_count: AtomicU64::new(0),
        }
    }

    /// Puts a bundle in force.
    ///
    /// # Errors
    /// Returns an error where the bundle is not newer or does not name this instance's data centre;
    /// the previous one stays in force.
    pub fn install(&self, bundle: Arc<Bundle>) -> Result<(), InstallError> {
        let _install_guard = self
            .install_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let home = bundle.data_centre(&self.data_centre);
        let home = home.ok_or(InstallError::UnknownDataCentre)?;
        let old = self.view.load().bundle.clone();
        if old
            .as_ref()
            .is_some_and(|old| old.version >= bundle.version)
        {
            return Err(InstallError::NotNewer);
        }
        let now = self.clock.now();
        self.decisions
            .set_bundle(old.as_deref(), &bundle, home, now, |placement| {
                self.live_instances
                    .apply(&self.identity, &bundle, placement, now);
                self.moves.set_bundle(&bundle, &self.identity);
                self.view.install(Arc::clone(&bundle));
            });
        let is_in_bundle = |addr: SocketAddr| bundle.endpoints.values().any(|e| e.addr == addr);
        self.pool.retain(is_in_bundle);
        tracing::info!(
            kind = "bundle",
            version = bundle.version.0,
            "bundle in force"
        );
        Ok(())
    }

    /// Recomputes the split of backend servers' slots among the live instances.
    pub fn split_slots(&self, bundle: &Bundle) {
        let now = self.clock.now();
        self.decisions.with_placement(|placement| {
            self.live_instances
                .apply(&self.identity, bundle, placement, now);
        });
    }

    /// Adds those withdrawn keys that are not known yet, and logs them.
    pub fn withdraw_new(&self, ids: &BTreeSet<String>) {
        let view = self.view.load();
        let new: Vec<String> = ids
            .iter()
            .filter(|id| !view.withdrawn.contains(*id))
            .cloned()
            .collect();
        if !new.is_empty() {
            tracing::info!(kind = "withdrawal", keys = ?new, "keys withdrawn");
            self.view.withdraw(new);
        }
    }

    /// Sets the peers and the platform; called once, before the first request.
    pub fn set_fleet(&self, fleet: Arc<dyn Fleet>) {
        // A second call is ignored.
        let _ = self.fleet.set(fleet);
    }

    /// Returns the peers and the platform; `None` before `set_fleet`.
    #[must_use]
    pub fn fleet(&self) -> Option<Arc<dyn Fleet>> {
        self.fleet.get().map(Arc::clone)
    }

    /// Returns the id of the next request, unique across the fleet.
    pub fn next_request_id(&self) -> String {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{:x}-{number:x}",
            self.identity.name, self.identity.incarnation
        )
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}
