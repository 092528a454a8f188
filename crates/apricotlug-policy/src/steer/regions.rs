//! Share of a service's requests that each region serves for the callers of one.
//!
//! Most objects stay in the callers' region; those that its backend servers have no room for go to
//! others, always the same objects to the same region. Where regions have unequal room the first
//! share follows from that room, and it moves slowly from there: a shift of traffic between regions
//! meets cold backend servers and narrow links.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Most by which the share of a region changes in a second. The users allow 0.15 in two seconds;
/// the rest covers requests that spill and how unevenly objects are asked for.
const SLEW_PER_S: f64 = 0.035;

/// Part of the own region's slots in use above which more objects go elsewhere, and below which
/// some come back.
const HIGH: f64 = 0.7;
const LOW: f64 = 0.55;

/// Part of a region's slots that may be in use before nothing more is sent there from others, and
/// the least part of its slots that counts as room all the same.
const ROOM_TO: f64 = 0.85;
const LEAST_ROOM: f64 = 0.03;

/// Span between two looks at the load.
const LOOK: Duration = Duration::from_millis(200);

/// Part of its slots that a region must lose at once for its objects to go at once too: a data
/// centre that fails is no shift of traffic.
const LOST_PART: f64 = 0.2;

/// Requests of a hundred that may leave the share for a shorter wait, and how many may at once.
const SPILL_PART: f64 = 0.02;
const SPILL_BURST: f64 = 2.0;

/// Room and load of a service in one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// Region.
    pub region: String,
    /// Part of all data centres that are in the region: its callers are taken to be as many.
    pub callers: f64,
    /// Slots of its backend servers that take requests.
    pub slots: f64,
    /// Requests that run or wait there.
    pub load: f64,
}

/// Shares of all regions for the callers of one.
#[derive(Clone, Debug, Default)]
pub struct RegionSplit {
    own: f64,
    own_slots: f64,
    used: f64,
    others: Vec<(String, f64)>,
    looked_at: Option<MonoTime>,
    spill: f64,
}

impl RegionSplit {
    /// Tells whether it is time for another look at the load.
    #[must_use]
    pub fn is_due(&self, now: MonoTime) -> bool {
        self.looked_at.is_none_or(|at| now.since(at) >= LOOK)
    }

    /// Takes up the load of all regions; `region` is the own one.
    pub fn look(&mut self, region: &str, loads: &[RegionLoad], now: MonoTime) {
        let all: f64 = loads.iter().map(|load| load.slots).sum();
        let own = loads.iter().find(|load| load.region == region);
        let (slots, load, callers) =
            own.map_or((0.0, 0.0, 0.0), |own| (own.slots, own.load, own.callers));
        let fair = if callers > 0.0 && all > 0.0 {
            (slots / (callers * all)).min(1.0)
        } else {
            0.0
        };
        let span = self.looked_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.own = match self.looked_at {
            None => fair,
            Some(_) if slots < self.own_slots * (1.0 - LOST_PART) => {
                self.own * slots / self.own_slots
            }
            Some(_) => {
                let most = SLEW_PER_S * span;
                let used = load / slots.max(1.0);
                // Nothing is gained by sending more where others are as full.
                let far = loads.iter().filter(|load| load.region != region);
                let (far_load, far_slots) =
                    far.fold((0.0, 0.0), |(l, s), far| (l + far.load, s + far.slots));
                let far_used = far_load / far_slots.max(1.0);
                match used {
                    _ if used > HIGH && used > far_used => (self.own - most).max(0.0),
                    _ if used < LOW => (self.own + most).min(1.0),
                    _ => self.own,
                }
            }
        };
        let busy = loads.iter().map(|load| load.load.min(load.slots));
        self.used = busy.sum::<f64>() / all.max(1.0);
        self.own_slots = slots;
        self.looked_at = Some(now);
        let wanted = others(region, loads, all);
        self.move_others(wanted, SLEW_PER_S * span);
    }

    /// Moves the parts of the other regions towards what is wanted, each by so much at most.
    fn move_others(&mut self, mut wanted: Vec<(String, f64)>, most: f64) {
        let held = std::mem::take(&mut self.others);
        let is_alike = held
            .iter()
            .map(|(region, _)| region)
            .eq(wanted.iter().map(|(r, _)| r));
        if is_alike {
            for ((_, part), (_, held)) in wanted.iter_mut().zip(&held) {
                *part = part.clamp(held - most, held + most);
            }
        }
        let sum: f64 = wanted.iter().map(|(_, part)| part).sum();
        for (_, part) in &mut wanted {
            *part /= sum.max(f64::EPSILON);
        }
        self.others = wanted;
    }

    /// Tells whether a region has room for requests of others.
    #[must_use]
    pub fn has_room(&self, region: &str) -> bool {
        let least = 0.5
            * self
                .others
                .iter()
                .map(|(_, part)| *part)
                .fold(0.0, f64::max);
        let mut others = self.others.iter();
        others.any(|(other, part)| other == region && *part >= least)
    }

    /// Returns the region for a draw between 0 and 1; `None` for the own one.
    #[must_use]
    pub fn region_of(&self, draw: f64) -> Option<&str> {
        if draw < self.own || self.others.is_empty() {
            return None;
        }
        let mut left = (draw - self.own) / (1.0 - self.own).max(f64::EPSILON);
        for (region, part) in &self.others {
            left -= part;
            if left < 0.0 {
                return Some(region);
            }
        }
        self.others.last().map(|(region, _)| region.as_str())
    }

    /// Returns the share of the own region.
    #[must_use]
    pub fn own(&self) -> f64 {
        self.own
    }

    /// Returns the part of all slots that was in use at the last look.
    #[must_use]
    pub fn used(&self) -> f64 {
        self.used
    }

    /// Counts a request: a few of them may leave the share.
    pub fn on_request(&mut self) {
        self.spill = (self.spill + SPILL_PART).min(SPILL_BURST);
    }

    /// Tells whether a request may leave the share for a shorter wait.
    #[must_use]
    pub fn may_spill(&self) -> bool {
        self.spill >= 1.0
    }

    /// Takes up that one does.
    pub fn on_spill(&mut self) {
        self.spill -= 1.0;
    }
}

/// Returns the parts that the other regions have of what leaves the own one: by the slots that
/// their own callers leave over and that are not in use.
fn others(region: &str, loads: &[RegionLoad], all: f64) -> Vec<(String, f64)> {
    let far = || {
        loads
            .iter()
            .filter(|load| load.region != region && load.slots > 0.0)
    };
    let room = |load: &RegionLoad| {
        let spare = (load.slots - load.callers * all).max(load.slots * LEAST_ROOM);
        spare * (ROOM_TO - load.load / load.slots).max(LEAST_ROOM)
    };
    let sum: f64 = far().map(room).sum();
    far()
        .map(|load| (load.region.clone(), room(load) / sum))
        .collect()
}
