//! The event loop.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use apricotlug_model::{
    Bundle, DataCentreKey, EndpointKey, MonoTime, RegionKey, Repeat, ServiceKey, UnixTime,
};
use apricotlug_policy::{
    lookup::{Directory, InstanceEntry, InstanceState},
    order::AttemptState,
    placement::{LoadReport, Outcome, ShareHolder, Ticket, WaitQueue, Want},
    retry::RetryBudget,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    backend::{Arrival, Backend, Behaviour, Job, MEAN_SERVICE_US},
    fleet::Fleet,
    policy::{Policy, PolicyKind},
    scenario::{Fault, Scenario},
    stats::Stats,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_WAIT: Duration = Duration::from_millis(250);
const WAIT_CAPACITY: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLES_PER_SPAN: u32 = 10;
const PROBE_TIME: Duration = Duration::from_millis(6);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which the look-up learns of dead instances.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Clients of each site.
const CLIENTS_PER_SITE: u8 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call { service: u32, region: u32 },
    Reach { attempt: usize },
    Finish { attempt: usize },
    Settle { attempt: usize, end: End },
    Retry { instance: usize, queue: usize },
    Sample,
    Report,
    Fault { is_start: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Good,
    ServerError,
    Shed,
    ConnectFailed,
    TimedOut,
}

/// Client with the answer to its last look-up.
struct Client {
    addr: IpAddr,
    region: RegionKey,
    instance: Option<usize>,
    expires_at: UnixTime,
}

struct Request {
    service: ServiceKey,
    client_region: RegionKey,
    instance: usize,
    arrived_at: MonoTime,
    deadline: MonoTime,
    is_in_rate: bool,
    used: Vec<EndpointKey>,
}

struct Attempt {
    request: usize,
    endpoint: EndpointKey,
    ticket: Option<Ticket>,
    sent_at: MonoTime,
    is_settled: bool,
}

struct Instance {
    policy: Policy,
    retries: RetryBudget,
    waiting: Vec<WaitQueue<usize>>,
    is_dead: bool,
}

/// One run of a scenario under a policy.
pub struct Sim {
    scenario: Scenario,
    bundle: Bundle,
    backends: Vec<Backend>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    sequence: u64,
    now: MonoTime,
    rng: StdRng,
    directory: Directory,
    clients: Vec<Client>,
    foreign: Vec<u32>,
    busy_samples: Vec<u32>,
    /// Slots by service and region; the demand follows them.
    demand: Vec<Vec<u32>>,
    samples: u32,
    reported: Vec<u32>,
    stats: Stats,
}

/// Runs a scenario under a policy.
pub fn run(scenario: Scenario, kind: PolicyKind) -> Stats {
    let mut sim = Sim::new(scenario, kind);
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        sim.now = at;
        if sim.now >= scenario.ends_at.after(REQUEST_TIMEOUT) {
            break;
        }
        sim.handle(event);
    }
    sim.stats
}

impl Sim {
    fn new(scenario: Scenario, kind: PolicyKind) -> Self {
        let bundle = scenario.fleet.bundle();
        let holders = scenario.fleet.holders();
        let instance = |own| Instance {
            policy: Policy::new(kind, &bundle, &holders, own),
            retries: RetryBudget::default(),
            waiting: vec![WaitQueue::new(WAIT_CAPACITY); bundle.services.len() * 2],
            is_dead: false,
        };
        let backend = |key| Backend::new(bundle.region_of(key), bundle.endpoints[key].slots);
        let mut sim = Self {
            instances: (0..holders.len()).map(instance).collect(),
            backends: bundle.endpoints.keys().map(backend).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: MonoTime::default(),
            rng: StdRng::seed_from_u64(scenario.seed),
            directory: Directory::new(&bundle, DataCentreKey(0)),
            clients: clients(&bundle),
            foreign: vec![0; bundle.regions.len()],
            busy_samples: vec![0; bundle.regions.len()],
            samples: 0,
            demand: demand(&bundle),
            reported: vec![0; bundle.endpoints.len()],
            stats: Stats::new(),
            scenario,
            bundle,
        };
        sim.start();
        sim
    }

