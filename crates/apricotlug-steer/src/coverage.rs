//! Whose figures an instance has, where relays report sums for the others.
//!
//! A relay that hears nothing of some instances must not take what it hears for the figures of all, or
//! each side of a cut would divide the whole of a limit.

use std::{collections::HashSet, time::Duration};

use apricotlug_config::SiteSettings;
use apricotlug_model::{HashMap, MonoTime};

use crate::peers::Peers;

/// Time without a datagram of another relay after which it no longer covers those it reported for.
const RELAY_DATAGRAM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Last datagram of another relay.
#[derive(Clone, Debug)]
pub(crate) struct RelayReport {
    /// Run of the relay.
    pub run: u64,
    /// Time of the report.
    pub at: MonoTime,
    /// Hashes of the names of the instances whose figures it included. None at all means that the relay
    /// does not tell, as one of an earlier version: it then counts for all instances.
    pub covered: Vec<u64>,
}

/// Last response of the relay that this instance polls.
#[derive(Clone, Debug)]
pub(crate) struct PolledRelay {
    /// Run of the relay.
    pub run: u64,
    /// Time of the response.
    pub at: MonoTime,
    /// Hashes of the names of the instances whose figures it did not include.
    pub missing: Vec<u64>,
}

/// Instances by the hashes of their names: those for which this one reports, and those whose figures it
/// does not have.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coverage {
    /// Last datagram of each other relay, by run.
    relays: HashMap<u64, RelayReport>,
    own: Vec<u64>,
    missing: HashSet<u64>,
}

impl Coverage {
    /// Records a datagram of another relay. Returns whether it covers instances whose figures were
    /// missing. It counts at once: figures must not be passed on before it is told whose they are.
    pub fn on_relay_report(&mut self, report: RelayReport) -> bool {
        let missing = self.missing.len();
        for name in &report.covered {
            self.missing.remove(name);
        }
        self.relays.insert(report.run, report);
        self.missing.len() < missing
    }

    /// Returns whether a response covers instances whose figures were missing.
    pub fn is_less_missing(&self, missing: &[u64]) -> bool {
        self.missing.iter().any(|name| !missing.contains(name))
    }

    /// Records that an instance polls this one.
    pub fn on_client(&mut self, name: u64) {
        if self.missing.remove(&name) {
            self.own.push(name);
        }
    }

    /// Forgets the datagrams of other relays, where this instance is none.
    pub fn forget_relays(&mut self) {
        self.relays.clear();
    }

    /// Updates the coverage. `own` are this instance and those that poll it, `relay` is the recent
    /// response of the relay that this instance polls, `known` are all other instances.
    pub fn update(
        &mut self,
        own: Vec<u64>,
        relay: Option<&PolledRelay>,
        known: impl Iterator<Item = u64>,
        now: MonoTime,
    ) {
        let is_fresh = |report: &RelayReport| now.since(report.at) < RELAY_DATAGRAM_TIMEOUT;
        self.relays.retain(|_, report| is_fresh(report));
        let mut reports = self.relays.values();
        self.missing = match relay {
            Some(relay) => relay.missing.iter().copied().collect(),
            None if reports.any(|report| report.covered.is_empty()) => HashSet::new(),
            None => {
                let reported = self.relays.values().flat_map(|report| &report.covered);
                let covered: HashSet<u64> = reported.chain(&own).copied().collect();
                known.filter(|name| !covered.contains(name)).collect()
            }
        };
        self.own = own;
    }

    /// Returns this instance and those that poll it.
    pub fn own(&self) -> &[u64] {
        &self.own
    }

    /// Returns the instances whose figures are missing.
    pub fn missing(&self) -> Vec<u64> {
        self.missing.iter().copied().collect()
    }

    /// Returns the number of known instances, or of listed ones only, whose figures are missing.
    pub fn count_missing(
        &self,
        peers: &Peers,
        settings: &SiteSettings,
        listed_only: bool,
    ) -> usize {
        if self.missing.is_empty() {
            return 0;
        }
        peers.count_among(settings, listed_only, &self.missing)
    }
}
