//! Limit whose losses count at once and whose gains count later.

/// Part of a budget that several holders share. A loss counts at once; a gain counts from a given
/// point on, so that what the former holder started has ended by then. It starts at nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DelayedLimit<V, T> {
    present: V,
    target: V,
    reached_at: T,
}

impl<V: Copy + Default + Ord, T: Copy + Default + Ord> DelayedLimit<V, T> {
    /// Returns the limit that counts at `now`.
    pub(crate) fn at(&self, now: T) -> V {
        match self.reached_at <= now {
            true => self.target,
            false => self.present,
        }
    }

    /// Returns the limit that counts once the last gain does.
    pub(crate) fn target(&self) -> V {
        self.target
    }

    /// Changes the limit. What exceeds the present limit counts from `usable_at` on; what was
    /// gained before and is kept counts from the point given then.
    pub(crate) fn set(&mut self, target: V, usable_at: T, now: T) {
        let present = self.at(now);
        let earlier_target = self.target;
        self.present = present.min(target);
        self.reached_at = match target {
            _ if target <= present => T::default(),
            _ if target <= earlier_target => self.reached_at,
            _ => usable_at,
        };
        self.target = target;
    }
}
