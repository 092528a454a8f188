//! Load of unevenly costed requests in virtual time: instances with a [`Fleet`] each choose among
//! backend servers that serve in order of arrival.
//!
//! 4 instances, 12 backend servers with 3 slots, 300 objects. One account in five causes ten times
//! the work of the others, 2 s against 200 ms, with a random part of a fifth. An object that a
//! backend server did not serve among its last 64 costs half as much again. On each machine,
//! requests that start in a tenth of the time, in spells of 400 ms on average, take 2.5 times as
//! long. Instances exchange their figures every 150 ms.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::LazyLock,
};

use apricotlug_model::{Backend, BackendState, MonoTime};
use apricotlug_policy::steer::{
    BackendKey, Choice, ChoiceRequest, Fleet, LimitShare, RequestOutcome, object_hash,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const TARGET_MS: u32 = 2_500;
const INSTANCES: usize = 4;
const BACKENDS: usize = 12;
const SLOTS: usize = 3;
const OBJECTS: u64 = 300;
const ACCOUNTS: u64 = 20;
const CHEAP_MS: f64 = 200.0;
const DEAR_MS: f64 = 2_000.0;
const CACHED_OBJECTS: usize = 64;
const EXCHANGE_US: u64 = 150_000;
/// Speeds, as multiples of the usual time, each with the mean duration of a spell.
const SPEEDS: [(f64, f64); 2] = [(1.0, 3_600_000.0), (2.5, 400_000.0)];

static NO_SHARE: LazyLock<LimitShare> = LazyLock::new(LimitShare::default);

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The decision code without accounts, reported work and speeds.
    CodeByCount,
    /// The decision code with all figures.
    Code,
    LeastRequests,
    LeastWork,
    BestOfTwo,
    /// The object's home while its work per slot is at most the cheapest one's and this many
    /// milliseconds.
    HomeWithin(f64),
}

/// What backend servers report of their machine's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpeedFigure {
    Absent,
    True,
    /// As of this many microseconds ago.
    Stale(u64),
    /// The same odd value always.
    Odd(f64),
    /// A random number that has nothing to do with the speed.
    Random,
    /// Twice as long where it takes half as long, and the reverse.
    Inverted,
}

/// Load and faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub policy: Policy,
    pub figure: SpeedFigure,
    /// Utilisation of the slots by the work at the usual speed, all objects warm.
    pub utilisation: f64,
    pub dear_ms: f64,
    /// Whether the dear accounts become cheap, and as many cheap ones dear, after half of the time.
    pub is_changed: bool,
    /// Work that instances report in place of the true one.
    pub reported_work: Option<f64>,
    pub seconds: u64,
    pub seed: u64,
}

impl Load {
    pub fn new(policy: Policy, utilisation: f64) -> Self {
        Self {
            policy,
            figure: SpeedFigure::True,
            utilisation,
            dear_ms: DEAR_MS,
            is_changed: false,
            reported_work: None,
            seconds: 300,
            seed: 7,
        }
    }
}

/// Times of the answers, without the first quarter of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub cheap_p99_ms: f64,
    /// Share of the answers within the target latency.
    pub in_target: f64,
    /// The same of the cheap requests' answers within a sixth of it.
    pub cheap_in_time: f64,
    /// Backend servers chosen, in order.
    pub chosen: Vec<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    instance: usize,
    backend: usize,
    choice: Option<Choice>,
    object: u64,
    is_dear: bool,
    cost_ms: f64,
    sent_at: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Speed(usize),
    Exchange,
    End(usize, u64),
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: Vec<u64>,
    waiting: VecDeque<u64>,
    cache: VecDeque<u64>,
    /// Speeds with the time from which each holds.
    speeds: Vec<(u64, f64)>,
}

/// Reported requests and work of one instance, by backend server.
type Reported = Vec<(u32, f64)>;

struct Simulation {
    load: Load,
    now: u64,
    rng: StdRng,
    figures: StdRng,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    fleets: Vec<Fleet>,
    servers: Vec<Server>,
    sent: BTreeMap<u64, Sent>,
    reported: Vec<Reported>,
    serial: u64,
    answers: Vec<(f64, bool)>,
    chosen: Vec<u32>,
}

