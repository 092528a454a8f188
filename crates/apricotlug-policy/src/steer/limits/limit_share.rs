//! Part of a limit over all instances together that one instance may use.
//!
//! Each instance divides such a limit by what it knows of the others, and no two know the same at any
//! time: instances start together and learn of each other one by one, entries lapse while the store is
//! away, groups lose sight of each other. The parts of all instances should add up to little more than
//! the limit all the same:
//! - An instance uses nothing until its own entry has been written for a while, so that others count it,
//!   and until it has read the entries once more after that time.
//! - It counts the largest number of instances that it has known lately.
//! - Each group of instances that gets a different number of requests has a part of its own, so that the
//!   limit also holds for those that few callers come to.
//!
//! What remains is entries that others read later than that, and groups that never knew of each other.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime};

use crate::steer::placement::{object_hash, rank_weight};

/// Time after the first read of the others' entries, and after the own entry was written, from which a
/// read lets an instance use its share. Instances that started together learn of each other meanwhile.
const SETTLING_TIME: Duration = Duration::from_millis(600);

/// Time for which a number of known instances counts at least. It outlasts entries that lapse while
/// the store is away, and come back.
const MEMORY: Duration = Duration::from_secs(10);

/// Instances that differ in how many requests for backend servers of a region come to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Group {
    /// In the region, listed by look-ups.
    Listed,
    /// In the region, left out by look-ups.
    Unlisted,
    /// In another region, listed by look-ups.
    RemoteListed,
    /// In another region, left out by look-ups.
    RemoteUnlisted,
}

impl Group {
    const ALL: [Self; 4] = [
        Self::Listed,
        Self::Unlisted,
        Self::RemoteListed,
        Self::RemoteUnlisted,
    ];

    /// Returns the part of a limit for all instances of the group together. Most requests for the
    /// backend servers of a region come to its listed instances, and a part that nobody uses is lost.
    fn part(self) -> f64 {
        match self {
            Self::Listed => 0.8,
            Self::Unlisted => 0.08,
            Self::RemoteListed => 0.1,
            Self::RemoteUnlisted => 0.02,
        }
    }

    /// Returns the group of an instance with regard to a region, or to all regions for `None`.
    fn of(instance: KnownInstance, region: Option<u64>) -> Self {
        let is_local = region.is_none_or(|region| instance.region == region);
        match (is_local, instance.is_listed) {
            (true, true) => Self::Listed,
            (true, false) => Self::Unlisted,
            (false, true) => Self::RemoteListed,
            (false, false) => Self::RemoteUnlisted,
        }
    }
}

/// Instance that is known to this one, or this one itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownInstance {
    name: u64,
    region: u64,
    is_listed: bool,
}

impl KnownInstance {
    /// Creates it from its name, its region and whether look-ups list it.
    #[must_use]
    pub fn new(name: &str, region: &str, is_listed: bool) -> Self {
        Self {
            name: name_hash(name),
            region: name_hash(region),
            is_listed,
        }
    }
}

fn name_hash(name: &str) -> u64 {
    object_hash("", name)
}

/// Number of instances in each group.
#[derive(Clone, Copy, Debug, Default)]
struct GroupSizes([usize; Group::ALL.len()]);

impl GroupSizes {
    fn max(self, other: Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i].max(other.0[i])))
    }

    fn of(self, group: Group) -> usize {
        self.0[group as usize]
    }

    /// Returns the share of one instance of a group. Parts of groups without any instance go to the
    /// others.
    fn share(self, group: Group) -> f64 {
        let present = Group::ALL.into_iter().filter(|group| self.of(*group) > 0);
        let sum: f64 = present.map(Group::part).sum();
        group.part() / sum / self.of(group).max(1) as f64
    }
}

/// Share with regard to one region, or to all of them.
#[derive(Clone, Debug, Default)]
struct Scope {
    /// Largest sizes in the current span of [`MEMORY`] and in the one before.
    largest: [GroupSizes; 2],
    share: f64,
    /// The same, also before the others have been known for a while.
    unsettled_share: f64,
    /// Integral of the share over time up to the last update, in seconds.
    accrued_s: f64,
}

/// Share of this instance in limits over all instances together. Nothing until the others are known.
#[derive(Clone, Debug, Default)]
pub struct LimitShare {
    own: u64,
    known: Vec<KnownInstance>,
    first_read_at: Option<MonoTime>,
    entered_at: Option<MonoTime>,
    is_settled: bool,
    memory_ends_at: MonoTime,
    updated_at: MonoTime,
    overall: Scope,
    /// By hash of the region's name.
    regions: HashMap<u64, Scope>,
}

