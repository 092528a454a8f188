//! The look-up decision.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use apricotlug_model::{Bundle, DataCentreKey, RegionKey, SiteKey, UnixTime};
use rand::{Rng, RngExt};

use crate::{
    limit::DelayedLimit,
    lookup::{
        charge::ChargeRing,
        entry::InstanceEntry,
        overflow::Overflow,
        pool::{Member, MemberIndex, Pool},
    },
};

/// Instances that an answer names at most.
const MAX_INSTANCES: usize = 3;
/// Time for which callers may use an answer of their home region; below the ring of charges.
const HOME_TTL: Duration = Duration::from_secs(5);
/// Time for which callers may use an answer of another region.
const SHIFTED_TTL: Duration = Duration::from_secs(5);
/// Shortest time of an answer, in hundredths of the longest.
const JITTER_MIN_PERCENT: u32 = 80;
/// Time after which what a lost or restarted instance answered has expired.
const SHIFT_SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time after which to ask again where no other region has room.
const REFUSED_TTL: Duration = Duration::from_secs(1);
/// Part of a shift cap, in hundredths, up to which the nearest region is filled before others.
const FIRST_FILL_PERCENT: u64 = 60;
/// Slots that one answer's caller is taken to occupy before anything was measured, in thousandths.
const ASSUMED_MILLI_SLOTS: u64 = 100;
/// Largest such estimate, in thousandths.
const MAX_MILLI_SLOTS: u64 = 1000;
/// Weight of the earlier estimate against a new one of weight 1.
const ESTIMATE_MEMORY: u64 = 7;

/// Answer to a look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Addresses to use, the preferred first; empty where no region has room.
    pub instances: Vec<SocketAddr>,
    /// Point from which the caller must ask again.
    pub expires_at: UnixTime,
    /// Region of the instances.
    pub region: Option<RegionKey>,
    /// Why these were named.
    pub reason: AnswerReason,
}

/// Why an answer names what it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerReason {
    /// The home region serves.
    Home,
    /// The home region has no instance, or no usable backend slot.
    HomeDown,
    /// The home region is over its cap.
    HomeOver,
    /// No region has room within its cap.
    NoRoom,
}

/// Entry instances of all regions, prepared for look-ups.
#[derive(Clone, Debug)]
pub struct Directory {
    own: DataCentreKey,
    home_of_site: Vec<DataCentreKey>,
    region_of: Vec<RegionKey>,
    data_centres: Vec<DataCentre>,
    regions: Vec<Region>,
    members: Vec<Member>,
    /// Slots that one answer's caller is taken to occupy, in thousandths, over the number of
    /// answering instances.
    milli_slots: u64,
}

/// Data centre as the look-up knows it.
#[derive(Clone, Debug, Default)]
struct DataCentre {
    pool: Pool,
    overflow: Overflow,
}

/// Region as the look-up knows it.
#[derive(Clone, Debug, Default)]
struct Region {
    pool: Pool,
    nearest: Vec<RegionKey>,
    /// Slots of the region's endpoints.
    slots: u64,
    /// Load of the region's instances, on whatever scale they report.
    outstanding: u64,
    /// Slots of the region's instances, on the same scale.
    reported_slots: u64,
    shift_cap: DelayedLimit<u64, UnixTime>,
    charged: ChargeRing,
    home_answers: ChargeRing,
    overflow: Overflow,
}

impl Region {
    /// Tells whether any instance has a usable slot.
    fn has_slots(&self) -> bool {
        self.reported_slots > 0
    }

    /// Converts load as reported to thousandths of the region's slots.
    fn milli_slots_of(&self, outstanding: u64) -> u64 {
        match self.reported_slots {
            0 => 0,
            reported => self.slots * 1000 * outstanding / reported,
        }
    }
}

impl Directory {
    /// Returns a directory without instances. Since an earlier run of this instance may have given
    /// answers that still live, shifted answers begin some seconds after the first update.
    ///
    /// Callers of no known block are taken as callers of
    /// the data centre `own`.
    #[must_use]
    pub fn new(bundle: &Bundle, own: DataCentreKey) -> Self {
        let mut directory = Self {
            own,
            home_of_site: Vec::new(),
            region_of: Vec::new(),
            data_centres: Vec::new(),
            regions: Vec::new(),
            members: Vec::new(),
            milli_slots: ASSUMED_MILLI_SLOTS,
        };
        directory.follow_bundle(bundle);
        directory
    }

