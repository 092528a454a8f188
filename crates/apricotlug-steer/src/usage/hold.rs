//! Takes and keeps the duty, and reports what is settled.

use std::{sync::Arc, time::Duration};

use apricotlug_adapter::{
    ConditionalWrite, ConditionalWriteOutcome, StoreClient, StoreError, UsageReport,
    send_usage_report, usage_duty_key, usage_duty_prefix,
};
use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{DutyRecord, DutyStep, DutyWrite};
use async_std::task;

use super::state::Usage;
use crate::{freshness::StoreFreshness, shared::Shared};

/// Interval of the steps.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time limit for a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time limit for sending a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// First and longest delay after a failed call; each delay is twice the one before.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// Delays after failed calls of one kind.
struct Backoff {
    delay: Duration,
    until: MonoTime,
}

impl Backoff {
    fn new() -> Self {
        Self {
            delay: MIN_BACKOFF,
            until: MonoTime::default(),
        }
    }

    fn on_result(&mut self, is_good: bool, now: MonoTime) {
        if is_good {
            *self = Self::new();
        } else {
            self.until = now.after(self.delay);
            self.delay = (self.delay * 2).min(MAX_BACKOFF);
        }
    }
}

/// Takes part in the duty until the instance leaves, then gives it up.
pub async fn hold(shared: Arc<Shared>, mut store: StoreClient) {
    let Some(usage) = &shared.usage else {
        return;
    };
    let mut store_backoff = Backoff::new();
    let mut report_backoff = Backoff::new();
    let mut era = None;
    while !shared.drain.is_leaving() {
        task::sleep(INTERVAL).await;
        expire(&shared, usage);
        let known = shared.last_read().map(|read| read.version.era);
        if era.is_some() && known > era {
            usage.on_store_went_back();
        }
        era = known;
        if store_backoff.until.is_past(shared.clock.now()) {
            let is_good = keep(&shared, usage, &mut store).await;
            store_backoff.on_result(is_good, shared.clock.now());
        }
        if report_backoff.until.is_past(shared.clock.now()) {
            let is_good = report(&shared, usage).await;
            report_backoff.on_result(is_good, shared.clock.now());
        }
    }
    let release = usage.lock().holder.release();
    if let Some(release) = release {
        write(&shared, usage, &mut store, release).await;
    }
}

fn expire(shared: &Shared, usage: &Usage) {
    let mut state = usage.lock();
    let now = StoreFreshness::now();
    if let Some(fence) = state.holder.expire(now) {
        tracing::warn!(kind = "duty_expired", fence);
    }
    if shared.last_read().is_some() {
        let wall = state.anchor.unix(now);
        state.holder.on_items_read(now, wall);
    }
}

/// Returns how many instances should take the duty before this one; `None` where others read the
/// store for it, which therefore know the record sooner.
fn rank(shared: &Shared) -> Option<u32> {
    let settings = shared.settings();
    let steering = shared.steering();
    let relays = steering.relays();
    let rank = if !relays.is_needed {
        steering
            .peers
            .rank_of(&settings.instance, shared.clock.now())
    } else if relays.includes_self {
        let own = settings.listen.peer;
        relays.all.iter().filter(|peer| **peer < own).count()
    } else {
        return None;
    };
    Some(u32::try_from(rank).unwrap_or(u32::MAX))
}

/// Does the next step for the record. Returns whether no call failed.
async fn keep(shared: &Shared, usage: &Usage, store: &mut StoreClient) -> bool {
    let rank = rank(shared);
    let mut runs = vec![shared.run];
    runs.extend(
        shared
            .steering()
            .peers
            .iter()
            .map(|(_, member)| member.info.run),
    );
    let step = {
        let state = usage.lock();
        let now = StoreFreshness::now();
        let ready = state.ready(&runs, now);
        if let Some((report, missing)) = &ready {
            tracing::info!(
                kind = "usage_ready",
                window = report.number,
                accounts = report.counts.len(),
                requests = report.counts.values().sum::<u64>(),
                instances = runs.len(),
                missing,
                late_ms = state.age(report.number, now).as_millis() as u64
            );
        }
        let wall = state.anchor.unix(now);
        let ready = ready.map(|(report, _)| report);
        state.holder.next(now, wall, rank, ready)
    };
    match step {
        DutyStep::Wait => true,
        DutyStep::Read => read(shared, usage, store).await,
        DutyStep::Write(duty_write) => write(shared, usage, store, duty_write).await,
    }
}