pub fn run(load: Load) -> Summary {
    let mut simulation = Simulation::new(load);
    while simulation.step() {}
    simulation.summary()
}

impl Simulation {
    fn new(load: Load) -> Self {
        let mut simulation = Self {
            load,
            now: 0,
            rng: StdRng::seed_from_u64(load.seed),
            figures: StdRng::seed_from_u64(load.seed),
            events: BinaryHeap::new(),
            fleets: vec![fleet(); INSTANCES],
            servers: vec![Server::default(); BACKENDS],
            sent: BTreeMap::new(),
            reported: vec![vec![(0, 0.0); BACKENDS]; INSTANCES],
            serial: 0,
            answers: Vec::new(),
            chosen: Vec::new(),
        };
        for i in 0..BACKENDS {
            simulation.schedule(0.0, Event::Speed(i));
        }
        simulation.schedule(0.0, Event::Arrival);
        simulation.schedule(0.0, Event::Exchange);
        simulation
    }

    fn schedule(&mut self, in_us: f64, event: Event) {
        self.events.push(Reverse((self.now + in_us as u64, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, event))) = self.events.pop() else {
            return false;
        };
        if at > self.load.seconds * 1_000_000 {
            return false;
        }
        self.now = at;
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Speed(server) => {
                let speeds = &mut self.servers[server].speeds;
                let (speed, mean_us) = SPEEDS[speeds.len() % SPEEDS.len()];
                speeds.push((at, speed));
                let wait = self.exponential(mean_us);
                self.schedule(wait, event);
            }
            Event::Exchange => {
                self.exchange();
                self.schedule(EXCHANGE_US as f64, event);
            }
            Event::End(server, serial) => self.on_end(server, serial),
        }
        true
    }

    fn on_arrival(&mut self) {
        let mean_ms = (CHEAP_MS * 4.0 + self.load.dear_ms) / 5.0;
        let per_us = self.load.utilisation * (BACKENDS * SLOTS) as f64 / (mean_ms * 1_000.0);
        let wait = self.exponential(1.0 / per_us);
        self.schedule(wait, Event::Arrival);
        let instance = self.rng.random_range(0..INSTANCES);
        let account = self.rng.random_range(0..ACCOUNTS);
        let object = object_hash("stock", &self.rng.random_range(0..OBJECTS).to_string());
        let noise = self.rng.random_range(0.8..1.2);
        let is_late_half = self.now > self.load.seconds * 500_000;
        let dear = u64::from(self.load.is_changed && is_late_half);
        let is_dear = account % 5 == dear;
        let cost_ms = noise * if is_dear { self.load.dear_ms } else { CHEAP_MS };
        let (backend, choice) = self.choose(instance, account, object);
        self.chosen.push(backend as u32);
        self.serial += 1;
        let sent = Sent {
            instance,
            backend,
            choice,
            object,
            is_dear,
            cost_ms,
            sent_at: self.now,
        };
        self.sent.insert(self.serial, sent);
        self.servers[backend].waiting.push_back(self.serial);
        self.serve(backend);
    }

    fn choose(&mut self, instance: usize, account: u64, object: u64) -> (usize, Option<Choice>) {
        let work = |backend| self.work_ms(instance, backend);
        let least = |score: &dyn Fn(usize) -> f64| {
            (0..BACKENDS)
                .min_by(|one, other| score(*one).total_cmp(&score(*other)))
                .unwrap()
        };
        let backend = match self.load.policy {
            Policy::CodeByCount | Policy::Code => {
                return self.choose_by_code(instance, account, object);
            }
            Policy::LeastRequests => least(&|backend| f64::from(self.requests(instance, backend))),
            Policy::LeastWork => least(&work),
            Policy::BestOfTwo => {
                let one = self.rng.random_range(0..BACKENDS);
                let other = self.rng.random_range(0..BACKENDS);
                if self.work_ms(instance, one) <= self.work_ms(instance, other) {
                    one
                } else {
                    other
                }
            }
            Policy::HomeWithin(bound_ms) => {
                let home = (object % BACKENDS as u64) as usize;
                let best = least(&work);
                let excess_ms = (work(home) - work(best)) / SLOTS as f64;
                if excess_ms <= bound_ms { home } else { best }
            }
        };
        (backend, None)
    }

    fn choose_by_code(
        &mut self,
        instance: usize,
        account: u64,
        object: u64,
    ) -> (usize, Option<Choice>) {
        let is_told = self.load.policy == Policy::Code;
        let request = ChoiceRequest {
            service: "stock",
            route: "lookup",
            object: Some(object),
            account: is_told.then_some(account),
            is_large: false,
            region: "west",
            data_centre: "a",
            home_regions: [&[], &[]],
            evacuated: &[],
            version_filter: None,
            excluded: &[],
            cold_rate: 0.0,
            share: &NO_SHARE,
            is_large_deployment: false,
        };
        let now = MonoTime(self.now);
        let fleet = &mut self.fleets[instance];
        let Ok(choice) = fleet.choose(&request, TARGET_MS, now) else {
            return ((object % BACKENDS as u64) as usize, None);
        };
        fleet.on_send(&request, choice.key, now);
        if is_told {
            fleet.on_work_sent(&choice, now);
        }
        (choice.key.0 as usize, Some(choice))
    }

    /// Returns the requests at a backend server as an instance knows them.
    fn requests(&self, instance: usize, backend: usize) -> u32 {
        let own = self.own(instance, backend).count() as u32;
        let others = (0..INSTANCES).filter(|other| *other != instance);
        own + others
            .map(|other| self.reported[other][backend].0)
            .sum::<u32>()
    }

    /// Returns the work left at a backend server as an instance that knows all costs knows it.
    fn work_ms(&self, instance: usize, backend: usize) -> f64 {
        let others = (0..INSTANCES).filter(|other| *other != instance);
        self.own_work_ms(instance, backend)
            + others
                .map(|other| self.reported[other][backend].1)
                .sum::<f64>()
    }

    fn own(&self, instance: usize, backend: usize) -> impl Iterator<Item = &Sent> {
        let sent = self.sent.values();
        sent.filter(move |sent| sent.instance == instance && sent.backend == backend)
    }

    fn own_work_ms(&self, instance: usize, backend: usize) -> f64 {
        let left = self.own(instance, backend).map(|sent| {
            let elapsed_ms = (self.now - sent.sent_at) as f64 / 1_000.0;
            (sent.cost_ms - elapsed_ms).max(sent.cost_ms * 0.2)
        });
        left.sum()
    }

    fn exchange(&mut self) {
        for instance in 0..INSTANCES {
            let reported: Reported = (0..BACKENDS)
                .map(|backend| {
                    let requests = self.own(instance, backend).count() as u32;
                    let key = BackendKey(backend as u32);
                    let work_ms = match (self.load.policy, self.load.reported_work) {
                        (Policy::CodeByCount, _) => 0.0,
                        (_, Some(work_ms)) => work_ms,
                        (Policy::Code, None) => self.fleets[instance]
                            .entry(key)
                            .own_work_ms(MonoTime(self.now)),
                        (_, None) => self.own_work_ms(instance, backend),
                    };
                    (requests, work_ms)
                })
                .collect();
            let previous = std::mem::replace(&mut self.reported[instance], reported);
            for other in (0..INSTANCES).filter(|other| *other != instance) {
                for (backend, (before, after)) in
                    previous.iter().zip(&self.reported[instance]).enumerate()
                {
                    let entry = self.fleets[other].entry_mut(BackendKey(backend as u32));
                    entry.remove_reported(before.0, before.1);
                    entry.add_reported(after.0, after.1);
                }
            }
        }
    }

    fn serve(&mut self, backend: usize) {
        while self.servers[backend].running.len() < SLOTS {
            let Some(serial) = self.servers[backend].waiting.pop_front() else {
                return;
            };
            let sent = self.sent[&serial];
            let server = &mut self.servers[backend];
            let is_warm = server.cache.contains(&sent.object);
            server.cache.retain(|object| *object != sent.object);
            server.cache.push_back(sent.object);
            if server.cache.len() > CACHED_OBJECTS {
                server.cache.pop_front();
            }
            server.running.push(serial);
            let speed = server.speeds.last().map_or(1.0, |(_, speed)| *speed);
            let ms = sent.cost_ms * speed * if is_warm { 1.0 } else { 1.5 };
            self.schedule(ms * 1_000.0, Event::End(backend, serial));
        }
    }

    fn on_end(&mut self, backend: usize, serial: u64) {
        let Some(sent) = self.sent.remove(&serial) else {
            return;
        };
        let ms = (self.now - sent.sent_at) as f64 / 1_000.0;
        if self.now > self.load.seconds * 250_000 {
            self.answers.push((ms, sent.is_dear));
        }
        if let Some(choice) = sent.choice {
            let now = MonoTime(self.now);
            let percent = self.figure(backend);
            let server = &self.servers[backend];
            let (running, waiting) = (server.running.len() as u32, server.waiting.len() as u32);
            let fleet = &mut self.fleets[sent.instance];
            fleet.on_end(&choice, "lookup", RequestOutcome::Answered(ms), now);
            fleet
                .entry_mut(choice.key)
                .on_load_report(now, running, waiting);
            if let (Some(percent), Policy::Code) = (percent, self.load.policy) {
                fleet.entry_mut(choice.key).on_speed_report(now, percent);
            }
        }
        self.servers[backend]
            .running
            .retain(|other| *other != serial);
        self.serve(backend);
    }

    fn figure(&mut self, backend: usize) -> Option<f64> {
        let speeds = &self.servers[backend].speeds;
        let speed_at = |at: u64| {
            let index = speeds.partition_point(|(from, _)| *from <= at);
            speeds[index.max(1) - 1].1
        };
        match self.load.figure {
            SpeedFigure::Absent => None,
            SpeedFigure::True => Some(speed_at(self.now) * 100.0),
            SpeedFigure::Stale(us) => Some(speed_at(self.now.saturating_sub(us)) * 100.0),
            SpeedFigure::Odd(percent) => Some(percent),
            SpeedFigure::Random => Some(self.figures.random_range(25.0..400.0)),
            SpeedFigure::Inverted => Some(100.0 / speed_at(self.now)),
        }
    }

    fn summary(mut self) -> Summary {
        let share = |is_good: &dyn Fn(&(f64, bool)) -> bool, all: &[(f64, bool)]| {
            all.iter().filter(|answer| is_good(answer)).count() as f64 / all.len() as f64
        };
        let target_ms = f64::from(TARGET_MS);
        let in_target = share(&|(ms, _)| *ms <= target_ms, &self.answers);
        let mut cheap: Vec<_> = self
            .answers
            .iter()
            .copied()
            .filter(|(_, is_dear)| !is_dear)
            .collect();
        let cheap_in_time = share(&|(ms, _)| *ms <= target_ms / 6.0, &cheap);
        let percentile = |share: f64, answers: &mut [(f64, bool)]| {
            answers.sort_by(|one, other| one.0.total_cmp(&other.0));
            answers[(answers.len() as f64 * share) as usize].0
        };
        Summary {
            p50_ms: percentile(0.5, &mut self.answers),
            p99_ms: percentile(0.99, &mut self.answers),
            cheap_p99_ms: percentile(0.99, &mut cheap),
            in_target,
            cheap_in_time,
            chosen: self.chosen,
        }
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for i in 0..BACKENDS {
        let backend = Backend {
            id: format!("b-{i}"),
            service: "stock".to_owned(),
            addr: ([127, 0, 0, 1], 7_000).into(),
            data_centre: "a".to_owned(),
            version: "v1".to_owned(),
            slots: SLOTS as u32,
            state: BackendState::Ready,
            cold_ms: 0,
            born_ms: 1,
        };
        fleet.register(backend, "west", MonoTime::default());
    }
    fleet.on_connected("a", 0.1);
    fleet
}
