//! Share of the requests from one region's callers that each region serves, per service.
//!
//! Most objects stay in the callers' region. Those that exceed its capacity go to other regions,
//! always the same objects to the same region. The first share follows from the capacity of the
//! regions, and it changes slowly from there: traffic shifted between regions finds cold backend
//! servers and narrow links.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Maximum change of a region's share per second. The required limit is 0.15 in two seconds; the
/// rest covers spilled requests and the uneven popularity of objects.
const MAX_CHANGE_PER_S: f64 = 0.035;

/// Utilisation of the own region's slots above which more objects move to other regions, and below
/// which objects return.
const HIGH_UTILISATION: f64 = 0.7;
const LOW_UTILISATION: f64 = 0.55;

/// Utilisation of a region's slots from which it has no spare capacity for other regions, and the
/// minimum share of its slots that counts as spare capacity even then.
const MAX_SPARE_UTILISATION: f64 = 0.85;
const MIN_SPARE_SHARE: f64 = 0.03;

/// Interval between two updates from the load.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Share of its slots that a region must lose between two updates for its share to drop at once:
/// the rate limit does not apply to the failure of a data centre.
const LOST_SLOTS_SHARE: f64 = 0.2;

/// Share of the requests that may go to another region than their object's for a shorter wait, and
/// how many may do so at once.
const SPILL_RATIO: f64 = 0.02;
const SPILL_BURST: f64 = 2.0;

/// Capacity and load of a service in one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// Name of the region.
    pub region: String,
    /// Share of all data centres that are in the region, 0 to 1: its share of all callers is
    /// assumed to be the same.
    pub callers: f64,
    /// Total slots of its backend servers that take requests.
    pub slots: f64,
    /// Number of requests that run or wait there.
    pub load: f64,
}

/// Shares of all regions for the callers of one region. All requests stay in the own region
/// before the first update.
#[derive(Clone, Debug, Default)]
pub struct RegionSplit {
    own_share: f64,
    own_slots: f64,
    utilisation: f64,
    other_shares: Vec<(String, f64)>,
    updated_at: Option<MonoTime>,
    spill: f64,
}

impl RegionSplit {
    /// Returns whether the shares are due for an update.
    #[must_use]
    pub fn is_due(&self, now: MonoTime) -> bool {
        self.updated_at
            .is_none_or(|at| now.since(at) >= UPDATE_INTERVAL)
    }

    /// Updates the shares from the load of all regions; `region` is the own one.
    pub fn update(&mut self, region: &str, loads: &[RegionLoad], now: MonoTime) {
        let all: f64 = loads.iter().map(|load| load.slots).sum();
        let own_load = loads.iter().find(|load| load.region == region);
        let (slots, load, callers) =
            own_load.map_or((0.0, 0.0, 0.0), |own| (own.slots, own.load, own.callers));
        let proportional = if callers > 0.0 && all > 0.0 {
            (slots / (callers * all)).min(1.0)
        } else {
            0.0
        };
        let span = self
            .updated_at
            .map_or(0.0, |at| now.since(at).as_secs_f64());
        self.own_share = match self.updated_at {
            None => proportional,
            Some(_) if slots < self.own_slots * (1.0 - LOST_SLOTS_SHARE) => {
                self.own_share * slots / self.own_slots
            }
            Some(_) => {
                let max_change = MAX_CHANGE_PER_S * span;
                let utilisation = load / slots.max(1.0);
                // Moving objects helps only if the other regions are less utilised.
                let far = loads.iter().filter(|load| load.region != region);
                let (far_load, far_slots) =
                    far.fold((0.0, 0.0), |(l, s), far| (l + far.load, s + far.slots));
                let far_utilisation = far_load / far_slots.max(1.0);
                match utilisation {
                    _ if utilisation > HIGH_UTILISATION && utilisation > far_utilisation => {
                        (self.own_share - max_change).max(0.0)
                    }
                    _ if utilisation < LOW_UTILISATION => (self.own_share + max_change).min(1.0),
                    _ => self.own_share,
                }
            }
        };
        let busy = loads.iter().map(|load| load.load.min(load.slots));
        self.utilisation = busy.sum::<f64>() / all.max(1.0);
        self.own_slots = slots;
        self.updated_at = Some(now);
        let target_shares = other_shares(region, loads, all);
        self.shift_others(target_shares, MAX_CHANGE_PER_S * span);
    }

