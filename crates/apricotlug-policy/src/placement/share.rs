//! Split of endpoint slots among live instances.

use std::cmp::Reverse;

use apricotlug_model::{
    Bundle, DataCentreKey, EndpointKey, HashMap, InstanceId, RegionKey, ServiceKey,
};

/// Part of a region's shift cap that is set aside for instances of other regions, in hundredths.
/// The rest is for clients of other regions that reach the region's own instances.
const FOREIGN_PART_PERCENT: u32 = 10;
/// Slots of a service by which a holder in the endpoint's data centre may lead the others.
const HOME_LEAD_SLOTS: u32 = 2;

/// Live instance that holds a share of the slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareHolder {
    /// Identity.
    pub id: InstanceId,
    /// Data centre where it runs.
    pub data_centre: DataCentreKey,
}

/// One instance's share of the slots of every endpoint.
///
/// All instances that split the same bundle among the same holders together get no more than
/// an endpoint's slots, and no more than a region's caps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotShares {
    /// Slots by endpoint key.
    pub(super) slots: Vec<u16>,
    /// Slots of the home region that clients of other regions may occupy through this instance.
    pub(super) shifted_in: u32,
    /// Live instances of the home region; they share its links evenly.
    pub(super) link_parts: u32,
}

impl SlotShares {
    /// Returns the share of an instance that is the only one alive.
    #[must_use]
    pub fn sole(bundle: &Bundle, home: DataCentreKey) -> Self {
        let id = InstanceId {
            name: String::new(),
            incarnation: 0,
        };
        let holder = ShareHolder {
            id: id.clone(),
            data_centre: home,
        };
        Self::split(bundle, &[holder], &id)
    }

    /// Returns the share of the instance `own`, which is nothing where it is not a holder.
    ///
    /// Each slot goes to the holder with the smallest share of the service so far, where holders
    /// in the endpoint's data centre may lead by some slots; equal shares are told apart by
    /// rendezvous hashing.
    #[must_use]
    pub fn split(bundle: &Bundle, holders: &[ShareHolder], own: &InstanceId) -> Self {
        let mut shares = Self {
            slots: vec![0; bundle.endpoints.len()],
            shifted_in: 0,
            link_parts: 1,
        };
        let Some(own_index) = holders.iter().position(|holder| holder.id == *own) else {
            return shares;
        };
        let own_region = bundle.data_centres[holders[own_index].data_centre].region;
        let mut holders: Vec<_> = holders.iter().map(|h| Dealt::new(bundle, h)).collect();
        for region in bundle.regions.keys() {
            shares.split_region(bundle, region, &mut holders, own_index);
        }
        shares.shifted_in = shifted_in_part(bundle, own_region, &holders, own_index);
        let link_parts = holders.iter().filter(|h| h.region == own_region).count();
        shares.link_parts = u32::try_from(link_parts).unwrap_or(u32::MAX);
        shares
    }

    /// Returns the slots of an endpoint that the instance may occupy.
    #[must_use]
    pub fn slots(&self, endpoint: EndpointKey) -> u16 {
        let slots = self.slots.get(usize::from(endpoint));
        slots.copied().unwrap_or(0)
    }

    fn split_region(
        &mut self,
        bundle: &Bundle,
        region: RegionKey,
        holders: &mut [Dealt],
        own: usize,
    ) {
        let caps = &bundle.regions[region];
        let mut usable = Carve::new(caps.cap_percent.into());
        let mut foreign =
            Carve::new(u32::from(caps.shift_cap_percent) * FOREIGN_PART_PERCENT / 100);
        let (local_holders, foreign_holders): (Vec<_>, Vec<_>) =
            (0..holders.len()).partition(|&i| holders[i].region == region);
        for (service, endpoint) in endpoints_of(bundle, region) {
            let slots = bundle.endpoints[endpoint].slots;
            let usable_slots = usable.take(slots);
            let foreign_slots = match foreign_holders.is_empty() {
                true => 0,
                false => foreign.take(slots).min(usable_slots),
            };
            let mut deal = Deal {
                holders,
                service,
                data_centre: bundle.data_centre_of(endpoint),
                seed: fnv1a(bundle.endpoints[endpoint].id.as_bytes()),
            };
            let own_slots = deal.run(usable_slots - foreign_slots, &local_holders, own)
                + deal.run(foreign_slots, &foreign_holders, own);
            self.slots[usize::from(endpoint)] = own_slots;
        }
    }
}

