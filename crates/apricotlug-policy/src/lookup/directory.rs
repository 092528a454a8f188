//! Directory of entry instances, and the look-up decision.

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

/// Maximum number of instances in an answer.
const MAX_LISTED_INSTANCES: usize = 3;
/// Longest time for which callers may cache an answer of their home region. Must be shorter than
/// the time that [`ChargeRing`] covers.
const HOME_TTL: Duration = Duration::from_secs(5);
/// Longest time for which callers may cache an answer of another region.
const SHIFTED_TTL: Duration = Duration::from_secs(5);
/// Lower bound of an answer's randomised lifetime, as a percentage of the full lifetime.
const MIN_JITTERED_TTL_PERCENT: u32 = 80;
/// Delay before an increase of a shift cap takes effect. By then, all answers of an instance that
/// was lost or restarted have expired.
const SHIFT_CAP_RAISE_DELAY: Duration = Duration::from_secs(8);
/// Time after which the caller should retry if no other region has capacity.
const REFUSED_TTL: Duration = Duration::from_secs(1);
/// Percentage of a shift cap up to which nearer regions are filled, before any region is filled to
/// its full cap.
const FIRST_PASS_FILL_PERCENT: u64 = 60;
/// Initial estimate of the slots that the caller of one answer occupies, in thousandths of a slot.
const INITIAL_MILLI_SLOTS_PER_ANSWER: u64 = 100;
/// Upper bound of a sample for this estimate, in thousandths of a slot.
const MAX_MILLI_SLOTS_PER_ANSWER: u64 = 1000;
/// Weight of the previous estimate in the moving average; a new sample has weight 1.
const PREVIOUS_ESTIMATE_WEIGHT: u64 = 7;

/// Look-up answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Addresses to connect to, in order of preference. Empty with
    /// [`AnswerReason::NoRoom`].
    pub instances: Vec<SocketAddr>,
    /// Time after which the caller must look up again.
    pub expires_at: UnixTime,
    /// Region of the instances, or `None` with [`AnswerReason::NoRoom`].
    pub region: Option<RegionKey>,
    /// Why these instances were selected.
    pub reason: AnswerReason,
}

/// Why an answer lists the instances that it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerReason {
    /// The home region accepts the caller, or no other region has capacity.
    Home,
    /// The home region has no instances, or no usable backend slot.
    HomeDown,
    /// The home region is overloaded.
    HomeOver,
    /// The home region has no instances and no other region has capacity within its shift cap.
    NoRoom,
}

/// Entry instances of all regions, indexed for look-ups.
#[derive(Clone, Debug)]
pub struct Directory {
    own: DataCentreKey,
    data_centre_of_site: Vec<DataCentreKey>,
    region_of_data_centre: Vec<RegionKey>,
    data_centres: Vec<DataCentre>,
    regions: Vec<Region>,
    members: Vec<Member>,
    /// Estimate of the slots that the caller of one answer occupies, in thousandths of a slot. It
    /// assumes that every listed instance gives as many answers as this one.
    milli_slots_per_answer: u64,
}

/// Look-up state of a data centre.
#[derive(Clone, Debug, Default)]
struct DataCentre {
    pool: Pool,
    overflow: Overflow,
}

/// Look-up state of a region.
#[derive(Clone, Debug, Default)]
struct Region {
    pool: Pool,
    /// Other regions, nearest first.
    nearest: Vec<RegionKey>,
    /// Slots of the region's endpoints according to the bundle.
    slots: u64,
    /// Occupied slots reported by the region's instances, in the unit of their reports.
    outstanding: u64,
    /// Slots reported by the region's instances, in the same unit.
    reported_slots: u64,
    shift_cap: DelayedLimit<u64, UnixTime>,
    shifted_answers: ChargeRing,
    home_answers: ChargeRing,
    overflow: Overflow,
}

impl Region {
    /// Returns whether any instance has a usable slot.
    fn has_slots(&self) -> bool {
        self.reported_slots > 0
    }

