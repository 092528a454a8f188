//! Other instances: those that the store lists, and those that are heard.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use apricotlug_config::SiteSettings;
use apricotlug_model::{HashMap, MonoTime};
use serde::{Deserialize, Serialize};

/// Silence after which an instance is not named to callers: a few datagrams may be lost.
const SILENT: Duration = Duration::from_millis(1_500);

/// Silence after which what an instance may admit unheard is set aside.
const UNHEARD: Duration = Duration::from_millis(700);

/// Time for which an instance that the store has just listed counts as heard.
const NEW: Duration = Duration::from_millis(2_000);

/// Instances above which a few in each region tell the others.
const RELAY_FROM: usize = 16;

/// Multiple of an instance's link that the widest one of its region may have while it still carries
/// traffic.
pub(crate) const CARRIER_PART: u32 = 2;

/// Instances of a region that tell the others.
const HUBS: usize = 2;

/// Instances that read the store and tell the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hubs {
    /// Whether there are so many instances that not all talk to all.
    pub is_needed: bool,
    /// Whether this instance is one of them.
    pub is_own: bool,
    /// Addresses of those of the own region, without this one.
    pub near: Vec<SocketAddr>,
    /// Addresses of all, without this one.
    pub all: Vec<SocketAddr>,
}

/// Instances that carry the traffic, among which bounds on it are split.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carriers {
    /// How many there are.
    pub count: usize,
    /// Whether this instance is one.
    pub is_own: bool,
    /// Place of this instance among them in the order of names; behind all where it is none.
    pub own_place: usize,
}

/// What an instance tells of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Run of the process.
    pub run: u64,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for datagrams.
    pub peer: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Bandwidth of its link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: u32,
}

/// Another instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it tells of itself.
    pub info: MemberInfo,
    /// Whether the store lists it.
    pub is_listed: bool,
    /// When the store listed this run.
    pub listed_at: MonoTime,
    /// When its last datagram came.
    pub heard_at: Option<MonoTime>,
    /// Number of that datagram.
    pub sequence: u64,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

impl Member {
    fn is_heard(&self, now: MonoTime, within: Duration) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < within)
    }

    fn is_live(&self, now: MonoTime, is_large: bool) -> bool {
        // Where instances are many, few send datagrams: the list alone tells who lives.
        let is_trusted = is_large || now.since(self.listed_at) < NEW;
        !self.is_leaving && ((self.is_listed && is_trusted) || self.is_heard(now, SILENT))
    }
}

/// All other instances, by name.
#[derive(Clone, Debug, Default)]
pub struct Peers(HashMap<String, Member>);

impl Peers {
    /// Takes up the entry of an instance. Returns the run that it replaces.
    pub fn list(&mut self, name: &str, info: MemberInfo, now: MonoTime) -> Option<u64> {
        let old = self.0.get_mut(name);
        if let Some(member) = old
            && member.info == info
        {
            member.is_listed = true;
            return None;
        }
        let member = Member {
            info,
            is_listed: true,
            listed_at: now,
            heard_at: None,
            sequence: 0,
            is_leaving: false,
        };
        self.0
            .insert(name.to_owned(), member)
            .map(|old| old.info.run)
    }

    /// Takes an instance off the list. One that is still heard stays until it falls silent.
    pub fn remove(&mut self, name: &str) {
        if let Some(member) = self.0.get_mut(name) {
            member.is_listed = false;
        }
    }

    /// Notes a datagram. Returns whether it is newer than what was heard of that run.
    pub fn on_heard(
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
        member.heard_at = Some(now);
        member.is_leaving = is_leaving;
        true
    }

    /// Forgets instances that are neither listed nor heard. Returns their runs.
    pub fn sweep(&mut self, now: MonoTime) -> Vec<u64> {
        let is_gone = |member: &Member| !member.is_listed && !member.is_heard(now, SILENT);
        let gone = self.0.values().filter(|member| is_gone(member));
        let gone = gone.map(|member| member.info.run).collect();
        self.0.retain(|_, member| !is_gone(member));
        gone
    }

