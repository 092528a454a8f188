//! Synchronises with the store: lists all items once, then applies changes as they arrive.
//! Instances that are not relays poll one instead where there are many.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use apricotlug_adapter::{
    Change, Listing, StoreClient, StoreError, WatchResponse, all_keys, member_prefix,
};
use apricotlug_model::{BootTime, StoreVersion};
use apricotlug_policy::steer::{Read, ReadSchedule};
use async_std::{future::timeout, net::TcpStream, task};

use crate::{
    freshness::StoreFreshness,
    read_sources::{read_limits, read_sources},
    relay::{self, ListedChanges, OlderRead},
    shared::{LastRead, ReadOrigin, Shared},
    store_changes::{ExpiryGrace, apply_later_changes, apply_listed, register_members},
    store_era::{keep_newer_plan, without_older_plans},
    wire::RelayResponse,
};

/// Time limit for listing all items.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time beyond its wait after which a watch counts as failed.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Delay after a response, so that changes that arrive close together are handled in one batch.
const BATCH_DELAY: Duration = Duration::from_millis(60);

/// The same for a relay of many instances. In a large installation something changes all the time,
/// and each response would be followed by another call.
const RELAY_BATCH_DELAY: Duration = Duration::from_millis(180);

/// Delay before the first listing of a system that starts for the first time: all instances
/// register meanwhile, so that most of them find a relay.
const FIRST_START_DELAY: Duration = Duration::from_millis(700);

/// The same for an instance of a large installation that reads the store because its relay is not
/// current, and for one that look-ups don't list. Many may do so at once, and changes come as often as
/// from a relay.
const SUBSTITUTE_BATCH_DELAY: Duration = Duration::from_millis(400);
const UNLISTED_SUBSTITUTE_BATCH_DELAY: Duration = Duration::from_millis(1_000);

/// Delay while this instance has recently started. If many instances start together, the entry of
/// each one would otherwise wake all others.
const STARTUP_BATCH_DELAY: Duration = Duration::from_millis(300);

/// Time from the first successful read for which the longer delay applies.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// First and longest delay after a failure; each delay is twice the one before.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Connections over which the store's items are read.
struct StoreReader {
    store: StoreClient,
    relay_conn: Option<(SocketAddr, TcpStream)>,
    schedule: ReadSchedule,
}

