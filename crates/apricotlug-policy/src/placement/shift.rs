//! Shifts of requests to other regions and back.

use std::time::Duration;

use apricotlug_model::MonoTime;
use rand::{Rng, RngExt};

use super::link::{LinkBudget, Traffic};

/// Time without a shifted request after which a region's caches count as cold again.
const SHIFT_IDLE: Duration = Duration::from_secs(30);
/// Time in which a shift to a cold region comes up to its cap.
const SHIFT_RAMP: Duration = Duration::from_secs(10);
/// Part of its cap that a shift starts with.
const SHIFT_START_PART: f32 = 0.25;
/// Time that the home region must be usable before requests come back.
const RETURN_HOLD: Duration = Duration::from_secs(2);
/// Time in which all requests come back.
const RETURN_RAMP: Duration = Duration::from_secs(8);

/// This instance's shift to one other region.
#[derive(Clone, Debug, Default)]
pub(super) struct RegionShift {
    /// Slots of the region that this instance may occupy.
    pub(super) slots: u32,
    /// Requests of this instance in the region.
    pub(super) outstanding: u32,
    /// Link to the region.
    outward: LinkBudget,
    /// Link from the region.
    inward: LinkBudget,
    ramp_since: Option<MonoTime>,
    used_at: MonoTime,
}

impl RegionShift {
    /// Sets the budgets of both directions of the link, keeping what was charged.
    pub(super) fn set_links(&mut self, outward: LinkBudget, inward: LinkBudget) {
        self.outward = outward.carry_over(&self.outward);
        self.inward = inward.carry_over(&self.inward);
    }

    /// Tells whether the cap admits another request.
    pub(super) fn is_below_cap(&self, now: MonoTime) -> bool {
        self.outstanding < self.open_slots(now)
    }

    /// Returns the point from which both directions of the link admit a request.
    pub(super) fn link_open_at(&mut self, now: MonoTime) -> MonoTime {
        self.outward.open_at(now).max(self.inward.open_at(now))
    }

    /// Counts a placed request.
    pub(super) fn occupy(&mut self, now: MonoTime) {
        if self.is_cold(now) {
            self.ramp_since = Some(now);
        }
        self.used_at = now;
        self.outstanding += 1;
    }

    /// Counts a settled request.
    pub(super) fn release(&mut self, now: MonoTime) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.used_at = now;
    }

    /// Charges bytes to both directions.
    pub(super) fn charge(&mut self, traffic: Traffic, now: MonoTime) {
        self.outward.charge(traffic.sent, now);
        self.inward.charge(traffic.received, now);
    }

    fn is_cold(&self, now: MonoTime) -> bool {
        self.ramp_since.is_none() || self.outstanding == 0 && now.since(self.used_at) >= SHIFT_IDLE
    }

    fn open_slots(&self, now: MonoTime) -> u32 {
        let elapsed = match self.ramp_since {
            Some(since) if !self.is_cold(now) => now.since(since),
            _ => Duration::ZERO,
        };
        let warmth = (elapsed.as_secs_f32() / SHIFT_RAMP.as_secs_f32()).min(1.0);
        let part = SHIFT_START_PART + (1.0 - SHIFT_START_PART) * warmth;
        let open = (self.slots as f32 * part) as u32;
        open.max(1).min(self.slots)
    }
}

/// Whether a version's requests go to the home region. Hysteresis keeps them from switching
/// back on the first sign of recovery, and brings them back step by step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HomeReturn {
    /// Requests go to the home region.
    #[default]
    Home,
    /// The home region had no usable endpoint, and has had one since the given point.
    Away {
        /// Start of the present usable time.
        usable_since: Option<MonoTime>,
    },
}

impl HomeReturn {
    /// Notes that the home region has no usable endpoint.
    pub(super) fn note_unusable(&mut self) {
        *self = Self::Away { usable_since: None };
    }

    /// Notes that the home region has a usable endpoint, and tells whether a request that could
    /// go there should rather be shifted.
    pub(super) fn prefers_shift(&mut self, now: MonoTime, rng: &mut impl Rng) -> bool {
        let Self::Away { usable_since } = self else {
            return false;
        };
        let since = usable_since.get_or_insert(now).after(RETURN_HOLD);
        let returned = now.since(since).as_secs_f64() / RETURN_RAMP.as_secs_f64();
        if returned >= 1.0 {
            *self = Self::Home;
            return false;
        }
        !rng.random_bool(returned)
    }
}
