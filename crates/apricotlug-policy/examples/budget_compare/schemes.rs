//! The ways to keep a budget over all instances.

use std::time::Duration;

use apricotlug_model::{AccountKey, MonoTime};
use apricotlug_policy::budget::{Admission, Bucket, Part, Terms, apportion};

use crate::{
    fleet::{Faults, Fleet, Meter, bundle},
    load::{SECOND, User},
};

/// Writes per second that the platform takes.
const PLATFORM_WRITES: u32 = 500;

/// Bytes of one counter in a platform record, with its name.
const COUNTER_BYTES: u64 = 40;

/// Interval at which batches are drawn from central counters.
const BATCH_US: u64 = 100_000;

/// Interval at which instances ask peers for tokens.
const ASK_US: u64 = 100_000;

/// Peers that an instance asks at once.
const ASKED: usize = 3;

/// What all schemes see of the world.
pub struct World {
    pub is_alive: Vec<bool>,
    pub data_centre_of: Vec<usize>,
    pub is_linked: Vec<bool>,
    pub is_up: bool,
    pub time: u64,
}

impl World {
    pub fn new(user: &User) -> Self {
        let dcs = user.sizes.iter().enumerate();
        let data_centre_of: Vec<usize> = dcs.flat_map(|(dc, n)| vec![dc; *n]).collect();
        Self {
            is_alive: vec![true; data_centre_of.len()],
            data_centre_of,
            is_linked: vec![true; user.sizes.len()],
            is_up: true,
            time: 0,
        }
    }

    fn reaches_platform(&self, slot: usize) -> bool {
        self.is_up && self.is_linked[self.data_centre_of[slot]]
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.data_centre_of[a], self.data_centre_of[b]);
        a == b || (self.is_linked[a] && self.is_linked[b])
    }
}

pub enum Scheme {
    Fixed(Vec<Vec<Bucket>>),
    Central {
        counters: Vec<Meter>,
        limit: Meter,
        batch: Option<Vec<Vec<u64>>>,
        wanted: Vec<Vec<u64>>,
        cost: (u64, u64),
    },
    Owner {
        lease: u64,
        owners: Vec<(usize, u64, Bucket)>,
        parts: Vec<Part>,
        cost: (u64, u64),
    },
    Shared {
        fleet: Box<Fleet>,
        slots: Vec<usize>,
        has_gifts: bool,
        peer_messages: u64,
    },
}

impl Scheme {
    pub fn fixed(user: &User) -> Self {
        let n: usize = user.sizes.iter().sum();
        let mut buckets = vec![Vec::new(); n];
        for (_, rate, burst) in user.accounts {
            let rates = apportion(u64::from(*rate) * 1_000, &vec![1; n]);
            let bursts = apportion(u64::from(*burst), &vec![1; n]);
            for ((slot, rate_milli), burst) in buckets.iter_mut().zip(rates).zip(bursts) {
                slot.push(full_time(Part { rate_milli, burst }, 0));
            }
        }
        Self::Fixed(buckets)
    }

    pub fn central(user: &User, is_batched: bool) -> Self {
        let n: usize = user.sizes.iter().sum();
        let none = vec![vec![0; user.accounts.len()]; n];
        Self::Central {
            counters: user
                .accounts
                .iter()
                .map(|(_, rate, burst)| Meter::new(*rate, *burst, 0))
                .collect(),
            limit: Meter::new(PLATFORM_WRITES, PLATFORM_WRITES, 0),
            batch: is_batched.then(|| none.clone()),
            wanted: none,
            cost: (0, 0),
        }
    }

    pub fn owner(user: &User, lease: u64) -> Self {
        let parts: Vec<Part> = user
            .accounts
            .iter()
            .map(|(_, rate, burst)| Part {
                rate_milli: u64::from(*rate) * 1_000,
                burst: u64::from(*burst),
            })
            .collect();
        let n: usize = user.sizes.iter().sum();
        let owners = parts.iter().enumerate();
        Self::Owner {
            lease: lease * SECOND,
            owners: owners
                .map(|(i, part)| (i * 7 % n, lease * SECOND, full_time(*part, 0)))
                .collect(),
            parts,
            cost: (0, 0),
        }
    }

