//! Shifts of requests to other regions and their gradual return.

use std::time::Duration;

use apricotlug_model::MonoTime;
use rand::{Rng, RngExt};

use super::link::{LinkBudget, TransferredBytes};

/// Time without a shifted request after which a region's caches are assumed cold again.
const SHIFT_IDLE: Duration = Duration::from_secs(30);
/// Time in which a shift to a cold region ramps up to its cap.
const SHIFT_RAMP: Duration = Duration::from_secs(10);
/// Fraction of the cap at which a shift starts.
const SHIFT_START_FRACTION: f32 = 0.25;
/// Time that the home region must be usable before requests return to it.
const RETURN_HOLD: Duration = Duration::from_secs(2);
/// Time from the first returning request until all requests go to the home region again.
const RETURN_RAMP: Duration = Duration::from_secs(8);

/// State of this instance's shift to one other region.
#[derive(Clone, Debug, Default)]
pub(super) struct RegionShift {
    /// Number of the region's slots that this instance may occupy.
    pub(super) slots: u32,
    /// Number of this instance's unsettled requests in the region.
    pub(super) outstanding: u32,
    /// Link to the region.
    outbound: LinkBudget,
    /// Link from the region.
    inbound: LinkBudget,
    ramp_since: Option<MonoTime>,
    used_at: MonoTime,
}

impl RegionShift {
    /// Sets the budgets of both directions of the link, keeping the current balances.
    pub(super) fn set_links(&mut self, outbound: LinkBudget, inbound: LinkBudget) {
        self.outbound = outbound.carry_over(&self.outbound);
        self.inbound = inbound.carry_over(&self.inbound);
    }

    /// Returns whether the cap admits another request.
    pub(super) fn is_below_cap(&self, now: MonoTime) -> bool {
        self.outstanding < self.usable_slots(now)
    }

    /// Returns the time from which both directions of the link admit a request.
    pub(super) fn link_available_at(&mut self, now: MonoTime) -> MonoTime {
        self.outbound
            .available_at(now)
            .max(self.inbound.available_at(now))
    }

    /// Counts a request placed in the region, and restarts the ramp if the region is cold.
    pub(super) fn occupy(&mut self, now: MonoTime) {
        if self.is_cold(now) {
            self.ramp_since = Some(now);
        }
        self.used_at = now;
        self.outstanding += 1;
    }

    /// Counts a request in the region as settled.
    pub(super) fn release(&mut self, now: MonoTime) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.used_at = now;
    }

    /// Charges a request's bytes to both directions of the link.
    pub(super) fn charge(&mut self, bytes: TransferredBytes, now: MonoTime) {
        self.outbound.charge(bytes.sent, now);
        self.inbound.charge(bytes.received, now);
    }

    fn is_cold(&self, now: MonoTime) -> bool {
        self.ramp_since.is_none() || self.outstanding == 0 && now.since(self.used_at) >= SHIFT_IDLE
    }

    fn usable_slots(&self, now: MonoTime) -> u32 {
        let elapsed = match self.ramp_since {
            Some(since) if !self.is_cold(now) => now.since(since),
            _ => Duration::ZERO,
        };
        let progress = (elapsed.as_secs_f32() / SHIFT_RAMP.as_secs_f32()).min(1.0);
        let fraction = SHIFT_START_FRACTION + (1.0 - SHIFT_START_FRACTION) * progress;
        let usable = (self.slots as f32 * fraction) as u32;
        usable.max(1).min(self.slots)
    }
}

/// Whether a version's requests go to the home region. After an outage they return only once the
/// region has been usable for `RETURN_HOLD`, and then gradually over `RETURN_RAMP`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HomeReturn {
    /// Requests go to the home region.
    #[default]
    Home,
    /// The home region had no usable endpoint, and requests have not fully returned yet.
    Away {
        /// Time since which the home region has been usable again; `None` while it is not.
        usable_since: Option<MonoTime>,
    },
}

impl HomeReturn {
    /// Records that the home region has no usable endpoint.
    pub(super) fn mark_unusable(&mut self) {
        *self = Self::Away { usable_since: None };
    }

    /// Records that the home region has a usable endpoint. Returns whether a request that could go
    /// there should still be shifted.
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
