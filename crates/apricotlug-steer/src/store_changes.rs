//! Applies the store's items to this instance's state, one at a time.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use apricotlug_adapter::{
    Change, Item, Place, decode_backend, decode_move, decode_move_status, decode_plan, place_of,
};
use apricotlug_model::MonoTime;

use crate::{peers::MemberInfo, shared::Shared};

/// Time after the store recovers during which backend servers whose entries expired in the outage
/// stay listed. A live backend server writes its entry again within two seconds.
const LAPSED: Duration = Duration::from_millis(1_900);

/// Entries of backend servers that expired while the store was unreachable.
#[derive(Debug, Default)]
pub struct Lapsed(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    until: MonoTime,
    ids: HashSet<String>,
}

impl Lapsed {
    /// Starts the grace period when the store answers again.
    pub fn on_store_back(&self, now: MonoTime) {
        self.inner().until = now.after(LAPSED);
    }

    /// Returns the ids of entries whose grace period has ended, and clears them.
    pub fn take_due(&self, now: MonoTime) -> Vec<String> {
        let mut inner = self.inner();
        if inner.until.is_past(now) {
            inner.ids.drain().collect()
        } else {
            Vec::new()
        }
    }

    /// Returns whether the grace period applies to an entry that the store removed. If it does, the
    /// entry is noted for removal at the end of the period.
    fn keeps(&self, id: &str, now: MonoTime) -> bool {
        let mut inner = self.inner();
        let keeps = !inner.until.is_past(now);
        if keeps {
            inner.ids.insert(id.to_owned());
        }
        keeps
    }

    fn on_listed(&self, id: &str) {
        self.inner().ids.remove(id);
    }

    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies changes in the order in which they were made.
pub fn apply_changes(shared: &Shared, lapsed: &Lapsed, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Put(item) => put(shared, lapsed, item),
            Change::Removed(key) => remove(shared, lapsed, place_of(&key)),
        }
    }
}

fn put(shared: &Shared, lapsed: &Lapsed, item: Item) {
    let now = shared.clock.now();
    match place_of(&item.key) {
        Place::Plan => put_plan(shared, &item),
        Place::Backend(id) => match decode_backend(&id, &item.value) {
            Ok(backend) => {
                lapsed.on_listed(&id);
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
                let mut gate = shared.gate();
                let key = gate.fleet.list(backend, region, now);
                gate.on_backend(&id, key);
            }
            Err(e) => {
                tracing::warn!(kind = "bad_record", key = item.key, error = %e);
                shared.gate().fleet.remove(&id);
            }
        },
        Place::Move(service) => match decode_move(&item.value) {
            Ok(order) if order.service == service => {
                tracing::info!(
                    kind = "move_order",
                    service,
                    target = order.target,
                    within_ms = order.within_ms
                );
                shared.gate().moves.on_order(order, item.revision, now);
            }
            Ok(order) => {
                tracing::warn!(kind = "bad_record", key = item.key, service = order.service);
            }
            Err(e) => tracing::warn!(kind = "bad_record", key = item.key, error = %e),
        },
        Place::MoveStatus(service) => match decode_move_status(&item.value) {
            Ok(status) => {
                tracing::info!(kind = "move_status", service, target = status.target, state = ?status.state);
                shared
                    .gate()
                    .moves
                    .on_status(&service, status, item.revision);
            }
            Err(e) => tracing::warn!(kind = "bad_record", key = item.key, error = %e),
        },
        Place::Evacuation(data_centre) => {
            tracing::info!(kind = "evacuation", data_centre, revision = item.revision);
            shared.change_view(|view| {
                if !view.evacuated.contains(&data_centre) {
                    view.evacuated.push(data_centre);
                }
            });
        }
        Place::Member(name) => put_member(shared, &name, &item),
        Place::Other => {}
    }
}

fn put_plan(shared: &Shared, item: &Item) {
    let plan = match decode_plan(&item.value) {
        Ok(plan) => plan,
        Err(e) => {
            tracing::warn!(kind = "bad_record", key = item.key, error = %e);
            return;
        }
    };
    let held = shared.view().plan.as_ref().map(|plan| plan.version);
    if held.is_some_and(|held| held >= plan.version) {
        tracing::info!(kind = "plan_ignored", version = plan.version, held);
        return;
    }
    tracing::info!(
        kind = "plan",
        version = plan.version,
        revision = item.revision
    );
    shared.gate().on_plan(&plan, shared.clock.now());
    shared.change_view(|view| view.plan = Some(Arc::new(plan)));
}

fn put_member(shared: &Shared, name: &str, item: &Item) {
    if name == shared.settings().instance {
        return;
    }
    match serde_json::from_slice::<MemberInfo>(&item.value) {
        Ok(info) => {
            tracing::info!(kind = "member", name, run = info.run);
            let mut gate = shared.gate();
            if let Some(run) = gate.peers.list(name, info, shared.clock.now()) {
                gate.forget(run);
            }
        }
        Err(e) => tracing::warn!(kind = "bad_record", key = item.key, error = %e),
    }
}

fn remove(shared: &Shared, lapsed: &Lapsed, place: Place) {
    let now = shared.clock.now();
    match place {
        Place::Backend(id) => {
            let is_kept = lapsed.keeps(&id, now);
            tracing::info!(kind = "backend_removed", backend = id, is_kept);
            if !is_kept {
                shared.gate().fleet.remove(&id);
            }
        }
        Place::Member(name) => {
            tracing::info!(kind = "member_removed", name);
            shared.gate().peers.remove(&name);
        }
        Place::Evacuation(data_centre) => {
            tracing::info!(kind = "evacuation_over", data_centre);
            shared.change_view(|view| view.evacuated.retain(|other| *other != data_centre));
            let plan = shared.view().plan.clone();
            shared
                .gate()
                .fleet
                .on_evacuation_over(&data_centre, now, |service| {
                    plan.as_ref()
                        .and_then(|plan| plan.services.get(service))
                        .map_or(0, |service| service.cold_ms)
                });
        }
        Place::Move(service) => {
            tracing::info!(kind = "move_order_removed", service);
            shared.gate().moves.on_order_gone(&service);
        }
        Place::Plan => tracing::warn!(kind = "plan_removed"),
        Place::MoveStatus(_) | Place::Other => {}
    }
}