    /// Takes in a new bundle or new instances, states and loads. What live answers are charged
    /// stays, by region id.
    pub fn update(&mut self, old: &Bundle, new: &Bundle, entries: &[InstanceEntry], now: UnixTime) {
        if old.version != new.version {
            self.keep_charges(old, new);
            self.follow_bundle(new);
        }
        self.follow_load(new, entries, now);
        self.follow_entries(new, entries, now);
        self.learn_cost(now);
    }

    /// Answers a look-up.
    pub fn lookup(
        &mut self,
        bundle: &Bundle,
        client: IpAddr,
        now: UnixTime,
        rng: &mut impl Rng,
    ) -> Answer {
        let site = bundle.blocks.home(client);
        let home = site.and_then(|site| self.home(site)).unwrap_or(self.own);
        let region = self.region_of[usize::from(home)];
        let state = &mut self.regions[usize::from(region)];
        let reason = match state.overflow.permille() {
            _ if state.pool.is_empty() || !state.has_slots() => AnswerReason::HomeDown,
            0 => AnswerReason::Home,
            permille if !rng.random_ratio(permille.into(), 1000) => AnswerReason::Home,
            _ => AnswerReason::HomeOver,
        };
        if reason == AnswerReason::Home {
            return self.answer_home(home, HOME_TTL, now, rng);
        }
        if let Some(other) = self.find_room(region, reason, now) {
            return self.answer_shifted(other, reason, now, rng);
        }
        match self.regions[usize::from(region)].pool.is_empty() {
            true => refusal(now),
            false => self.answer_home(home, REFUSED_TTL, now, rng),
        }
    }

    /// Ends an answer of the home region before it expires, for a caller that was refused there
    /// and looks up again. A shifted answer stays charged, so its caller keeps it.
    pub fn end_home_answer(
        &mut self,
        bundle: &Bundle,
        client: IpAddr,
        expires_at: UnixTime,
        now: UnixTime,
    ) {
        let site = bundle.blocks.home(client);
        let home = site.and_then(|site| self.home(site)).unwrap_or(self.own);
        let region = &mut self.regions[usize::from(self.region_of[usize::from(home)])];
        if !expires_at.is_past(now) {
            region.home_answers.remove_uncharged(expires_at, now);
        }
    }

    /// Returns what live answers may still bring to a region from others, in thousandths of a
    /// slot.
    pub fn charged_milli_slots(&mut self, region: RegionKey, now: UnixTime) -> u64 {
        let region = &mut self.regions[usize::from(region)];
        region.charged.live(now).milli_slots
    }

    /// Returns this instance's part of a region's shift cap, in thousandths of a slot.
    #[must_use]
    pub fn shift_cap_milli_slots(&self, region: RegionKey, now: UnixTime) -> u64 {
        self.regions[usize::from(region)].shift_cap.at(now)
    }

    /// Names the less loaded of two instances of the first data centre, or of the region, then
    /// others of the region, in data centres apart.
    fn name(
        &mut self,
        first: Option<DataCentreKey>,
        region: RegionKey,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let pool = &self.regions[usize::from(region)].pool;
        let first = first.and_then(|key| {
            let data_centre = &self.data_centres[usize::from(key)];
            data_centre.pool.pick(&self.members, rng)
        });
        let mut taken = Vec::with_capacity(MAX_INSTANCES);
        taken.extend(first.or_else(|| pool.pick(&self.members, rng)));
        while taken.len() < MAX_INSTANCES {
            let Some(member) = pool.draw_other(&self.members, &taken, rng) else {
                break;
            };
            taken.push(member);
        }
        if let Some(first) = taken.first() {
            let answering = self.members.len() as u64;
            let member = &mut self.members[*first as usize];
            member.milli_slots_used += self.milli_slots * answering;
        }
        taken
            .iter()
            .map(|member| self.members[*member as usize].addr)
            .collect()
    }

    fn home(&self, site: SiteKey) -> Option<DataCentreKey> {
        self.home_of_site.get(usize::from(site)).copied()
    }

