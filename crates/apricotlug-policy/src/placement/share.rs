//! Split of endpoint slots among live instances.

use std::cmp::Reverse;

use apricotlug_model::{
    Bundle, DataCentreKey, EndpointKey, HashMap, InstanceId, RegionKey, ServiceKey,
};

/// Percentage of a region's shift cap that is reserved for instances of other regions. The rest is
/// for clients of other regions that connect to the region's own instances.
const FOREIGN_SHIFT_PERCENT: u32 = 10;
/// Number of slots of a service by which a holder in the endpoint's data centre may be ahead of
/// other holders.
const HOME_LEAD_SLOTS: u32 = 2;

/// Live instance that holds a share of the slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareHolder {
    /// Instance that holds the share.
    pub id: InstanceId,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentreKey,
}

/// One instance's share of the slots of every endpoint.
///
/// If all instances split the same bundle among the same holders, the sum of their shares exceeds
/// neither an endpoint's slots nor a region's caps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotShares {
    /// Number of slots by endpoint key.
    pub(super) slots: Vec<u16>,
    /// Number of slots of the home region that clients of other regions may occupy through this
    /// instance.
    pub(super) shifted_in: u32,
    /// Number of live instances of the home region; they share its links evenly.
    pub(super) link_holders: u32,
}

impl SlotShares {
    /// Computes the share of an instance that is the only one alive.
    #[must_use]
    pub fn for_single_instance(bundle: &Bundle, home: DataCentreKey) -> Self {
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

    /// Computes the share of the instance `own_id`. If it is not a holder, it gets no slots.
    ///
    /// Each slot goes to the holder with the fewest slots of the service so far, where holders in
    /// the endpoint's data centre may be ahead by `HOME_LEAD_SLOTS`. Ties are broken by rendezvous
    /// hashing.
    #[must_use]
    pub fn split(bundle: &Bundle, holders: &[ShareHolder], own_id: &InstanceId) -> Self {
        let mut shares = Self {
            slots: vec![0; bundle.endpoints.len()],
            shifted_in: 0,
            link_holders: 1,
        };
        let Some(own_index) = holders.iter().position(|holder| holder.id == *own_id) else {
            return shares;
        };
        let own_region = bundle.data_centres[holders[own_index].data_centre].region;
        let mut holders: Vec<_> = holders
            .iter()
            .map(|h| HolderState::new(bundle, h))
            .collect();
        for region in bundle.regions.keys() {
            shares.split_region(bundle, region, &mut holders, own_index);
        }
        shares.shifted_in = shifted_in_share(bundle, own_region, &holders, own_index);
        let link_holders = holders.iter().filter(|h| h.region == own_region).count();
        shares.link_holders = u32::try_from(link_holders).unwrap_or(u32::MAX);
        shares
    }

    /// Returns the number of an endpoint's slots that the instance may occupy; zero for a key
    /// outside of the bundle.
    #[must_use]
    pub fn slots(&self, endpoint: EndpointKey) -> u16 {
        let slots = self.slots.get(usize::from(endpoint));
        slots.copied().unwrap_or(0)
    }

    fn split_region(
        &mut self,
        bundle: &Bundle,
        region: RegionKey,
        holders: &mut [HolderState],
        own_index: usize,
    ) {
        let caps = &bundle.regions[region];
        let mut usable = RunningPercent::new(caps.cap_percent.into());
        let mut foreign =
            RunningPercent::new(u32::from(caps.shift_cap_percent) * FOREIGN_SHIFT_PERCENT / 100);
        let (local_holders, foreign_holders): (Vec<_>, Vec<_>) =
            (0..holders.len()).partition(|&i| holders[i].region == region);
        for (service, endpoint) in endpoints_of(bundle, region) {
            let slots = bundle.endpoints[endpoint].slots;
            let usable_slots = usable.take(slots);
            let foreign_slots = match foreign_holders.is_empty() {
                true => 0,
                false => foreign.take(slots).min(usable_slots),
            };
            let mut split = EndpointSplit {
                holders,
                service,
                data_centre: bundle.data_centre_of(endpoint),
                seed: fnv1a(bundle.endpoints[endpoint].id.as_bytes()),
            };
            let own_slots = split.assign(usable_slots - foreign_slots, &local_holders, own_index)
                + split.assign(foreign_slots, &foreign_holders, own_index);
            self.slots[usize::from(endpoint)] = own_slots;
        }
    }
}

/// Applies a percentage to a running sum of slots, so that rounding errors don't accumulate.
struct RunningPercent {
    percent: u32,
    sum: u32,
}

impl RunningPercent {
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

/// Holder with the number of slots assigned to it by service.
struct HolderState {
    region: RegionKey,
    data_centre: DataCentreKey,
    seed: u64,
    assigned: HashMap<ServiceKey, u32>,
}

impl HolderState {
    fn new(bundle: &Bundle, holder: &ShareHolder) -> Self {
        Self {
            region: bundle.data_centres[holder.data_centre].region,
            data_centre: holder.data_centre,
            seed: fnv1a(holder.id.name.as_bytes()) ^ holder.id.incarnation,
            assigned: HashMap::default(),
        }
    }
}

/// Split of one endpoint's slots among holders.
struct EndpointSplit<'a> {
    holders: &'a mut [HolderState],
    service: ServiceKey,
    data_centre: DataCentreKey,
    seed: u64,
}

impl EndpointSplit<'_> {
    /// Assigns slots one by one among the holders with the given indices. Returns the number that
    /// `own_index` got.
    fn assign(&mut self, slots: u16, among: &[usize], own_index: usize) -> u16 {
        let mut own_slots = 0;
        for _ in 0..slots {
            let Some(&next) = among.iter().min_by_key(|i| self.rank(**i)) else {
                break;
            };
            *self.holders[next].assigned.entry(self.service).or_default() += 1;
            own_slots += u16::from(next == own_index);
        }
        own_slots
    }

