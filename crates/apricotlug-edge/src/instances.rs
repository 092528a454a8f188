//! Live instances among which the slots of backend servers are split.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use apricotlug_model::{Bundle, InstanceId, MonoTime};
use apricotlug_policy::placement::{Placement, ShareHolder};

/// Time in which all instances learn of a change and the requests placed before it have ended.
pub const SHARE_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Live instance that holds a share of slots. The data centre is given by name, as keys differ
/// between bundles.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LiveInstance {
    /// Name and incarnation.
    pub id: InstanceId,
    /// Data centre, by its name in the bundle.
    pub data_centre: String,
}

/// Live instances, including this one.
#[derive(Debug, Default)]
pub struct LiveInstances(Mutex<Vec<LiveInstance>>);

impl LiveInstances {
    /// Replaces the list of instances. Returns whether it changed.
    pub fn set(&self, mut instances: Vec<LiveInstance>) -> bool {
        instances.sort();
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = *known != instances;
        *known = instances;
        is_changed
    }

    /// Splits the slots among the live instances whose data centre the bundle names. Gained slots
    /// become usable after `SHARE_SETTLE_TIME`, or at once where this is the only instance.
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
