//! Maintains this instance's own entry in the store.

use std::{sync::Arc, time::Duration};

use apricotlug_adapter::{
    ConditionalWrite, ConditionalWriteOutcome, StoreClient, StoreError, member_key,
};
use async_std::task;

use crate::{peers::MemberInfo, shared::Shared};

/// Time after which the store removes the entry unless its lease is renewed. A longer minimum in
/// the settings takes precedence.
const LEASE_TTL: Duration = Duration::from_millis(4_000);

/// Interval at which the lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// The same for an instance that look-ups don't list: no caller misses it if its entry lapses.
const UNLISTED_RENEW_INTERVAL: Duration = Duration::from_millis(2_000);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time limit for a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maintains the entry until the instance leaves, then ends its lease.
pub async fn maintain_entry(shared: Arc<Shared>, mut store: StoreClient) {
    let mut lease = None;
    while !shared.drain.is_leaving() {
        let result = match lease {
            None => register(&shared, &mut store)
                .await
                .map(|id| lease = Some(id)),
            Some(id) => store.renew_lease(id, CALL_TIMEOUT).await,
        };
        match result {
            Ok(()) => sleep_unless_leaving(&shared, renew_interval(&shared)).await,
            Err(StoreError::NotFound) => lease = None,
            Err(e) => {
                tracing::debug!(kind = "member_entry", error = %e);
                sleep_unless_leaving(&shared, RETRY_DELAY).await;
            }
        }
    }
    if let Some(id) = lease
        && let Err(e) = store.end_lease(id, CALL_TIMEOUT).await
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

async fn sleep_unless_leaving(shared: &Shared, duration: Duration) {
    let until = shared.clock.now().after(duration);
    while !shared.drain.is_leaving() && !until.is_past(shared.clock.now()) {
        task::sleep(Duration::from_millis(100).min(shared.clock.remaining(until))).await;
    }
}

async fn register(shared: &Shared, store: &mut StoreClient) -> Result<u64, StoreError> {
    let settings = shared.settings();
    let ttl = LEASE_TTL.max(Duration::from_millis(settings.min_lease_ms.into()));
    let (lease, _) = store.grant_lease(ttl, CALL_TIMEOUT).await?;
    let info = MemberInfo {
        run: shared.run,
        caller: settings.listen.caller,
        peer: settings.listen.peer,
        data_centre: settings.data_centre.clone(),
        link_mbps: settings.link_mbps as u32,
    };
    let value = serde_json::to_vec(&info).map_err(|e| StoreError::Malformed(e.to_string()))?;
    let write = ConditionalWrite {
        key: member_key(&settings.instance),
        expected: None,
        value: Some(value),
        lease,
    };
    match store.write_conditional(write, CALL_TIMEOUT).await? {
        ConditionalWriteOutcome::Done(revision) => {
            tracing::info!(kind = "member_entry", lease, revision);
            let now = shared.clock.now();
            shared.steering().limit_share.on_entered(now);
            Ok(lease)
        }
        ConditionalWriteOutcome::Conflict => Err(StoreError::Refused(412)),
    }
}
