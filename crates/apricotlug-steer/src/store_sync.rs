//! Synchronises with the store: lists all items once, then applies changes as they arrive.
//! Instances that are not relays poll one instead where there are many.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_adapter::{Change, Page, StoreClient, StoreError, watch_space};
use apricotlug_model::MonoTime;
use async_std::{net::TcpStream, task};

use crate::{
    freshness::News,
    peer_fallback::Fallback,
    relay,
    shared::Shared,
    store_changes::{Lapsed, apply_changes},
};

/// Time limit for listing all items.
const LIST: Duration = Duration::from_millis(2_500);

/// Time that a watch waits for changes. An answer without changes confirms that the state is
/// current.
const WAIT: Duration = Duration::from_millis(1_000);

/// Time beyond `WATCH_WAIT` after which a watch counts as failed.
const SLACK: Duration = Duration::from_millis(700);

/// Delay after an answer, so that changes that arrive close together are handled in one batch.
const GATHER: Duration = Duration::from_millis(60);

/// Delay while this instance has recently started. If many instances start together, the entry of
/// each one would otherwise wake all others.
const GATHER_FIRST: Duration = Duration::from_millis(300);

/// Time from the first successful listing for which the longer delay applies.
const SETTLE: Duration = Duration::from_secs(3);

/// Wait of a watch on a store that failed before.
const NO_WAIT: Duration = Duration::from_millis(1);

/// First and longest delay after a failure; each delay is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Time that a relay request waits for changes. Each request also reports what this instance
/// admitted, so the wait bounds how often it reports.
const RELAY_WAIT: Duration = Duration::from_millis(400);

/// Wait of an instance that look-ups do not list: it has no traffic to report, and changes end the
/// wait early.
const RELAY_WAIT_IDLE: Duration = Duration::from_millis(1_000);

/// Age of a relay's data above which the store is read instead. The age counts from the relay's
/// request to the store, so a relay whose watch runs to its full wait serves data up to two waits
/// old. Only a relay that lost an answer exceeds this limit.
const RELAY_OLD: Duration = WAIT
    .saturating_mul(2)
    .saturating_add(SLACK)
    .saturating_add(GATHER);

/// Time for which the store is read directly after a relay failed.
const RELAY_PAUSE: Duration = Duration::from_secs(3);

/// Where this instance reads the store's items: the store itself, a relay or another instance.
struct Source {
    store: StoreClient,
    relay: Option<(SocketAddr, TcpStream)>,
    /// Time until which no relay is polled, because one failed.
    no_relay_until: MonoTime,
    fallback: Fallback,
    /// Failed relay requests so far; the next request goes to another instance after each failure.
    turn: usize,
    revision: Option<u64>,
    is_lost: bool,
}

