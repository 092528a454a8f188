//! Slots of one endpoint that this instance may occupy.

use apricotlug_model::MonoTime;

/// Slot limit. A loss counts at once, a gain from a given point on, so that the former holder's
/// requests have ended by then.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotLimit {
    now_slots: u16,
    gained_slots: u16,
    gained_at: MonoTime,
}

impl SlotLimit {
    /// Returns the slots that may be occupied at `now`.
    pub(super) fn at(&self, now: MonoTime) -> u16 {
        match self.gained_at <= now {
            true => self.gained_slots,
            false => self.now_slots,
        }
    }

    /// Changes the limit. Slots beyond the present limit count from `usable_at` on.
    pub(super) fn set(&mut self, slots: u16, usable_at: MonoTime, now: MonoTime) {
        let present = self.at(now);
        let pending = self.gained_slots;
        self.now_slots = present.min(slots);
        self.gained_at = match slots {
            _ if slots <= present => MonoTime::default(),
            _ if slots <= pending => self.gained_at,
            _ => usable_at,
        };
        self.gained_slots = slots;
    }

    /// Tells whether the endpoint belongs to this instance's share, now or later.
    pub(super) fn is_held(&self) -> bool {
        self.gained_slots > 0
    }
}
