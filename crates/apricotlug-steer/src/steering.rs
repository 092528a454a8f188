//! State on which an instance bases its steering decisions.

use std::time::Duration;

use apricotlug_config::SiteSettings;
use apricotlug_model::{HashMap, MonoTime, Plan};
use apricotlug_policy::steer::{AgainBudget, BackendKey, Fleet, Quotas, Tick, Waits, object_hash};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    moves::{KEPT, Moves},
    peers::{Carriers, Hubs, Peers},
    wire::{Ask, Busy, Proof, Pulse, Spent, Told},
};

/// Time without a report after which a relay no longer stands for all other instances.
const RELAY_SILENT: Duration = Duration::from_millis(1_800);

/// Fewest requests in flight at a backend server that a relay includes in its responses.
const TOLD_FROM: u16 = 2;

/// Datagrams of a run up to which it counts as recently started: three seconds' worth.
const YOUNG: u64 = 20;

/// Time without a request after which an instance no longer counts as a relay client.
const ASKER_SILENT: Duration = Duration::from_millis(3_000);

/// State on which an instance bases its steering decisions.
#[derive(Debug)]
pub struct Gate {
    /// Backend servers and what is known of their load.
    pub fleet: Fleet,
    /// Admission rates of client accounts.
    pub quotas: Quotas,
    /// Other instances.
    pub peers: Peers,
    /// Moves of services to other versions.
    pub moves: Moves,
    /// How long callers usually wait, by route.
    pub waits: Waits,
    /// Random source for draws.
    pub rng: SmallRng,
    again: HashMap<String, AgainBudget>,
    retry: (Duration, f64, f64),
    /// Runs that poll this instance as a relay, each with the time of its last request. This
    /// instance reports their figures to others.
    asking: HashMap<u64, MonoTime>,
    /// Run of the relay that reports for all other instances, and the time of its last report.
    relay: Option<(u64, MonoTime)>,
    hubs: Hubs,
    carriers: Carriers,
    accounts: HashMap<u64, String>,
    busy: HashMap<u64, Vec<Busy>>,
    hashes: HashMap<u64, BackendKey>,
}

