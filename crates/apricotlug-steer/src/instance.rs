//! One entry instance: its listeners and tasks, from start to leave.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_adapter::{
    ConditionalWrite, ConditionalWriteOutcome, StoreClient, encode_move_status, move_status_key,
};
use apricotlug_config::SiteSettings;
use apricotlug_model::MonoTime;
use async_std::{
    net::{TcpListener, UdpSocket},
    task,
};
use thiserror::Error;

use crate::{
    caller, datagrams, http_api,
    moves::DueStatus,
    registration, relay,
    shared::Shared,
    store_changes::{ExpiryGrace, apply_changes},
    store_sync::sync_store,
    usage,
};

/// Interval at which the number of dropped log lines is read.
const DROPPED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of maintenance: due move statuses, expired entries and idle connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(150);

/// Delay of maintenance from which on it is logged: other tasks waited as long.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(250);

/// Additional wait of each next live instance before it writes a due status, so that usually only
/// one of them writes it.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// First and longest delay after a status could not be written; each delay is twice the one before.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// Time limit for writing a status.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why an instance does not start.
#[derive(Debug, Error)]
#[error("cannot listen on {addr} for {purpose}")]
pub struct StartError {
    /// Address from the settings that could not be bound.
    pub addr: SocketAddr,
    /// Purpose of the listener, for the message.
    pub purpose: &'static str,
    /// Error of the operating system.
    #[source]
    pub source: io::Error,
}

/// Running entry instance.
#[derive(Debug)]
pub struct Instance {
    shared: Arc<Shared>,
}

impl Instance {
    /// Binds all addresses and starts all tasks.
    ///
    /// `dropped` returns how many log lines were dropped since the start because their queue was
    /// full.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn start(
        settings: SiteSettings,
        dropped: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> Result<Self, StartError> {
        let listen = settings.listen;
        let caller_listener = bind(listen.caller, "callers").await?;
        let ready_listener = bind(listen.ready, "readiness").await?;
        let lookup_listener = bind(listen.lookup, "look-ups").await?;
        let peer_socket = UdpSocket::bind(listen.peer)
            .await
            .map_err(|source| StartError {
                addr: listen.peer,
                purpose: "datagrams",
                source,
            })?;
        let relay_listener = bind(listen.peer, "relay requests").await?;
        let store = StoreClient::new(settings.store);
        tracing::info!(
            kind = "start",
            instance = settings.instance,
            first = settings.is_first_start
        );
        let shared = Arc::new(Shared::new(settings, rand::random()));
        let expiry_grace = Arc::new(ExpiryGrace::default());
        let peer_socket = Arc::new(peer_socket);
        task::spawn(sync_store(
            Arc::clone(&shared),
            store.clone(),
            Arc::clone(&expiry_grace),
        ));
        task::spawn(registration::maintain_entry(
            Arc::clone(&shared),
            store.clone(),
        ));
        task::spawn(usage::collect(Arc::clone(&shared)));
        task::spawn(usage::hold(Arc::clone(&shared), store.clone()));
        task::spawn(maintain(Arc::clone(&shared), expiry_grace, store));
        task::spawn(report_dropped_lines(Arc::clone(&shared), dropped));
        task::spawn(datagrams::send(
            Arc::clone(&shared),
            Arc::clone(&peer_socket),
        ));
        task::spawn(datagrams::receive(Arc::clone(&shared), peer_socket));
        task::spawn(relay::serve(Arc::clone(&shared), relay_listener));
        task::spawn(relay::exchange_figures(Arc::clone(&shared)));
        task::spawn(caller::accept(Arc::clone(&shared), caller_listener));
        task::spawn(http_api::serve_lookups(
            Arc::clone(&shared),
            lookup_listener,
        ));
        task::spawn(http_api::serve_ready(Arc::clone(&shared), ready_listener));
        Ok(Self { shared })
    }

    /// Applies changed settings. Changed listener addresses have no effect until the next start.
    pub fn reload(&self, settings: SiteSettings) {
        tracing::info!(kind = "reload", instance = settings.instance);
        self.shared.set_settings(settings);
    }