/// Synchronises with the store until the process ends.
pub async fn follow(shared: Arc<Shared>, store: StoreClient, lapsed: Arc<Lapsed>) {
    let mut source = Source {
        store,
        relay: None,
        no_relay_until: MonoTime::default(),
        fallback: Fallback::default(),
        turn: 0,
        revision: None,
        is_lost: false,
    };
    let mut pause = FIRST_PAUSE;
    let mut settled_at = None;
    loop {
        match source.step(&shared, &lapsed).await {
            Ok(()) => {
                pause = FIRST_PAUSE;
                let now = shared.clock.now();
                let settled_at = *settled_at.get_or_insert(now.after(SETTLE));
                let is_settled = settled_at.is_past(now);
                task::sleep(if is_settled { GATHER } else { GATHER_FIRST }).await;
            }
            Err(e) => {
                source.on_failure(&e, shared.clock.now());
                task::sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

impl Source {
    async fn step(&mut self, shared: &Shared, lapsed: &Lapsed) -> Result<(), StoreError> {
        let relay = self.relay_for(shared).or_else(|| self.peer_for(shared));
        match (relay, self.revision) {
            (Some(relay), Some(after)) => {
                if let Err(e) = self.ask(shared, lapsed, relay, after).await {
                    tracing::info!(kind = "relay_failed", %relay, error = %e);
                    self.turn += 1;
                    self.no_relay_until = shared.clock.now().after(RELAY_PAUSE);
                    self.fallback.on_peer_failed();
                }
                Ok(())
            }
            (_, Some(after)) => self.watch(shared, lapsed, after).await,
            (_, None) => self.list(shared, lapsed).await,
        }
    }

    /// Returns the relay to poll, if relays are needed and this instance is not one itself.
    fn relay_for(&self, shared: &Shared) -> Option<SocketAddr> {
        let gate = shared.gate();
        let hubs = gate.hubs();
        let is_asking = hubs.is_needed && !hubs.is_own && !hubs.near.is_empty();
        let may_ask = is_asking && self.no_relay_until.is_past(shared.clock.now());
        may_ask.then(|| hubs.near[shared.run as usize % hubs.near.len()])
    }

    /// Returns another instance to poll while the fallback from the store is on. Instances of the
    /// same region come first.
    fn peer_for(&self, shared: &Shared) -> Option<SocketAddr> {
        let now = shared.clock.now();
        if !self.fallback.is_on(now) {
            return None;
        }
        let settings = shared.settings();
        let gate = shared.gate();
        let mut peers: Vec<_> = gate
            .peers
            .live(now)
            .map(|(name, member)| {
                let is_far = settings.region_of(&member.info.data_centre) != settings.region();
                (is_far, name, member.info.peer)
            })
            .collect();
        peers.sort_unstable();
        let (_, _, peer) = peers.get(self.turn % peers.len().max(1))?;
        Some(*peer)
    }

    async fn ask(
        &mut self,
        shared: &Shared,
        lapsed: &Lapsed,
        relay: SocketAddr,
        after: u64,
    ) -> io::Result<()> {
        let asked_at = News::clock_us();
        let is_carrier = shared.gate().carriers().is_own;
        let wait = if is_carrier {
            RELAY_WAIT
        } else {
            RELAY_WAIT_IDLE
        };
        let told = relay::ask(shared, &mut self.relay, relay, after, wait).await?;
        let is_relay = shared.gate().hubs().is_needed;
        if is_relay {
            shared.gate().on_told(&told, shared.clock.now());
        }
        let age = Duration::from_millis(told.age_ms.into());
        if age > RELAY_OLD {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "old news"));
        }
        if is_relay {
            self.on_answer(shared, lapsed);
        }
        if told.is_full {
            let items = told.changes.into_iter().filter_map(|change| match change {
                Change::Put(item) => Some(item),
                Change::Removed(_) => None,
            });
            let page = Page {
                items: items.collect(),
                revision: told.revision,
            };
            take_page(shared, lapsed, &page);
        } else {
            take_changes(shared, lapsed, told.changes, told.revision);
        }
        self.revision = Some(after.max(told.revision));
        let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        shared.news.prove(asked_at.saturating_sub(age_us));
        Ok(())
    }

    async fn list(&mut self, shared: &Shared, lapsed: &Lapsed) -> Result<(), StoreError> {
        let asked_at = News::clock_us();
        let page = self.store.list(watch_space(), LIST).await?;
        self.on_answer(shared, lapsed);
        tracing::info!(
            kind = "listed",
            items = page.items.len(),
            revision = page.revision
        );
        self.revision = Some(page.revision);
        take_page(shared, lapsed, &page);
        shared.news.prove(asked_at);
        Ok(())
    }

    async fn watch(
        &mut self,
        shared: &Shared,
        lapsed: &Lapsed,
        after: u64,
    ) -> Result<(), StoreError> {
        let asked_at = News::clock_us();
        // The first watch after a failure returns at once, so that the store's recovery is noticed.
        let wait = if self.is_lost { NO_WAIT } else { WAIT };
        let watching = self.store.watch(watch_space(), after, wait, SLACK);
        let (changes, next) = watching.await?;
        self.on_answer(shared, lapsed);
        take_changes(shared, lapsed, changes, next);
        self.revision = Some(next);
        shared.news.prove(asked_at);
        Ok(())
    }

    fn on_answer(&mut self, shared: &Shared, lapsed: &Lapsed) {
        self.fallback.on_answer();
        if std::mem::take(&mut self.is_lost) {
            tracing::info!(kind = "dependency_regained", dependency = "store");
            lapsed.on_store_back(shared.clock.now());
        }
    }

    fn on_failure(&mut self, error: &StoreError, now: MonoTime) {
        if matches!(error, StoreError::HistoryGone) {
            self.revision = None;
            return;
        }
        if !self.is_lost {
            tracing::warn!(kind = "dependency_lost", dependency = "store", %error);
        }
        self.is_lost = true;
        self.fallback.on_failure(now);
    }
}

fn take_page(shared: &Shared, lapsed: &Lapsed, page: &Page) {
    let changes = shared.log.on_page(page);
    apply_changes(shared, lapsed, changes);
}

fn take_changes(shared: &Shared, lapsed: &Lapsed, changes: Vec<Change>, revision: u64) {
    shared.log.on_changes(&changes, revision);
    apply_changes(shared, lapsed, changes);
}