    /// Converts load from the unit of the reports to thousandths of a backend slot. Zero if the
    /// instances report no slots.
    fn milli_slots_of(&self, outstanding: u64) -> u64 {
        match self.reported_slots {
            0 => 0,
            reported => self.slots * 1000 * outstanding / reported,
        }
    }
}

impl Directory {
    /// Creates a directory without instances. Callers are shifted to other regions only some
    /// seconds after the first update, because answers of a run before a restart may be
    /// unexpired.
    ///
    /// Callers outside all known address blocks are treated as callers of the data centre `own`.
    #[must_use]
    pub fn new(bundle: &Bundle, own: DataCentreKey) -> Self {
        let mut directory = Self {
            own,
            data_centre_of_site: Vec::new(),
            region_of_data_centre: Vec::new(),
            data_centres: Vec::new(),
            regions: Vec::new(),
            members: Vec::new(),
            milli_slots_per_answer: INITIAL_MILLI_SLOTS_PER_ANSWER,
        };
        directory.apply_bundle(bundle);
        directory
    }

    /// Applies a new bundle, or new instances, states and loads. Charges of unexpired answers are
    /// carried over to the region with the same id.
    pub fn update(&mut self, old: &Bundle, new: &Bundle, entries: &[InstanceEntry], now: UnixTime) {
        if old.version != new.version {
            self.carry_over_charges(old, new);
            self.apply_bundle(new);
        }
        self.apply_load(new, entries, now);
        self.apply_entries(new, entries, now);
        self.update_cost_estimate(now);
    }

    /// Selects the instances for a caller, and counts the answer until it expires.
    pub fn lookup(
        &mut self,
        bundle: &Bundle,
        client: IpAddr,
        now: UnixTime,
        rng: &mut impl Rng,
    ) -> Answer {
        let site = bundle.blocks.home(client);
        let home = site
            .and_then(|site| self.home_data_centre(site))
            .unwrap_or(self.own);
        let region = self.region_of_data_centre[usize::from(home)];
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
        if let Some(other) = self.find_region_with_capacity(region, reason, now) {
            return self.answer_shifted(other, reason, now, rng);
        }
        match self.regions[usize::from(region)].pool.is_empty() {
            true => refusal(now),
            false => self.answer_home(home, REFUSED_TTL, now, rng),
        }
    }

    /// Stops counting an answer of the home region before it expires, because its caller was
    /// refused there and looks up again. Shifted answers stay charged until they expire, so
    /// their callers go on using them. Has no effect if the answer has expired.
    pub fn release_home_answer(
        &mut self,
        bundle: &Bundle,
        client: IpAddr,
        expires_at: UnixTime,
        now: UnixTime,
    ) {
        let site = bundle.blocks.home(client);
        let home = site
            .and_then(|site| self.home_data_centre(site))
            .unwrap_or(self.own);
        let region = &mut self.regions[usize::from(self.region_of_data_centre[usize::from(home)])];
        if !expires_at.is_past(now) {
            region.home_answers.remove_uncharged(expires_at, now);
        }
    }

    /// Returns the load that unexpired answers may still shift to a region, in thousandths of a
    /// slot.
    pub fn charged_milli_slots(&mut self, region: RegionKey, now: UnixTime) -> u64 {
        let region = &mut self.regions[usize::from(region)];
        region.shifted_answers.live(now).milli_slots
    }

    /// Returns this instance's share of a region's shift cap, in thousandths of a slot.
    #[must_use]
    pub fn shift_cap_milli_slots(&self, region: RegionKey, now: UnixTime) -> u64 {
        self.regions[usize::from(region)].shift_cap.at(now)
    }

    /// Selects the less loaded of two random instances of the data centre `first`, or of the region
    /// if that data centre is absent or empty. Then adds other instances of the region, the second
    /// one from a different data centre if possible.
    fn select_instances(
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
        let mut selected = Vec::with_capacity(MAX_LISTED_INSTANCES);
        selected.extend(first.or_else(|| pool.pick(&self.members, rng)));
        while selected.len() < MAX_LISTED_INSTANCES {
            let Some(member) = pool.pick_another(&self.members, &selected, rng) else {
                break;
            };
            selected.push(member);
        }
        if let Some(first) = selected.first() {
            let listed_instances = self.members.len() as u64;
            let member = &mut self.members[*first as usize];
            member.milli_slots_used += self.milli_slots_per_answer * listed_instances;
        }
        selected
            .iter()
            .map(|member| self.members[*member as usize].addr)
            .collect()
    }

