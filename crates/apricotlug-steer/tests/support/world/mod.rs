//! Model of a store and the instances that read it: calls take time, and are lost, turned away or
//! answered from old data.

mod calls;
mod checks;
mod store;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use apricotlug_adapter::{Change, Listing, WatchResponse};
use apricotlug_model::{BootTime, MonoTime, StoreVersion};
use apricotlug_policy::steer::{Read, ReadLimits, ReadSchedule, ReadSources};
use apricotlug_steer::{ChangeLog, EraGrace};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use store::{PLAN, Store, number_of};

const REGIONS: usize = 3;
const RELAYS_PER_REGION: usize = 2;
const MAX_MESHED: usize = 16;
pub const MIN_BACKOFF: u64 = 50;

/// Time of the first drill, and the longest time after which the operator writes again.
const FIRST_DRILL: u64 = 8_000;
const MAX_REWRITE: u64 = 1_400;

/// Bounds of an installation, times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    pub instances: usize,
    /// Time within which a confirmed change is in force.
    pub apply: u64,
    /// Time without trouble after which an instance has to keep that.
    pub touch: u64,
    /// Whether the store comes back from older copies at times.
    pub has_drills: bool,
}

impl Sheet {
    pub const fn new(instances: usize, apply: u64, touch: u64) -> Self {
        Self {
            instances,
            apply,
            touch,
            has_drills: false,
        }
    }

    pub const fn with_drills(self) -> Self {
        Self {
            has_drills: true,
            ..self
        }
    }
}

/// Trouble of an instance or, as `Refused` and `Cut`, of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// The store turns its calls away.
    Refused,
    /// Nothing passes between it and the store.
    Cut,
    /// Nothing passes between it and anything else.
    Isolated,
    /// Its process is restarted.
    Restart,
    /// Its process stands still.
    Frozen,
}

enum Answer {
    Failed,
    HistoryGone,
    /// The store answered a watch under this era, which is not that of the watch.
    OtherEra(u64),
    Members,
    Listing(Listing),
    Watched(WatchResponse),
    Polled {
        is_full: bool,
        changes: Vec<Change>,
        version: StoreVersion,
        /// Time of the last read of the instance that was polled.
        read_at: Option<u64>,
        /// Whether that instance does not know its state to be current.
        is_behind: bool,
    },
}

enum Op {
    Sleep {
        until: u64,
    },
    /// On its way to the store or to an instance, or waiting there.
    Sent {
        read: Read,
        at: u64,
        reaches: u64,
        gives_up: u64,
    },
    Answered {
        read: Read,
        at: u64,
        arrives: u64,
        gives_up: u64,
        answer: Answer,
    },
}

struct Instance {
    region: usize,
    /// One-way delay to the store.
    store_delay: u64,
    trouble: Trouble,
    trouble_until: u64,
    next_trouble: u64,
    /// Time at which it is restarted together with others.
    next_restart: u64,
    calm_since: u64,
    started: u64,
    /// Whether it has listed the others since its start.
    knows_others: bool,
    schedule: ReadSchedule,
    log: ChangeLog,
    /// Number of the write of each item that is held.
    held: BTreeMap<String, u64>,
    era_grace: EraGrace,
    read_at: Option<u64>,
    /// Time until which it passes its state on as current.
    passes_on_until: u64,
    backoff: u64,
    op: Op,
}

fn boot(ms: u64) -> BootTime {
    BootTime(ms * 1_000)
}

fn millis(at: BootTime) -> u64 {
    at.0 / 1_000
}

pub struct World {
    sheet: Sheet,
    now: u64,
    rng: SmallRng,
    store: Store,
    next_drill: u64,
    instances: Vec<Instance>,
}

impl World {
    pub const TICK_MS: u64 = 10;

    pub fn new(sheet: Sheet, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut store = Store::default();
        store.write(0, PLAN, true);
        let limits = ReadLimits::new(Duration::from_millis(sheet.apply));
        let instances = (0..sheet.instances).map(|i| Instance {
            region: i % REGIONS,
            store_delay: [1, 20, rng.random_range(20..60)][i % REGIONS],
            trouble: Trouble::None,
            trouble_until: 0,
            next_trouble: u64::MAX,
            next_restart: u64::MAX,
            calm_since: 0,
            started: 0,
            knows_others: false,
            schedule: ReadSchedule::new(limits),
            log: ChangeLog::default(),
            held: BTreeMap::new(),
            era_grace: EraGrace::default(),
            read_at: None,
            passes_on_until: 0,
            backoff: MIN_BACKOFF,
            op: Op::Sleep {
                until: rng.random_range(0..300),
            },
        });
        let instances = instances.collect();
        Self {
            sheet,
            now: 0,
            rng,
            store,
            next_drill: FIRST_DRILL,
            instances,
        }
    }

