//! Limit that decreases at once and increases after a delay.

/// Share that one holder has of a common budget, in the units of `V`.
///
/// A decrease applies at once. An increase applies from a given time on, so that the work that the
/// previous holder started on that share has ended by then. The initial limit is zero.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DelayedLimit<V, T> {
    current: V,
    target: V,
    effective_at: T,
}

impl<V: Copy + Default + Ord, T: Copy + Default + Ord> DelayedLimit<V, T> {
    /// Returns the limit in force at `now`.
    pub(crate) fn at(&self, now: T) -> V {
        match self.effective_at <= now {
            true => self.target,
            false => self.current,
        }
    }

    /// Returns the limit in force once the pending increase applies.
    pub(crate) fn target(&self) -> V {
        self.target
    }

    /// Sets the limit. An increase over the current limit applies from `usable_at` on. If an
    /// earlier increase is pending and `target` does not exceed it, the time set for that one is
    /// kept.
    pub(crate) fn set(&mut self, target: V, usable_at: T, now: T) {
        let current = self.at(now);
        let previous_target = self.target;
        self.current = current.min(target);
        self.effective_at = match target {
            _ if target <= current => T::default(),
            _ if target <= previous_target => self.effective_at,
            _ => usable_at,
        };
        self.target = target;
    }
}
