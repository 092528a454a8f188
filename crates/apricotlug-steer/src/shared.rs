//! What the tasks of an instance share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use apricotlug_config::SiteSettings;
use apricotlug_edge::{Clock, Drain, Metrics};
use apricotlug_model::Plan;
use async_channel::{Receiver, Sender};

use crate::{freshness::News, pool::Pool, relay::Log, steering::Gate};

/// What operators ask for, as last read.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Plan in force; `None` until one was read.
    pub plan: Option<Arc<Plan>>,
    /// Data centres whose backend servers are to get nothing.
    pub evacuated: Vec<String>,
}

/// State of one instance.
#[derive(Debug)]
pub struct Shared {
    /// Identity of this run of the process.
    pub run: u64,
    /// Clocks.
    pub clock: Clock,
    /// Age of what is known.
    pub news: News,
    /// Decisions' state; held for one decision at a time.
    gate: Mutex<Gate>,
    settings: RwLock<Arc<SiteSettings>>,
    view: RwLock<Arc<View>>,
    /// What is known of the store, for instances that ask.
    pub log: Log,
    /// Idle connections to backend servers.
    pub pool: Pool,
    /// Requests in flight.
    pub drain: Drain,
    /// Counters.
    pub metrics: Metrics,
    door: (Sender<()>, Receiver<()>),
}

impl Shared {
    /// Creates the state of a run.
    #[must_use]
    pub fn new(settings: SiteSettings, run: u64) -> Self {
        Self {
            run,
            clock: Clock::start(),
            news: News::default(),
            gate: Mutex::new(Gate::new(&settings)),
            settings: RwLock::new(Arc::new(settings)),
            view: RwLock::default(),
            log: Log::default(),
            pool: Pool::default(),
            drain: Drain::default(),
            metrics: Metrics::default(),
            door: async_channel::bounded(1),
        }
    }

    /// Locks the decisions' state.
    pub fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Closes the door: idle connections end and no new one is accepted.
    pub fn close_door(&self) {
        self.door.0.close();
    }

    /// Waits until the door is closed.
    pub async fn door_closed(&self) {
        // Nothing is ever sent: the channel's end is the message.
        let _ = self.door.1.recv().await;
    }

    /// Returns what operators ask for.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes what operators ask for.
    pub fn change_view(&self, change: impl FnOnce(&mut View)) {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        change(Arc::make_mut(&mut view));
    }
}
