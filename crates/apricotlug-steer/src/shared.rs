//! State shared by the tasks of an instance.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock},
    time::Duration,
};

use apricotlug_config::SiteSettings;
use apricotlug_edge::{Clock, Drain, Metrics};
use apricotlug_model::{BootTime, Plan, StoreVersion};
use apricotlug_policy::steer::Leave;
use async_channel::{Receiver, Sender};

use crate::{
    body_buffer::BufferedBytes,
    freshness::{BootDeadline, StoreFreshness},
    machine::{ConnLimits, room_bytes},
    pool::Pool,
    relay::ChangeLog,
    request_body::RequestBodies,
    steering::SteeringState,
    store_era::EraGrace,
    usage::Usage,
};

/// Plan and evacuations that operators ordered, as last read from the store.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Plan in force; `None` until one has been read.
    pub plan: Option<Arc<Plan>>,
    /// Data centres whose backend servers must not receive requests.
    pub evacuated: Vec<String>,
}

/// Plan and evacuations as they are in force at a moment, and the time of the read up to which they
/// are complete.
#[derive(Clone, Debug)]
pub struct OperatorView {
    /// Plan and evacuations.
    pub state: Arc<OperatorState>,
    read_at: Option<BootTime>,
}

impl OperatorView {
    /// Returns whether everything is contained that was confirmed longer ago than a span.
    #[must_use]
    pub fn has_all_before(&self, span: Duration) -> bool {
        self.age().is_some_and(|age| age < span)
    }

    /// Returns the time since the read in milliseconds; `None` if there was none yet.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        let age = self.age()?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    fn age(&self) -> Option<Duration> {
        let now = StoreFreshness::now();
        self.read_at.map(|read_at| now.since(read_at))
    }
}

/// What an instance reads the store's items from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOrigin {
    /// The store itself.
    Store,
    /// Relay or other instance with this peer address.
    Instance(SocketAddr),
}

impl ReadOrigin {
    /// Returns the name of the kind, for metrics.
    #[must_use]
    pub fn kind(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Instance(_) => "instance",
        }
    }
}

impl fmt::Display for ReadOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Instance(addr) => addr.fmt(f),
        }
    }
}

/// Last successful read of the store's items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastRead {
    /// What it was read from.
    pub origin: ReadOrigin,
    /// Version up to which the items are known.
    pub version: StoreVersion,
}

/// Shared state of one instance.
#[derive(Debug)]
pub struct Shared {
    /// Random number that identifies this run of the process.
    pub run: u64,
    /// Clock for deadlines and intervals.
    pub clock: Clock,
    /// Age of the last store read.
    pub freshness: StoreFreshness,
    /// Time until which the state is passed on to other instances as current.
    pub passes_on_until: BootDeadline,
    last_read: Mutex<Option<LastRead>>,
    /// State for steering decisions; locked for one decision at a time.
    steering: Mutex<SteeringState>,
    settings: RwLock<Arc<SiteSettings>>,
    operator_state: RwLock<Arc<OperatorState>>,
    /// Items and recent changes of the store, for instances that poll this one.
    pub change_log: ChangeLog,
    /// What is kept of the era before the store came back from a copy.
    pub era_grace: EraGrace,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Bytes of response bodies that are buffered.
    pub buffered_bytes: Arc<BufferedBytes>,
    /// Request bodies, and the room that they share.
    pub bodies: Arc<RequestBodies>,
    /// Limits on connections.
    pub conn_limits: ConnLimits,
    /// Requests in flight, and whether the instance is leaving.
    pub drain: Drain,
    /// Counters and histograms for the metrics endpoint.
    pub metrics: Metrics,
    /// Counts of client accounts' usage; `None` where nobody wants them.
    pub usage: Option<Usage>,
    leave: OnceLock<Leave>,
    accepting: (Sender<()>, Receiver<()>),
}

