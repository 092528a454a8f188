//! Synchronises with the store: lists all items once, then applies changes as they arrive.
//! Instances that are not relays poll one instead where there are many.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_adapter::{Change, Listing, StoreClient, StoreError, all_keys, member_prefix};
use apricotlug_model::MonoTime;
use async_std::{net::TcpStream, task};

use crate::{
    freshness::StoreFreshness,
    peer_fallback::PeerFallback,
    relay,
    shared::{LastRead, ReadOrigin, Shared},
    store_changes::{ExpiryGrace, apply_changes, register_members},
};

/// Time limit for listing all items.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time that a watch waits for changes. A response without changes confirms that the state
/// is current.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);

/// Time beyond `WATCH_WAIT` after which a watch counts as failed.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Delay after a response, so that changes that arrive close together are handled in one batch.
const BATCH_DELAY: Duration = Duration::from_millis(60);

/// The same for a relay of many instances. In a large installation something changes all the time,
/// and each response would be followed by another call.
const RELAY_BATCH_DELAY: Duration = Duration::from_millis(180);

/// Delay before the first listing of a system that starts for the first time: all instances
/// register meanwhile, so that most of them find a relay.
const FIRST_START_DELAY: Duration = Duration::from_millis(700);

/// Longest wait for a relay that has not listed the items itself.
const FULL_POLL_WAIT: Duration = Duration::from_millis(2_500);

/// Delay while this instance has recently started. If many instances start together, the entry of
/// each one would otherwise wake all others.
const STARTUP_BATCH_DELAY: Duration = Duration::from_millis(300);

/// Time from the first successful listing for which the longer delay applies.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Wait of a watch on a store that failed before.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(1);

/// First and longest delay after a failure; each delay is twice the one before.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Time that a relay request waits for changes. Each request also reports what this instance
/// admitted, so the wait bounds how often it reports.
const RELAY_WAIT: Duration = Duration::from_millis(400);

/// Wait of an instance that look-ups do not list: it has no traffic to report, and changes end the
/// wait early.
const UNLISTED_RELAY_WAIT: Duration = Duration::from_millis(1_000);

/// Age of a relay's data above which the store is read instead. The age counts from the relay's
/// request to the store, so a relay whose watch runs to its full wait serves data up to two waits
/// old. Only a relay that lost a response exceeds this limit.
const MAX_RELAY_AGE: Duration = WATCH_WAIT
    .saturating_mul(2)
    .saturating_add(WATCH_SLACK)
    .saturating_add(BATCH_DELAY);

/// Time for which the store is read directly after a relay failed.
const RELAY_BACKOFF: Duration = Duration::from_secs(3);

/// Where this instance reads the store's items: the store itself, a relay or another instance.
struct StoreReader {
    store: StoreClient,
    relay_conn: Option<(SocketAddr, TcpStream)>,
    /// Time until which no relay is polled, because one failed.
    relay_backoff_until: MonoTime,
    fallback: PeerFallback,
    /// Failed relay requests so far; the next request goes to another instance after each failure.
    failed_polls: usize,
    revision: Option<u64>,
    /// Whether the instances' entries have been listed.
    knows_members: bool,
    is_store_lost: bool,
}