    fn answer_home(
        &mut self,
        home: DataCentreKey,
        ttl: Duration,
        now: UnixTime,
        rng: &mut impl Rng,
    ) -> Answer {
        let region = self.region_of[usize::from(home)];
        let expires_at = now.after(jitter(ttl, rng));
        let state = &mut self.regions[usize::from(region)];
        state.home_answers.add(0, expires_at, now);
        let overflow = self.data_centres[usize::from(home)].overflow;
        let is_elsewhere = rng.random_ratio(overflow.permille().into(), 1000);
        Answer {
            instances: self.name((!is_elsewhere).then_some(home), region, rng),
            expires_at,
            region: Some(region),
            reason: AnswerReason::Home,
        }
    }

    fn answer_shifted(
        &mut self,
        region: RegionKey,
        reason: AnswerReason,
        now: UnixTime,
        rng: &mut impl Rng,
    ) -> Answer {
        let expires_at = now.after(jitter(SHIFTED_TTL, rng));
        let state = &mut self.regions[usize::from(region)];
        state.charged.add(self.milli_slots, expires_at, now);
        Answer {
            instances: self.name(None, region, rng),
            expires_at,
            region: Some(region),
            reason,
        }
    }

    /// Returns the nearest region that has instances and room within its shift cap.
    ///
    /// A region that sends its own callers elsewhere takes only those that have no other place.
    fn find_room(
        &mut self,
        home: RegionKey,
        reason: AnswerReason,
        now: UnixTime,
    ) -> Option<RegionKey> {
        let is_home_down = reason == AnswerReason::HomeDown;
        let nearest = std::mem::take(&mut self.regions[usize::from(home)].nearest);
        let has_room = |region: RegionKey, percent: u64| {
            let state = &mut self.regions[usize::from(region)];
            let charged = state.charged.live(now).milli_slots + self.milli_slots;
            !state.pool.is_empty()
                && state.has_slots()
                && (is_home_down || !state.overflow.is_over())
                && charged * 100 <= state.shift_cap.at(now) * percent
        };
        let found = find_nearest(&nearest, has_room);
        self.regions[usize::from(home)].nearest = nearest;
        found
    }

    fn follow_bundle(&mut self, bundle: &Bundle) {
        let sites = bundle.sites.values();
        self.home_of_site = sites.map(|site| site.data_centre).collect();
        let data_centres = bundle.data_centres.values();
        self.region_of = data_centres.map(|dc| dc.region).collect();
        self.data_centres = vec![DataCentre::default(); bundle.data_centres.len()];
        self.regions
            .resize_with(bundle.regions.len(), Region::default);
        for (key, region) in bundle.regions.keys().zip(&mut self.regions) {
            region.nearest = nearest(bundle, key);
            region.slots = slots(bundle, key);
        }
    }

    fn keep_charges(&mut self, old: &Bundle, new: &Bundle) {
        if let Some(own) = new
            .data_centres
            .find(|dc| dc.id == old.data_centres[self.own].id)
        {
            self.own = own;
        }
        let earlier = std::mem::take(&mut self.regions);
        let mut earlier: Vec<_> = earlier.into_iter().map(Some).collect();
        let regions = new.regions.values().map(|region| {
            let key = old.regions.find(|other| other.id == region.id)?;
            earlier.get_mut(usize::from(key))?.take()
        });
        self.regions = regions.map(Option::unwrap_or_default).collect();
    }

    fn follow_entries(&mut self, bundle: &Bundle, entries: &[InstanceEntry], now: UnixTime) {
        for data_centre in &mut self.data_centres {
            data_centre.pool = Pool::default();
        }
        for region in &mut self.regions {
            region.pool = Pool::default();
        }
        self.members.clear();
        for entry in entries.iter().filter(|entry| entry.is_named()) {
            let index = MemberIndex::try_from(self.members.len()).unwrap_or(MemberIndex::MAX);
            let weight = entry.weight();
            let region = self.region_of[usize::from(entry.data_centre)];
            let region = &mut self.regions[usize::from(region)];
            self.members.push(Member {
                addr: entry.addr,
                data_centre: entry.data_centre,
                weight,
                milli_slots_used: region.milli_slots_of(entry.load.outstanding.into()),
            });
            self.data_centres[usize::from(entry.data_centre)]
                .pool
                .push(index, weight);
            region.pool.push(index, weight);
        }
        let answering = entries.iter().filter(|entry| entry.is_named()).count();
        for (key, region) in bundle.regions.keys().zip(&mut self.regions) {
            let percent = u64::from(bundle.regions[key].shift_cap_percent);
            let part = region.slots * percent * 1000 / 100 / answering.max(1) as u64;
            region
                .shift_cap
                .set(part, now.after(SHIFT_SETTLE_TIME), now);
        }
    }

