//! State on which an instance bases its steering decisions.

use std::time::Duration;

use apricotlug_config::SiteSettings;
use apricotlug_model::{HashMap, MonoTime, Plan};
use apricotlug_policy::steer::{
    BackendKey, CallerWaits, Fleet, LimitShare, Quotas, RankGate, ReportDelay, ReportInterval,
    ServiceRetryBudget, object_hash, ranks_by_service,
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    coverage::{Coverage, PolledRelay, RelayReport},
    listed::ListedInstances,
    moves::{DEPARTED_REPORTED, Moves},
    peers::{Peers, Relays},
    retry_budgets::RetryBudgets,
    wire::{AccountUsage, BackendLoad, MoveEvidence, RelayRequest, RelayResponse, StatusDatagram},
};

/// Time without a report after which a relay no longer stands for all other instances.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time without a request of a relay client after which its figures no longer count as reported.
const CLIENT_REPORT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Age of a relay's last report from which the figures are asked for, though the store's items are read
/// elsewhere: for instances that look-ups list, and for the others, which poll less often.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);
const MAX_UNLISTED_REPORT_AGE: Duration = Duration::from_millis(1_400);

/// Fewest requests in flight at a backend server that a relay includes in its responses.
const MIN_REPORTED_REQUESTS: u16 = 2;

/// Datagrams of a run up to which it counts as recently started: three seconds' worth.
const RECENT_START_DATAGRAMS: u64 = 20;

/// Time without a request after which an instance no longer counts as a relay client.
const RELAY_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// State on which an instance bases its steering decisions.
#[derive(Debug)]
pub struct SteeringState {
    /// Backend servers and what is known of their load.
    pub fleet: Fleet,
    /// Admission rates of client accounts.
    pub quotas: Quotas,
    /// Other instances.
    pub peers: Peers,
    /// Moves of services to other versions.
    pub moves: Moves,
    /// Part of limits over all instances that this one may use.
    pub limit_share: LimitShare,
    /// How long callers usually wait, by route.
    pub caller_waits: CallerWaits,
    /// Order of requests by rank, for the services where different ranks may compete.
    pub rank_gates: HashMap<String, RankGate>,
    /// Random source for draws.
    pub rng: SmallRng,
    retry_budgets: RetryBudgets,
    /// Runs that poll this instance as a relay, each with the time of its last request. This
    /// instance reports their figures to others.
    relay_clients: HashMap<u64, MonoTime>,
    /// Last report of the relay that reports for all other instances.
    relay: Option<PolledRelay>,
    /// Whose figures this instance has.
    coverage: Coverage,
    relays: Relays,
    listed_instances: ListedInstances,
    accounts_by_hash: HashMap<u64, String>,
    reported_loads: HashMap<u64, Vec<BackendLoad>>,
    backends_by_hash: HashMap<u64, BackendKey>,
    ticked_at: MonoTime,
}

