//! Applies the store's items to this instance's state, one at a time.

use std::{
    collections::HashSet,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use apricotlug_adapter::{
    Change, Item, StoreKey, decode_backend, decode_move, decode_move_status, decode_plan,
    is_plan_key, parse_key,
};
use apricotlug_model::{MonoTime, StoreVersion};

use crate::{peers::MemberInfo, relay::ListedChanges, shared::Shared, store_era::begin_era};

/// Time after the store recovers during which backend servers whose entries expired in the outage
/// stay registered. A live backend server writes its entry again within two seconds.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_900);

/// Longest reason in a log line about a record that cannot be used, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Entries of backend servers that expired while the store was unreachable.
#[derive(Debug, Default)]
pub struct ExpiryGrace(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    ends_at: MonoTime,
    ids: HashSet<String>,
}

impl ExpiryGrace {
    /// Starts the grace period when the store responds again.
    pub fn on_store_recovered(&self, now: MonoTime) {
        self.lock().ends_at = now.after(EXPIRY_GRACE);
    }

    /// Returns the ids of entries whose grace period has ended, and clears them.
    pub fn take_expired(&self, now: MonoTime) -> Vec<String> {
        let mut inner = self.lock();
        if inner.ends_at.is_past(now) {
            inner.ids.drain().collect()
        } else {
            Vec::new()
        }
    }

    /// Returns whether the grace period applies to an entry that the store removed. If it does, the
    /// entry is noted for removal at the end of the period.
    fn defer_removal(&self, id: &str, now: MonoTime) -> bool {
        let mut inner = self.lock();
        let is_deferred = !inner.ends_at.is_past(now);
        if is_deferred {
            inner.ids.insert(id.to_owned());
        }
        is_deferred
    }

    fn on_entry_written(&self, id: &str) {
        self.lock().ids.remove(id);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the changes of a listing. Where it is the first of an era, what it takes back is held
/// back at first.
pub fn apply_listed(
    shared: &Shared,
    expiry_grace: &ExpiryGrace,
    listed: ListedChanges,
    version: StoreVersion,
) {
    if let Some(previous) = listed.replaced_era {
        if previous.revision > 0 {
            expiry_grace.on_store_recovered(shared.clock.now());
        }
        let changes = begin_era(shared, listed, version);
        apply_changes(shared, expiry_grace, changes, version.era);
    } else {
        apply_later_changes(shared, expiry_grace, listed.changes, version.era);
    }
}

/// Applies changes that were made within the era that is known.
pub fn apply_later_changes(
    shared: &Shared,
    expiry_grace: &ExpiryGrace,
    changes: Vec<Change>,
    era: u64,
) {
    changes
        .iter()
        .for_each(|change| shared.era_grace.on_change(change));
    apply_changes(shared, expiry_grace, changes, era);
}

/// Applies changes: the newest plan first, then the others in the order in which they were made.
pub fn apply_changes(shared: &Shared, expiry_grace: &ExpiryGrace, changes: Vec<Change>, era: u64) {
    let is_plan = |change: &Change| matches!(change, Change::Put(item) if is_plan_key(&item.key));
    let (plans, others): (Vec<_>, Vec<_>) = changes.into_iter().partition(is_plan);
    let newest_first = plans.into_iter().rev().filter_map(Change::into_item);
    for item in newest_first {
        if apply_plan(shared, &item) {
            break;
        }
    }
    for change in others {
        match change {
            Change::Put(item) => apply_put(shared, expiry_grace, item, era),
            Change::Removed(key) => apply_removal(shared, expiry_grace, parse_key(&key)),
        }
    }
}

/// Logs and counts a record that cannot be used; another writer may have left it.
fn reject(shared: &Shared, key: &str, reason: &dyn fmt::Display) {
    // Errors quote values, which may be long.
    let reason: String = reason.to_string().chars().take(MAX_REASON_CHARS).collect();
    shared.metrics.on_bad_record();
    tracing::warn!(kind = "bad_record", key, error = reason);
}

/// Returns whether an instance listens on an address, this one or another known one.
fn is_instance_addr(shared: &Shared, addr: SocketAddr) -> bool {
    let listen = shared.settings().listen;
    let own = [listen.caller, listen.ready, listen.lookup, listen.peer];
    let steering = shared.steering();
    let is_peer = |info: &MemberInfo| info.caller == addr || info.peer == addr;
    own.contains(&addr)
        || steering
            .peers
            .iter()
            .any(|(_, member)| is_peer(&member.info))
}

fn apply_put(shared: &Shared, expiry_grace: &ExpiryGrace, item: Item, era: u64) {
    let now = shared.clock.now();
    let version = StoreVersion::new(era, item.revision);
    match parse_key(&item.key) {
        StoreKey::Backend(id) => match decode_backend(&id, &item.value) {
            Ok(backend) if is_instance_addr(shared, backend.addr) => {
                // Requests would come back to the instances until their deadline.
                reject(shared, &item.key, &"the address is an instance's");
                shared.steering().fleet.remove(&id);
            }
            Ok(backend) => {
                expiry_grace.on_entry_written(&id);
                shared.era_grace.on_backend_written(&id, &item.value);
                tracing::info!(
                    kind = "backend",
                    backend = id,
                    service = backend.service,
                    data_centre = backend.data_centre,
                    version = backend.version,
                    state = ?backend.state,
                    cold_ms = backend.cold_ms,
                    revision = item.revision
                );
                let settings = shared.settings();
                let region = settings.region_of(&backend.data_centre);
                let mut steering = shared.steering();
                let key = steering.fleet.register(backend, region, now);
                steering.on_backend(&id, key);
            }
            Err(e) => {
                reject(shared, &item.key, &e);
                shared.steering().fleet.remove(&id);
            }
        },
        StoreKey::Move(service) => match decode_move(&item.value) {
            Ok(order) if order.service == service => {
                tracing::info!(
                    kind = "move_order",
                    service,
                    target = order.target,
                    within_ms = order.within_ms
                );
                shared.steering().moves.on_order(order, version, now);
            }
            Ok(order) => reject(shared, &item.key, &format!("names {}", order.service)),
            Err(e) => reject(shared, &item.key, &e),
        },
        StoreKey::MoveStatus(service) => match decode_move_status(&item.value) {
            Ok(status) => {
                tracing::info!(kind = "move_status", service, target = status.target, state = ?status.state);
                shared
                    .steering()
                    .moves
                    .on_status(&service, status, version, now);
            }
            Err(e) => reject(shared, &item.key, &e),
        },
        StoreKey::Evacuation(data_centre) => {
            tracing::info!(kind = "evacuation", data_centre, revision = item.revision);
            shared.update_operator_state(|operator_state| {
                if !operator_state.evacuated.contains(&data_centre) {
                    operator_state.evacuated.push(data_centre);
                }
            });
        }
        StoreKey::Member(name) => apply_member(shared, &name, &item),
        StoreKey::UsageDuty => apply_usage_duty(shared, &item),
        // `apply_changes` has picked the plans out.
        StoreKey::Plan | StoreKey::Other => {}
    }
}

/// Puts a plan in force. Returns whether it was newer than the one in force and could be used.
fn apply_plan(shared: &Shared, item: &Item) -> bool {
    let plan = match decode_plan(&item.value) {
        Ok(plan) => plan,
        Err(e) => {
            reject(shared, &item.key, &e);
            return false;
        }
    };
    let held = shared
        .operator_state()
        .plan
        .as_ref()
        .map(|plan| plan.version);
    if held.is_some_and(|held| held >= plan.version) {
        tracing::info!(kind = "plan_ignored", version = plan.version, held);
        return false;
    }
    let origin = shared.last_read().map(|read| read.origin);
    tracing::info!(
        kind = "plan",
        version = plan.version,
        revision = item.revision,
        read_from = origin.map(tracing::field::display)
    );
    shared.steering().on_plan(&plan, shared.clock.now());
    shared.update_operator_state(|operator_state| operator_state.plan = Some(Arc::new(plan)));
    true
}

/// Registers the instances among a listing of their entries. What cannot be used is left to the
/// listing of all items, which reports it.
pub fn register_members(shared: &Shared, entries: &[Item]) {
    let now = shared.clock.now();
    let own = shared.settings().instance.clone();
    let mut steering = shared.steering();
    for entry in entries {
        if let StoreKey::Member(name) = parse_key(&entry.key)
            && name != own
            && let Ok(info) = serde_json::from_slice::<MemberInfo>(&entry.value)
        {
            steering.peers.register(&name, info, now);
        }
    }
}

fn apply_member(shared: &Shared, name: &str, item: &Item) {
    if name == shared.settings().instance {
        return;
    }
    match serde_json::from_slice::<MemberInfo>(&item.value) {
        Ok(info) => {
            tracing::info!(kind = "member", name, run = info.run);
            let mut steering = shared.steering();
            if let Some(run) = steering.peers.register(name, info, shared.clock.now()) {
                steering.remove_run(run);
            }
        }
        Err(e) => reject(shared, &item.key, &e),
    }
}

fn apply_usage_duty(shared: &Shared, item: &Item) {
    let Some(usage) = &shared.usage else {
        return;
    };
    match serde_json::from_slice(&item.value) {
        Ok(record) => usage.on_record(Some(record), item.revision),
        Err(e) => reject(shared, &item.key, &e),
    }
}

fn apply_removal(shared: &Shared, expiry_grace: &ExpiryGrace, key: StoreKey) {
    let now = shared.clock.now();
    match key {
        StoreKey::Backend(id) => {
            let is_kept = expiry_grace.defer_removal(&id, now);
            shared.era_grace.on_backend_removed(&id);
            tracing::info!(kind = "backend_removed", backend = id, is_kept);
            if !is_kept {
                shared.steering().fleet.remove(&id);
            }
        }
        StoreKey::Member(name) => {
            tracing::info!(kind = "member_removed", name);
            shared.steering().peers.deregister(&name);
        }
        StoreKey::Evacuation(data_centre) => {
            tracing::info!(kind = "evacuation_over", data_centre);
            shared.update_operator_state(|operator_state| {
                operator_state
                    .evacuated
                    .retain(|other| *other != data_centre)
            });
            let plan = shared.operator_state().plan.clone();
            shared
                .steering()
                .fleet
                .on_evacuation_over(&data_centre, now, |service| {
                    plan.as_ref()
                        .and_then(|plan| plan.services.get(service))
                        .map_or(0, |service| service.cold_ms)
                });
        }
        StoreKey::Move(service) => {
            tracing::info!(kind = "move_order_removed", service);
            shared.steering().moves.on_order_removed(&service);
        }
        StoreKey::UsageDuty => {
            if let Some(usage) = &shared.usage {
                usage.on_record(None, 0);
            }
        }
        StoreKey::Plan => tracing::warn!(kind = "plan_removed"),
        StoreKey::MoveStatus(service) => {
            shared.steering().moves.on_status_removed(&service, now);
        }
        StoreKey::Other => {}
    }
}
