//! Schemes that enforce a budget over all instances.

use std::time::Duration;

use apricotlug_model::{AccountKey, MonoTime};
use apricotlug_policy::budget::{Admission, Bucket, LeaseTerms, Share, apportion};

use crate::{
    fleet::{Faults, Fleet, Meter, bundle},
    load::{SECOND, User},
};

/// Writes per second that the platform accepts.
const PLATFORM_WRITES: u32 = 500;

/// Size of one counter in a platform record, its name included, in bytes.
const COUNTER_BYTES: u64 = 40;

/// Interval at which batches are drawn from central counters.
const BATCH_US: u64 = 100_000;

/// Interval at which instances request tokens from peers.
const BORROW_INTERVAL_US: u64 = 100_000;

/// Peers from which an instance requests tokens in one round.
const PEERS_PER_ROUND: usize = 3;

/// State of the simulated instances, links and platform, the same for all schemes.
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
    /// Equal fixed split of each budget among the instances.
    Fixed(Vec<Vec<Bucket>>),
    /// Counters in the platform, used for each request or in batches.
    Central {
        counters: Vec<Meter>,
        limit: Meter,
        batch: Option<Vec<Vec<u64>>>,
        wanted: Vec<Vec<u64>>,
        cost: (u64, u64),
    },
    /// One instance per account that holds its whole budget under a lease.
    Owner {
        lease: u64,
        owners: Vec<(usize, u64, Bucket)>,
        budgets: Vec<Share>,
        cost: (u64, u64),
    },
    /// Data centre plan and instance plan, with or without lending between instances.
    Shared {
        fleet: Box<Fleet>,
        slots: Vec<usize>,
        has_lending: bool,
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
                slot.push(permanent_bucket(Share { rate_milli, burst }, 0));
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
        let budgets: Vec<Share> = user
            .accounts
            .iter()
            .map(|(_, rate, burst)| Share {
                rate_milli: u64::from(*rate) * 1_000,
                burst: u64::from(*burst),
            })
            .collect();
        let n: usize = user.sizes.iter().sum();
        let owners = budgets.iter().enumerate();
        Self::Owner {
            lease: lease * SECOND,
            owners: owners
                .map(|(i, budget)| (i * 7 % n, lease * SECOND, permanent_bucket(*budget, 0)))
                .collect(),
            budgets,
            cost: (0, 0),
        }
    }

    pub fn shared(user: &User, terms: LeaseTerms, has_lending: bool, seed: u64) -> Self {
        let faults = Faults {
            max_delay: Duration::from_millis(60),
            skew: Duration::from_millis(200),
            ..Faults::default()
        };
        let fleet = Fleet::new(user.sizes, bundle(1, user.accounts), terms, faults, seed);
        Self::Shared {
            slots: (0..fleet.instances.len()).collect(),
            fleet: Box::new(fleet),
            has_lending,
            peer_messages: 0,
        }
    }

    /// Replaces the process in a slot by one without state.
    pub fn restart(&mut self, slot: usize, world: &World) {
        match self {
            Self::Fixed(buckets) => {
                for bucket in &mut buckets[slot] {
                    *bucket = permanent_bucket(bucket.share(), world.time);
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
            // The lease of an owner that crashed stays until it expires.
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
            Self::Fixed(buckets) => try_spend(&mut buckets[slot][account], time),
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
                is_held && world.is_connected(slot, *owner) && try_spend(bucket, time)
            }
            Self::Shared { fleet, slots, .. } => {
                fleet.time = time;
                fleet.admit(slots[slot], key(account))
            }
        }
    }

    /// Runs the periodic work of the scheme; called every 10 ms.
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
                    draw_batches(counters, batch, wanted, cost, world);
                }
            }
            Self::Owner {
                lease,
                owners,
                budgets,
                cost,
            } => {
                if world.time.is_multiple_of(SECOND) {
                    renew_owners(*lease, owners, budgets, cost, world);
                }
            }
            Self::Shared {
                fleet,
                slots,
                has_lending,
                peer_messages,
            } => {
                fleet.time = world.time;
                fleet.platform.is_up = world.is_up;
                fleet.cut_off = world.is_linked.iter().map(|is_linked| !is_linked).collect();
                fleet.deliver();
                update_plans(fleet, slots, world);
                if *has_lending && world.time.is_multiple_of(BORROW_INTERVAL_US) {
                    lend_tokens(fleet, slots, world, peer_messages);
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

fn permanent_bucket(share: Share, now: u64) -> Bucket {
    let mut bucket = Bucket::empty(MonoTime(now));
    bucket.set_share(share, MonoTime::MAX);
    bucket
}

fn try_spend(bucket: &mut Bucket, time: u64) -> bool {
    bucket.spend(MonoTime(time)) == Admission::Granted
}

/// Takes the tokens requested in the last interval from the central counters, one batch per
/// instance.
fn draw_batches(
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
            let target = wanted[slot][account] + 1;
            while batch[slot][account] < target && counters[account].take(world.time) {
                batch[slot][account] += 1;
            }
            wanted[slot][account] = 0;
        }
    }
}

