//! Follows the store: lists everything once, then takes up changes as they come.

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

/// Time that a listing may take.
const LIST: Duration = Duration::from_millis(2_500);

/// Time that a watch waits for changes. Each answer proves that nothing was missed.
const WAIT: Duration = Duration::from_millis(1_000);

/// Time beyond that after which a watch is taken for lost.
const SLACK: Duration = Duration::from_millis(700);

/// Pause after an answer, so that changes that come together are taken up together.
const GATHER: Duration = Duration::from_millis(60);

/// The same while the instance has just started: where many start together, each one's entry would
/// otherwise wake all others.
const GATHER_FIRST: Duration = Duration::from_millis(300);

/// Time from the first listing for which that holds.
const SETTLE: Duration = Duration::from_secs(3);

/// Wait of a watch on a store that was away.
const NO_WAIT: Duration = Duration::from_millis(1);

/// First pause after a failure, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Time that a question to a relay waits for changes: with each one goes what was admitted here.
const RELAY_WAIT: Duration = Duration::from_millis(400);

/// The same of an instance that carries no traffic: it has nothing to tell, and changes end the wait.
const RELAY_WAIT_IDLE: Duration = Duration::from_millis(1_000);

/// Age of a relay's news from which the store is asked instead. News is as old as the question that
/// proved it, so a relay whose watch waits to its end tells news of two waits: only one that lost an
/// answer is older.
const RELAY_OLD: Duration = WAIT
    .saturating_mul(2)
    .saturating_add(SLACK)
    .saturating_add(GATHER);

/// Time for which the store is asked after a relay failed.
const RELAY_PAUSE: Duration = Duration::from_secs(3);

/// Where news comes from.
struct Source {
    store: StoreClient,
    relay: Option<(SocketAddr, TcpStream)>,
    /// Point until which relays are not asked.
    no_relay_until: MonoTime,
    fallback: Fallback,
    /// Questions asked, so that the next one goes to another instance where one fails.
    turn: usize,
    revision: Option<u64>,
    is_lost: bool,
}

/// Follows the store for ever.
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

    /// Returns the relay to ask, where instances are many and this is none itself.
    fn relay_for(&self, shared: &Shared) -> Option<SocketAddr> {
        let gate = shared.gate();
        let hubs = gate.hubs();
        let is_asking = hubs.is_needed && !hubs.is_own && !hubs.near.is_empty();
        let may_ask = is_asking && self.no_relay_until.is_past(shared.clock.now());
        may_ask.then(|| hubs.near[shared.run as usize % hubs.near.len()])
    }

    /// Returns another instance to ask while the store turns this one away: one of the own region
    /// where there is one.
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
        // A store that was away is asked without waiting, so that its return shows at once.
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