    /// Lets one tick pass. The instances act in random order.
    pub fn tick(&mut self) {
        self.now += Self::TICK_MS;
        self.drill();
        self.write_to_store();
        self.make_trouble();
        let mut order: Vec<_> = (0..self.instances.len()).collect();
        for i in (1..order.len()).rev() {
            order.swap(i, self.rng.random_range(0..=i));
        }
        for i in order {
            self.act(i);
        }
    }

    fn chance(&mut self, per_s: f64) -> bool {
        self.rng.random::<f64>() < per_s * Self::TICK_MS as f64 / 1_000.0
    }

    fn write_to_store(&mut self) {
        // Quiet times, and storms of changes.
        let per_s = if self.now / 4_000 % 3 == 1 { 5.0 } else { 0.3 };
        if self.chance(per_s) {
            self.store.write(self.now, PLAN, true);
        }
        if self.chance(2.0) {
            let key = format!("backend-{}", self.rng.random_range(0..6));
            let is_put = self.rng.random();
            self.store.write(self.now, &key, is_put);
        }
        if self.chance(0.05) {
            self.store.dropped = self.store.revision;
        }
    }

    /// Lets the store go back to a copy some seconds old at times. The operator writes the last plan
    /// again soon after it is back.
    fn drill(&mut self) {
        if self.store.rewrites_at.is_some_and(|at| self.now >= at) {
            self.store.rewrite_plan(self.now);
        }
        if !self.sheet.has_drills || self.now < self.next_drill {
            return;
        }
        let back_at = self.now + self.rng.random_range(100..1_500);
        let copied_at = self.now.saturating_sub(self.rng.random_range(500..6_000));
        let rewrites_at = back_at + self.rng.random_range(100..MAX_REWRITE);
        self.store.go_back(copied_at.max(1), rewrites_at);
        self.store.trouble_until = back_at;
        self.store.is_silent = self.rng.random();
        self.next_drill = rewrites_at + self.rng.random_range(5_000..15_000);
    }

    fn make_trouble(&mut self) {
        if self.now < self.store.trouble_until {
            self.store.calm_since = self.now;
        } else if self.chance(0.03) {
            self.store.trouble_until = self.now + self.rng.random_range(100..5_000);
            self.store.is_silent = self.rng.random();
            if self.rng.random_bool(0.4) {
                self.restart_many();
            }
        }
        for i in 0..self.instances.len() {
            if self.now < self.instances[i].trouble_until {
                self.instances[i].calm_since = self.now;
                continue;
            }
            let has_ended = self.instances[i].trouble != Trouble::None;
            self.instances[i].trouble = Trouble::None;
            if has_ended && self.rng.random() {
                // Troubles come in series: the next one hits the instance that this one reads from.
                let other = self.sources(i).others.first().map(SocketAddr::port);
                let at = self.now + self.rng.random_range(0..1_500);
                if let Some(other) = other {
                    self.instances[usize::from(other)].next_trouble = at;
                }
            }
            let is_next = self.now >= self.instances[i].next_trouble;
            let restarts = self.now >= self.instances[i].next_restart;
            if is_next || restarts || self.chance(0.06) {
                self.instances[i].next_trouble = u64::MAX;
                let trouble = match self.rng.random_range(0..9) {
                    _ if restarts => Trouble::Restart,
                    0..3 => Trouble::Refused,
                    3..6 => Trouble::Cut,
                    6 => Trouble::Isolated,
                    7 => Trouble::Frozen,
                    _ => Trouble::Restart,
                };
                let until = self.now + self.rng.random_range(300..6_000);
                let is_restart = trouble == Trouble::Restart;
                let instance = &mut self.instances[i];
                instance.trouble = trouble;
                instance.trouble_until = until;
                instance.calm_since = self.now;
                if is_restart {
                    instance.next_restart = u64::MAX;
                    instance.knows_others = false;
                    instance.schedule = ReadSchedule::new(instance.schedule.limits());
                    instance.log = ChangeLog::default();
                    instance.held.clear();
                    instance.era_grace = EraGrace::default();
                    instance.read_at = None;
                    instance.passes_on_until = 0;
                    instance.backoff = MIN_BACKOFF;
                    instance.started = until;
                    instance.op = Op::Sleep { until };
                }
            }
        }
    }

    /// Lets many instances lose power at once, some time into a trouble of the store.
    fn restart_many(&mut self) {
        let at = self.now + self.rng.random_range(0..4_000);
        for instance in &mut self.instances {
            if self.rng.random_bool(0.6) {
                instance.next_restart = at;
            }
        }
    }

    fn addr(i: usize) -> SocketAddr {
        ([10, 0, 0, 1], i as u16).into()
    }