/// Synchronises with the store until the process ends.
pub async fn sync_store(shared: Arc<Shared>, store: StoreClient, expiry_grace: Arc<ExpiryGrace>) {
    let mut reader = StoreReader {
        store,
        relay_conn: None,
        schedule: ReadSchedule::new(read_limits(&shared)),
    };
    if shared.settings().is_first_start {
        task::sleep(FIRST_START_DELAY).await;
    }
    let mut backoff = MIN_BACKOFF;
    let mut startup_ends_at = None;
    loop {
        match reader.read(&shared, &expiry_grace).await {
            Ok(()) => {
                backoff = MIN_BACKOFF;
                let now = shared.clock.now();
                let startup_ends_at = *startup_ends_at.get_or_insert(now.after(STARTUP_PERIOD));
                let is_started = startup_ends_at.is_past(now);
                shared.steering().limit_share.on_read(now);
                let delay = if is_started {
                    batch_delay(&shared)
                } else {
                    STARTUP_BATCH_DELAY
                };
                task::sleep(delay).await;
            }
            Err(e) => {
                reader.on_store_failure(&shared, &e);
                task::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns the delay after a read of an instance that has run for a while.
fn batch_delay(shared: &Shared) -> Duration {
    let origin = shared.last_read().map(|read| read.origin);
    let steering = shared.steering();
    let relays = steering.relays();
    match (relays.is_needed, relays.includes_self, origin) {
        (true, true, _) => RELAY_BATCH_DELAY,
        (true, false, Some(ReadOrigin::Store)) if steering.listed_instances().includes_self => {
            SUBSTITUTE_BATCH_DELAY
        }
        (true, false, Some(ReadOrigin::Store)) => UNLISTED_SUBSTITUTE_BATCH_DELAY,
        _ => BATCH_DELAY,
    }
}

impl StoreReader {
    /// Does the next read of items and applies what it brings. Where another instance fails, the store
    /// is read at once.
    async fn read(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
    ) -> Result<(), StoreError> {
        loop {
            // Settings may have been reloaded.
            self.schedule.set_limits(read_limits(shared));
            // Another call to the store may have been answered under a newer era.
            self.schedule.on_era(self.store.newest_era());
            let read = self
                .schedule
                .next(&read_sources(shared), shared.clock.now());
            let passes_on_for = self.schedule.passes_on_for(read);
            shared.passes_on_until.set_after(passes_on_for);
            match read {
                Read::ListMembers => self.list_members(shared, expiry_grace).await?,
                Read::List => return self.list(shared, expiry_grace).await,
                Read::Watch { after, wait } => {
                    let is_part = self.watch(shared, expiry_grace, after, wait).await?;
                    if !is_part {
                        return Ok(());
                    }
                }
                Read::Poll {
                    instance,
                    after,
                    wait,
                    time_limit,
                } => {
                    let polling = self.poll(shared, expiry_grace, instance, after, wait);
                    let polled = timeout(time_limit, polling)
                        .await
                        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
                    match polled {
                        Ok(()) => return Ok(()),
                        Err(e) => self.on_poll_failure(shared, instance, &e),
                    }
                }
            }
        }
    }

    /// Lists the instances' entries, from which the relays follow.
    async fn list_members(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
    ) -> Result<(), StoreError> {
        let listing = self.store.list(member_prefix(), LIST_TIMEOUT).await?;
        register_members(shared, &listing.items);
        let was_lost = self.schedule.on_members_listed();
        on_store_response(shared, expiry_grace, was_lost);
        Ok(())
    }

    async fn poll(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
        instance: SocketAddr,
        after: StoreVersion,
        wait: Duration,
    ) -> io::Result<()> {
        let requested_at = StoreFreshness::now();
        let response = relay::poll(shared, &mut self.relay_conn, instance, after, wait).await?;
        let uses_relays = shared.steering().relays().is_needed;
        if uses_relays {
            shared
                .steering()
                .on_relay_response(&response, shared.clock.now());
        }
        let read_at = self.check_source(&response, requested_at)?;
        if uses_relays {
            let was_lost = self.schedule.on_store_response();
            on_store_response(shared, expiry_grace, was_lost);
        }
        let version = after.max(response.version);
        let listed = record_response(shared, response, version, read_at)?;
        shared.on_read(LastRead {
            origin: ReadOrigin::Instance(instance),
            version,
        });
        apply_listed(shared, expiry_grace, listed, version);
        self.schedule.on_poll(version);
        shared.on_items_read(read_at);
        Ok(())
    }

    /// Returns the time of the read of the store that a response passes on.
    ///
    /// # Errors
    /// Returns an error if the responder is not current, or its data too old.
    fn check_source(
        &self,
        response: &RelayResponse,
        requested_at: BootTime,
    ) -> io::Result<BootTime> {
        let too_old = |text| io::Error::new(io::ErrorKind::TimedOut, text);
        if response.is_behind {
            return Err(too_old("the instance is not current itself"));
        }
        let max_age = self.schedule.limits().max_source_age;
        let read_at = response.read_at(requested_at);
        read_at
            .filter(|read_at| StoreFreshness::now().since(*read_at) <= max_age)
            .ok_or_else(|| too_old("the instance's data is too old"))
    }

    async fn list(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
    ) -> Result<(), StoreError> {
        let requested_at = StoreFreshness::now();
        let mut listing = self.store.list(all_keys(), LIST_TIMEOUT).await?;
        tracing::info!(
            kind = "listed",
            items = listing.items.len(),
            revision = listing.version.revision,
            era = listing.version.era
        );
        self.before_passing_on(shared);
        keep_newer_plan(&shared.change_log, &mut listing);
        let listed = shared.change_log.on_listing(&listing, requested_at);
        let listed = listed.map_err(|e| StoreError::Malformed(e.to_string()))?;
        let was_lost = self.schedule.on_store_read(listing.version);
        on_store_read(shared, expiry_grace, was_lost, listing.version);
        apply_listed(shared, expiry_grace, listed, listing.version);
        shared.on_items_read(requested_at);
        Ok(())
    }

    /// Returns whether the store may have had more changes than it returned. Those are put in force,
    /// but say nothing about what is in force besides.
    async fn watch(
        &mut self,
        shared: &Shared,
        expiry_grace: &ExpiryGrace,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<bool, StoreError> {
        let requested_at = StoreFreshness::now();
        let watching = self.store.watch(all_keys(), after, wait, WATCH_SLACK);
        let WatchResponse {
            changes,
            version,
            may_have_more,
        } = watching.await?;
        let read_at = (!may_have_more).then_some(requested_at);
        if read_at.is_some() {
            self.before_passing_on(shared);
        } else {
            shared.metrics.on_store_read("store", "part");
            tracing::info!(
                kind = "part_read",
                after = after.revision,
                revision = version.revision,
                changes = changes.len(),
                news_ms = shared.freshness.age_ms()
            );
        }
        let log = &shared.change_log;
        let recorded = without_older_plans(log, &changes);
        let is_recorded = log.on_changes(&recorded, version, read_at);
        is_recorded.map_err(|e| StoreError::Malformed(e.to_string()))?;
        let was_lost = if may_have_more {
            self.schedule.on_part_read(version)
        } else {
            self.schedule.on_store_read(version)
        };
        on_store_read(shared, expiry_grace, was_lost, version);
        apply_later_changes(shared, expiry_grace, changes, version.era);
        if let Some(read_at) = read_at {
            shared.on_items_read(read_at);
        }
        Ok(may_have_more)
    }

    /// Lets the state be passed on until the next read starts, after the batch delay. Instances that
    /// wait for a change respond as soon as it is recorded, so this comes first.
    fn before_passing_on(&self, shared: &Shared) {
        let slack = self.schedule.limits().slack;
        shared.passes_on_until.set_after(slack);
    }

    fn on_poll_failure(&mut self, shared: &Shared, instance: SocketAddr, error: &io::Error) {
        shared.metrics.on_store_read("instance", "failed");
        let news_ms = shared.freshness.age_ms();
        tracing::info!(kind = "relay_failed", relay = %instance, %error, news_ms);
        self.schedule.on_poll_failure(shared.clock.now());
    }

    fn on_store_failure(&mut self, shared: &Shared, error: &StoreError) {
        match error {
            StoreError::HistoryGone => return self.schedule.on_history_dropped(),
            StoreError::OtherEra(era) => {
                self.schedule.on_era(*era);
                return self.schedule.on_history_dropped();
            }
            _ => {}
        }
        shared.metrics.on_store_read("store", "failed");
        shared.passes_on_until.set_after(Duration::ZERO);
        if self.schedule.on_store_failure(shared.clock.now()) {
            tracing::warn!(kind = "dependency_lost", dependency = "store", %error);
        }
    }
}

/// Records what another instance passed on, and returns the changes to apply.
///
/// # Errors
/// Returns an error if these are all items of an older version than what is known, or changes of
/// another era.
pub fn record_response(
    shared: &Shared,
    response: RelayResponse,
    version: StoreVersion,
    read_at: BootTime,
) -> io::Result<ListedChanges> {
    let older = |e: OlderRead| io::Error::new(io::ErrorKind::InvalidData, e);
    let log = &shared.change_log;
    if response.is_full {
        let items = response.changes.into_iter().filter_map(Change::into_item);
        let mut listing = Listing {
            items: items.collect(),
            version: response.version,
        };
        keep_newer_plan(log, &mut listing);
        return log.on_listing(&listing, read_at).map_err(older);
    }
    if response.version.era != version.era {
        return Err(older(OlderRead {
            read: response.version,
            known: version,
        }));
    }
    let recorded = without_older_plans(log, &response.changes);
    log.on_changes(&recorded, version, read_at).map_err(older)?;
    Ok(ListedChanges {
        changes: response.changes,
        replaced_era: None,
    })
}

fn on_store_read(
    shared: &Shared,
    expiry_grace: &ExpiryGrace,
    was_lost: bool,
    version: StoreVersion,
) {
    on_store_response(shared, expiry_grace, was_lost);
    shared.on_read(LastRead {
        origin: ReadOrigin::Store,
        version,
    });
}

fn on_store_response(shared: &Shared, expiry_grace: &ExpiryGrace, was_lost: bool) {
    if was_lost {
        tracing::info!(kind = "dependency_regained", dependency = "store");
        expiry_grace.on_store_recovered(shared.clock.now());
    }
}