    pub fn shared(user: &User, terms: Terms, has_gifts: bool, seed: u64) -> Self {
        let faults = Faults {
            max_delay: Duration::from_millis(60),
            skew: Duration::from_millis(200),
            ..Faults::default()
        };
        let fleet = Fleet::new(user.sizes, bundle(1, user.accounts), terms, faults, seed);
        Self::Shared {
            slots: (0..fleet.instances.len()).collect(),
            fleet: Box::new(fleet),
            has_gifts,
            peer_messages: 0,
        }
    }

    /// Replaces a process by one with empty memory.
    pub fn restart(&mut self, slot: usize, world: &World) {
        match self {
            Self::Fixed(buckets) => {
                for bucket in &mut buckets[slot] {
                    *bucket = full_time(bucket.part(), world.time);
                }
            }
            Self::Central { batch, .. } => {
                if let Some(batch) = batch {
                    batch[slot].fill(0);
                }
            }
            Self::Owner { .. } => {}
            Self::Shared { fleet, slots, .. } => {
                fleet.crash(slots[slot]);
                slots[slot] = fleet.start(world.data_centre_of[slot]);
            }
        }
    }

    pub fn crash(&mut self, slot: usize) {
        match self {
            Self::Shared { fleet, slots, .. } => fleet.crash(slots[slot]),
            // An owner that died gives up its lease only by time.
            Self::Owner { owners, .. } => {
                for owner in owners.iter_mut().filter(|owner| owner.0 == slot) {
                    owner.0 = usize::MAX;
                }
            }
            Self::Fixed(_) | Self::Central { .. } => {}
        }
    }

    pub fn admit(&mut self, slot: usize, account: usize, world: &World) -> bool {
        let time = world.time;
        match self {
            Self::Fixed(buckets) => is_spent(&mut buckets[slot][account], time),
            Self::Central {
                counters,
                limit,
                batch: None,
                cost,
                ..
            } => {
                let is_served = world.reaches_platform(slot) && limit.take(time);
                if is_served {
                    cost.0 += 2;
                    cost.1 += 2 * COUNTER_BYTES;
                }
                is_served && counters[account].take(time)
            }
            Self::Central {
                batch: Some(batch),
                wanted,
                ..
            } => {
                wanted[slot][account] += 1;
                let tokens = &mut batch[slot][account];
                let is_granted = *tokens > 0;
                *tokens = tokens.saturating_sub(1);
                is_granted
            }
            Self::Owner { owners, .. } => {
                let (owner, until, bucket) = &mut owners[account];
                let is_held = *owner != usize::MAX && time < *until;
                is_held && world.is_connected(slot, *owner) && is_spent(bucket, time)
            }
            Self::Shared { fleet, slots, .. } => {
                fleet.time = time;
                fleet.admit(slots[slot], key(account))
            }
        }
    }

    /// Does what happens between requests; called every 10 ms.
    pub fn tick(&mut self, world: &World) {
        match self {
            Self::Fixed(_) => {}
            Self::Central {
                counters,
                batch,
                wanted,
                cost,
                ..
            } => {
                let is_due = world.time.is_multiple_of(BATCH_US);
                if let (Some(batch), true) = (batch, is_due) {
                    draw(counters, batch, wanted, cost, world);
                }
            }
            Self::Owner {
                lease,
                owners,
                parts,
                cost,
            } => {
                if world.time.is_multiple_of(SECOND) {
                    own(*lease, owners, parts, cost, world);
                }
            }
            Self::Shared {
                fleet,
                slots,
                has_gifts,
                peer_messages,
            } => {
                fleet.time = world.time;
                fleet.platform.is_up = world.is_up;
                fleet.cut_off = world.is_linked.iter().map(|is_linked| !is_linked).collect();
                fleet.deliver();
                share(fleet, slots, world);
                if *has_gifts && world.time.is_multiple_of(ASK_US) {
                    pass(fleet, slots, world, peer_messages);
                }
            }
        }
    }

    /// Returns platform calls, platform bytes and messages between peers.
    pub fn cost(&self) -> (u64, u64, u64) {
        match self {
            Self::Fixed(_) => (0, 0, 0),
            Self::Central { cost, .. } | Self::Owner { cost, .. } => (cost.0, cost.1, 0),
            Self::Shared {
                fleet,
                peer_messages,
                ..
            } => (fleet.platform.calls, fleet.platform.bytes, *peer_messages),
        }
    }
}

fn key(account: usize) -> AccountKey {
    AccountKey::from(account)
}