    fn home_data_centre(&self, site: SiteKey) -> Option<DataCentreKey> {
        self.data_centre_of_site.get(usize::from(site)).copied()
    }

    fn answer_home(
        &mut self,
        home: DataCentreKey,
        ttl: Duration,
        now: UnixTime,
        rng: &mut impl Rng,
    ) -> Answer {
        let region = self.region_of_data_centre[usize::from(home)];
        let expires_at = now.after(jitter(ttl, rng));
        let state = &mut self.regions[usize::from(region)];
        state.home_answers.add(0, expires_at, now);
        let overflow = self.data_centres[usize::from(home)].overflow;
        let is_redirected = rng.random_ratio(overflow.permille().into(), 1000);
        Answer {
            instances: self.select_instances((!is_redirected).then_some(home), region, rng),
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
        state
            .shifted_answers
            .add(self.milli_slots_per_answer, expires_at, now);
        Answer {
            instances: self.select_instances(None, region, rng),
            expires_at,
            region: Some(region),
            reason,
        }
    }

    /// Returns the nearest region that has instances and capacity within its shift cap.
    ///
    /// A region that redirects its own callers accepts only callers whose home region is down.
    fn find_region_with_capacity(
        &mut self,
        home: RegionKey,
        reason: AnswerReason,
        now: UnixTime,
    ) -> Option<RegionKey> {
        let is_home_down = reason == AnswerReason::HomeDown;
        let nearest = std::mem::take(&mut self.regions[usize::from(home)].nearest);
        let has_capacity = |region: RegionKey, percent: u64| {
            let state = &mut self.regions[usize::from(region)];
            let charged = state.shifted_answers.live(now).milli_slots + self.milli_slots_per_answer;
            !state.pool.is_empty()
                && state.has_slots()
                && (is_home_down || !state.overflow.is_overflowing())
                && charged * 100 <= state.shift_cap.at(now) * percent
        };
        let found = find_nearest(&nearest, has_capacity);
        self.regions[usize::from(home)].nearest = nearest;
        found
    }

    fn apply_bundle(&mut self, bundle: &Bundle) {
        let sites = bundle.sites.values();
        self.data_centre_of_site = sites.map(|site| site.data_centre).collect();
        let data_centres = bundle.data_centres.values();
        self.region_of_data_centre = data_centres.map(|dc| dc.region).collect();
        self.data_centres = vec![DataCentre::default(); bundle.data_centres.len()];
        self.regions
            .resize_with(bundle.regions.len(), Region::default);
        for (key, region) in bundle.regions.keys().zip(&mut self.regions) {
            region.nearest = regions_by_delay(bundle, key);
            region.slots = endpoint_slots(bundle, key);
        }
    }

    fn carry_over_charges(&mut self, old: &Bundle, new: &Bundle) {
        if let Some(own) = new
            .data_centres
            .find(|dc| dc.id == old.data_centres[self.own].id)
        {
            self.own = own;
        }
        let previous = std::mem::take(&mut self.regions);
        let mut previous: Vec<_> = previous.into_iter().map(Some).collect();
        let regions = new.regions.values().map(|region| {
            let key = old.regions.find(|other| other.id == region.id)?;
            previous.get_mut(usize::from(key))?.take()
        });
        self.regions = regions.map(Option::unwrap_or_default).collect();
    }

    fn apply_entries(&mut self, bundle: &Bundle, entries: &[InstanceEntry], now: UnixTime) {
        for data_centre in &mut self.data_centres {
            data_centre.pool = Pool::default();
        }
        for region in &mut self.regions {
            region.pool = Pool::default();
        }
        self.members.clear();
        for entry in entries.iter().filter(|entry| entry.is_listed()) {
            let index = MemberIndex::try_from(self.members.len()).unwrap_or(MemberIndex::MAX);
            let weight = entry.weight();
            let region = self.region_of_data_centre[usize::from(entry.data_centre)];
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
        let listed_instances = entries.iter().filter(|entry| entry.is_listed()).count();
        for (key, region) in bundle.regions.keys().zip(&mut self.regions) {
            let percent = u64::from(bundle.regions[key].shift_cap_percent);
            let share = region.slots * percent * 1000 / 100 / listed_instances.max(1) as u64;
            region
                .shift_cap
                .set(share, now.after(SHIFT_CAP_RAISE_DELAY), now);
        }
    }

    fn apply_load(&mut self, bundle: &Bundle, entries: &[InstanceEntry], now: UnixTime) {
        let listed = || entries.iter().filter(|entry| entry.is_listed());
        for (key, region) in bundle.regions.keys().zip(&mut self.regions) {
            let is_local = |e: &&InstanceEntry| bundle.data_centres[e.data_centre].region == key;
            let (outstanding, slots) = total_load(listed().filter(is_local));
            region.outstanding = outstanding;
            region.reported_slots = slots;
            region.overflow.observe(outstanding, slots, now);
        }
        for (key, data_centre) in bundle.data_centres.keys().zip(&mut self.data_centres) {
            let (outstanding, slots) = total_load(listed().filter(|e| e.data_centre == key));
            data_centre.overflow.observe(outstanding, slots, now);
        }
    }

    /// Updates the estimate of the slots that the caller of one answer occupies: all slots in use
    /// divided by all unexpired answers, assuming that the other instances gave as many as this
    /// one.
    fn update_cost_estimate(&mut self, now: UnixTime) {
        let in_use = |region: &Region| region.milli_slots_of(region.outstanding);
        let in_use: u64 = self.regions.iter().map(in_use).sum();
        let live = |region: &mut Region| {
            region.home_answers.live(now).answers + region.shifted_answers.live(now).answers
        };
        let own_answers: u64 = self.regions.iter_mut().map(live).sum();
        let answers = own_answers * self.members.len() as u64;
        if answers == 0 || in_use == 0 {
            return;
        }
        let sample = (in_use / answers).clamp(1, MAX_MILLI_SLOTS_PER_ANSWER);
        let sum = self.milli_slots_per_answer * PREVIOUS_ESTIMATE_WEIGHT + sample;
        self.milli_slots_per_answer = sum.div_ceil(PREVIOUS_ESTIMATE_WEIGHT + 1);
    }
}

/// Returns the nearest region with capacity. Prefers any region below the first-pass fill level to
/// a nearer region above it.
fn find_nearest(
    nearest: &[RegionKey],
    mut has_capacity: impl FnMut(RegionKey, u64) -> bool,
) -> Option<RegionKey> {
    [FIRST_PASS_FILL_PERCENT, 100]
        .into_iter()
        .find_map(|percent| {
            nearest
                .iter()
                .copied()
                .find(|region| has_capacity(*region, percent))
        })
}

/// Shortens a lifetime by a random amount of up to a fifth, so that callers don't all retry at the
/// same time.
fn jitter(ttl: Duration, rng: &mut impl Rng) -> Duration {
    ttl * rng.random_range(MIN_JITTERED_TTL_PERCENT..=100) / 100
}

fn refusal(now: UnixTime) -> Answer {
    Answer {
        instances: Vec::new(),
        expires_at: now.after(REFUSED_TTL),
        region: None,
        reason: AnswerReason::NoRoom,
    }
}

fn total_load<'a>(entries: impl Iterator<Item = &'a InstanceEntry>) -> (u64, u64) {
    entries.fold((0, 0), |(outstanding, slots), entry| {
        (
            outstanding + u64::from(entry.load.outstanding),
            slots + u64::from(entry.load.slots),
        )
    })
}

fn endpoint_slots(bundle: &Bundle, region: RegionKey) -> u64 {
    let endpoints = bundle.endpoints.iter();
    let local = endpoints.filter(|(key, _)| bundle.region_of(*key) == region);
    local.map(|(_, endpoint)| u64::from(endpoint.slots)).sum()
}

fn regions_by_delay(bundle: &Bundle, from: RegionKey) -> Vec<RegionKey> {
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