impl SteeringState {
    /// Creates the state of a new run, without any backend server, plan or peer.
    #[must_use]
    pub fn new(settings: &SiteSettings) -> Self {
        let bounds = &settings.bounds;
        let window = Duration::from_millis(bounds.quota_window_ms.into());
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
            limit_share: LimitShare::default(),
            caller_waits: CallerWaits::default(),
            rank_gates: HashMap::default(),
            rng: SmallRng::from_rng(&mut rand::rng()),
            retry_budgets: RetryBudgets::new(bounds),
            relay_clients: HashMap::default(),
            relay: None,
            coverage: Coverage::default(),
            relays: Relays::default(),
            listed_instances: ListedInstances::default(),
            accounts_by_hash: HashMap::default(),
            reported_loads: HashMap::default(),
            backends_by_hash: HashMap::default(),
            ticked_at: MonoTime::default(),
        }
    }

    /// Applies the client accounts and the ranks of a new plan.
    pub fn on_plan(&mut self, plan: &Plan, now: MonoTime) {
        for account in plan.accounts.values() {
            self.quotas
                .set(&account.id, account.rate, account.burst, now);
            self.accounts_by_hash
                .insert(name_hash(&account.id), account.id.clone());
        }
        let mut ranks = ranks_by_service(plan);
        ranks.retain(|_, ranks| ranks.len() > 1);
        self.rank_gates
            .retain(|service, _| ranks.contains_key(service));
        for (service, ranks) in ranks {
            self.rank_gates.entry(service).or_default().set_ranks(ranks);
        }
    }

    /// Records the key of a backend server, under the hash of its id.
    pub fn on_backend(&mut self, id: &str, key: BackendKey) {
        self.backends_by_hash.insert(name_hash(id), key);
    }

    /// Returns the retry budget of a service, which is created on first use.
    pub fn retry_budget(&mut self, service: &str) -> &mut ServiceRetryBudget {
        self.retry_budgets.of_service(service)
    }

    /// Takes one retry from a service's budget. Returns whether one was available.
    pub fn take_retry(&mut self, service: &str, now: MonoTime) -> bool {
        // A request that is not retried is lost to its caller, so that this does not wait until the
        // others have been known for a while.
        let share = self.limit_share.unsettled();
        self.retry_budget(service).try_take(now, share)
    }

    /// Starts a new interval between two datagrams: selects the relays, removes stale instances and
    /// recalculates this instance's shares of the accounts' rates and of other limits.
    pub fn tick(&mut self, settings: &SiteSettings, now: MonoTime) {
        self.ticked_at = now;
        self.relays = self.peers.relays(settings, now);
        self.listed_instances = self.peers.listed_instances(settings);
        if !self.polls_a_relay() {
            self.forget_relay();
        }
        self.remove_stale(now);
        let regions = settings.regions.values().map(String::as_str);
        let instances = self.peers.known_instances(settings);
        self.limit_share
            .update(&settings.instance, instances, regions, now);
        self.fleet.update_cold(now, &self.limit_share);
        let known = self.peers.count();
        let listed = self.listed_instances;
        // Nearly all requests come to the listed instances, so these share the rates among them.
        let instances = if self.relays.is_needed && listed.includes_self {
            listed.count
        } else {
            known
        };
        // Where requests come to the others, they come to all of them.
        let (spenders, own_index) = if listed.includes_self {
            (listed.count, listed.own_index)
        } else {
            (known, self.peers.rank_of(&settings.instance, now))
        };
        let (unreported, has_full_reports, delay) = if self.relays.is_needed {
            self.update_coverage(settings, now);
            let missing = self
                .coverage
                .count_missing(&self.peers, settings, listed.includes_self);
            // The figures of those that are covered arrive in few sums.
            (missing, true, ReportDelay::Relayed)
        } else {
            let unreported = self.peers.count_unreported(now);
            (unreported, false, ReportDelay::Direct)
        };
        let interval = ReportInterval {
            instances,
            spenders,
            own_index,
            unreported,
            has_full_reports,
            delay,
        };
        self.quotas.tick(interval, now);
    }

    fn update_coverage(&mut self, settings: &SiteSettings, now: MonoTime) {
        let clients = self.peers.iter().filter(|(_, member)| {
            let last_request = self.relay_clients.get(&member.info.run);
            last_request.is_some_and(|at| now.since(*at) < CLIENT_REPORT_TIMEOUT)
        });
        let own = clients.map(|(name, _)| name).chain([&*settings.instance]);
        let own: Vec<u64> = own.map(name_hash).collect();
        let relay = self.relay.as_ref();
        let relay = relay.filter(|report| now.since(report.at) < RELAY_TIMEOUT);
        let known = self.peers.iter().map(|(name, _)| name_hash(name));
        self.coverage.update(own, relay, known, now);
    }

    fn remove_stale(&mut self, now: MonoTime) {
        let relay = self.relay.as_ref().map(|report| report.run);
        for run in self.peers.stale_runs(now) {
            if !self.relay_clients.contains_key(&run) && Some(run) != relay {
                self.set_reported_loads(run, Vec::new());
            }
        }
        for run in self.peers.sweep(now) {
            self.remove_run(run);
        }
        let expired = self.relay_clients.iter();
        let expired = expired.filter(|(_, at)| now.since(**at) >= RELAY_CLIENT_TIMEOUT);
        let expired: Vec<_> = expired.map(|(run, _)| *run).collect();
        for run in expired {
            self.remove_run(run);
        }
        if self.polls_a_relay() {
            self.coverage.forget_relays();
            self.quotas.retain(|run| Some(run) == relay);
        }
    }

    /// Removes a run of another instance. Figures that this instance reported for it stay counted.
    pub fn remove_run(&mut self, run: u64) {
        let is_relayed = self.relay_clients.remove(&run).is_some();
        self.quotas.forget(run, is_relayed);
        self.moves.merge_departed(run, is_relayed);
        self.set_reported_loads(run, Vec::new());
        self.reported_loads.remove(&run);
    }

    /// Returns the relays as selected at the last tick.
    #[must_use]
    pub fn relays(&self) -> &Relays {
        &self.relays
    }

    /// Returns the instances that look-ups list, as counted at the last tick.
    #[must_use]
    pub fn listed_instances(&self) -> ListedInstances {
        self.listed_instances
    }

    /// Returns whether this instance gets the figures of the others from a relay, and the last report
    /// is older than polls are apart.
    #[must_use]
    pub fn lacks_relay_report(&self, now: MonoTime) -> bool {
        let max_age = if self.listed_instances.includes_self {
            MAX_REPORT_AGE
        } else {
            MAX_UNLISTED_REPORT_AGE
        };
        let is_recent = |report: &PolledRelay| now.since(report.at) < max_age;
        self.polls_a_relay() && !self.relay.as_ref().is_some_and(is_recent)
    }

    fn polls_a_relay(&self) -> bool {
        self.relays.is_needed && !self.relays.includes_self
    }

    /// Forgets the figures of the relay that reported for all others. Its datagrams and its
    /// responses are sums over different instances: the difference of two is no usage.
    fn forget_relay(&mut self) {
        if let Some(PolledRelay { run, .. }) = self.relay.take() {
            self.quotas.forget(run, false);
            self.moves.discard_run(run);
            self.set_reported_loads(run, Vec::new());
        }
    }

    /// Records the figures that a relay client reports with its request.
    pub fn on_relay_request(&mut self, request: &RelayRequest, now: MonoTime) {
        // Without relays, the datagrams of every instance carry the same figures.
        if !self.relays.is_needed {
            return;
        }
        let previous = self.relay_clients.insert(request.run, now);
        let is_first = previous.is_none();
        if previous.is_none_or(|at| now.since(at) >= CLIENT_REPORT_TIMEOUT) {
            self.on_return(request.run, &request.usage);
            let mut members = self.peers.iter();
            if let Some((name, _)) = members.find(|(_, member)| member.info.run == request.run) {
                self.coverage.on_client(name_hash(name));
            }
        }
        if is_first {
            // As a relay this run reported for others too, and those now report through another
            // relay.
            self.quotas.forget(request.run, false);
        }
        self.record_usage(request.run, &request.usage, is_first);
        for evidence in &request.evidence {
            self.moves
                .on_evidence(request.run, evidence.order, evidence.counts);
        }
        self.set_reported_loads(request.run, request.loads.clone());
    }

    /// Fills a response to a run with the figures of all instances except that one.
    pub fn fill_response(&self, run: u64, response: &mut RelayResponse) {
        response.missing = self.coverage.missing();
        response.usage = account_usage(&self.quotas, |other| other != run);
        response.evidence = self.moves.evidence(|other| other != run).collect();
        response.loads = self.loads(|other| other != run);
        response
            .loads
            .retain(|load| load.requests >= MIN_REPORTED_REQUESTS);
    }

    /// Fills a relay request with this instance's own figures.
    pub fn fill_request(&self, request: &mut RelayRequest) {
        request.usage = account_usage(&self.quotas, |_| false);
        request.evidence = self.moves.evidence(|_| false).collect();
        request.loads = self.loads(|_| false);
    }

    /// Returns the requests in flight from this instance and the runs it reports for, by backend
    /// server, with the work that was left of them at the last tick. Where a run does not tell
    /// that, the sum is not told either.
    fn loads(&self, is_relayed: impl Fn(u64) -> bool) -> Vec<BackendLoad> {
        let mut sums: HashMap<u64, BackendLoad> = HashMap::default();
        for (_, entry) in self
            .fleet
            .iter()
            .filter(|(_, entry)| entry.own_requests > 0)
        {
            let backend = name_hash(&entry.backend.id);
            let own = BackendLoad {
                backend,
                requests: u16::try_from(entry.own_requests).unwrap_or(u16::MAX),
                work_ms: entry.own_work_ms(self.ticked_at) as f32,
            };
            sums.insert(backend, own);
        }
        for (_, loads) in self
            .reported_loads
            .iter()
            .filter(|(run, _)| is_relayed(**run))
        {
            for load in loads {
                let sum = sums.entry(load.backend);
                sum.and_modify(|sum| *sum = sum.plus(*load))
                    .or_insert(*load);
            }
        }
        sums.into_values().collect()
    }

    /// Records a relay's response, which reports for all other instances.
    pub fn on_relay_response(&mut self, response: &RelayResponse, now: MonoTime) {
        let previous = self.relay.as_ref().map(|report| report.run);
        let is_first = previous != Some(response.run);
        if self.coverage.is_less_missing(&response.missing) {
            self.on_return(response.run, &response.usage);
        }
        if is_first {
            self.forget_relay();
            // It may have sent datagrams while this instance was a relay.
            self.quotas.forget(response.run, false);
        }
        self.relay = Some(PolledRelay {
            run: response.run,
            at: now,
            missing: response.missing.clone(),
        });
        self.record_usage(response.run, &response.usage, is_first);
        for evidence in &response.evidence {
            self.moves
                .on_evidence(response.run, evidence.order, evidence.counts);
        }
        self.set_reported_loads(response.run, response.loads.clone());
    }

    /// Records that a run reports for instances whose figures were missing for a while.
    fn on_return(&mut self, run: u64, usage: &[AccountUsage]) {
        for entry in usage {
            if let Some(account) = self.accounts_by_hash.get(&entry.account) {
                self.quotas.on_return(run, account, entry.admitted);
            }
        }
    }

    fn record_usage(&mut self, run: u64, usage: &[AccountUsage], is_first: bool) {
        for entry in usage {
            if let Some(account) = self.accounts_by_hash.get(&entry.account) {
                let demand = f64::from(entry.demand);
                self.quotas
                    .on_report(run, account, entry.admitted, demand, is_first);
            }
        }
    }

    /// Builds this instance's next datagram.
    #[must_use]
    pub fn datagram(
        &self,
        name: &str,
        run: u64,
        sequence: u64,
        is_leaving: bool,
    ) -> StatusDatagram {
        StatusDatagram {
            name: name.to_owned(),
            run,
            sequence,
            is_leaving,
            usage: account_usage(&self.quotas, |run| self.relay_clients.contains_key(&run)),
            loads: self.loads(|run| self.relay_clients.contains_key(&run)),
            evidence: self
                .moves
                .evidence(|run| run == DEPARTED_REPORTED || self.relay_clients.contains_key(&run))
                .collect(),
            covered: self.coverage.own().to_vec(),
        }
    }

    /// Records a datagram. One that is a duplicate, late or from an unknown run is ignored.
    pub fn on_datagram(&mut self, datagram: StatusDatagram, now: MonoTime) {
        let run = datagram.run;
        let is_newer = self.peers.on_datagram(
            &datagram.name,
            run,
            datagram.sequence,
            datagram.is_leaving,
            now,
        );
        // The responses of this instance's relay cover all others.
        if !is_newer || self.polls_a_relay() {
            return;
        }
        let was_client = self.relay_clients.remove(&run).is_some();
        if was_client {
            // This run has become a relay and reports to all other relays itself.
            self.quotas.forget(run, true);
        }
        // All usage of a recently started run is recent. What a longer running one admitted before
        // its first datagram arrived here may be old and is not charged to the account.
        let is_long_running = datagram.sequence > RECENT_START_DATAGRAMS;
        if self.relays.is_needed {
            let report = RelayReport {
                run,
                at: now,
                covered: datagram.covered,
            };
            if self.coverage.on_relay_report(report) {
                self.on_return(run, &datagram.usage);
            }
        }
        self.record_usage(run, &datagram.usage, is_long_running || was_client);
        for MoveEvidence { order, counts } in datagram.evidence {
            self.moves.on_evidence(run, order, counts);
        }
        self.set_reported_loads(run, datagram.loads);
    }

    fn set_reported_loads(&mut self, run: u64, loads: Vec<BackendLoad>) {
        let previous = self
            .reported_loads
            .insert(run, loads.clone())
            .unwrap_or_default();
        for load in previous {
            if let Some(key) = self.backends_by_hash.get(&load.backend) {
                let entry = self.fleet.entry_mut(*key);
                entry.remove_reported(load.requests.into(), load.work_ms.into());
            }
        }
        for load in loads {
            if let Some(key) = self.backends_by_hash.get(&load.backend) {
                let entry = self.fleet.entry_mut(*key);
                entry.add_reported(load.requests.into(), load.work_ms.into());
            }
        }
    }
}

/// Hashes a name to the number that identifies it in messages between instances.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    object_hash("", name)
}

fn account_usage(quotas: &Quotas, is_relayed: impl Fn(u64) -> bool) -> Vec<AccountUsage> {
    let totals = quotas.admitted_totals(is_relayed);
    let usage = totals.map(|(account, admitted, demand)| AccountUsage {
        account: name_hash(account),
        admitted,
        demand: demand as f32,
    });
    usage.collect()
}