    fn rank(&self, i: usize) -> (u32, Reverse<u64>) {
        let holder = &self.holders[i];
        let assigned = holder.assigned.get(&self.service).copied().unwrap_or(0);
        let lead = match holder.data_centre == self.data_centre {
            true => HOME_LEAD_SLOTS,
            false => 0,
        };
        let hash = splitmix64(holder.seed ^ self.seed);
        (assigned + HOME_LEAD_SLOTS - lead, Reverse(hash))
    }
}

/// Returns a region's endpoints that are not draining, sorted by service, so that rounding is
/// spread evenly within a service.
fn endpoints_of(bundle: &Bundle, region: RegionKey) -> Vec<(ServiceKey, EndpointKey)> {
    let endpoints = bundle.endpoints.iter();
    let mut rows: Vec<_> = endpoints
        .filter(|(key, endpoint)| !endpoint.is_draining && bundle.region_of(*key) == region)
        .map(|(key, endpoint)| (bundle.versions[endpoint.version].service, key))
        .collect();
    rows.sort_unstable();
    rows
}

/// Returns one instance's share of the slots for clients of other regions.
fn shifted_in_share(
    bundle: &Bundle,
    region: RegionKey,
    holders: &[HolderState],
    own_index: usize,
) -> u32 {
    let endpoints = endpoints_of(bundle, region).into_iter();
    let slots: u32 = endpoints
        .map(|(_, key)| u32::from(bundle.endpoints[key].slots))
        .sum();
    let percent = u32::from(bundle.regions[region].shift_cap_percent);
    let foreign_percent = percent * FOREIGN_SHIFT_PERCENT / 100;
    let total = slots * percent / 100 - slots * foreign_percent / 100;
    let mut local: Vec<_> = (0..holders.len())
        .filter(|&i| holders[i].region == region)
        .collect();
    local.sort_unstable_by_key(|&i| (holders[i].seed, i));
    let count = u32::try_from(local.len()).unwrap_or(u32::MAX).max(1);
    let rank = local
        .iter()
        .position(|&i| i == own_index)
        .unwrap_or(local.len());
    let is_remainder = u32::try_from(rank).unwrap_or(u32::MAX) < total % count;
    total / count + u32::from(is_remainder)
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