impl LimitShare {
    /// Records that this instance's entry has been written. Only the first call counts.
    pub fn on_entered(&mut self, now: MonoTime) {
        self.entered_at.get_or_insert(now);
    }

    /// Records that the entries of all instances have been read, or changes of them.
    pub fn on_read(&mut self, now: MonoTime) {
        let first_read_at = *self.first_read_at.get_or_insert(now);
        self.is_settled |= self.entered_at.is_some_and(|entered_at| {
            let from = entered_at.max(first_read_at).after(SETTLING_TIME);
            from.is_past(now)
        });
    }

    /// Updates the share by the instances known at `now`, among them this one, `own`. `regions` are all
    /// regions of the system.
    pub fn update<'a>(
        &mut self,
        own: &str,
        known: Vec<KnownInstance>,
        regions: impl Iterator<Item = &'a str>,
        now: MonoTime,
    ) {
        for region in regions {
            self.regions.entry(name_hash(region)).or_default();
        }
        let own = name_hash(own);
        let Some(instance) = known.iter().copied().find(|other| other.name == own) else {
            return;
        };
        let is_new_span = self.memory_ends_at.is_past(now);
        if is_new_span {
            self.memory_ends_at = now.after(MEMORY);
        }
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        let scopes = self.regions.iter_mut();
        let scopes = scopes.map(|(region, scope)| (Some(*region), scope));
        for (region, scope) in scopes.chain([(None, &mut self.overall)]) {
            scope.accrued_s += scope.share * elapsed_s;
            if is_new_span {
                scope.largest = [GroupSizes::default(), scope.largest[0]];
            }
            let mut sizes = GroupSizes::default();
            for other in &known {
                sizes.0[Group::of(*other, region) as usize] += 1;
            }
            scope.largest[0] = scope.largest[0].max(sizes);
            let largest = scope.largest[0].max(scope.largest[1]);
            scope.unsettled_share = largest.share(Group::of(instance, region));
            scope.share = if self.is_settled {
                scope.unsettled_share
            } else {
                0.0
            };
        }
        self.own = own;
        self.known = known;
        self.updated_at = now;
    }

    /// Returns the hash of this instance's name.
    #[must_use]
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Returns the part of a limit that this instance may use, 0 to 1.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.overall.share
    }

    /// Returns the same by what is known so far, also before the others have been known for a while: 1
    /// for an instance that has read the entries and found no other one, 0 for one that has read
    /// nothing. The parts of instances that start together may add up to more than the limit.
    #[must_use]
    pub fn unsettled(&self) -> f64 {
        match self.first_read_at {
            None => 0.0,
            // The first update comes later.
            Some(_) if self.known.is_empty() => 1.0,
            Some(_) => self.overall.unsettled_share,
        }
    }

    /// Returns the part, 0 to 1, of a limit on requests to a backend server in a region. Instances of
    /// that region have the larger part.
    #[must_use]
    pub fn in_region(&self, region: &str) -> f64 {
        self.scope(region).share
    }

    /// Returns the integral of [`Self::in_region`] over time, in seconds. It does not depend on when
    /// the share changed between two of its uses.
    #[must_use]
    pub fn accrued_s(&self, region: &str, now: MonoTime) -> f64 {
        let scope = self.scope(region);
        scope.accrued_s + scope.share * now.since(self.updated_at).as_secs_f64()
    }

    /// Returns the place of this instance among those that have the same share in a region, as a
    /// fraction of their number. `salt` draws the order. An instance more or less moves the others by
    /// one place at most.
    #[must_use]
    pub fn place(&self, region: &str, salt: u64) -> f64 {
        let own_weight = rank_weight(self.own, salt);
        let region = Some(name_hash(region));
        let known = || self.known.iter().copied();
        let group = known().find(|other| other.name == self.own);
        let group = group.map(|own| Group::of(own, region));
        let alike = || known().filter(|other| Some(Group::of(*other, region)) == group);
        let before = alike().filter(|other| rank_weight(other.name, salt) > own_weight);
        (before.count() as f64 + 0.5) / alike().count().max(1) as f64
    }

    fn scope(&self, region: &str) -> &Scope {
        let scope = self.regions.get(&name_hash(region));
        scope.unwrap_or(&self.overall)
    }
}