/// Synchronises with the store until the process ends.
pub async fn sync_store(shared: Arc<Shared>, store: StoreClient, expiry_grace: Arc<ExpiryGrace>) {
    let mut reader = StoreReader {
        store,
        relay_conn: None,
        relay_backoff_until: MonoTime::default(),
        fallback: PeerFallback::default(),
        failed_polls: 0,
        revision: None,
        knows_members: false,
        is_store_lost: false,
    };
    if shared.settings().is_first_start {
        task::sleep(FIRST_START_DELAY).await;
    }
    let mut backoff = MIN_BACKOFF;
    let mut startup_ends_at = None;
    loop {
        match reader.sync_once(&shared, &expiry_grace).await {
            Ok(()) => {
                backoff = MIN_BACKOFF;
                let now = shared.clock.now();
                let startup_ends_at = *startup_ends_at.get_or_insert(now.after(STARTUP_PERIOD));
                let is_started = startup_ends_at.is_past(now);
                let is_relay = shared.steering().relays().includes_self;
                task::sleep(match (is_started, is_relay) {
                    (false, _) => STARTUP_BATCH_DELAY,
                    (true, true) => RELAY_BATCH_DELAY,
                    (true, false) => BATCH_DELAY,
                })
                .await;
            }
            Err(e) => {
                shared.metrics.on_store_read("store", "failed");
                reader.on_failure(&e, shared.clock.now());
                task::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

impl StoreReader {
    async fn sync_once(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
    ) -> Result<(), StoreError> {
        let relay = self
            .select_relay(shared)
            .or_else(|| self.select_peer(shared));
        match (relay, self.revision) {
            (Some(relay), Some(after)) => {
                if let Err(e) = self.poll_peer(shared, expiry_grace, relay, after).await {
                    on_failed_poll(shared, relay, &e);
                    self.failed_polls += 1;
                    self.relay_backoff_until = shared.clock.now().after(RELAY_BACKOFF);
                    self.fallback.on_peer_failure();
                }
                Ok(())
            }
            (_, Some(after)) => self.watch(shared, expiry_grace, after).await,
            (_, None) => {
                if !self.knows_members {
                    self.list_members(shared).await?;
                }
                if let Some(relay) = self.select_listing_relay(shared) {
                    match self.poll_peer(shared, expiry_grace, relay, 0).await {
                        Ok(()) => return Ok(()),
                        Err(e) => on_failed_poll(shared, relay, &e),
                    }
                }
                self.list(shared, expiry_grace).await
            }
        }
    }

    /// Lists the instances' entries, from which the relays follow.
    async fn list_members(&mut self, shared: &Shared) -> Result<(), StoreError> {
        let listing = self.store.list(member_prefix(), LIST_TIMEOUT).await?;
        register_members(shared, &listing.items);
        self.knows_members = true;
        Ok(())
    }

    /// Returns the relay from which an instance without traffic gets all items. All others list them
    /// from the store: they wait for nobody before they serve.
    fn select_listing_relay(&self, shared: &Shared) -> Option<SocketAddr> {
        let settings = shared.settings();
        let steering = shared.steering();
        let relays = steering.peers.relays(&settings, shared.clock.now());
        let is_listed = steering.peers.listed_instances(&settings).includes_self;
        if relays.includes_self || is_listed || relays.same_region.is_empty() {
            return None;
        }
        Some(relays.same_region[shared.run as usize % relays.same_region.len()])
    }

    /// Returns the relay to poll, if relays are needed and this instance is not one itself.
    fn select_relay(&self, shared: &Shared) -> Option<SocketAddr> {
        let steering = shared.steering();
        let relays = steering.relays();
        let is_client = relays.is_needed && !relays.includes_self && !relays.same_region.is_empty();
        let may_poll = is_client && self.relay_backoff_until.is_past(shared.clock.now());
        may_poll.then(|| relays.same_region[shared.run as usize % relays.same_region.len()])
    }

    /// Returns another instance to poll while the fallback from the store is on. Instances of the
    /// same region come first.
    fn select_peer(&self, shared: &Shared) -> Option<SocketAddr> {
        let now = shared.clock.now();
        if !self.fallback.is_active(now) {
            return None;
        }
        let settings = shared.settings();
        let steering = shared.steering();
        let mut peers: Vec<_> = steering
            .peers
            .live(now)
            .map(|(name, member)| {
                let is_cross_region =
                    settings.region_of(&member.info.data_centre) != settings.region();
                (is_cross_region, name, member.info.peer)
            })
            .collect();
        peers.sort_unstable();
        let (_, _, peer) = peers.get(self.failed_polls % peers.len().max(1))?;
        Some(*peer)
    }

    async fn poll_peer(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
        relay: SocketAddr,
        after: u64,
    ) -> io::Result<()> {
        let requested_at = StoreFreshness::boottime_us();
        let is_listed = shared.steering().listed_instances().includes_self;
        let wait = match (after, is_listed) {
            (0, _) => FULL_POLL_WAIT,
            (_, true) => RELAY_WAIT,
            (_, false) => UNLISTED_RELAY_WAIT,
        };
        let response = relay::poll(shared, &mut self.relay_conn, relay, after, wait).await?;
        let uses_relays = shared.steering().relays().is_needed;
        if uses_relays {
            shared
                .steering()
                .on_relay_response(&response, shared.clock.now());
        }
        let age = Duration::from_millis(response.age_ms.into());
        if age > MAX_RELAY_AGE {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the relay's store data is too old",
            ));
        }
        if uses_relays {
            self.on_response(shared, expiry_grace);
        }
        shared.on_read(LastRead {
            origin: ReadOrigin::Instance(relay),
            revision: after.max(response.revision),
        });
        if response.is_full {
            let items = response
                .changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed(_) => None,
                });
            let listing = Listing {
                items: items.collect(),
                revision: response.revision,
            };
            apply_listing(shared, expiry_grace, &listing);
        } else {
            record_changes(shared, expiry_grace, response.changes, response.revision);
        }
        self.revision = Some(after.max(response.revision));
        let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        shared
            .freshness
            .record_read(requested_at.saturating_sub(age_us));
        Ok(())
    }

    async fn list(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
    ) -> Result<(), StoreError> {
        let requested_at = StoreFreshness::boottime_us();
        let listing = self.store.list(all_keys(), LIST_TIMEOUT).await?;
        self.on_response(shared, expiry_grace);
        tracing::info!(
            kind = "listed",
            items = listing.items.len(),
            revision = listing.revision
        );
        self.revision = Some(listing.revision);
        shared.on_read(LastRead {
            origin: ReadOrigin::Store,
            revision: listing.revision,
        });
        apply_listing(shared, expiry_grace, &listing);
        shared.freshness.record_read(requested_at);
        Ok(())
    }

    async fn watch(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
        after: u64,
    ) -> Result<(), StoreError> {
        let requested_at = StoreFreshness::boottime_us();
        // The first watch after a failure returns at once, so that the store's recovery is noticed.
        let wait = if self.is_store_lost {
            RECOVERY_WATCH_WAIT
        } else {
            WATCH_WAIT
        };
        let watching = self.store.watch(all_keys(), after, wait, WATCH_SLACK);
        let (changes, next) = watching.await?;
        self.on_response(shared, expiry_grace);
        shared.on_read(LastRead {
            origin: ReadOrigin::Store,
            revision: next,
        });
        record_changes(shared, expiry_grace, changes, next);
        self.revision = Some(next);
        shared.freshness.record_read(requested_at);
        Ok(())
    }

    fn on_response(&mut self, shared: &Shared, expiry_grace: &ExpiryGrace) {
        self.fallback.on_store_response();
        if std::mem::take(&mut self.is_store_lost) {
            tracing::info!(kind = "dependency_regained", dependency = "store");
            expiry_grace.on_store_recovered(shared.clock.now());
        }
    }

    fn on_failure(&mut self, error: &StoreError, now: MonoTime) {
        if matches!(error, StoreError::HistoryGone) {
            self.revision = None;
            return;
        }
        if !self.is_store_lost {
            tracing::warn!(kind = "dependency_lost", dependency = "store", %error);
        }
        self.is_store_lost = true;
        self.fallback.on_store_failure(now);
    }
}

fn on_failed_poll(shared: &Shared, relay: SocketAddr, error: &io::Error) {
    shared.metrics.on_store_read("instance", "failed");
    let news_ms = shared.freshness.age_ms();
    tracing::info!(kind = "relay_failed", %relay, %error, news_ms);
}

fn apply_listing(shared: &Shared, expiry_grace: &ExpiryGrace, listing: &Listing) {
    let changes = shared.change_log.on_listing(listing);
    apply_changes(shared, expiry_grace, changes);
}

fn record_changes(
    shared: &Shared,
    expiry_grace: &ExpiryGrace,
    changes: Vec<Change>,
    revision: u64,
) {
    shared.change_log.on_changes(&changes, revision);
    apply_changes(shared, expiry_grace, changes);
}