/// Renews the owners' leases and assigns accounts whose lease has expired to the next instance.
fn renew_owners(
    lease: u64,
    owners: &mut [(usize, u64, Bucket)],
    budgets: &[Share],
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
        let successor = (0..world.is_alive.len())
            .map(|i| (account * 7 + i) % world.is_alive.len())
            .find(|slot| world.is_alive[*slot] && world.reaches_platform(*slot));
        if let (true, Some(successor)) = (is_free, successor) {
            *owner = successor;
            *until = world.time + lease;
            *bucket = permanent_bucket(budgets[account], world.time);
            cost.0 += 2;
            cost.1 += 2 * COUNTER_BYTES;
        }
    }
}

fn update_plans(fleet: &mut Fleet, slots: &[usize], world: &World) {
    let offset = world.time % SECOND;
    if offset == 0 {
        fleet.report();
    }
    // Data centres update the plans one after the other, 50 ms apart, from 200 ms into each second,
    // when the reports of that second have arrived.
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

/// Requests tokens for each instance whose demand exceeds its tokens from the next peers in turn.
fn lend_tokens(fleet: &mut Fleet, slots: &[usize], world: &World, messages: &mut u64) {
    let alive: Vec<usize> = (0..slots.len())
        .filter(|slot| world.is_alive[*slot])
        .collect();
    let round = (world.time / BORROW_INTERVAL_US) as usize;
    for (rank, slot) in alive.iter().enumerate() {
        *messages += fleet.acknowledge(slots[*slot]);
        let others = alive.len() - 1;
        for i in 0..PEERS_PER_ROUND.min(others) {
            let lender = alive[(rank + 1 + (round * PEERS_PER_ROUND + i) % others) % alive.len()];
            if !world.is_connected(*slot, lender) {
                continue;
            }
            let mono = fleet.instances[slots[*slot]].now(world.time).mono;
            let lender_mono = fleet.instances[slots[lender]].now(world.time).mono;
            let mut has_requested = false;
            for account in 0..fleet.bundle.accounts.len() {
                let budgets = &mut fleet.instances[slots[*slot]].budgets;
                let shortfall = budgets.shortfall(key(account), mono);
                let demand = budgets.demand_milli(key(account));
                has_requested |= shortfall > 0;
                let budgets = &mut fleet.instances[slots[lender]].budgets;
                let tokens = shortfall.min(budgets.spare_tokens(key(account), demand, lender_mono));
                if tokens > 0 {
                    // One message carries the transfer, one the acknowledgement.
                    *messages += 2;
                    fleet.lend(slots[lender], slots[*slot], key(account), tokens);
                }
            }
            *messages += u64::from(has_requested);
        }
    }
}
