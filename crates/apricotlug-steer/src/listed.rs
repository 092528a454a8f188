//! Which instances look-ups list: in each region those whose link is not much slower than the fastest
//! one. All known instances that may be running are considered.

use std::collections::HashSet;

use apricotlug_config::SiteSettings;
use apricotlug_model::HashMap;
use apricotlug_policy::steer::KnownInstance;

use crate::{
    peers::{MAX_LINK_RATIO, Peers},
    steering::name_hash,
};

/// Instances that look-ups list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedInstances {
    /// Number of listed instances, this one included if it is listed.
    pub count: usize,
    /// Whether this instance is listed.
    pub includes_self: bool,
    /// Index of this instance among the listed ones in order of names, from 0; equal to `count`
    /// if it is not listed.
    pub own_index: usize,
}

impl Peers {
    /// Returns the instances that look-ups list, among the known ones and this one.
    #[must_use]
    pub fn listed_instances(&self, settings: &SiteSettings) -> ListedInstances {
        let own = settings.instance.as_str();
        let mut listed = ListedInstances::default();
        let mut before_own = 0;
        for (name, _, is_listed) in self.with_listing(settings) {
            listed.count += usize::from(is_listed);
            listed.includes_self |= is_listed && name == own;
            before_own += usize::from(is_listed && name < own);
        }
        listed.own_index = if listed.includes_self {
            before_own
        } else {
            listed.count
        };
        listed
    }

    /// Returns the number of other known instances, or of listed ones only, whose names are among the
    /// hashes.
    #[must_use]
    pub(crate) fn count_among(
        &self,
        settings: &SiteSettings,
        listed_only: bool,
        hashes: &HashSet<u64>,
    ) -> usize {
        let sharing = self.with_listing(settings);
        let sharing = sharing.filter(|(_, _, is_listed)| *is_listed || !listed_only);
        let others = sharing.filter(|(name, ..)| *name != settings.instance);
        let found = others.filter(|(name, ..)| hashes.contains(&name_hash(name)));
        found.count()
    }

    /// Returns all known instances and this one.
    #[must_use]
    pub fn known_instances(&self, settings: &SiteSettings) -> Vec<KnownInstance> {
        let known = self.with_listing(settings);
        let known =
            known.map(|(name, region, is_listed)| KnownInstance::new(name, region, is_listed));
        known.collect()
    }

    /// Iterates over the names of all known instances and this one, each with its region and whether
    /// look-ups list it.
    fn with_listing<'a>(
        &'a self,
        settings: &'a SiteSettings,
    ) -> impl Iterator<Item = (&'a str, &'a str, bool)> {
        let own = (
            settings.instance.as_str(),
            settings.region(),
            settings.link_mbps as u32,
        );
        let others = self.iter().map(|(name, member)| {
            let region = settings.region_of(&member.info.data_centre);
            (name, region, member.info.link_mbps)
        });
        let all: Vec<_> = others.chain([own]).collect();
        let mut fastest: HashMap<&str, u32> = HashMap::default();
        for (_, region, bandwidth) in &all {
            let max_mbps = fastest.entry(*region).or_default();
            *max_mbps = (*max_mbps).max(*bandwidth);
        }
        all.into_iter().map(move |(name, region, bandwidth)| {
            let max_mbps = fastest.get(region).copied().unwrap_or_default();
            let is_listed = bandwidth.saturating_mul(MAX_LINK_RATIO) >= max_mbps;
            (name, region, is_listed)
        })
    }
}