async fn read(shared: &Shared, usage: &Usage, store: &mut StoreClient) -> bool {
    let listing = match store.list(usage_duty_prefix(), STORE_TIMEOUT).await {
        Ok(listing) => listing,
        Err(error) => {
            tracing::info!(kind = "duty_unread", %error);
            return false;
        }
    };
    if listing.version.era > shared.last_read().map_or(0, |read| read.version.era) {
        usage.on_store_went_back();
        return false;
    }
    let key = usage_duty_key();
    let item = listing.items.iter().find(|item| item.key == key);
    let record = item.and_then(|item| serde_json::from_slice::<DutyRecord>(&item.value).ok());
    let revision = item.map_or(0, |item| item.revision);
    let mut state = usage.lock();
    state
        .holder
        .on_read(record, revision, StoreFreshness::now());
    drop(state);
    on_own_record(shared, usage);
    true
}

async fn write(
    shared: &Shared,
    usage: &Usage,
    store: &mut StoreClient,
    duty_write: DutyWrite,
) -> bool {
    let Ok(value) = serde_json::to_vec(&duty_write.record) else {
        return false;
    };
    let write = ConditionalWrite {
        key: usage_duty_key(),
        expected: Some(duty_write.expected),
        value: Some(value),
        lease: 0,
        // The era of the items with which the record was read. A newer one ends every hold.
        era: shared.last_read().map_or(0, |read| read.version.era),
    };
    let (fence, is_new) = (duty_write.record.fence, duty_write.record.renewals == 0);
    let window = duty_write.record.last_window;
    usage
        .lock()
        .holder
        .on_requested(duty_write.record, StoreFreshness::now());
    let outcome = store.write_conditional(write, STORE_TIMEOUT).await;
    let mut state = usage.lock();
    let now = StoreFreshness::now();
    let is_good = match outcome {
        Ok(ConditionalWriteOutcome::Done(version)) => {
            state.holder.on_written(version.revision, now);
            if is_new {
                let revision = version.revision;
                tracing::info!(kind = "duty_taken", fence, window, revision);
            }
            true
        }
        Ok(ConditionalWriteOutcome::Conflict) => {
            tracing::info!(kind = "duty_conflict", fence);
            state.holder.on_conflict(now);
            true
        }
        Err(StoreError::Refused(status)) => {
            tracing::info!(kind = "duty_unwritten", fence, status);
            false
        }
        Err(StoreError::OtherEra(era)) => {
            drop(state);
            tracing::info!(kind = "duty_unwritten", fence, era);
            usage.on_store_went_back();
            return false;
        }
        Err(error) => {
            tracing::info!(kind = "duty_unwritten", fence, %error);
            state.holder.on_unknown();
            false
        }
    };
    drop(state);
    on_own_record(shared, usage);
    is_good
}

/// Drops the counts that the record shows as settled.
fn on_own_record(shared: &Shared, usage: &Usage) {
    let mut state = usage.lock();
    let Some(settled) = state.holder.record().map(|record| record.last_window) else {
        return;
    };
    state.collection.forget_through(settled);
    shared.metrics.set_usage_window(settled);
}

/// Sends the oldest report that is due. Returns whether no call failed.
async fn report(shared: &Shared, usage: &Usage) -> bool {
    let due = usage.lock().holder.due_report(StoreFreshness::now());
    let Some((fence, window)) = due else {
        return true;
    };
    let settings = shared.settings();
    let sending = UsageReport {
        holder: &settings.instance,
        fence,
        window_number: window.number,
        counts: &window.counts,
    };
    let result = send_usage_report(usage.settings.addr, sending, REPORT_TIMEOUT).await;
    let mut state = usage.lock();
    let late_ms = state.age(window.number, StoreFreshness::now()).as_millis() as u64;
    match result {
        Ok(()) => {
            state.holder.on_report_accepted(window.number);
            drop(state);
            shared.metrics.on_usage_report("accepted");
            tracing::info!(
                kind = "usage_reported",
                window = window.number,
                fence,
                requests = window.counts.values().sum::<u64>(),
                late_ms
            );
            true
        }
        Err(error) => {
            drop(state);
            shared.metrics.on_usage_report("failed");
            tracing::warn!(kind = "usage_unreported", window = window.number, fence, %error, late_ms);
            false
        }
    }
}
