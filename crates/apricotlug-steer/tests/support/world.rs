//! Model of a store and the instances that read it: calls take time, and are lost, turned away or
//! answered from old data.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use apricotlug_adapter::{Change, Item, Listing};
use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{Read, ReadLimits, ReadSchedule, ReadSources};
use apricotlug_steer::{ChangeLog, Delta};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const REGIONS: usize = 3;
const RELAYS_PER_REGION: usize = 2;
const MAX_MESHED: usize = 16;
const PLAN: &str = "plan";
const MIN_BACKOFF: u64 = 50;
const MAX_BACKOFF: u64 = 400;
const LIST_LIMIT: u64 = 2_500;
const WATCH_SLACK: u64 = 700;

/// Bounds of an installation, times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    pub instances: usize,
    /// Time within which a confirmed change is in force.
    pub apply: u64,
    /// Time without trouble after which an instance has to keep that.
    pub touch: u64,
}

impl Sheet {
    pub const fn new(instances: usize, apply: u64, touch: u64) -> Self {
        Self {
            instances,
            apply,
            touch,
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
}

enum Answer {
    Failed,
    HistoryGone,
    Members,
    Listing(Listing),
    Changes(Vec<Change>, u64),
    Polled {
        is_full: bool,
        changes: Vec<Change>,
        revision: u64,
        age: Option<u64>,
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
    calm_since: u64,
    started: u64,
    schedule: ReadSchedule,
    log: ChangeLog,
    /// Revision of each item that is held.
    held: BTreeMap<String, u64>,
    read_at: Option<u64>,
    backoff: u64,
    op: Op,
}

#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<String, u64>,
    /// All changes: revision, key, whether it was written or removed.
    changes: Vec<(u64, String, bool)>,
    /// Revisions and times of the plans.
    plans: Vec<(u64, u64)>,
    /// Revision up to which the history is dropped.
    dropped: u64,
    trouble_until: u64,
    is_silent: bool,
    calm_since: u64,
}

impl Store {
    fn write(&mut self, now: u64, key: &str, is_put: bool) {
        self.revision += 1;
        if is_put {
            self.items.insert(key.to_owned(), self.revision);
        } else if self.items.remove(key).is_none() {
            self.revision -= 1;
            return;
        }
        if key == PLAN {
            self.plans.push((self.revision, now));
        }
        self.changes.push((self.revision, key.to_owned(), is_put));
    }

    fn changes_after(&self, after: u64) -> Vec<Change> {
        let first = self
            .changes
            .partition_point(|(revision, ..)| *revision <= after);
        let changes = self.changes[first..].iter();
        changes
            .map(|(revision, key, is_put)| match is_put {
                true => Change::Put(item(key, *revision)),
                false => Change::Removed(key.clone()),
            })
            .collect()
    }

    fn listing(&self) -> Listing {
        Listing {
            items: self
                .items
                .iter()
                .map(|(key, revision)| item(key, *revision))
                .collect(),
            revision: self.revision,
        }
    }
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Vec::new(),
        revision,
    }
}

pub struct World {
    sheet: Sheet,
    now: u64,
    rng: SmallRng,
    store: Store,
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
            calm_since: 0,
            started: 0,
            schedule: ReadSchedule::new(limits),
            log: ChangeLog::default(),
            held: BTreeMap::new(),
            read_at: None,
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
            instances,
        }
    }

    /// Lets one tick pass. The instances act in random order.
    pub fn tick(&mut self) {
        self.now += Self::TICK_MS;
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

    fn make_trouble(&mut self) {
        if self.now < self.store.trouble_until {
            self.store.calm_since = self.now;
        } else if self.chance(0.03) {
            self.store.trouble_until = self.now + self.rng.random_range(100..5_000);
            self.store.is_silent = self.rng.random();
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
                let other = self.sources(i).others[0].port();
                let at = self.now + self.rng.random_range(0..1_500);
                self.instances[usize::from(other)].next_trouble = at;
            }
            let is_next = self.now >= self.instances[i].next_trouble;
            if is_next || self.chance(0.06) {
                self.instances[i].next_trouble = u64::MAX;
                let trouble = match self.rng.random_range(0..8) {
                    0..3 => Trouble::Refused,
                    3..6 => Trouble::Cut,
                    6 => Trouble::Isolated,
                    _ => Trouble::Restart,
                };
                let until = self.now + self.rng.random_range(300..6_000);
                let is_restart = trouble == Trouble::Restart;
                let instance = &mut self.instances[i];
                instance.trouble = trouble;
                instance.trouble_until = until;
                instance.calm_since = self.now;
                if is_restart {
                    instance.schedule = ReadSchedule::new(instance.schedule.limits());
                    instance.log = ChangeLog::default();
                    instance.held.clear();
                    instance.read_at = None;
                    instance.backoff = MIN_BACKOFF;
                    instance.started = until;
                    instance.op = Op::Sleep { until };
                }
            }
        }
    }

    fn addr(i: usize) -> SocketAddr {
        ([10, 0, 0, 1], i as u16).into()
    }

    fn is_running(&self, i: usize) -> bool {
        self.instances[i].trouble != Trouble::Restart
    }

    fn sources(&self, i: usize) -> ReadSources {
        let region = self.instances[i].region;
        let mut others: Vec<_> = (0..self.instances.len())
            .filter(|other| *other != i && self.is_running(*other))
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
        if self.instances.len() > MAX_MESHED {
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

    fn act(&mut self, i: usize) {
        if !self.is_running(i) {
            return;
        }
        let now = self.now;
        let op = std::mem::replace(&mut self.instances[i].op, Op::Sleep { until: 0 });
        let op = match op {
            Op::Sleep { until } if now < until => Op::Sleep { until },
            Op::Sleep { .. } => self.send(i),
            Op::Sent { gives_up, read, .. } | Op::Answered { gives_up, read, .. }
                if now >= gives_up =>
            {
                self.deliver(i, read, now, Answer::Failed)
            }
            Op::Sent {
                read,
                at,
                reaches,
                gives_up,
            } if now < reaches => Op::Sent {
                read,
                at,
                reaches,
                gives_up,
            },
            Op::Sent {
                read,
                at,
                reaches,
                gives_up,
            } => match self.answer(i, read, reaches) {
                Some(answer) => {
                    let arrives = now + self.delay(i, read);
                    Op::Answered {
                        read,
                        at,
                        arrives,
                        gives_up,
                        answer,
                    }
                }
                None => Op::Sent {
                    read,
                    at,
                    reaches,
                    gives_up,
                },
            },
            Op::Answered {
                read,
                at,
                arrives,
                gives_up,
                answer,
            } if now < arrives => Op::Answered {
                read,
                at,
                arrives,
                gives_up,
                answer,
            },
            Op::Answered {
                read,
                at,
                gives_up,
                answer,
                ..
            } => {
                let is_lost = match read {
                    Read::Poll { instance, .. } => {
                        self.is_isolated(i) || self.is_isolated(usize::from(instance.port()))
                    }
                    _ => self.store_answers(i).is_none(),
                };
                if is_lost {
                    Op::Sent {
                        read,
                        at,
                        reaches: u64::MAX,
                        gives_up,
                    }
                } else {
                    self.deliver(i, read, at, answer)
                }
            }
        };
        self.instances[i].op = op;
    }

    fn send(&mut self, i: usize) -> Op {
        let now = self.now;
        let read_at = self.instances[i].read_at;
        let age = read_at.map(|at| Duration::from_millis(now - at));
        let read = self.instances[i]
            .schedule
            .next(&self.sources(i), age, self.mono());
        let limit = match read {
            Read::List | Read::ListMembers => LIST_LIMIT,
            Read::Watch { wait, .. } => wait.as_millis() as u64 + WATCH_SLACK,
            Read::Poll { time_limit, .. } => time_limit.as_millis() as u64,
        };
        Op::Sent {
            read,
            at: now,
            reaches: now + self.delay(i, read),
            gives_up: now + limit,
        }
    }

    /// Returns the answer to a read, once there is one.
    fn answer(&self, i: usize, read: Read, reached: u64) -> Option<Answer> {
        if let Read::Poll {
            instance,
            after,
            wait,
            ..
        } = read
        {
            return self.polled(
                i,
                usize::from(instance.port()),
                after,
                reached + wait.as_millis() as u64,
            );
        }
        if !self.store_answers(i)? {
            return Some(Answer::Failed);
        }
        let store = &self.store;
        match read {
            Read::ListMembers => Some(Answer::Members),
            Read::List => Some(Answer::Listing(store.listing())),
            Read::Watch { after, .. } if after < store.dropped => Some(Answer::HistoryGone),
            Read::Watch { after, wait } => {
                let changes = store.changes_after(after);
                let is_due = !changes.is_empty() || self.now >= reached + wait.as_millis() as u64;
                is_due.then_some(Answer::Changes(changes, store.revision))
            }
            Read::Poll { .. } => None,
        }
    }

    fn polled(&self, i: usize, other: usize, after: u64, wait_until: u64) -> Option<Answer> {
        if self.is_isolated(i) || self.is_isolated(other) {
            return None;
        }
        if !self.is_running(other) || self.instances[other].started + 100 > self.now {
            return Some(Answer::Failed);
        }
        let source = &self.instances[other];
        let (is_full, changes) = match source.log.delta_after(after) {
            Delta::Unchanged(_) if self.now < wait_until => return None,
            Delta::Unchanged(_) => (false, Vec::new()),
            Delta::Changes(changes) => (false, changes),
            Delta::Full(changes) => (true, changes),
        };
        Some(Answer::Polled {
            is_full,
            changes,
            revision: source.log.revision(),
            age: source.read_at.map(|at| self.now - at),
        })
    }

    fn deliver(&mut self, i: usize, read: Read, sent: u64, answer: Answer) -> Op {
        let (now, mono) = (self.now, self.mono());
        let is_relay = self.is_relay(i);
        let uses_relays = self.instances.len() > MAX_MESHED;
        let instance = &mut self.instances[i];
        let is_poll = matches!(read, Read::Poll { .. });
        let mut is_failed = false;
        match answer {
            Answer::Failed if is_poll => instance.schedule.on_poll_failure(mono),
            Answer::Failed => {
                instance.schedule.on_store_failure(mono);
                is_failed = true;
            }
            Answer::HistoryGone => {
                instance.schedule.on_history_dropped();
                is_failed = true;
            }
            Answer::Members => instance.schedule.on_members_listed(),
            Answer::Listing(listing) => {
                instance.schedule.on_store_read(listing.revision);
                instance.apply_listing(&listing, sent);
            }
            Answer::Changes(changes, revision) => {
                instance.schedule.on_store_read(revision);
                instance.log.on_changes(&changes, revision);
                instance.apply(&changes, sent);
            }
            Answer::Polled {
                is_full,
                changes,
                revision,
                age,
            } => {
                let max_age = instance.schedule.limits().max_source_age.as_millis() as u64;
                match age.filter(|age| *age <= max_age) {
                    None => instance.schedule.on_poll_failure(mono),
                    Some(age) => {
                        if uses_relays {
                            instance.schedule.on_store_response();
                        }
                        instance.schedule.on_poll(revision);
                        let read_at = sent.saturating_sub(age);
                        if is_full {
                            let items = changes.into_iter().filter_map(|change| match change {
                                Change::Put(item) => Some(item),
                                Change::Removed(_) => None,
                            });
                            let listing = Listing {
                                items: items.collect(),
                                revision,
                            };
                            instance.apply_listing(&listing, read_at);
                        } else {
                            instance.log.on_changes(&changes, revision);
                            instance.apply(&changes, read_at);
                        }
                    }
                }
            }
        }
        if is_failed {
            let until = now + instance.backoff;
            instance.backoff = (instance.backoff * 2).min(MAX_BACKOFF);
            return Op::Sleep { until };
        }
        instance.backoff = MIN_BACKOFF;
        let is_starting = now < instance.started + 3_000;
        let delay = match (is_starting, is_relay) {
            (true, _) => 300,
            (false, true) => 180,
            (false, false) => 60,
        };
        Op::Sleep { until: now + delay }
    }

    /// Tells of an instance that is in touch and does not hold a plan that was confirmed in time.
    pub fn late_change(&self) -> Option<String> {
        let Sheet { apply, touch, .. } = self.sheet;
        let confirmed = self.now.checked_sub(apply)?;
        let is_calm = |since: u64| self.now >= since + touch;
        if !is_calm(self.store.calm_since) {
            return None;
        }
        let needed = self.last_plan(|(_, at)| at <= confirmed);
        let in_touch = self.instances.iter().enumerate();
        let mut in_touch = in_touch.filter(|(_, instance)| is_calm(instance.calm_since));
        in_touch.find_map(|(i, instance)| {
            let held = instance.held.get(PLAN).copied().unwrap_or_default();
            let age = instance.read_at.map(|at| self.now - at);
            (held < needed).then(|| {
                format!(
                    "at {} ms instance {i} holds {held}, not {needed}; last read {age:?} ms ago",
                    self.now
                )
            })
        })
    }

    /// Tells of an instance that holds less than it claims to know.
    pub fn false_claim(&self) -> Option<String> {
        self.instances.iter().enumerate().find_map(|(i, instance)| {
            let held = instance.held.get(PLAN).copied().unwrap_or_default();
            let claimed = instance.log.revision();
            let by_revision = self.last_plan(|(revision, _)| revision <= claimed);
            let by_time = instance.read_at.map_or(0, |read| self.last_plan(|(_, at)| at < read));
            (held < by_revision.max(by_time)).then(|| {
                format!(
                    "at {} ms instance {i} holds {held}; claims {claimed}, so {by_revision}, read at {:?}, so {by_time}",
                    self.now, instance.read_at
                )
            })
        })
    }

    /// Returns the revision of the last plan that fits; those before it fit too.
    fn last_plan(&self, fits: impl Fn((u64, u64)) -> bool) -> u64 {
        let plans = &self.store.plans;
        let next = plans.partition_point(|plan| fits(*plan));
        next.checked_sub(1).map_or(0, |last| plans[last].0)
    }
}

impl Instance {
    fn apply_listing(&mut self, listing: &Listing, read_at: u64) {
        let changes = self.log.on_listing(listing);
        self.apply(&changes, read_at);
    }

    fn apply(&mut self, changes: &[Change], read_at: u64) {
        for change in changes {
            match change {
                Change::Put(item) => self.held.insert(item.key.clone(), item.revision),
                Change::Removed(key) => self.held.remove(key),
            };
        }
        self.read_at = self.read_at.max(Some(read_at));
    }
}
