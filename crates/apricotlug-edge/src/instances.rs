//! Live instances among which the slots of backend servers are split.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use apricotlug_model::{Bundle, InstanceId, MonoTime};
use apricotlug_policy::placement::{Placement, ShareHolder};

/// Time in which all instances hear of a change and the requests placed before it have ended.
pub const SHARE_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Live instance, with its data centre by name: keys differ from bundle to bundle.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Identity.
    pub id: InstanceId,
    /// Data centre, by its name in the bundle.
    pub data_centre: String,
}

/// Live instances, this one included.
#[derive(Debug, Default)]
pub struct LiveInstances(Mutex<Vec<Holder>>);

impl LiveInstances {
    /// Replaces the instances. Returns whether they differ from before.
    pub fn set(&self, mut instances: Vec<Holder>) -> bool {
        instances.sort();
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = *known != instances;
        *known = instances;
        is_changed
    }

    /// Splits the slots among the instances. Slots gained count once all have heard of it.
    pub fn apply(
        &self,
        own: &InstanceId,
        bundle: &Bundle,
        placement: &mut Placement,
        now: MonoTime,
    ) {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let share_holders: Vec<ShareHolder> = known
            .iter()
            .filter_map(|instance| {
                let data_centre = bundle.data_centre(&instance.data_centre)?;
                Some(ShareHolder {
                    id: instance.id.clone(),
                    data_centre,
                })
            })
            .collect();
        if share_holders.is_empty() {
            return;
        }
        let usable_at = if share_holders.len() == 1 {
            now
        } else {
            now.after(SHARE_SETTLE_TIME)
        };
        placement.set_slot_share(bundle, &share_holders, own, usable_at, now);
    }
}