    fn is_running(&self, i: usize) -> bool {
        self.instances[i].trouble != Trouble::Restart
    }

    fn is_frozen(&self, i: usize) -> bool {
        self.instances[i].trouble == Trouble::Frozen
    }

    fn sources(&self, i: usize) -> ReadSources {
        if !self.instances[i].knows_others {
            return ReadSources {
                is_listed: i % 4 != 3,
                ..ReadSources::default()
            };
        }
        let region = self.instances[i].region;
        let uses_relays = self.instances.len() > MAX_MESHED;
        // Two instances of each region in turn are the relays while all run.
        let is_relay = |other: usize| other < REGIONS * RELAYS_PER_REGION;
        let mut others: Vec<_> = (0..self.instances.len())
            .filter(|other| *other != i && self.is_running(*other))
            .filter(|other| !uses_relays || is_relay(*other))
            .map(|other| (self.instances[other].region != region, other))
            .collect();
        others.sort_unstable();
        let mut sources = ReadSources {
            others: others
                .into_iter()
                .map(|(_, other)| Self::addr(other))
                .collect(),
            is_listed: i % 4 != 3,
            ..ReadSources::default()
        };
        if uses_relays {
            let in_region = (0..self.instances.len())
                .filter(|other| self.instances[*other].region == region && self.is_running(*other));
            let relays: Vec<_> = in_region.take(RELAYS_PER_REGION).collect();
            if !relays.contains(&i) && !relays.is_empty() {
                let relay = Self::addr(relays[i / REGIONS % relays.len()]);
                sources.relay = Some(relay);
                sources.listing_relay = Some(relay).filter(|_| !sources.is_listed);
            }
        }
        sources
    }

    fn is_relay(&self, i: usize) -> bool {
        self.instances.len() > MAX_MESHED && self.sources(i).relay.is_none()
    }

    fn mono(&self) -> MonoTime {
        MonoTime::default().after(Duration::from_millis(self.now))
    }

    /// Returns whether the store answers calls of an instance: `None` if nothing comes back.
    fn store_answers(&self, i: usize) -> Option<bool> {
        let is_down = self.now < self.store.trouble_until;
        match self.instances[i].trouble {
            Trouble::Cut | Trouble::Isolated => None,
            _ if is_down && self.store.is_silent => None,
            Trouble::Refused => Some(false),
            _ => Some(!is_down),
        }
    }

    fn is_isolated(&self, i: usize) -> bool {
        self.instances[i].trouble == Trouble::Isolated
    }

    fn delay(&self, i: usize, read: Read) -> u64 {
        match read {
            Read::Poll { instance, .. } => {
                let other = usize::from(instance.port());
                if self.instances[other].region == self.instances[i].region {
                    1
                } else {
                    30
                }
            }
            _ => self.instances[i].store_delay,
        }
    }
}

impl Instance {
    /// Applies a listing. Returns whether it was not older than what is known.
    fn apply_listing(&mut self, listing: &Listing, read_at: u64, now: MonoTime) -> bool {
        let changes = self.log.on_listing(listing, boot(read_at));
        let is_newer = changes.is_ok();
        changes.iter().for_each(|listed| {
            if listed.replaced_era.is_some() {
                self.era_grace.start(now);
            }
            self.apply(&listed.changes, Some(read_at), now);
        });
        is_newer
    }

    /// Applies what another instance passed on. Returns whether it was not older than what is known.
    fn apply_polled(
        &mut self,
        is_full: bool,
        changes: Vec<Change>,
        version: StoreVersion,
        read_at: u64,
        now: MonoTime,
    ) -> bool {
        if is_full {
            let items = changes.into_iter().filter_map(Change::into_item).collect();
            return self.apply_listing(&Listing { items, version }, read_at, now);
        }
        let is_recorded = self.log.on_changes(&changes, version, boot(read_at));
        if is_recorded.is_ok() {
            self.apply(&changes, Some(read_at), now);
        }
        is_recorded.is_ok()
    }

    /// Applies changes as an instance does: an older plan is never put in force, and reads are no
    /// news of plans while one may be missing.
    fn apply(&mut self, changes: &[Change], read_at: Option<u64>, now: MonoTime) {
        for change in changes {
            match change {
                Change::Put(item) => {
                    let held = self.held.entry(item.key.clone()).or_default();
                    *held = match item.key.as_str() {
                        PLAN => (*held).max(number_of(item)),
                        _ => number_of(item),
                    };
                }
                Change::Removed(key) if key == PLAN => {}
                Change::Removed(key) => {
                    self.held.remove(key);
                }
            }
        }
        if !self.era_grace.may_lack_plan(now) {
            self.read_at = self.read_at.max(read_at);
        }
    }
}
