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

/// When a relay reported last, and for which instances.
#[derive(Clone, Debug)]
pub(crate) struct RelayReport {
    /// Run of the relay.
    pub run: u64,
    /// Time of the report.
    pub at: MonoTime,
    /// Hashes of the names of the instances whose figures the report included. None at all means that
    /// the relay does not tell, as one of an earlier version: it then counts for all instances.
    pub covered: Vec<u64>,
}

/// Instances whose figures this one has, by the hashes of their names, as of the last update.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coverage {
    /// Last report of each other relay, by run.
    relays: HashMap<u64, RelayReport>,
    own: Vec<u64>,
    all: HashSet<u64>,
    is_untold: bool,
}

impl Coverage {
    /// Records a datagram of another relay. It counts at once: figures must not be passed on before it is
    /// told whose they are.
    pub fn on_relay_report(&mut self, report: RelayReport) {
        self.all.extend(&report.covered);
        self.relays.insert(report.run, report);
    }

    /// Returns whether a report covers instances whose figures were missing as of the last update.
    pub fn grows_by(&self, covered: &[u64]) -> bool {
        covered.iter().any(|name| !self.all.contains(name))
    }

    /// Records that an instance polls this one.
    pub fn on_client(&mut self, name: u64) {
        if self.all.insert(name) {
            self.own.push(name);
        }
    }

    /// Forgets the datagrams of other relays, where this instance is none.
    pub fn forget_relays(&mut self) {
        self.relays.clear();
    }

    /// Updates the coverage. `own` are this instance and those that poll it, `relay` is the recent report
    /// of the relay that this instance polls.
    pub fn update(
        &mut self,
        own: impl Iterator<Item = u64>,
        relay: Option<&RelayReport>,
        now: MonoTime,
    ) {
        let is_fresh = |report: &RelayReport| now.since(report.at) < RELAY_DATAGRAM_TIMEOUT;
        self.relays.retain(|_, report| is_fresh(report));
        self.own = own.collect();
        let reports = relay.into_iter().chain(self.relays.values());
        self.is_untold = reports.clone().any(|report| report.covered.is_empty());
        let reported = reports.flat_map(|report| &report.covered);
        self.all = self.own.iter().chain(reported).copied().collect();
    }

    /// Returns this instance and those that poll it.
    pub fn own(&self) -> &[u64] {
        &self.own
    }

    /// Returns all instances whose figures are known.
    pub fn all(&self) -> Vec<u64> {
        self.all.iter().copied().collect()
    }

    /// Returns the number of known instances, or of listed ones only, whose figures are missing.
    pub fn count_missing(
        &self,
        peers: &Peers,
        settings: &SiteSettings,
        listed_only: bool,
    ) -> usize {
        match self.is_untold {
            true => 0,
            false => peers.count_uncovered(settings, listed_only, &self.all),
        }
    }
}
