//! Part of a region's or data centre's callers that are sent elsewhere.

use std::time::Duration;

use apricotlug_model::UnixTime;

/// Load, in hundredths of the slots, from which more callers are sent elsewhere.
const START_PERCENT: u64 = 80;
/// Load, in hundredths of the slots, below which callers come back. The gap is the hysteresis.
const END_PERCENT: u64 = 60;
/// Change per step, in thousandths of the callers.
const STEP_PERMILLE: u16 = 100;
/// Load, in hundredths of the slots, from which the step up is larger.
const FULL_PERCENT: u64 = 95;
/// Larger step up, in thousandths of the callers.
const FULL_STEP_PERMILLE: u16 = 200;
/// Time between steps.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Part of a region's or data centre's callers that are sent elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overflow {
    permille: u16,
    next_step_at: UnixTime,
}

impl Overflow {
    /// Returns the part, in thousandths.
    pub(super) fn permille(&self) -> u16 {
        self.permille
    }

    /// Tells whether the region takes no callers of others.
    pub(super) fn is_over(&self) -> bool {
        self.permille > 0
    }

    /// Takes in the region's load: one step at most in each interval.
    pub(super) fn observe(&mut self, outstanding: u64, slots: u64, now: UnixTime) {
        if now < self.next_step_at {
            return;
        }
        let load = outstanding * 100;
        if slots == 0 {
            self.permille = 1000;
        } else if load >= slots * FULL_PERCENT {
            self.permille = (self.permille + FULL_STEP_PERMILLE).min(1000);
        } else if load >= slots * START_PERCENT {
            self.permille = (self.permille + STEP_PERMILLE).min(1000);
        } else if load < slots * END_PERCENT {
            self.permille = self.permille.saturating_sub(STEP_PERMILLE);
        }
        self.next_step_at = now.after(STEP_INTERVAL);
    }
}
