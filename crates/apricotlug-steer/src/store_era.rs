//! What an instance knew before the store came back from an older copy, and keeps for a while.
//!
//! Operators, backend servers and instances write theirs again soon after the store is back. Until
//! then the copy says nothing about what was written since it was made, so what it takes back is
//! held back for a grace period, and dropped if it is written again meanwhile.

use std::{
    borrow::Cow,
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use apricotlug_adapter::{
    BackendWrite, Change, Item, Listing, StoreKey, decode_backend_write, decode_move, decode_plan,
    is_plan_key, parse_key,
};
use apricotlug_model::{HashMap, MonoTime, StoreVersion};

use crate::{
    peers::{MemberInfo, StoredMember},
    relay::{ChangeLog, ListedChanges},
    shared::Shared,
};

/// Time from the first read of a new era within which everyone has written theirs again.
const ERA_GRACE: Duration = Duration::from_millis(2_000);

/// Number of removed backend servers whose last writes are remembered.
const MAX_REMOVED_BACKENDS: usize = 4_096;

/// What is kept of the era before, and the last writes of backend servers by which those of a copy
/// are recognised as older.
#[derive(Debug, Default)]
pub struct EraGrace(Mutex<Inner>);

/// Last write of a backend server's entry that this instance has read.
#[derive(Clone, Copy, Debug)]
struct LastWrite {
    write: BackendWrite,
    /// Whether the entry was removed after it.
    is_removed: bool,
}

#[derive(Debug, Default)]
struct Inner {
    ends_at: MonoTime,
    /// Time until which a plan may be missing here that was in force before.
    plan_missing_until: MonoTime,
    /// Changes of the copy that take back what was confirmed, by key.
    held_back: BTreeMap<String, Change>,
    backend_writes: HashMap<String, LastWrite>,
    /// Ids of backend servers whose entries were removed, oldest first.
    removed_backends: VecDeque<String>,
}

impl EraGrace {
    /// Starts the grace period at the first read of an era, and returns its end.
    pub fn start(&self, now: MonoTime) -> MonoTime {
        let mut inner = self.lock();
        inner.ends_at = now.after(ERA_GRACE);
        inner.plan_missing_until = inner.ends_at;
        inner.ends_at
    }

    /// Returns whether a plan may have been confirmed that neither the copy nor this instance has.
    /// While it may, a read says nothing about which keys and routes are in force.
    #[must_use]
    pub fn may_lack_plan(&self, now: MonoTime) -> bool {
        !self.lock().plan_missing_until.is_past(now)
    }

    /// Records a change within the era that is known. It replaces what is held back of its key, and a
    /// plan shows that the operator has written again.
    pub fn on_change(&self, change: &Change) {
        self.release(change);
        if is_plan_key(change.key()) {
            self.lock().plan_missing_until = MonoTime::default();
        }
    }

    fn release(&self, change: &Change) {
        self.lock().held_back.remove(change.key());
    }

    /// Records an entry that a backend server wrote.
    pub fn on_backend_written(&self, id: &str, value: &[u8]) {
        if let Some(write) = decode_backend_write(value) {
            let last = LastWrite {
                write,
                is_removed: false,
            };
            self.lock().backend_writes.insert(id.to_owned(), last);
        }
    }

    /// Records that a backend server's entry was removed. Its last write stays known for a time: a
    /// copy may have the entry still.
    pub fn on_backend_removed(&self, id: &str) {
        let mut inner = self.lock();
        let Some(last) = inner.backend_writes.get_mut(id) else {
            return;
        };
        last.is_removed = true;
        inner.removed_backends.push_back(id.to_owned());
        if inner.removed_backends.len() > MAX_REMOVED_BACKENDS
            && let Some(oldest) = inner.removed_backends.pop_front()
            && inner
                .backend_writes
                .get(&oldest)
                .is_some_and(|last| last.is_removed)
        {
            inner.backend_writes.remove(&oldest);
        }
    }

    /// Returns the changes whose grace period has ended without another write, and clears them.
    #[must_use]
    pub fn take_due(&self, now: MonoTime) -> Vec<Change> {
        let mut inner = self.lock();
        if inner.ends_at.is_past(now) {
            std::mem::take(&mut inner.held_back).into_values().collect()
        } else {
            Vec::new()
        }
    }

    fn hold_back(&self, change: Change) {
        let key = change.key().to_owned();
        self.lock().held_back.insert(key, change);
    }

    /// Returns whether an entry is a write before the last one, or the last one of an entry that was
    /// removed. Where the backend server does not say when it started, it may have started anew.
    fn is_older_write(&self, id: &str, value: &[u8]) -> bool {
        let known = self.lock().backend_writes.get(id).copied();
        let listed = decode_backend_write(value).filter(|listed| listed.born_ms > 0);
        known.zip(listed).is_some_and(|(known, listed)| {
            listed < known.write || known.is_removed && listed == known.write
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What becomes of a change that the first listing of an era brings.
enum Treatment {
    Apply,
    /// It takes back what was confirmed, and waits for the end of the grace period.
    HoldBack,
    /// It is an earlier write of one that is known.
    Drop,
}

/// Starts the grace period if a listing is the first of its era, and returns the changes to apply now.
pub fn begin_era(shared: &Shared, listed: ListedChanges, version: StoreVersion) -> Vec<Change> {
    let ListedChanges {
        changes,
        replaced_era,
    } = listed;
    let Some(previous) = replaced_era else {
        return changes;
    };
    let is_change = previous.revision > 0;
    let now = shared.clock.now();
    let ends_at = if is_change || may_have_begun_just_now(&changes, version.era) {
        shared.era_grace.start(now)
    } else {
        now
    };
    shared.steering().moves.on_era(version.era, ends_at);
    let listed = changes.len();
    let mut held_back = 0;
    let mut kept = Vec::with_capacity(listed);
    for change in changes {
        match treatment(shared, &change) {
            Treatment::Apply => {
                shared.era_grace.release(&change);
                kept.push(change);
            }
            Treatment::HoldBack => {
                shared.era_grace.hold_back(change);
                held_back += 1;
            }
            Treatment::Drop => {}
        }
    }
    if is_change {
        shared.metrics.on_store_era();
    }
    tracing::warn!(
        kind = "store_era",
        era = version.era,
        previous = %previous,
        revision = version.revision,
        changes = listed,
        held_back,
        dropped = listed - held_back - kept.len(),
    );
    kept
}

/// Returns whether an era, of which an instance reads first at its start, may have begun just now: an
/// instance's entry is of an earlier one, or there is none. Each running instance writes its entry
/// again as soon as it notices a new era, and entries of others lapse.
fn may_have_begun_just_now(listed: &[Change], era: u64) -> bool {
    let entries = listed.iter().filter_map(|change| match change {
        Change::Put(item) if matches!(parse_key(&item.key), StoreKey::Member(_)) => {
            serde_json::from_slice::<StoredMember>(&item.value).ok()
        }
        _ => None,
    });
    let mut eras = entries.map(|entry| entry.era).peekable();
    eras.peek().is_none() || eras.any(|entered_in| entered_in < era)
}

fn treatment(shared: &Shared, change: &Change) -> Treatment {
    let item = match change {
        Change::Put(item) => item,
        Change::Removed(key) => {
            return match parse_key(key) {
                StoreKey::Evacuation(_) | StoreKey::Move(_) | StoreKey::Member(_) => {
                    Treatment::HoldBack
                }
                _ => Treatment::Apply,
            };
        }
    };
    let takes_back = match parse_key(&item.key) {
        StoreKey::Backend(id) if shared.era_grace.is_older_write(&id, &item.value) => {
            return Treatment::Drop;
        }
        StoreKey::Move(service) => decode_move(&item.value).is_ok_and(|order| {
            let steering = shared.steering();
            let known = steering.moves.order(&service);
            known.is_some_and(|known| *known != order)
        }),
        StoreKey::Member(name) => serde_json::from_slice::<MemberInfo>(&item.value)
            .is_ok_and(|info| shared.steering().peers.has_other_run(&name, info.run)),
        _ => false,
    };
    if takes_back {
        Treatment::HoldBack
    } else {
        Treatment::Apply
    }
}

/// Replaces the plan of a listing by the one that the log holds if that is newer, so that it is
/// passed on to instances that don't have it until the operator has written it again.
pub fn keep_newer_plan(log: &ChangeLog, listing: &mut Listing) {
    let Some(held) = log.find(is_plan_key) else {
        return;
    };
    match listing.items.iter_mut().find(|item| item.key == held.key) {
        Some(listed) if is_newer_plan(&held, listed) => *listed = held,
        Some(_) => {}
        None => {
            let next = listing.items.partition_point(|item| item.key < held.key);
            listing.items.insert(next, held);
        }
    }
}

/// Returns the changes without plans that are older than the one that the log holds, which would not
/// be put in force anywhere.
#[must_use]
pub fn without_older_plans<'a>(log: &ChangeLog, changes: &'a [Change]) -> Cow<'a, [Change]> {
    let has_plan = changes.iter().any(|change| is_plan_key(change.key()));
    if !has_plan {
        return Cow::Borrowed(changes);
    }
    let Some(held) = log.find(is_plan_key) else {
        return Cow::Borrowed(changes);
    };
    let is_older = |change: &&Change| match change {
        Change::Put(item) => is_plan_key(&item.key) && is_newer_plan(&held, item),
        Change::Removed(_) => false,
    };
    let kept = changes.iter().filter(|change| !is_older(change));
    Cow::Owned(kept.cloned().collect())
}

fn is_newer_plan(held: &Item, listed: &Item) -> bool {
    if held.value == listed.value {
        return false;
    }
    // One that cannot be decoded is passed on, so that it is reported everywhere.
    let version = |item: &Item| decode_plan(&item.value).ok().map(|plan| plan.version);
    version(held)
        .zip(version(listed))
        .is_some_and(|(held, listed)| held > listed)
}
