//! Other instances: those registered in the store and those that send datagrams.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use apricotlug_config::SiteSettings;
use apricotlug_model::{HashMap, MonoTime};
use serde::{Deserialize, Serialize};

/// Time without a datagram after which look-ups no longer list an instance. It spans several
/// datagrams, because a few may be lost.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a datagram after which an instance counts as unreported, so that a share is set
/// aside for what it may admit meanwhile.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after its registration for which an instance counts as live without a datagram.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// Largest number of instances that all exchange datagrams with each other. Above it, a few relays
/// in each region report to the others.
const MAX_MESHED_INSTANCES: usize = 16;

/// Largest ratio of the fastest link in a region to an instance's own link at which look-ups still
/// list the instance.
pub(crate) const MAX_LINK_RATIO: u32 = 2;

/// Relays in each region.
const RELAYS_PER_REGION: usize = 2;

/// Instances that read the store and report to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Relays {
    /// Whether there are too many instances for all of them to exchange datagrams directly.
    pub is_needed: bool,
    /// Whether this instance is a relay.
    pub includes_self: bool,
    /// Peer addresses of the relays in this instance's region, except this instance.
    pub same_region: Vec<SocketAddr>,
    /// Peer addresses of all relays, except this instance.
    pub all: Vec<SocketAddr>,
}

/// Entry that an instance writes to the store about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Random number that identifies the run of the process.
    pub run: u64,
    /// Address on which callers connect.
    pub caller: SocketAddr,
    /// Address for datagrams and relay requests.
    pub peer: SocketAddr,
    /// Data centre from the instance's settings.
    pub data_centre: String,
    /// Bandwidth of the instance's link, in Mbit/s; 0 if the entry has none.
    #[serde(default)]
    pub link_mbps: u32,
}

/// Entry of an instance as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMember {
    /// What the instance says about itself.
    #[serde(flatten)]
    pub info: MemberInfo,
    /// Era of the store in which the entry was written; 0 where the store names none.
    #[serde(default)]
    pub era: u64,
}

/// Another instance, as known from its entry and its datagrams.
#[derive(Clone, Debug)]
pub struct Member {
    /// Entry of the instance in the store.
    pub info: MemberInfo,
    /// Whether the store still has the entry.
    pub is_registered: bool,
    /// When this run's entry was first read.
    pub registered_at: MonoTime,
    /// When the last datagram of this run arrived; `None` before the first one.
    pub last_datagram_at: Option<MonoTime>,
    /// Sequence number of the last datagram; 0 before the first one.
    pub sequence: u64,
    /// Whether the last datagram reported that the instance is leaving.
    pub is_leaving: bool,
}

impl Member {
    fn reported_within(&self, now: MonoTime, within: Duration) -> bool {
        self.last_datagram_at
            .is_some_and(|at| now.since(at) < within)
    }

    fn is_live(&self, now: MonoTime, uses_relays: bool) -> bool {
        // With relays, few instances send datagrams, so the store's entry alone decides.
        let is_entry_sufficient = uses_relays || now.since(self.registered_at) < REGISTRATION_GRACE;
        !self.is_leaving
            && ((self.is_registered && is_entry_sufficient)
                || self.reported_within(now, LIVENESS_TIMEOUT))
    }
}

/// All other instances, by name.
#[derive(Clone, Debug, Default)]
pub struct Peers(HashMap<String, Member>);

impl Peers {
    /// Records the entry of an instance. Returns the run that it replaces, if the entry differs
    /// from the known one.
    pub fn register(&mut self, name: &str, info: MemberInfo, now: MonoTime) -> Option<u64> {
        let known = self.0.get_mut(name);
        if let Some(member) = known
            && member.info == info
        {
            member.is_registered = true;
            return None;
        }
        let member = Member {
            info,
            is_registered: true,
            registered_at: now,
            last_datagram_at: None,
            sequence: 0,
            is_leaving: false,
        };
        self.0
            .insert(name.to_owned(), member)
            .map(|known| known.info.run)
    }

    /// Returns whether an instance is registered with another run.
    #[must_use]
    pub fn has_other_run(&self, name: &str, run: u64) -> bool {
        let known = self.0.get(name);
        known.is_some_and(|member| member.is_registered && member.info.run != run)
    }