    /// Moves the shares of the other regions towards `target_shares`, each by `max_change` at most.
    fn shift_others(&mut self, mut target_shares: Vec<(String, f64)>, max_change: f64) {
        let previous = std::mem::take(&mut self.other_shares);
        let has_same_regions = previous
            .iter()
            .map(|(region, _)| region)
            .eq(target_shares.iter().map(|(r, _)| r));
        if has_same_regions {
            for ((_, share), (_, previous)) in target_shares.iter_mut().zip(&previous) {
                *share = share.clamp(previous - max_change, previous + max_change);
            }
        }
        let sum: f64 = target_shares.iter().map(|(_, share)| share).sum();
        for (_, share) in &mut target_shares {
            *share /= sum.max(f64::EPSILON);
        }
        self.other_shares = target_shares;
    }

    /// Returns whether a region has enough spare capacity for requests of the own region: at least
    /// half of the largest share among the other regions.
    #[must_use]
    pub fn has_capacity(&self, region: &str) -> bool {
        let min_share = 0.5
            * self
                .other_shares
                .iter()
                .map(|(_, share)| *share)
                .fold(0.0, f64::max);
        let mut others = self.other_shares.iter();
        others.any(|(other, share)| other == region && *share >= min_share)
    }

    /// Returns the region for a random number from 0 to 1; `None` for the own region.
    #[must_use]
    pub fn region_of(&self, draw: f64) -> Option<&str> {
        if draw < self.own_share || self.other_shares.is_empty() {
            return None;
        }
        let mut rest = (draw - self.own_share) / (1.0 - self.own_share).max(f64::EPSILON);
        for (region, share) in &self.other_shares {
            rest -= share;
            if rest < 0.0 {
                return Some(region);
            }
        }
        self.other_shares.last().map(|(region, _)| region.as_str())
    }

    /// Returns the share that the own region serves, 0 to 1.
    #[must_use]
    pub fn own_share(&self) -> f64 {
        self.own_share
    }

    /// Returns the utilisation of all regions' slots at the last update, 0 to 1.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        self.utilisation
    }

    /// Counts a request, which adds to the budget of spilled requests.
    pub fn on_request(&mut self) {
        self.spill = (self.spill + SPILL_RATIO).min(SPILL_BURST);
    }

    /// Returns whether a request may go to another region than its object's for a shorter wait.
    #[must_use]
    pub fn may_spill(&self) -> bool {
        self.spill >= 1.0
    }

    /// Takes a spilled request out of the budget.
    pub fn on_spill(&mut self) {
        self.spill -= 1.0;
    }
}

/// Returns the shares of the other regions in the requests that leave the own one, in proportion to
/// the slots that their own callers leave spare and that are not in use.
fn other_shares(region: &str, loads: &[RegionLoad], all: f64) -> Vec<(String, f64)> {
    let other_regions = || {
        loads
            .iter()
            .filter(|load| load.region != region && load.slots > 0.0)
    };
    let spare_capacity = |load: &RegionLoad| {
        let spare = (load.slots - load.callers * all).max(load.slots * MIN_SPARE_SHARE);
        spare * (MAX_SPARE_UTILISATION - load.load / load.slots).max(MIN_SPARE_SHARE)
    };
    let sum: f64 = other_regions().map(spare_capacity).sum();
    other_regions()
        .map(|load| (load.region.clone(), spare_capacity(load) / sum))
        .collect()
}
