//! Live instances among which the slots of backend servers are split.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use apricotlug_model::{Bundle, InstanceId, MonoTime};
use apricotlug_policy::placement::{Placement, ShareHolder};

/// Time in which all instances hear of a change and the requests placed before it have ended.
pub const SETTLE: Duration = Duration::from_secs(3);

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
pub struct Holders(Mutex<Vec<Holder>>);

impl Holders {
    /// Replaces the instances. Returns whether they differ from before.
    pub fn set(&self, mut holders: Vec<Holder>) -> bool {
        holders.sort();
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = *known != holders;
        *known = holders;
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
        let shares: Vec<ShareHolder> = known
            .iter()
            .filter_map(|holder| {
                let data_centre = bundle.data_centre(&holder.data_centre)?;
                Some(ShareHolder {
                    id: holder.id.clone(),
                    data_centre,
                })
            })
            .collect();
        if shares.is_empty() {
            return;
        }
        let usable_at = if shares.len() == 1 {
            now
        } else {
            now.after(SETTLE)
        };
        placement.set_slot_share(bundle, &shares, own, usable_at, now);
    }
}
