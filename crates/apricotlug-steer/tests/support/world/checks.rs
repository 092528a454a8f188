//! What has to hold in the model at any time.

use apricotlug_model::StoreVersion;

use super::{
    Sheet, World,
    store::{PLAN, Plan},
};

impl World {
    /// Tells of an instance that is in touch and does not hold a plan that was confirmed in time.
    pub fn late_change(&self) -> Option<String> {
        let Sheet { apply, touch, .. } = self.sheet;
        let confirmed = self.now.checked_sub(apply)?;
        let is_calm = |since: u64| self.now >= since + touch;
        if !is_calm(self.store.calm_since) {
            return None;
        }
        let needed = self.last_plan(|plan| plan.readable_at <= confirmed);
        let in_touch = self.instances.iter().enumerate();
        let mut in_touch = in_touch.filter(|(_, instance)| is_calm(instance.calm_since));
        in_touch.find_map(|(i, instance)| {
            let held = instance.held.get(PLAN).copied().unwrap_or_default();
            let age = instance.read_at.map(|at| self.now - at);
            (held < needed).then(|| {
                format!(
                    "at {} ms instance {i} holds {held}, not {needed}; last read {age:?} ms ago",
                    self.now
                )
            })
        })
    }

    /// Tells of an instance that would refuse for good what a plan allows that has to be in force: its
    /// last read is recent, and it does not hold that plan.
    pub fn wrong_refusal(&self) -> Option<String> {
        let apply = self.sheet.apply;
        let needed = self.last_plan(|plan| plan.confirmed_at + apply <= self.now);
        self.instances.iter().enumerate().find_map(|(i, instance)| {
            let is_certain = instance.read_at.is_some_and(|at| self.now - at < apply);
            let held = instance.held.get(PLAN).copied().unwrap_or_default();
            (is_certain && held < needed).then(|| {
                format!(
                    "at {} ms instance {i} holds {held}, not {needed}; read at {:?}",
                    self.now, instance.read_at
                )
            })
        })
    }

    /// Tells of an instance that holds less than it claims to know.
    pub fn false_claim(&self) -> Option<String> {
        self.instances.iter().enumerate().find_map(|(i, instance)| {
            let held = instance.held.get(PLAN).copied().unwrap_or_default();
            let claimed = instance.log.snapshot_after(StoreVersion::new(u64::MAX, 0)).version;
            let by_revision = self.store.plan_at(claimed);
            let by_time = instance
                .read_at
                .map_or(0, |read| self.last_plan(|plan| plan.confirmed_at < read));
            (held < by_revision.max(by_time)).then(|| {
                format!(
                    "at {} ms instance {i} holds {held}; claims {claimed}, so {by_revision}, read at {:?}, so {by_time}",
                    self.now, instance.read_at
                )
            })
        })
    }

    /// Returns the number of the last plan that fits; those before it fit too.
    fn last_plan(&self, fits: impl Fn(&Plan) -> bool) -> u64 {
        let plans = &self.store.plans;
        let next = plans.partition_point(fits);
        next.checked_sub(1).map_or(0, |last| plans[last].number)
    }
}