    fn follow_load(&mut self, bundle: &Bundle, entries: &[InstanceEntry], now: UnixTime) {
        let named = || entries.iter().filter(|entry| entry.is_named());
        for (key, region) in bundle.regions.keys().zip(&mut self.regions) {
            let is_local = |e: &&InstanceEntry| bundle.data_centres[e.data_centre].region == key;
            let (outstanding, slots) = load(named().filter(is_local));
            region.outstanding = outstanding;
            region.reported_slots = slots;
            region.overflow.observe(outstanding, slots, now);
        }
        for (key, data_centre) in bundle.data_centres.keys().zip(&mut self.data_centres) {
            let (outstanding, slots) = load(named().filter(|e| e.data_centre == key));
            data_centre.overflow.observe(outstanding, slots, now);
        }
    }

    /// Estimates the slots that one answer's caller occupies: all slots in use over all live
    /// answers, taking the other instances to have given as many as this one.
    fn learn_cost(&mut self, now: UnixTime) {
        let in_use = |region: &Region| region.milli_slots_of(region.outstanding);
        let in_use: u64 = self.regions.iter().map(in_use).sum();
        let live = |region: &mut Region| {
            region.home_answers.live(now).answers + region.charged.live(now).answers
        };
        let own_answers: u64 = self.regions.iter_mut().map(live).sum();
        let answers = own_answers * self.members.len() as u64;
        if answers == 0 || in_use == 0 {
            return;
        }
        let sample = (in_use / answers).clamp(1, MAX_MILLI_SLOTS);
        let sum = self.milli_slots * ESTIMATE_MEMORY + sample;
        self.milli_slots = sum.div_ceil(ESTIMATE_MEMORY + 1);
    }
}

/// Returns the nearest region with room. One that is filled up to a part comes after all others.
fn find_nearest(
    nearest: &[RegionKey],
    mut has_room: impl FnMut(RegionKey, u64) -> bool,
) -> Option<RegionKey> {
    [FIRST_FILL_PERCENT, 100].into_iter().find_map(|percent| {
        nearest
            .iter()
            .copied()
            .find(|region| has_room(*region, percent))
    })
}

/// Shortens a time by up to a fifth at random, so that callers don't ask all at once.
fn jitter(ttl: Duration, rng: &mut impl Rng) -> Duration {
    ttl * rng.random_range(JITTER_MIN_PERCENT..=100) / 100
}

fn refusal(now: UnixTime) -> Answer {
    Answer {
        instances: Vec::new(),
        expires_at: now.after(REFUSED_TTL),
        region: None,
        reason: AnswerReason::NoRoom,
    }
}

fn load<'a>(entries: impl Iterator<Item = &'a InstanceEntry>) -> (u64, u64) {
    entries.fold((0, 0), |(outstanding, slots), entry| {
        (
            outstanding + u64::from(entry.load.outstanding),
            slots + u64::from(entry.load.slots),
        )
    })
}

fn slots(bundle: &Bundle, region: RegionKey) -> u64 {
    let endpoints = bundle.endpoints.iter();
    let local = endpoints.filter(|(key, _)| bundle.region_of(*key) == region);
    local.map(|(_, endpoint)| u64::from(endpoint.slots)).sum()
}

fn nearest(bundle: &Bundle, from: RegionKey) -> Vec<RegionKey> {
    let mut others: Vec<_> = bundle
        .regions
        .keys()
        .filter(|region| *region != from)
        .collect();
    let delay = |to| {
        bundle
            .links
            .get(&(from, to))
            .map_or(u32::MAX, |link| link.delay_us)
    };
    others.sort_by_key(|region| (delay(*region), *region));
    others
}