impl Shared {
    /// Creates the state of a new run.
    #[must_use]
    pub fn new(settings: SiteSettings, run: u64) -> Self {
        let (machine, clock) = (settings.machine, Clock::start());
        let buffered_bytes = Arc::<BufferedBytes>::default();
        let room = room_bytes(machine);
        let bodies = RequestBodies::new(room, Arc::clone(&buffered_bytes), clock);
        let conn_limits = ConnLimits::new(machine);
        Self {
            run,
            clock,
            freshness: StoreFreshness::default(),
            passes_on_until: BootDeadline::default(),
            last_read: Mutex::default(),
            steering: Mutex::new(SteeringState::new(&settings)),
            usage: Usage::new(&settings, run, &clock),
            settings: RwLock::new(Arc::new(settings)),
            operator_state: RwLock::default(),
            change_log: ChangeLog::default(),
            era_grace: EraGrace::default(),
            pool: Pool::new(conn_limits.pooled),
            buffered_bytes,
            bodies: Arc::new(bodies),
            conn_limits,
            drain: Drain::default(),
            metrics: Metrics::default(),
            leave: OnceLock::new(),
            accepting: async_channel::bounded(1),
        }
    }

    /// Locks the state for steering decisions.
    pub fn steering(&self) -> MutexGuard<'_, SteeringState> {
        self.steering.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<SiteSettings> {
        Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: SiteSettings) {
        *self
            .settings
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Returns the last read of the store's items, for logs and metrics; `None` before the first.
    #[must_use]
    pub fn last_read(&self) -> Option<LastRead> {
        *self
            .last_read
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a read, and logs when another origin is read from.
    pub fn on_read(&self, read: LastRead) {
        self.metrics.on_store_read(read.origin.kind(), "read");
        let previous = self
            .last_read
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .replace(read);
        if previous.map(|previous| previous.origin) != Some(read.origin) {
            tracing::info!(
                kind = "read_from",
                read_from = %read.origin,
                revision = read.version.revision,
                era = read.version.era,
                news_ms = self.freshness.age_ms()
            );
        }
    }

    /// Records that everything written before `read_at` is in force here, unless a plan may be
    /// missing that was confirmed before the store came back from a copy.
    pub fn on_items_read(&self, read_at: BootTime) {
        if !self.era_grace.may_lack_plan(self.clock.now()) {
            self.freshness.record_read(read_at);
        }
    }

    /// Marks the instance as leaving, and returns the times of its stop. Only the first call sets
    /// them.
    pub fn start_leaving(&self) -> Leave {
        let grace = Duration::from_millis(self.settings().bounds.grace_ms.into());
        let leave = self
            .leave
            .get_or_init(|| Leave::new(self.clock.now(), grace));
        self.drain.start();
        *leave
    }

    /// Returns the times of the stop; `None` unless the instance is leaving.
    pub fn leave(&self) -> Option<&Leave> {
        self.leave.get()
    }

    /// Stops accepting: idle connections are closed and no new ones accepted.
    pub fn stop_accepting(&self) {
        self.accepting.0.close();
    }

    /// Waits until the instance stops accepting.
    pub async fn accepting_stopped(&self) {
        // Nothing is ever sent: closing the channel is the signal.
        let _ = self.accepting.1.recv().await;
    }

    /// Returns the plan and evacuations as last read.
    #[must_use]
    pub fn operator_state(&self) -> Arc<OperatorState> {
        Arc::clone(
            &self
                .operator_state
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Returns the plan and evacuations with the time of the read up to which they are complete.
    #[must_use]
    pub fn operator_view(&self) -> OperatorView {
        // The time first: what a read brings is in force before the read counts, so a read that ends
        // meanwhile can only make the state newer than the time says.
        let read_at = self.freshness.read_at();
        OperatorView {
            state: self.operator_state(),
            read_at,
        }
    }

    /// Changes the plan or the evacuations.
    pub fn update_operator_state(&self, change: impl FnOnce(&mut OperatorState)) {
        let mut operator_state = self
            .operator_state
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        change(Arc::make_mut(&mut operator_state));
    }
}
