//! Event loop of the simulation.

mod attempt;
mod background;
mod request;

use std::{cmp::Reverse, collections::BinaryHeap, net::IpAddr, time::Duration};

use apricotlug_model::{
    Bundle, DataCentreKey, EndpointKey, MonoTime, RegionKey, ServiceKey, UnixTime,
};
use apricotlug_policy::{
    lookup::Directory,
    placement::{Ticket, WaitQueue},
    retry::RetryBudget,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    backend::{Backend, MEAN_SERVICE_US},
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
/// Delay until the look-up knows of failed instances.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Number of clients per site.
const CLIENTS_PER_SITE: u8 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call { service: u32, region: u32 },
    Arrive { attempt: usize },
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

/// Client with the answer to its last look-up; `instance` is `None` if the answer named none.
struct Client {
    addr: IpAddr,
    region: RegionKey,
    instance: Option<usize>,
    expires_at: UnixTime,
}

struct Request {
    client: usize,
    service: ServiceKey,
    client_region: RegionKey,
    instance: usize,
    arrived_at: MonoTime,
    deadline: MonoTime,
    is_in_rate: bool,
    tried_endpoints: Vec<EndpointKey>,
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
    retry_budget: RetryBudget,
    waiting: Vec<WaitQueue<usize>>,
    is_dead: bool,
}

/// State of a run of one scenario under one policy.
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
    foreign_requests: Vec<u32>,
    busy_samples: Vec<u32>,
    /// Number of slots by service and region; demand is proportional to it.
    demand: Vec<Vec<u32>>,
    samples: u32,
    reported: Vec<u32>,
    stats: Stats,
}

/// Simulates a scenario under a policy and returns the measurements.
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
            retry_budget: RetryBudget::default(),
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
            foreign_requests: vec![0; bundle.regions.len()],
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
            Event::Arrive { attempt } => self.arrive_at_backend(attempt),
            Event::Finish { attempt } => self.finish(attempt),
            Event::Settle { attempt, end } => self.settle(attempt, end),
            Event::Retry { instance, queue } => self.drain_waiting(instance, queue),
            Event::Sample => self.sample(),
            Event::Report => self.deliver_reports(),
            Event::Fault { is_start } => self.fault(is_start),
        }
    }

    fn at(&mut self, at: MonoTime, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn is_fault_active(&self) -> bool {
        (self.scenario.fault_at..self.scenario.fault_ends_at).contains(&self.now)
    }

    fn schedule_call(&mut self, service: u32, region: u32) {
        let rate = f64::from(self.demand[service as usize][region as usize]) * self.scenario.load
            / MEAN_SERVICE_US;
        let is_surge =
            self.scenario.fault == Fault::DemandSurge && self.is_fault_active() && region == 0;
        let rate = if is_surge { rate * 2.0 } else { rate };
        let uniform: f64 = self.rng.random_range(1e-12..1.0);
        let interval = Duration::from_micros((-uniform.ln() / rate) as u64);
        if self.now < self.scenario.ends_at {
            self.at(self.now.after(interval), Event::Call { service, region });
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