/// Takes a percentage of a running sum of slots, so that rounding errors don't add up.
struct Carve {
    percent: u32,
    sum: u32,
}

impl Carve {
    fn new(percent: u32) -> Self {
        Self { percent, sum: 0 }
    }

    fn take(&mut self, slots: u16) -> u16 {
        let before = self.sum * self.percent / 100;
        self.sum += u32::from(slots);
        let taken = self.sum * self.percent / 100 - before;
        u16::try_from(taken).unwrap_or(u16::MAX).min(slots)
    }
}

/// Holder with the slots that were dealt to it, by service.
struct Dealt {
    region: RegionKey,
    data_centre: DataCentreKey,
    seed: u64,
    dealt: HashMap<ServiceKey, u32>,
}

impl Dealt {
    fn new(bundle: &Bundle, holder: &ShareHolder) -> Self {
        Self {
            region: bundle.data_centres[holder.data_centre].region,
            data_centre: holder.data_centre,
            seed: fnv1a(holder.id.name.as_bytes()) ^ holder.id.incarnation,
            dealt: HashMap::default(),
        }
    }
}

/// Deal of one endpoint's slots.
struct Deal<'a> {
    holders: &'a mut [Dealt],
    service: ServiceKey,
    data_centre: DataCentreKey,
    seed: u64,
}

impl Deal<'_> {
    /// Deals slots one by one among the holders with the given indices and returns what `own`
    /// got.
    fn run(&mut self, slots: u16, among: &[usize], own: usize) -> u16 {
        let mut own_slots = 0;
        for _ in 0..slots {
            let Some(&next) = among.iter().min_by_key(|i| self.rank(**i)) else {
                break;
            };
            *self.holders[next].dealt.entry(self.service).or_default() += 1;
            own_slots += u16::from(next == own);
        }
        own_slots
    }

    fn rank(&self, i: usize) -> (u32, Reverse<u64>) {
        let holder = &self.holders[i];
        let dealt = holder.dealt.get(&self.service).copied().unwrap_or(0);
        let lead = match holder.data_centre == self.data_centre {
            true => HOME_LEAD_SLOTS,
            false => 0,
        };
        let hash = splitmix64(holder.seed ^ self.seed);
        (dealt + HOME_LEAD_SLOTS - lead, Reverse(hash))
    }
}

/// Returns a region's endpoints that take new work by service, so that rounding spreads evenly within a service.
fn endpoints_of(bundle: &Bundle, region: RegionKey) -> Vec<(ServiceKey, EndpointKey)> {
    let endpoints = bundle.endpoints.iter();
    let mut rows: Vec<_> = endpoints
        .filter(|(key, endpoint)| !endpoint.is_draining && bundle.region_of(*key) == region)
        .map(|(key, endpoint)| (bundle.versions[endpoint.version].service, key))
        .collect();
    rows.sort_unstable();
    rows
}

/// Returns one instance's part of the slots for clients of other regions.
fn shifted_in_part(bundle: &Bundle, region: RegionKey, holders: &[Dealt], own: usize) -> u32 {
    let endpoints = endpoints_of(bundle, region).into_iter();
    let slots: u32 = endpoints
        .map(|(_, key)| u32::from(bundle.endpoints[key].slots))
        .sum();
    let percent = u32::from(bundle.regions[region].shift_cap_percent);
    let foreign_percent = percent * FOREIGN_PART_PERCENT / 100;
    let part = slots * percent / 100 - slots * foreign_percent / 100;
    let mut local: Vec<_> = (0..holders.len())
        .filter(|&i| holders[i].region == region)
        .collect();
    local.sort_unstable_by_key(|&i| (holders[i].seed, i));
    let count = u32::try_from(local.len()).unwrap_or(u32::MAX).max(1);
    let rank = local.iter().position(|&i| i == own).unwrap_or(local.len());
    let is_remainder = u32::try_from(rank).unwrap_or(u32::MAX) < part % count;
    part / count + u32::from(is_remainder)
}

fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

fn splitmix64(value: u64) -> u64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