    /// Leaves the system: reports as leaving to callers and other instances, accepts connections for
    /// part of the grace time, waits for requests in flight, and returns how many were abandoned.
    pub async fn leave(&self) -> usize {
        let shared = &self.shared;
        tracing::info!(kind = "leave", in_flight = shared.drain.in_flight());
        let leave = shared.start_leaving();
        task::sleep(shared.clock.remaining(leave.accept_until)).await;
        shared.stop_accepting();
        let abandoned = shared
            .drain
            .wait_empty(&shared.clock, leave.abandon_at)
            .await;
        usage::flush(shared, leave.abandon_at).await;
        tracing::info!(kind = "stop", given_up = abandoned);
        abandoned
    }
}

/// Logs and counts newly dropped log lines.
async fn report_dropped_lines(shared: Arc<Shared>, dropped: impl Fn() -> u64) {
    let mut reported = 0;
    loop {
        task::sleep(DROPPED_LOG_INTERVAL).await;
        let all = dropped();
        if all > reported {
            shared.metrics.on_log_lines_dropped(all - reported);
            tracing::warn!(kind = "log_lines_dropped", lines = all - reported, all);
            reported = all;
        }
    }
}

async fn bind(addr: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| StartError {
        addr,
        purpose,
        source,
    })
}

async fn maintain(shared: Arc<Shared>, expiry_grace: Arc<ExpiryGrace>, mut store: StoreClient) {
    let mut due_since: Option<MonoTime> = None;
    let mut backoff = MIN_BACKOFF;
    let mut backoff_until = MonoTime::default();
    loop {
        let due_at = shared.clock.now().after(MAINTENANCE_INTERVAL);
        task::sleep(MAINTENANCE_INTERVAL).await;
        let now = shared.clock.now();
        record_delay(&shared, now.since(due_at));
        for id in expiry_grace.take_expired(now) {
            tracing::info!(kind = "backend_lapsed", backend = id);
            shared.steering().fleet.remove(&id);
        }
        let due = shared.era_grace.take_due(now);
        apply_changes(&shared, &expiry_grace, due, shared.change_log.era());
        shared
            .pool
            .sweep(now, |key| shared.steering().fleet.entry(key).is_registered);
        let (due, rank) = {
            let mut steering = shared.steering();
            let rank = steering.peers.rank_of(&shared.settings().instance, now);
            (steering.moves.due_statuses(now), rank)
        };
        if due.is_empty() {
            due_since = None;
            continue;
        }
        let since = *due_since.get_or_insert(now);
        if now.since(since) < RANK_DELAY * rank as u32 || !backoff_until.is_past(now) {
            continue;
        }
        let mut all_written = true;
        for status in due {
            all_written &= write_status(&shared, &mut store, status).await;
        }
        backoff = if all_written {
            MIN_BACKOFF
        } else {
            (backoff * 2).min(MAX_BACKOFF)
        };
        if !all_written {
            backoff_until = shared.clock.now().after(backoff);
        }
    }
}

/// Records how late a task ran: all worker threads were busy with others, or the machine stood still.
fn record_delay(shared: &Shared, delay: Duration) {
    shared.metrics.on_runtime_delay(delay);
    if delay >= MIN_LOGGED_DELAY {
        tracing::warn!(kind = "runtime_delay", ms = delay.as_millis() as u64);
    }
}

/// Writes a status to the store. Returns whether this instance's write succeeded.
async fn write_status(shared: &Shared, store: &mut StoreClient, due: DueStatus) -> bool {
    tracing::info!(kind = "move_decision", service = due.service, state = ?due.status.state, evidence = ?due.evidence);
    let write = ConditionalWrite {
        key: move_status_key(&due.service),
        expected: Some(due.replaced.revision),
        value: Some(encode_move_status(&due.status)),
        lease: 0,
        era: due.replaced.era,
    };
    let outcome = store.write_conditional(write, WRITE_TIMEOUT).await;
    match &outcome {
        Ok(ConditionalWriteOutcome::Done(version)) => {
            let now = shared.clock.now();
            let mut steering = shared.steering();
            steering
                .moves
                .on_status(&due.service, due.status, *version, now);
        }
        // Another instance wrote first; the watch delivers its status.
        Ok(ConditionalWriteOutcome::Conflict) => {
            tracing::info!(kind = "move_conflict", service = due.service)
        }
        Err(e) => tracing::warn!(kind = "move_write", service = due.service, error = %e),
    }
    matches!(outcome, Ok(ConditionalWriteOutcome::Done(_)))
}
