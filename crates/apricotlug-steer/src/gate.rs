//! State of all decisions of an instance.

use std::time::Duration;

use apricotlug_config::SiteSettings;
use apricotlug_model::{HashMap, MonoTime, Plan};
use apricotlug_policy::steer::{AgainBudget, BackendKey, Fleet, Quotas, Tick, Waits, object_hash};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    moves::Moves,
    peers::Peers,
    wire::{Busy, Proof, Pulse, Spent},
};

/// State of all decisions.
#[derive(Debug)]
pub struct Gate {
    /// Backend servers.
    pub fleet: Fleet,
    /// Client accounts' rates.
    pub quotas: Quotas,
    /// Other instances.
    pub peers: Peers,
    /// Moves of services to other versions.
    pub moves: Moves,
    /// Times that callers wait.
    pub waits: Waits,
    /// Random source.
    pub rng: SmallRng,
    again: HashMap<String, AgainBudget>,
    retry: (Duration, f64, f64),
    accounts: HashMap<u64, String>,
    busy: HashMap<u64, Vec<Busy>>,
    hashes: HashMap<u64, BackendKey>,
}

impl Gate {
    /// Creates the state of a run that knows nothing yet.
    #[must_use]
    pub fn new(settings: &SiteSettings) -> Self {
        let bounds = &settings.bounds;
        let window = Duration::from_millis(bounds.quota_window_ms.into());
        let retry_window = Duration::from_millis(bounds.retry_window_ms.into());
        Self {
            fleet: Fleet::default(),
            quotas: Quotas::new(
                window,
                bounds.quota_overage,
                bounds.quota_slack,
                settings.is_first_start,
            ),
            peers: Peers::default(),
            moves: Moves::default(),
            waits: Waits::default(),
            rng: SmallRng::from_rng(&mut rand::rng()),
            again: HashMap::default(),
            retry: (retry_window, bounds.retry_ratio, bounds.retry_slack),
            accounts: HashMap::default(),
            busy: HashMap::default(),
            hashes: HashMap::default(),
        }
    }

    /// Takes up a plan's accounts.
    pub fn on_plan(&mut self, plan: &Plan, now: MonoTime) {
        for account in plan.accounts.values() {
            self.quotas
                .set(&account.id, account.rate, account.burst, now);
            self.accounts
                .insert(name_hash(&account.id), account.id.clone());
        }
    }

    /// Takes up a backend server's key.
    pub fn on_backend(&mut self, id: &str, key: BackendKey) {
        self.hashes.insert(name_hash(id), key);
    }

    /// Returns the retry budget of a service.
    pub fn again(&mut self, service: &str) -> &mut AgainBudget {
        let (window, ratio, slack) = self.retry;
        self.again
            .entry(service.to_owned())
            .or_insert_with(|| AgainBudget::new(window, ratio, slack))
    }

    /// Takes one retry of a service out of its budget, if there is one.
    pub fn take_again(&mut self, service: &str, now: MonoTime) -> bool {
        let instances = self.peers.count();
        self.again(service).take(now, instances)
    }

    /// Starts a span between two datagrams.
    pub fn tick(&mut self, now: MonoTime) {
        let tick = Tick {
            instances: self.peers.count(),
            silent: self.peers.unheard(now),
        };
        self.quotas.tick(tick, now);
        for run in self.peers.silent_runs(now) {
            self.set_busy(run, Vec::new());
        }
        for run in self.peers.sweep(now) {
            self.forget(run);
        }
    }

    /// Forgets a run of another instance.
    pub fn forget(&mut self, run: u64) {
        self.quotas.forget(run);
        self.moves.forget(run);
        self.set_busy(run, Vec::new());
        self.busy.remove(&run);
    }

    /// Builds a datagram.
    #[must_use]
    pub fn pulse(&self, name: &str, run: u64, sequence: u64, is_leaving: bool) -> Pulse {
        let spent = self
            .quotas
            .totals()
            .map(|(account, admitted, demand)| Spent {
                account: name_hash(account),
                admitted,
                demand: demand as f32,
            });
        let busy = self.fleet.iter().filter(|(_, entry)| entry.own > 0);
        let busy = busy.map(|(_, entry)| Busy {
            backend: name_hash(&entry.backend.id),
            requests: u16::try_from(entry.own).unwrap_or(u16::MAX),
        });
        Pulse {
            name: name.to_owned(),
            run,
            sequence,
            is_leaving,
            spent: spent.collect(),
            busy: busy.collect(),
            proofs: self.moves.proofs().collect(),
        }
    }

    /// Takes up a datagram.
    pub fn on_pulse(&mut self, pulse: Pulse, now: MonoTime) {
        let run = pulse.run;
        let is_first = !self.busy.contains_key(&run);
        let is_news = self
            .peers
            .on_heard(&pulse.name, run, pulse.sequence, pulse.is_leaving, now);
        if !is_news {
            return;
        }
        for spent in pulse.spent {
            if let Some(account) = self.accounts.get(&spent.account) {
                let demand = f64::from(spent.demand);
                self.quotas
                    .on_report(run, account, spent.admitted, demand, is_first);
            }
        }
        for Proof { order, counts } in pulse.proofs {
            self.moves.on_proof(run, order, counts);
        }
        self.set_busy(run, pulse.busy);
    }

    fn set_busy(&mut self, run: u64, busy: Vec<Busy>) {
        let old = self.busy.insert(run, busy.clone()).unwrap_or_default();
        for one in old {
            if let Some(key) = self.hashes.get(&one.backend) {
                let entry = self.fleet.entry_mut(*key);
                entry.others = entry.others.saturating_sub(one.requests.into());
            }
        }
        for one in busy {
            if let Some(key) = self.hashes.get(&one.backend) {
                self.fleet.entry_mut(*key).others += u32::from(one.requests);
            }
        }
    }
}

/// Hashes a name for datagrams.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    object_hash("", name)
}