impl Gate {
    /// Creates the state of a new run, without any backend server, plan or peer.
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
            asking: HashMap::default(),
            relay: None,
            hubs: Hubs::default(),
            carriers: Carriers::default(),
            accounts: HashMap::default(),
            busy: HashMap::default(),
            hashes: HashMap::default(),
        }
    }

    /// Applies the client accounts of a new plan.
    pub fn on_plan(&mut self, plan: &Plan, now: MonoTime) {
        for account in plan.accounts.values() {
            self.quotas
                .set(&account.id, account.rate, account.burst, now);
            self.accounts
                .insert(name_hash(&account.id), account.id.clone());
        }
    }

    /// Records the key of a backend server, under the hash of its id.
    pub fn on_backend(&mut self, id: &str, key: BackendKey) {
        self.hashes.insert(name_hash(id), key);
    }

    /// Returns the retry budget of a service, which is created on first use.
    pub fn again(&mut self, service: &str) -> &mut AgainBudget {
        let (window, ratio, slack) = self.retry;
        self.again
            .entry(service.to_owned())
            .or_insert_with(|| AgainBudget::new(window, ratio, slack))
    }

    /// Takes one retry from a service's budget. Returns whether one was available.
    pub fn take_again(&mut self, service: &str, now: MonoTime) -> bool {
        let instances = self.carriers.count;
        self.again(service).take(now, instances)
    }

    /// Starts a new interval between two datagrams: selects relays, drops silent instances and
    /// shares out rates again.
    pub fn tick(&mut self, settings: &SiteSettings, now: MonoTime) {
        self.hubs = self.peers.hubs(settings, now);
        self.carriers = self.peers.carriers(settings);
        self.drop_silent(now);
        let instances = self.peers.count();
        let is_told = self
            .relay
            .is_some_and(|(_, at)| now.since(at) < RELAY_SILENT);
        let tick = match (self.hubs.is_needed, self.hubs.is_own) {
            (false, _) => Tick {
                instances,
                silent: self.peers.unheard(now),
                is_told: false,
            },
            (true, true) => Tick {
                instances,
                silent: 0,
                is_told: true,
            },
            (true, false) => Tick {
                instances,
                silent: if is_told { 0 } else { instances - 1 },
                is_told,
            },
        };
        self.quotas.tick(tick, now);
    }

    fn drop_silent(&mut self, now: MonoTime) {
        let relay = self.relay.map(|(run, _)| run);
        for run in self.peers.silent_runs(now) {
            if !self.asking.contains_key(&run) && Some(run) != relay {
                self.set_busy(run, Vec::new());
            }
        }
        for run in self.peers.sweep(now) {
            self.forget(run);
        }
        let gone = self.asking.iter();
        let gone = gone.filter(|(_, at)| now.since(**at) >= ASKER_SILENT);
        let gone: Vec<_> = gone.map(|(run, _)| *run).collect();
        for run in gone {
            self.forget(run);
        }
        if self.hubs.is_needed && !self.hubs.is_own {
            self.quotas.retain(|run| Some(run) == relay);
        }
    }

    /// Removes a run of another instance. Figures that this instance reported for it stay counted.
    pub fn forget(&mut self, run: u64) {
        let speaks_for = self.asking.remove(&run).is_some();
        self.quotas.forget(run, speaks_for);
        self.moves.forget(run, speaks_for);
        self.set_busy(run, Vec::new());
        self.busy.remove(&run);
    }

    /// Returns the relays as selected at the last tick.
    #[must_use]
    pub fn hubs(&self) -> &Hubs {
        &self.hubs
    }

    /// Returns the instances that look-ups list, as counted at the last tick.
    #[must_use]
    pub fn carriers(&self) -> Carriers {
        self.carriers
    }

    /// Records the figures that a relay client reports with its request.
    pub fn on_ask(&mut self, ask: &Ask, now: MonoTime) {
        // Without relays, the datagrams of every instance carry the same figures.
        if !self.hubs.is_needed {
            return;
        }
        let is_first = self.asking.insert(ask.run, now).is_none();
        if is_first {
            // As a relay this run reported for others too, and those now report through another
            // relay.
            self.quotas.forget(ask.run, false);
        }
        self.on_spent(ask.run, &ask.spent, is_first);
        for proof in &ask.proofs {
            self.moves.on_proof(ask.run, proof.order, proof.counts);
        }
        self.set_busy(ask.run, ask.busy.clone());
    }

    /// Fills a response to a run with the figures of all instances except that one.
    pub fn tell(&self, run: u64, told: &mut Told) {
        told.spent = spent(&self.quotas, |other| other != run);
        told.proofs = self.moves.proofs(|other| other != run).collect();
        told.busy = self.busy(|other| other != run);
        told.busy.retain(|one| one.requests >= TOLD_FROM);
    }

    /// Fills a relay request with this instance's own figures.
    pub fn report(&self, ask: &mut Ask) {
        ask.spent = spent(&self.quotas, |_| false);
        ask.proofs = self.moves.proofs(|_| false).collect();
        ask.busy = self.busy(|_| false);
    }

    /// Returns the requests in flight from this instance and the runs it reports for, by backend
    /// server.
    fn busy(&self, speaks_for: impl Fn(u64) -> bool) -> Vec<Busy> {
        let mut sums: HashMap<u64, u16> = HashMap::default();
        for (_, entry) in self.fleet.iter().filter(|(_, entry)| entry.own > 0) {
            let own = u16::try_from(entry.own).unwrap_or(u16::MAX);
            sums.insert(name_hash(&entry.backend.id), own);
        }
        for (_, all) in self.busy.iter().filter(|(run, _)| speaks_for(**run)) {
            for one in all {
                let sum = sums.entry(one.backend).or_default();
                *sum = sum.saturating_add(one.requests);
            }
        }
        let sums = sums.into_iter();
        sums.map(|(backend, requests)| Busy { backend, requests })
            .collect()
    }

    /// Records a relay's response, which reports for all other instances.
    pub fn on_told(&mut self, told: &Told, now: MonoTime) {
        let old = self.relay.replace((told.run, now)).map(|(run, _)| run);
        let is_first = old != Some(told.run);
        if let Some(old) = old.filter(|_| is_first) {
            self.quotas.forget(old, false);
            self.moves.drop_run(old);
            self.set_busy(old, Vec::new());
        }
        self.on_spent(told.run, &told.spent, is_first);
        for proof in &told.proofs {
            self.moves.on_proof(told.run, proof.order, proof.counts);
        }
        self.set_busy(told.run, told.busy.clone());
    }

    fn on_spent(&mut self, run: u64, all: &[Spent], is_first: bool) {
        for one in all {
            if let Some(account) = self.accounts.get(&one.account) {
                let demand = f64::from(one.demand);
                self.quotas
                    .on_report(run, account, one.admitted, demand, is_first);
            }
        }
    }

    /// Builds this instance's next datagram.
    #[must_use]
    pub fn pulse(&self, name: &str, run: u64, sequence: u64, is_leaving: bool) -> Pulse {
        Pulse {
            name: name.to_owned(),
            run,
            sequence,
            is_leaving,
            spent: spent(&self.quotas, |run| self.asking.contains_key(&run)),
            busy: self.busy(|run| self.asking.contains_key(&run)),
            proofs: self
                .moves
                .proofs(|run| run == KEPT || self.asking.contains_key(&run))
                .collect(),
        }
    }

    /// Records a datagram. One that is a duplicate, late or from an unknown run is ignored.
    pub fn on_pulse(&mut self, pulse: Pulse, now: MonoTime) {
        let run = pulse.run;
        let is_news = self
            .peers
            .on_heard(&pulse.name, run, pulse.sequence, pulse.is_leaving, now);
        if !is_news {
            return;
        }
        let was_asking = self.asking.remove(&run).is_some();
        if was_asking {
            // This run has become a relay and reports to all other relays itself.
            self.quotas.forget(run, true);
        }
        // All usage of a recently started run is recent. What a longer running one admitted before
        // its first datagram arrived here may be old and is not charged to the account.
        let is_old = pulse.sequence > YOUNG;
        self.on_spent(run, &pulse.spent, is_old || was_asking);
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

/// Hashes a name to the number that identifies it in messages between instances.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    object_hash("", name)
}

fn spent(quotas: &Quotas, speaks_for: impl Fn(u64) -> bool) -> Vec<Spent> {
    let totals = quotas.totals(speaks_for);
    let spent = totals.map(|(account, admitted, demand)| Spent {
        account: name_hash(account),
        admitted,
        demand: demand as f32,
    });
    spent.collect()
}
