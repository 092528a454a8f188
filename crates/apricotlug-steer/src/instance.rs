//! One entry instance: its listeners and tasks, from start to leave.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_adapter::{StoreClient, Swap, SwapOutcome, encode_move_status, move_status_key};
use apricotlug_config::SiteSettings;
use apricotlug_model::MonoTime;
use async_std::{
    net::{TcpListener, UdpSocket},
    task,
};
use thiserror::Error;

use crate::{
    caller, datagrams, endpoints, moves::Due, registration, relay, shared::Shared,
    store_changes::Lapsed, store_sync::follow,
};

/// Interval at which the number of dropped log lines is read.
const TELL_DROPPED: Duration = Duration::from_secs(1);

/// Interval of maintenance: due move statuses, expired entries and idle connections.
const KEEP: Duration = Duration::from_millis(150);

/// Additional wait of each next live instance before it writes a due status, so that usually only
/// one of them writes it.
const RANK_STEP: Duration = Duration::from_millis(400);

/// First and longest delay after a status could not be written; each delay is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Time limit for writing a status.
const WRITE: Duration = Duration::from_millis(1_000);

/// Fraction of the grace time for which a leaving instance goes on accepting, because callers with
/// an earlier look-up answer still connect. Requests accepted in the second half could take longer
/// than the grace time that is left.
const OPEN_PART: f64 = 0.48;

/// Fraction of the grace time after which requests in flight are abandoned.
const LEAVE_PART: f64 = 0.93;

/// Why an instance does not start.
#[derive(Debug, Error)]
#[error("cannot listen on {addr} for {what}")]
pub struct StartError {
    /// Address from the settings that could not be bound.
    pub addr: SocketAddr,
    /// Purpose of the listener, for the message.
    pub what: &'static str,
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
        let callers = bind(listen.caller, "callers").await?;
        let ready = bind(listen.ready, "readiness").await?;
        let lookups = bind(listen.lookup, "look-ups").await?;
        let socket = UdpSocket::bind(listen.peer)
            .await
            .map_err(|source| StartError {
                addr: listen.peer,
                what: "other instances",
                source,
            })?;
        let askers = bind(listen.peer, "questions of other instances").await?;
        let store = StoreClient::new(settings.store);
        tracing::info!(
            kind = "start",
            instance = settings.instance,
            first = settings.is_first_start
        );
        let shared = Arc::new(Shared::new(settings, rand::random()));
        let lapsed = Arc::new(Lapsed::default());
        let socket = Arc::new(socket);
        task::spawn(follow(
            Arc::clone(&shared),
            store.clone(),
            Arc::clone(&lapsed),
        ));
        task::spawn(registration::keep(Arc::clone(&shared), store.clone()));
        task::spawn(keep(Arc::clone(&shared), lapsed, store));
        task::spawn(tell_dropped(Arc::clone(&shared), dropped));
        task::spawn(datagrams::send(Arc::clone(&shared), Arc::clone(&socket)));
        task::spawn(datagrams::receive(Arc::clone(&shared), socket));
        task::spawn(relay::serve(Arc::clone(&shared), askers));
        task::spawn(caller::accept(Arc::clone(&shared), callers));
        task::spawn(endpoints::serve_lookups(Arc::clone(&shared), lookups));
        task::spawn(endpoints::serve_ready(Arc::clone(&shared), ready));
        Ok(Self { shared })
    }

    /// Applies changed settings. Changed listener addresses have no effect until the next start.
    pub fn reload(&self, settings: SiteSettings) {
        tracing::info!(kind = "reload", instance = settings.instance);
        self.shared.set_settings(settings);
    }

    /// Leaves the system: reports as leaving to callers and other instances, accepts requests for
    /// part of the grace time, waits for those in flight, and returns how many were abandoned.
    pub async fn leave(&self) -> usize {
        let shared = &self.shared;
        let grace = Duration::from_millis(shared.settings().bounds.grace_ms.into());
        let asked_at = shared.clock.now();
        tracing::info!(kind = "leave", in_flight = shared.drain.in_flight());
        shared.drain.leave();
        task::sleep(grace.mul_f64(OPEN_PART)).await;
        shared.close_door();
        let left = shared
            .drain
            .wait_empty(&shared.clock, asked_at.after(grace.mul_f64(LEAVE_PART)))
            .await;
        tracing::info!(kind = "stop", given_up = left);
        left
    }
}

/// Logs and counts newly dropped log lines.
async fn tell_dropped(shared: Arc<Shared>, dropped: impl Fn() -> u64) {
    let mut known = 0;
    loop {
        task::sleep(TELL_DROPPED).await;
        let all = dropped();
        if all > known {
            shared.metrics.on_log_lines_dropped(all - known);
            tracing::warn!(kind = "log_lines_dropped", lines = all - known, all);
            known = all;
        }
    }
}

async fn bind(addr: SocketAddr, what: &'static str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| StartError { addr, what, source })
}

async fn keep(shared: Arc<Shared>, lapsed: Arc<Lapsed>, mut store: StoreClient) {
    let mut due_since: Option<MonoTime> = None;
    let mut pause = FIRST_PAUSE;
    let mut paused_until = MonoTime::default();
    loop {
        task::sleep(KEEP).await;
        let now = shared.clock.now();
        for id in lapsed.take_due(now) {
            tracing::info!(kind = "backend_lapsed", backend = id);
            shared.gate().fleet.remove(&id);
        }
        shared
            .pool
            .sweep(now, |key| shared.gate().fleet.entry(key).is_listed);
        let (due, rank) = {
            let mut gate = shared.gate();
            let rank = gate.peers.rank_of(&shared.settings().instance, now);
            (gate.moves.due(now), rank)
        };
        if due.is_empty() {
            due_since = None;
            continue;
        }
        let since = *due_since.get_or_insert(now);
        if now.since(since) < RANK_STEP * rank as u32 || !paused_until.is_past(now) {
            continue;
        }
        let mut is_done = true;
        for one in due {
            is_done &= write(&shared, &mut store, one).await;
        }
        pause = if is_done {
            FIRST_PAUSE
        } else {
            (pause * 2).min(MAX_PAUSE)
        };
        if !is_done {
            paused_until = shared.clock.now().after(pause);
        }
    }
}

/// Writes a status to the store. Returns whether this instance's write succeeded.
async fn write(shared: &Shared, store: &mut StoreClient, due: Due) -> bool {
    tracing::info!(kind = "move_decision", service = due.service, state = ?due.status.state, evidence = ?due.evidence);
    let swap = Swap {
        key: move_status_key(&due.service),
        expected: Some(due.replaces),
        value: Some(encode_move_status(&due.status)),
        lease: 0,
    };
    let outcome = store.swap(swap, WRITE).await;
    match &outcome {
        Ok(SwapOutcome::Done(revision)) => {
            let mut gate = shared.gate();
            gate.moves.on_status(&due.service, due.status, *revision);
        }
        // Another instance wrote first; the watch delivers its status.
        Ok(SwapOutcome::Conflict) => tracing::info!(kind = "move_conflict", service = due.service),
        Err(e) => tracing::warn!(kind = "move_write", service = due.service, error = %e),
    }
    matches!(outcome, Ok(SwapOutcome::Done(_)))
}
