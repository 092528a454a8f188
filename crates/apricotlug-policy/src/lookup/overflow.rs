//! Share of the callers of a region or data centre that is redirected because of overload.

use std::time::Duration;

use apricotlug_model::UnixTime;

/// Load, as a percentage of the slots, at or above which the overflow share is raised.
const RAISE_LOAD_PERCENT: u64 = 80;
/// Load, as a percentage of the slots, below which the overflow share is lowered. The gap to
/// `RAISE_LOAD_PERCENT` provides hysteresis.
const LOWER_LOAD_PERCENT: u64 = 60;
/// Change of the overflow share per step, in thousandths of the callers.
const STEP_PERMILLE: u16 = 100;
/// Load, as a percentage of the slots, at or above which the share is raised by the larger step.
const FAST_RAISE_LOAD_PERCENT: u64 = 95;
/// Larger raise of the overflow share, in thousandths of the callers.
const FAST_RAISE_STEP_PERMILLE: u16 = 200;
/// Minimum time between two steps.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Share of the callers of a region or data centre that is redirected because of overload.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Overflow {
    permille: u16,
    next_step_at: UnixTime,
}

impl Overflow {
    /// Returns the share of callers to redirect, in thousandths.
    pub(super) fn permille(&self) -> u16 {
        self.permille
    }

    /// Returns whether any callers are redirected. Such a region accepts callers of other regions
    /// only if their home region is down.
    pub(super) fn is_overflowing(&self) -> bool {
        self.permille > 0
    }

    /// Adjusts the share to the reported load, by at most one step per interval. Without slots,
    /// all callers are redirected.
    pub(super) fn observe(&mut self, outstanding: u64, slots: u64, now: UnixTime) {
        if now < self.next_step_at {
            return;
        }
        let load = outstanding * 100;
        if slots == 0 {
            self.permille = 1000;
        } else if load >= slots * FAST_RAISE_LOAD_PERCENT {
            self.permille = (self.permille + FAST_RAISE_STEP_PERMILLE).min(1000);
        } else if load >= slots * RAISE_LOAD_PERCENT {
            self.permille = (self.permille + STEP_PERMILLE).min(1000);
        } else if load < slots * LOWER_LOAD_PERCENT {
            self.permille = self.permille.saturating_sub(STEP_PERMILLE);
        }
        self.next_step_at = now.after(STEP_INTERVAL);
    }
}