    /// Returns the runs that were heard once and have fallen silent.
    #[must_use]
    pub fn silent_runs(&self, now: MonoTime) -> Vec<u64> {
        let silent = self
            .0
            .values()
            .filter(|member| !member.is_heard(now, SILENT));
        silent.map(|member| member.info.run).collect()
    }

    /// Returns the number of instances, this one included, that may be at work.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.len() + 1
    }

    /// Returns the number of instances that may be at work and are not heard.
    #[must_use]
    pub fn unheard(&self, now: MonoTime) -> usize {
        let unheard = self.0.values().filter(|m| !m.is_heard(now, UNHEARD));
        unheard.count()
    }

    /// Returns the instances that carry the traffic: in each region those whose links are about as
    /// wide as the widest one. All are taken that may be at work, and this one itself.
    #[must_use]
    pub fn carriers(&self, settings: &SiteSettings) -> Carriers {
        let width = settings.link_mbps as u32;
        let mut widest: HashMap<&str, u32> = HashMap::default();
        widest.insert(settings.region(), width);
        for member in self.0.values() {
            let region = settings.region_of(&member.info.data_centre);
            let most = widest.entry(region).or_default();
            *most = member.info.link_mbps.max(*most);
        }
        let carries = |region: &str, width: u32| {
            let most = widest.get(region).copied().unwrap_or_default();
            width.saturating_mul(CARRIER_PART) >= most
        };
        let others = self.iter().filter(|(_, member)| {
            let region = settings.region_of(&member.info.data_centre);
            carries(region, member.info.link_mbps)
        });
        let names: Vec<_> = others.map(|(name, _)| name).collect();
        let own = settings.instance.as_str();
        let is_own = carries(settings.region(), width);
        Carriers {
            count: names.len() + usize::from(is_own),
            is_own,
            own_place: if is_own {
                names.iter().filter(|name| **name < own).count()
            } else {
                names.len()
            },
        }
    }

    /// Returns the number of live instances before a name, in the order of names.
    #[must_use]
    pub fn rank_of(&self, own: &str, now: MonoTime) -> usize {
        self.live(now).filter(|(name, _)| *name < own).count()
    }

    /// Iterates over the instances to which callers may be sent.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = (&str, &Member)> {
        let is_large = self.is_large();
        self.iter()
            .filter(move |(_, member)| member.is_live(now, is_large))
    }

    fn is_large(&self) -> bool {
        self.count() > RELAY_FROM
    }

    /// Returns the instances that tell the others: the live ones of each region with the widest
    /// links, by name among equals.
    #[must_use]
    pub fn hubs(&self, settings: &SiteSettings, now: MonoTime) -> Hubs {
        if !self.is_large() {
            return Hubs::default();
        }
        type Candidate<'a> = (Reverse<u32>, &'a str, Option<SocketAddr>);
        let mut regions: BTreeMap<&str, Vec<Candidate<'_>>> = BTreeMap::new();
        for (name, member) in self.live(now) {
            let region = settings.region_of(&member.info.data_centre);
            let all = regions.entry(region).or_default();
            let width = Reverse(member.info.link_mbps);
            all.push((width, name, Some(member.info.peer)));
        }
        let own = regions.entry(settings.region()).or_default();
        let width = Reverse(settings.link_mbps as u32);
        own.push((width, &settings.instance, None));
        let mut hubs = Hubs {
            is_needed: true,
            ..Hubs::default()
        };
        for (region, all) in &mut regions {
            all.sort_unstable();
            for (_, _, peer) in all.iter().take(HUBS) {
                match peer {
                    None => hubs.is_own = true,
                    Some(addr) => {
                        hubs.all.push(*addr);
                        if *region == settings.region() {
                            hubs.near.push(*addr);
                        }
                    }
                }
            }
        }
        hubs
    }

    /// Iterates over all instances.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.0.iter().map(|(name, member)| (name.as_str(), member))
    }
}
