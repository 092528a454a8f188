//! Maintains this instance's own entry in the store.

use std::{sync::Arc, time::Duration};

use apricotlug_adapter::{
    ConditionalWrite, ConditionalWriteOutcome, Lease, StoreClient, StoreError, member_key,
};
use apricotlug_model::MonoTime;
use async_std::task;

use crate::{
    peers::{MemberInfo, StoredMember},
    shared::Shared,
};

/// Time after which the store removes the entry unless its lease is renewed. A longer minimum in
/// the settings takes precedence.
const LEASE_TTL: Duration = Duration::from_millis(4_000);

/// Interval at which the lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// The same for an instance that look-ups don't list: no caller misses it if its entry lapses.
const UNLISTED_RENEW_INTERVAL: Duration = Duration::from_millis(2_000);

/// First and longest delay after a failed call; each delay is twice the one before. A store that turns
/// instances away counts their calls all the same.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Time limit for a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maintains the entry until the instance leaves, then ends its lease.
pub async fn maintain_entry(shared: Arc<Shared>, mut store: StoreClient) {
    let mut lease = None;
    let mut granted_in = 0;
    let mut retry_delay = MIN_RETRY_DELAY;
    while !shared.drain.is_leaving() {
        // The copy to which the store went back may have neither the lease nor the entry, or
        // another's lease by the same id.
        lease = lease.filter(|_| known_era(&shared, &store) <= granted_in);
        let is_renewal = lease.is_some();
        let result = match lease {
            None => register(&shared, &mut store).await.map(|granted| {
                granted_in = granted.era.max(known_era(&shared, &store));
                lease = Some(granted);
            }),
            Some(held) => store.renew_lease(held, CALL_TIMEOUT).await,
        };
        match result {
            Ok(()) => {
                retry_delay = MIN_RETRY_DELAY;
                let until = shared.clock.now().after(renew_interval(&shared));
                let is_new_era = || known_era(&shared, &store) > granted_in;
                sleep_unless_leaving(&shared, until, is_new_era).await;
            }
            Err(StoreError::NotFound | StoreError::OtherEra(_)) if is_renewal => lease = None,
            Err(e) => {
                tracing::debug!(kind = "member_entry", error = %e);
                let until = shared.clock.now().after(retry_delay);
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                sleep_unless_leaving(&shared, until, || false).await;
            }
        }
    }
    if let Some(held) = lease
        && let Err(e) = store.end_lease(held, CALL_TIMEOUT).await
    {
        tracing::warn!(kind = "member_entry_left", error = %e);
    }
}

fn renew_interval(shared: &Shared) -> Duration {
    let listed = shared.steering().listed_instances();
    if listed.count == 0 || listed.includes_self {
        RENEW_INTERVAL
    } else {
        UNLISTED_RENEW_INTERVAL
    }
}

/// Returns the newest era of the store that this instance has seen.
fn known_era(shared: &Shared, store: &StoreClient) -> u64 {
    store.newest_era().max(shared.change_log.era())
}

/// Sleeps until a time, or until the instance leaves or something else ends the wait.
async fn sleep_unless_leaving(shared: &Shared, until: MonoTime, is_ended: impl Fn() -> bool) {
    while !shared.drain.is_leaving() && !is_ended() && !until.is_past(shared.clock.now()) {
        task::sleep(Duration::from_millis(100).min(shared.clock.remaining(until))).await;
    }
}

async fn register(shared: &Shared, store: &mut StoreClient) -> Result<Lease, StoreError> {
    let settings = shared.settings();
    let ttl = LEASE_TTL.max(Duration::from_millis(settings.min_lease_ms.into()));
    let lease = store.grant_lease(ttl, CALL_TIMEOUT).await?;
    let info = MemberInfo {
        run: shared.run,
        caller: settings.listen.caller,
        peer: settings.listen.peer,
        data_centre: settings.data_centre.clone(),
        link_mbps: settings.link_mbps as u32,
    };
    let entry = StoredMember {
        info,
        era: lease.era,
    };
    let value = serde_json::to_vec(&entry).map_err(|e| StoreError::Malformed(e.to_string()))?;
    let write = ConditionalWrite {
        key: member_key(&settings.instance),
        expected: None,
        value: Some(value),
        lease: lease.id,
        era: lease.era,
    };
    match store.write_conditional(write, CALL_TIMEOUT).await? {
        ConditionalWriteOutcome::Done(version) => {
            tracing::info!(
                kind = "member_entry",
                lease = lease.id,
                revision = version.revision,
                era = version.era
            );
            let now = shared.clock.now();
            shared.steering().limit_share.on_entered(now);
            Ok(lease)
        }
        ConditionalWriteOutcome::Conflict => Err(StoreError::Refused(412)),
    }
}