    /// Marks an instance's entry as removed. An instance that still sends datagrams stays until
    /// they cease.
    pub fn deregister(&mut self, name: &str) {
        if let Some(member) = self.0.get_mut(name) {
            member.is_registered = false;
        }
    }

    /// Records a datagram. Returns whether it belongs to the registered run and is newer than the
    /// last one.
    pub fn on_datagram(
        &mut self,
        name: &str,
        run: u64,
        sequence: u64,
        is_leaving: bool,
        now: MonoTime,
    ) -> bool {
        let Some(member) = self.0.get_mut(name) else {
            return false;
        };
        if member.info.run != run || sequence <= member.sequence {
            return false;
        }
        member.sequence = sequence;
        member.last_datagram_at = Some(now);
        member.is_leaving = is_leaving;
        true
    }

    /// Removes instances that neither have an entry nor send datagrams. Returns their runs.
    pub fn sweep(&mut self, now: MonoTime) -> Vec<u64> {
        let is_expired = |member: &Member| {
            !member.is_registered && !member.reported_within(now, LIVENESS_TIMEOUT)
        };
        let expired = self.0.values().filter(|member| is_expired(member));
        let expired = expired.map(|member| member.info.run).collect();
        self.0.retain(|_, member| !is_expired(member));
        expired
    }

    /// Returns the runs whose last datagram is older than `LIVENESS_TIMEOUT`, and those that sent
    /// none.
    #[must_use]
    pub fn stale_runs(&self, now: MonoTime) -> Vec<u64> {
        let stale = self
            .0
            .values()
            .filter(|member| !member.reported_within(now, LIVENESS_TIMEOUT));
        stale.map(|member| member.info.run).collect()
    }

    /// Returns the number of known instances that may be running, including this one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.len() + 1
    }

    /// Returns the number of other instances that may be running and have not reported recently.
    #[must_use]
    pub fn count_unreported(&self, now: MonoTime) -> usize {
        let unreported = self
            .0
            .values()
            .filter(|member| !member.reported_within(now, REPORT_TIMEOUT));
        unreported.count()
    }

    /// Returns the number of live instances whose names sort before `own`.
    #[must_use]
    pub fn rank_of(&self, own: &str, now: MonoTime) -> usize {
        self.live(now).filter(|(name, _)| *name < own).count()
    }

    /// Iterates over the instances to which callers may be sent.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = (&str, &Member)> {
        let uses_relays = self.uses_relays();
        self.iter()
            .filter(move |(_, member)| member.is_live(now, uses_relays))
    }

    fn uses_relays(&self) -> bool {
        self.count() > MAX_MESHED_INSTANCES
    }

    /// Selects the relays: in each region the live instances with the fastest links, in order of
    /// names among equals.
    #[must_use]
    pub fn relays(&self, settings: &SiteSettings, now: MonoTime) -> Relays {
        if !self.uses_relays() {
            return Relays::default();
        }
        type Candidate<'a> = (Reverse<u32>, &'a str, Option<SocketAddr>);
        let mut regions: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
        for (name, member) in self.live(now) {
            let region = settings.region_of(&member.info.data_centre);
            let candidates = regions.entry(region).or_default();
            let bandwidth = Reverse(member.info.link_mbps);
            candidates.push((bandwidth, name, Some(member.info.peer)));
        }
        let own = regions.entry(settings.region()).or_default();
        let bandwidth = Reverse(settings.link_mbps as u32);
        own.push((bandwidth, &settings.instance, None));
        let mut relays = Relays {
            is_needed: true,
            ..Relays::default()
        };
        for (region, candidates) in &mut regions {
            candidates.sort_unstable();
            for (_, _, peer) in candidates.iter().take(RELAYS_PER_REGION) {
                match peer {
                    None => relays.includes_self = true,
                    Some(addr) => {
                        relays.all.push(*addr);
                        if *region == settings.region() {
                            relays.same_region.push(*addr);
                        }
                    }
                }
            }
        }
        relays
    }

    /// Iterates over all other instances.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.0.iter().map(|(name, member)| (name.as_str(), member))
    }
}