    fn start(&mut self) {
        for service in self.bundle.services.keys() {
            for region in self.bundle.regions.keys() {
                self.schedule_call(service.0, region.0);
            }
        }
        self.update_directory();
        self.at(self.now, Event::Sample);
        self.at(self.now, Event::Report);
        self.at(self.scenario.fault_at, Event::Fault { is_start: true });
        self.at(
            self.scenario.fault_ends_at,
            Event::Fault { is_start: false },
        );
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { service, region } => self.call(service, region),
            Event::Reach { attempt } => self.reach(attempt),
            Event::Finish { attempt } => self.finish(attempt),
            Event::Settle { attempt, end } => self.settle(attempt, end),
            Event::Retry { instance, queue } => self.drain_waiting(instance, queue),
            Event::Sample => self.sample(),
            Event::Report => self.report(),
            Event::Fault { is_start } => self.fault(is_start),
        }
    }

    fn at(&mut self, at: MonoTime, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn is_struck(&self) -> bool {
        (self.scenario.fault_at..self.scenario.fault_ends_at).contains(&self.now)
    }

    fn schedule_call(&mut self, service: u32, region: u32) {
        let rate = f64::from(self.demand[service as usize][region as usize]) * self.scenario.load
            / MEAN_SERVICE_US;
        let is_flash = self.scenario.fault == Fault::FlashShift && self.is_struck() && region == 0;
        let rate = if is_flash { rate * 2.0 } else { rate };
        let uniform: f64 = self.rng.random_range(1e-12..1.0);
        let span = Duration::from_micros((-uniform.ln() / rate) as u64);
        if self.now < self.scenario.ends_at {
            self.at(self.now.after(span), Event::Call { service, region });
        }
    }

    fn call(&mut self, service: u32, region: u32) {
        self.schedule_call(service, region);
        let client_region = RegionKey(region);
        let Some(instance) = self.find_instance(client_region) else {
            return;
        };
        let is_flash = self.scenario.fault == Fault::FlashShift && self.is_struck() && region == 0;
        self.requests.push(Request {
            service: ServiceKey(service),
            client_region,
            instance,
            arrived_at: self.now,
            deadline: self.now.after(REQUEST_TIMEOUT),
            is_in_rate: !(is_flash && self.rng.random_ratio(1, 8)),
            used: Vec::new(),
        });
        self.stats.requests += 1;
        self.instances[instance].retries.on_request(self.now);
        let request = self.requests.len() - 1;
        let waiting = &self.instances[instance].waiting[self.queue_of(request)];
        if waiting.is_empty() && self.try_place(request) {
            return;
        }
        self.wait(request);
    }

    /// Returns the instance that a random client of the region calls, if it lives.
    fn find_instance(&mut self, region: RegionKey) -> Option<usize> {
        let local: Vec<_> = (0..self.clients.len())
            .filter(|&i| self.clients[i].region == region)
            .collect();
        let client = &mut self.clients[local[self.rng.random_range(0..local.len())]];
        let now = UnixTime(self.now.0);
        if client.expires_at.is_past(now) {
            let answer = self
                .directory
                .lookup(&self.bundle, client.addr, now, &mut self.rng);
            client.instance = answer.instances.first().map(|addr| addr.port().into());
            client.expires_at = answer.expires_at;
        }
        if client.instance.is_none() {
            self.stats.requests += 1;
            self.stats.refused += 1;
            self.stats.refused_in_rate += 1;
            self.stats.refused_at_lookup += 1;
        }
        client.instance.filter(|&i| !self.instances[i].is_dead)
    }

    fn wait(&mut self, request: usize) {
        let instance = self.requests[request].instance;
        let queue = self.queue_of(request);
        let give_up_at = self.now.after(MAX_WAIT);
        if self
            .queue(instance, queue)
            .push(request, give_up_at)
            .is_err()
        {
            self.refuse(request);
            return;
        }
        self.at(give_up_at, Event::Retry { instance, queue });
    }

    /// Returns the queue of a request. Shifted-in requests wait apart, so that their cap doesn't
    /// hold up the others.
    fn queue_of(&self, request: usize) -> usize {
        let call = &self.requests[request];
        let home = self.instances[call.instance].policy.home;
        let is_shifted_in = call.client_region != self.bundle.data_centres[home].region;
        usize::from(call.service) * 2 + usize::from(is_shifted_in)
    }

    fn drain_waiting(&mut self, instance: usize, queue: usize) {
        let now = self.now;
        while let Some(request) = self.queue(instance, queue).pop_expired(now) {
            self.refuse(request);
        }
        while let Some(waiting) = self.queue(instance, queue).pop() {
            if !self.try_place(waiting.request) {
                self.queue(instance, queue).push_front(waiting);
                return;
            }
        }
    }

    fn queue(&mut self, instance: usize, queue: usize) -> &mut WaitQueue<usize> {
        &mut self.instances[instance].waiting[queue]
    }

    fn refuse(&mut self, request: usize) {
        self.stats.refused += 1;
        self.stats.refused_in_rate += u64::from(self.requests[request].is_in_rate);
    }

    /// Places an attempt. Without a place it arranges another try, and returns false.
    fn try_place(&mut self, request: usize) -> bool {
        let queue = self.queue_of(request);
        let call = &self.requests[request];
        let instance = &mut self.instances[call.instance];
        let region = self.bundle.data_centres[instance.policy.home].region;
        let want = Want {
            service: call.service,
            version: None,
            exclude: &call.used,
        };
        let is_shifted_in = call.client_region != region;
        let placed = instance.policy.place(
            &self.bundle,
            &want,
            is_shifted_in,
            call.arrived_at,
            self.now,
            &mut self.rng,
        );
        match placed {
            Ok((endpoint, ticket)) => {
                self.send(request, endpoint, ticket);
                true
            }
            Err(no_place) => {
                let retry = Event::Retry {
                    instance: call.instance,
                    queue,
                };
                self.at(
                    no_place
                        .retry_at
                        .max(self.now.after(Duration::from_millis(1))),
                    retry,
                );
                false
            }
        }
    }

    fn send(&mut self, request: usize, endpoint: EndpointKey, ticket: Option<Ticket>) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            endpoint,
            ticket,
            sent_at: self.now,
            is_settled: false,
        });
        self.stats.attempts += 1;
        self.stats.drain_breaches += u64::from(self.bundle.endpoints[endpoint].is_draining);
        self.requests[request].used.push(endpoint);
        self.count_foreign(attempt, 1);
        self.at(
            self.now.after(self.delay(attempt)),
            Event::Reach { attempt },
        );
        let deadline = self.requests[request]
            .deadline
            .after(Duration::from_micros(1));
        self.at(
            deadline,
            Event::Settle {
                attempt,
                end: End::TimedOut,
            },
        );
    }

    fn count_foreign(&mut self, attempt: usize, change: i32) {
        let Attempt {
            request, endpoint, ..
        } = self.attempts[attempt];
        let region = self.bundle.region_of(endpoint);
        if self.requests[request].client_region == region {
            return;
        }
        let count = &mut self.foreign[usize::from(region)];
        *count = count.saturating_add_signed(change);
        let slots = self.backends.iter().filter(|b| b.region == region);
        let slots: u32 = slots.map(|b| b.slots).sum();
        let cap = slots * u32::from(self.bundle.regions[region].shift_cap_percent) / 100;
        self.stats.cap_excess = self.stats.cap_excess.max(count.saturating_sub(cap));
    }

    fn delay(&self, attempt: usize) -> Duration {
        let Attempt {
            request, endpoint, ..
        } = self.attempts[attempt];
        let home = self.instances[self.requests[request].instance].policy.home;
        let data_centre = self.bundle.data_centre_of(endpoint);
        let region = self.bundle.region_of(endpoint);
        let micros = if data_centre == home {
            100
        } else if region == self.bundle.data_centres[home].region {
            self.scenario.fleet.near_us
        } else {
            self.scenario.fleet.far_us
        };
        Duration::from_micros(micros.into())
    }

    fn reach(&mut self, attempt: usize) {
        let job = Job {
            id: attempt,
            deadline: self.requests[self.attempts[attempt].request].deadline,
        };
        let endpoint = self.attempts[attempt].endpoint;
        let back_at = self.now.after(self.delay(attempt));
        match self.backends[usize::from(endpoint)].arrive(job, &mut self.rng) {
            Arrival::Runs(micros) => self.schedule_finish(job, micros),
            Arrival::Queued => self.stats.overloads += 1,
            Arrival::Shed => {
                self.stats.overloads += 1;
                self.at(
                    back_at,
                    Event::Settle {
                        attempt,
                        end: End::Shed,
                    },
                );
            }
            Arrival::Lost => {
                let end = End::ConnectFailed;
                self.at(
                    self.now.after(CONNECT_TIMEOUT),
                    Event::Settle { attempt, end },
                );
            }
        }
    }

    fn schedule_finish(&mut self, job: Job, micros: u64) {
        let at = self
            .now
            .after(Duration::from_micros(micros))
            .min(job.deadline);
        self.at(at, Event::Finish { attempt: job.id });
    }

    fn finish(&mut self, attempt: usize) {
        let endpoint = usize::from(self.attempts[attempt].endpoint);
        let backend = &mut self.backends[endpoint];
        let behaviour = backend.behaviour;
        if let Some((next, micros)) = backend.finish(self.now, &mut self.rng) {
            self.schedule_finish(next, micros);
        }
        let end = match behaviour {
            Behaviour::Dead => return,
            Behaviour::FailsFast => End::ServerError,
            Behaviour::Good | Behaviour::Slow(_) => End::Good,
        };
        self.at(
            self.now.after(self.delay(attempt)),
            Event::Settle { attempt, end },
        );
    }

    fn settle(&mut self, attempt: usize, end: End) {
        if std::mem::replace(&mut self.attempts[attempt].is_settled, true) {
            return;
        }
        self.count_foreign(attempt, -1);
        let Attempt {
            request,
            endpoint,
            ticket,
            sent_at,
            ..
        } = self.attempts[attempt];
        let latency = self.now.since(sent_at);
        let outcome = match end {
            End::Good | End::ServerError => Outcome::Answered {
                latency,
                server_error: end == End::ServerError,
            },
            End::Shed => Outcome::Shed,
            End::ConnectFailed => Outcome::ConnectFailed,
            End::TimedOut => Outcome::TimedOut,
        };
        let instance = self.requests[request].instance;
        self.instances[instance]
            .policy
            .settle(endpoint, ticket, outcome, self.now);
        self.conclude(request, end);
        for queue in 0..self.instances[instance].waiting.len() {
            self.drain_waiting(instance, queue);
        }
    }

    fn conclude(&mut self, request: usize, end: End) {
        let call = &self.requests[request];
        if self.instances[call.instance].is_dead {
            return;
        }
        if end == End::Good {
            self.stats.answered += 1;
            self.stats
                .record_latency(self.now.since(call.arrived_at).as_micros() as u64);
            return;
        }
        let state = match end {
            End::Shed | End::ConnectFailed => AttemptState::NotSent,
            _ => AttemptState::PerhapsRun,
        };
        let attempt = call.used.len() as u32;
        let retries = &mut self.instances[call.instance].retries;
        let decision =
            retries.may_retry(self.now, call.deadline, attempt, Repeat::Idempotent, state);
        if !decision.is_retry() || !self.try_place(request) {
            self.stats.failed += 1;
        }
    }

    fn sample(&mut self) {
        for (region, busy) in self.bundle.regions.keys().zip(&mut self.busy_samples) {
            let local = self.backends.iter().filter(|b| b.region == region);
            *busy += local.map(|b| b.busy).sum::<u32>();
        }
        self.samples += 1;
        if self.samples == SAMPLES_PER_SPAN {
            self.samples = 0;
            for (region, busy) in self.bundle.regions.keys().zip(&mut self.busy_samples) {
                let local = self.backends.iter().filter(|b| b.region == region);
                let slots: u32 = local.map(|b| b.slots).sum();
                let part = f64::from(*busy) / f64::from(slots * SAMPLES_PER_SPAN);
                self.stats.headroom = self.stats.headroom.min(1.0 - part);
                *busy = 0;
            }
        }
        if self.now < self.scenario.ends_at {
            self.at(self.now.after(SAMPLE_INTERVAL), Event::Sample);
        }
    }

    /// Tells the look-up the instances' states and loads.
    fn update_directory(&mut self) {
        let is_dead_known = self.now >= self.scenario.fault_at.after(DETECTION_TIME);
        let holders = self.scenario.fleet.holders();
        let live = self.instances.iter().filter(|i| !i.is_dead).count();
        let entry = |(i, holder): (usize, ShareHolder)| InstanceEntry {
            id: holder.id,
            addr: SocketAddr::from(([127, 0, 0, 1], i as u16)),
            data_centre: holder.data_centre,
            state: match self.instances[i].is_dead && is_dead_known {
                true => InstanceState::Dead,
                false => InstanceState::Ready,
            },
            load: self.instances[i].policy.load(&self.bundle, live, self.now),
        };
        let entries: Vec<_> = holders.into_iter().enumerate().map(entry).collect();
        self.directory
            .update(&self.bundle, &self.bundle, &entries, UnixTime(self.now.0));
    }

    /// Delivers the reports of the last interval, then takes the next ones.
    fn report(&mut self) {
        self.probe();
        self.update_directory();
        let is_lie = self.scenario.fault == Fault::LyingReport && self.is_struck();
        for key in self.bundle.endpoints.keys() {
            let backend = &self.backends[usize::from(key)];
            let is_liar = is_lie && key == EndpointKey(0);
            let report = LoadReport {
                healthy: is_liar || !is_lie && backend.behaviour == Behaviour::Good,
                outstanding: match is_liar {
                    true => 0,
                    false => self.reported[usize::from(key)],
                },
                draining: backend.is_draining,
                stale_at: self.now.after(REPORT_INTERVAL * 3),
            };
            for instance in &mut self.instances {
                instance.policy.report(key, report, self.now);
            }
            self.reported[usize::from(key)] = backend.busy;
        }
        if self.now < self.scenario.ends_at {
            self.at(self.now.after(REPORT_INTERVAL), Event::Report);
        }
    }

    /// Probes the endpoints whose ejection has ended.
    fn probe(&mut self) {
        for instance in &mut self.instances {
            for key in instance.policy.placement.due_probes(self.now) {
                let outcome = match self.backends[usize::from(key)].behaviour {
                    Behaviour::Dead => Outcome::ConnectFailed,
                    _ => Outcome::Answered {
                        latency: PROBE_TIME,
                        server_error: false,
                    },
                };
                instance
                    .policy
                    .placement
                    .settle_probe(key, outcome, self.now);
            }
        }
    }

    fn fault(&mut self, is_start: bool) {
        let fault = self.scenario.fault;
        if !is_start {
            for backend in &mut self.backends {
                backend.behaviour = Behaviour::Good;
            }
            return;
        }
        fault.strike(&mut self.backends);
        if fault == Fault::RegionDies {
            self.kill_instances(RegionKey(0));
        }
        if let Some(bundle) = fault.bundle(&self.bundle) {
            for instance in &mut self.instances {
                instance
                    .policy
                    .placement
                    .update(&self.bundle, &bundle, self.now);
            }
            let old = std::mem::replace(&mut self.bundle, bundle);
            self.directory
                .update(&old, &self.bundle, &[], UnixTime(self.now.0));
            self.update_directory();
        }
    }

    /// Ends a region's instances. The others learn of it and split the slots anew.
    fn kill_instances(&mut self, region: RegionKey) {
        let holders = self.scenario.fleet.holders();
        let mut dead = HashSet::new();
        for (i, holder) in holders.iter().enumerate() {
            if self.bundle.data_centres[holder.data_centre].region == region {
                self.instances[i].is_dead = true;
                dead.insert(holder.id.clone());
            }
        }
        let live: Vec<_> = holders
            .iter()
            .filter(|h| !dead.contains(&h.id))
            .cloned()
            .collect();
        let usable_at = self.now.after(REQUEST_TIMEOUT);
        for (instance, holder) in self.instances.iter_mut().zip(&holders) {
            let placement = &mut instance.policy.placement;
            placement.set_slot_share(&self.bundle, &live, &holder.id, usable_at, self.now);
        }
    }
}

fn clients(bundle: &Bundle) -> Vec<Client> {
    let sites = bundle.sites.iter();
    let client = |site: usize, region, number| Client {
        addr: Fleet::client(site, number),
        region,
        instance: None,
        expires_at: UnixTime::default(),
    };
    sites
        .flat_map(|(key, site)| {
            let region = bundle.data_centres[site.data_centre].region;
            (0..CLIENTS_PER_SITE).map(move |number| client(key.into(), region, number))
        })
        .collect()
}

fn demand(bundle: &Bundle) -> Vec<Vec<u32>> {
    let mut slots = vec![vec![0; bundle.regions.len()]; bundle.services.len()];
    for (key, endpoint) in bundle.endpoints.iter() {
        let service = bundle.versions[endpoint.version].service;
        let region = bundle.region_of(key);
        slots[usize::from(service)][usize::from(region)] += u32::from(endpoint.slots);
    }
    slots
}