fn full_time(part: Part, now: u64) -> Bucket {
    let mut bucket = Bucket::empty(MonoTime(now));
    bucket.set_part(part, MonoTime::MAX);
    bucket
}

fn is_spent(bucket: &mut Bucket, time: u64) -> bool {
    bucket.spend(MonoTime(time)) == Admission::Granted
}

/// Draws what the last interval asked for from the central counters, in one call an instance.
fn draw(
    counters: &mut [Meter],
    batch: &mut [Vec<u64>],
    wanted: &mut [Vec<u64>],
    cost: &mut (u64, u64),
    world: &World,
) {
    for slot in 0..batch.len() {
        if !world.is_alive[slot] || !world.reaches_platform(slot) {
            continue;
        }
        cost.0 += 2;
        cost.1 += 2 * COUNTER_BYTES * counters.len() as u64;
        for account in 0..counters.len() {
            let aim = wanted[slot][account] + 1;
            while batch[slot][account] < aim && counters[account].take(world.time) {
                batch[slot][account] += 1;
            }
            wanted[slot][account] = 0;
        }
    }
}

/// Renews the owners' leases and gives accounts whose lease has run out to the next instance.
fn own(
    lease: u64,
    owners: &mut [(usize, u64, Bucket)],
    parts: &[Part],
    cost: &mut (u64, u64),
    world: &World,
) {
    for (account, (owner, until, bucket)) in owners.iter_mut().enumerate() {
        let is_live = *owner != usize::MAX && world.is_alive[*owner];
        if is_live && world.reaches_platform(*owner) && *until < world.time + lease / 2 {
            *until = world.time + lease;
            cost.0 += 2;
            cost.1 += 2 * COUNTER_BYTES;
        }
        let is_free = *until + SECOND < world.time;
        let heir = (0..world.is_alive.len())
            .map(|i| (account * 7 + i) % world.is_alive.len())
            .find(|slot| world.is_alive[*slot] && world.reaches_platform(*slot));
        if let (true, Some(heir)) = (is_free, heir) {
            *owner = heir;
            *until = world.time + lease;
            *bucket = full_time(parts[account], world.time);
            cost.0 += 2;
            cost.1 += 2 * COUNTER_BYTES;
        }
    }
}

fn share(fleet: &mut Fleet, slots: &[usize], world: &World) {
    let offset = world.time % SECOND;
    if offset == 0 {
        fleet.report();
    }
    // Data centres write one after the other, after the reports of the second have arrived.
    for dc in 0..world.is_linked.len() {
        if offset != 200_000 + dc as u64 * 50_000 {
            continue;
        }
        let writer = slots
            .iter()
            .copied()
            .find(|i| fleet.instances[*i].is_alive && fleet.instances[*i].data_centre == dc);
        if let Some(writer) = writer {
            fleet.write(writer);
        }
    }
}

/// Lets each instance that lacks budget ask the next peer in turn.
fn pass(fleet: &mut Fleet, slots: &[usize], world: &World, messages: &mut u64) {
    let alive: Vec<usize> = (0..slots.len())
        .filter(|slot| world.is_alive[*slot])
        .collect();
    let turn = (world.time / ASK_US) as usize;
    for (rank, slot) in alive.iter().enumerate() {
        *messages += fleet.acknowledge(slots[*slot]);
        let others = alive.len() - 1;
        for i in 0..ASKED.min(others) {
            let giver = alive[(rank + 1 + (turn * ASKED + i) % others) % alive.len()];
            if !world.is_connected(*slot, giver) {
                continue;
            }
            let mono = fleet.instances[slots[*slot]].now(world.time).mono;
            let giver_mono = fleet.instances[slots[giver]].now(world.time).mono;
            let mut has_asked = false;
            for account in 0..fleet.bundle.accounts.len() {
                let budgets = &mut fleet.instances[slots[*slot]].budgets;
                let lack = budgets.lack(key(account), mono);
                let demand = budgets.demand_milli(key(account));
                has_asked |= lack > 0;
                let budgets = &mut fleet.instances[slots[giver]].budgets;
                let tokens = lack.min(budgets.spare(key(account), demand, giver_mono));
                if tokens > 0 {
                    // One message gives, one acknowledges.
                    *messages += 2;
                    fleet.pass(slots[giver], slots[*slot], key(account), tokens);
                }
            }
            *messages += u64::from(has_asked);
        }
    }
}
