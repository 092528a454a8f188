//! Simulation of one service with too little room in virtual time: instances that choose and admit
//! with the real decision code, backend servers with queues, late or absent reports of loads, and
//! callers that come back once.

mod alternatives;
mod results;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use apricotlug_model::{Backend, BackendState, MonoTime};
use apricotlug_policy::steer::{
    AdmissionDecision, BackendKey, Choice, ChoiceRequest, Fleet, LimitShare, Rank, RankGate,
    RankedRequest, RequestLimits, RequestOutcome, Room, decide_admission, retry_after_ms,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub use results::{Results, Tally};

pub const RANKS: usize = 3;
const ACCOUNTS_PER_RANK: u64 = 4;
const SERVERS: usize = 24;
const SLOTS: u32 = 3;
const INSTANCES: usize = 6;
const WORK_MS: f64 = 200.0;
const TARGET_MS: u32 = 500;
const BUDGET_MS: f64 = 2_500.0;
const WARM_UP_MS: u64 = 5_000;
const END_MS: u64 = 20_000;
const REPORT_MS: u64 = 150;
const WINDOW_MS: u64 = 250;
/// Multiples of its slots that a backend server queues at most.
const MAX_QUEUE: usize = 3;

/// Way in which an instance orders its requests.
#[allow(
    dead_code,
    reason = "the tests don't run the alternatives that the example compares"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// None: admission by wait and expected answer.
    None,
    /// Part of the allowed wait by rank, and a cut on rank.
    RankGate,
    /// Cut on rank and account, moved by the wait of the last window, as in DAGOR.
    Threshold,
    /// Requests in flight of each instance, moved by the wait of the last window, of which the less
    /// urgent may use a part, as in Breakwater.
    Credits,
    /// Queue in each instance, served by weight, for backend servers without a free slot.
    Queue,
}

#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Arriving work as a multiple of the room.
    pub demand: f64,
    /// Share of each rank's requests, the most urgent first.
    pub shares: [f64; RANKS],
    /// Milliseconds until a report of another instance arrives; `None` if none does.
    pub report_delay_ms: Option<u64>,
    /// Whether answers carry the backend server's load.
    pub has_server_load: bool,
    /// Whether the least urgent requests come to half of the instances, and the others to the rest.
    pub is_split: bool,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived: u64,
    account: u64,
    rank: usize,
    work_ms: f64,
    is_returning: bool,
    /// Backend server that was full when the request arrived there.
    excluded: Option<BackendKey>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: Request,
    instance: usize,
    choice: Choice,
    sent: u64,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Return(usize, Request),
    Done(usize, Box<Running>),
    Report(usize),
    Deliver(usize, Vec<u32>),
    Window(usize),
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<Running>,
}

struct Instance {
    fleet: Fleet,
    gate: RankGate,
    reported: Vec<u32>,
    /// Part of the ranks and accounts that is admitted, for [`Order::Threshold`].
    cut: f64,
    /// Requests that may be in flight, for [`Order::Credits`].
    credits: f64,
    in_flight: f64,
    waits: (f64, f64),
    queues: [VecDeque<Request>; RANKS],
    taken: [f64; RANKS],
}

pub struct Simulation {
    order: Order,
    load: Load,
    rng: StdRng,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pending: Vec<Option<Event>>,
    instances: Vec<Instance>,
    servers: Vec<Server>,
    share: LimitShare,
    results: Results,
}

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 10_000))
}

fn instance() -> Instance {
    let mut fleet = Fleet::default();
    for i in 0..SERVERS {
        let backend = Backend {
            id: format!("backend-{i}"),
            service: "desk".to_owned(),
            addr: ([127, 0, 0, 1], 7_000).into(),
            data_centre: "a".to_owned(),
            version: "v1".to_owned(),
            slots: SLOTS,
            state: BackendState::Ready,
            cold_ms: 0,
            born_ms: 1,
        };
        fleet.register(backend, "west", at(0));
    }
    let mut gate = RankGate::default();
    gate.set_ranks((0..RANKS).map(rank).collect());
    Instance {
        fleet,
        gate,
        reported: vec![0; SERVERS],
        cut: 1.0,
        credits: f64::from(SLOTS) * SERVERS as f64 / INSTANCES as f64,
        in_flight: 0.0,
        waits: (0.0, 0.0),
        queues: Default::default(),
        taken: [0.0; RANKS],
    }
}

fn rank(index: usize) -> Rank {
    Rank {
        account: index as u32,
        route: 0,
    }
}

/// Runs the load and returns its results after the warm-up.
pub fn run(order: Order, load: Load) -> Results {
    let mut simulation = Simulation {
        order,
        load,
        rng: StdRng::seed_from_u64(load.seed),
        now: 0,
        sequence: 0,
        events: BinaryHeap::new(),
        pending: Vec::new(),
        instances: (0..INSTANCES).map(|_| instance()).collect(),
        servers: (0..SERVERS).map(|_| Server::default()).collect(),
        share: LimitShare::default(),
        results: Results {
            accounts: vec![Tally::default(); RANKS * ACCOUNTS_PER_RANK as usize],
            ..Results::default()
        },
    };
    simulation.push(0, Event::Arrival);
    for i in 0..INSTANCES {
        simulation.push(i as u64 * 20, Event::Report(i));
        simulation.push(i as u64 * 30, Event::Window(i));
    }
    simulation.run();
    simulation.results
}

impl Simulation {
    fn push(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.pending.push(Some(event));
        let key = (self.now + after_ms, self.sequence, self.pending.len() - 1);
        self.events.push(Reverse(key));
    }

    fn run(&mut self) {
        while let Some(Reverse((time, _, index))) = self.events.pop() {
            if time >= END_MS {
                return;
            }
            self.now = time;
            match self.pending[index].take() {
                Some(Event::Arrival) => self.arrive(),
                Some(Event::Return(i, request)) => self.handle(i, request),
                Some(Event::Done(server, running)) => self.finish(server, *running),
                Some(Event::Report(i)) => self.report(i),
                Some(Event::Deliver(i, loads)) => self.deliver(i, loads),
                Some(Event::Window(i)) => self.end_window(i),
                None => {}
            }
        }
    }

    fn arrive(&mut self) {
        // Several requests a millisecond: the room is 360 a second.
        let per_ms = self.load.demand * SERVERS as f64 * f64::from(SLOTS) / WORK_MS;
        let count = per_ms as u32 + u32::from(self.rng.random::<f64>() < per_ms.fract());
        for _ in 0..count {
            let mut draw: f64 = self.rng.random();
            let mut rank = RANKS - 1;
            for (i, share) in self.load.shares.iter().enumerate() {
                if draw < *share {
                    rank = i;
                    break;
                }
                draw -= share;
            }
            let own = (self.rng.random::<f64>().powi(2) * ACCOUNTS_PER_RANK as f64) as u64;
            let request = Request {
                arrived: self.now,
                account: rank as u64 * ACCOUNTS_PER_RANK + own,
                rank,
                work_ms: WORK_MS * (0.5 + self.rng.random::<f64>()),
                is_returning: false,
                excluded: None,
            };
            self.tally(request, |tally| tally.arrived += 1.0);
            let half = INSTANCES / 2;
            let i = match (self.load.is_split, rank == RANKS - 1) {
                (false, _) => self.rng.random_range(0..INSTANCES),
                (true, true) => self.rng.random_range(0..half),
                (true, false) => self.rng.random_range(half..INSTANCES),
            };
            self.handle(i, request);
        }
        self.push(1, Event::Arrival);
    }

    fn tally(&mut self, request: Request, record: impl Fn(&mut Tally)) {
        if request.arrived >= WARM_UP_MS {
            record(&mut self.results.ranks[request.rank]);
            record(&mut self.results.accounts[request.account as usize]);
        }
    }

    fn limits(&self, request: Request) -> RequestLimits {
        let waited_ms = (self.now - request.arrived) as f64;
        RequestLimits {
            left_ms: (BUDGET_MS - waited_ms).max(0.0),
            target_left_ms: (f64::from(TARGET_MS) - waited_ms).max(0.0),
            target_ms: TARGET_MS.into(),
        }
    }

    fn handle(&mut self, i: usize, request: Request) {
        let limits = self.limits(request);
        let now = at(self.now);
        let choice_request = choice_request(&self.share, request.excluded.as_slice());
        let chosen = self.instances[i]
            .fleet
            .choose(&choice_request, TARGET_MS, now);
        let fleet = &self.instances[i].fleet;
        let utilisation = fleet.utilisation("desk", "west", &[], now);
        let shortage = self.instances[i].gate.shortage("west", now, || utilisation);
        let Ok(choice) = chosen else {
            self.record(i, request, false, shortage);
            return self.refuse(i, request, limits, limits.left_ms / 2.0);
        };
        let (expected_ms, wait_ms) = (choice.expected_ms, choice.wait_ms);
        let base = || decide_admission(limits, expected_ms, wait_ms, choice.is_known);
        let instance = &mut self.instances[i];
        instance.waits.0 += wait_ms;
        instance.waits.1 += 1.0;
        let is_admitted = match self.order {
            Order::None => base() == AdmissionDecision::Admit,
            Order::RankGate => {
                let draw = self.rng.random();
                let entry = instance.fleet.entry(choice.key);
                let room = Room {
                    shortage,
                    has_fresh_load: entry.has_reported_load(now),
                };
                let wait_share = instance.gate.wait_share(ranked(request), room, draw, now);
                let times = (expected_ms, wait_ms);
                let decision = instance
                    .gate
                    .decide(wait_share, limits, times, choice.is_known);
                decision == AdmissionDecision::Admit
            }
            Order::Threshold => {
                let account = (request.account % ACCOUNTS_PER_RANK) as f64 + 0.5;
                let place =
                    (request.rank as f64 + account / ACCOUNTS_PER_RANK as f64) / RANKS as f64;
                place <= instance.cut && base() == AdmissionDecision::Admit
            }
            Order::Credits => {
                let part = 1.0 - 0.2 * request.rank as f64;
                instance.in_flight < instance.credits * part && base() == AdmissionDecision::Admit
            }
            Order::Queue if wait_ms > 0.0 => {
                instance.queues[request.rank].push_back(request);
                return;
            }
            Order::Queue => true,
        };
        self.record(i, request, is_admitted, shortage);
        if is_admitted {
            self.send(i, request, choice);
        } else {
            self.refuse(i, request, limits, expected_ms);
        }
    }

    fn record(&mut self, i: usize, request: Request, is_admitted: bool, shortage: f64) {
        if request.excluded.is_some() {
            return;
        }
        let gate = &mut self.instances[i].gate;
        gate.record(ranked(request), is_admitted, shortage, at(self.now));
    }

    fn refuse(&mut self, i: usize, request: Request, limits: RequestLimits, expected_ms: f64) {
        let ms = retry_after_ms(limits, expected_ms, self.rng.random());
        if !request.is_returning && ms as f64 <= limits.left_ms / 3.0 {
            let request = Request {
                is_returning: true,
                excluded: None,
                ..request
            };
            self.push(ms, Event::Return(i, request));
        }
    }

    fn send(&mut self, instance: usize, request: Request, choice: Choice) {
        let choice_request = choice_request(&self.share, request.excluded.as_slice());
        let sender = &mut self.instances[instance];
        sender
            .fleet
            .on_send(&choice_request, choice.key, at(self.now));
        sender.in_flight += 1.0;
        let running = Running {
            request,
            instance,
            choice,
            sent: self.now,
        };
        let index = choice.key.0 as usize;
        let server = &mut self.servers[index];
        if server.running < SLOTS {
            server.running += 1;
            self.push(
                request.work_ms as u64,
                Event::Done(index, Box::new(running)),
            );
        } else if server.queue.len() < MAX_QUEUE * SLOTS as usize {
            server.queue.push_back(running);
        } else {
            let sender = &mut self.instances[instance];
            sender.in_flight -= 1.0;
            let outcome = RequestOutcome::Refused;
            sender.fleet.on_end(&choice, "pay", outcome, at(self.now));
            let limits = self.limits(request);
            if request.excluded.is_some() {
                return self.refuse(instance, request, limits, choice.expected_ms);
            }
            let excluded = Some(choice.key);
            self.handle(
                instance,
                Request {
                    excluded,
                    ..request
                },
            );
        }
    }

    fn finish(&mut self, index: usize, running: Running) {
        let request = running.request;
        let server = &mut self.servers[index];
        let (active, waiting) = (server.running, server.queue.len() as u32);
        server.running -= 1;
        if let Some(next) = server.queue.pop_front() {
            server.running += 1;
            self.push(
                next.request.work_ms as u64,
                Event::Done(index, Box::new(next)),
            );
        }
        let instance = &mut self.instances[running.instance];
        instance.in_flight -= 1.0;
        let now = at(self.now);
        let outcome = RequestOutcome::Answered((self.now - running.sent) as f64);
        instance.fleet.on_end(&running.choice, "pay", outcome, now);
        if self.load.has_server_load {
            let entry = instance.fleet.entry_mut(running.choice.key);
            entry.on_load_report(now, active, waiting);
        }
        let ms = (self.now - request.arrived) as f64;
        if ms <= BUDGET_MS {
            let is_in_time = ms <= f64::from(TARGET_MS);
            self.tally(request, |tally| {
                tally.served += 1.0;
                tally.in_time += f64::from(u8::from(is_in_time));
            });
        }
        if self.order == Order::Queue {
            self.drain_queue(running.instance);
        }
    }

    fn report(&mut self, i: usize) {
        if let Some(delay_ms) = self.load.report_delay_ms {
            let entries = self.instances[i].fleet.iter();
            let loads = entries.map(|(_, entry)| entry.own_requests).collect();
            self.push(delay_ms, Event::Deliver(i, loads));
        }
        self.push(REPORT_MS, Event::Report(i));
    }

    fn deliver(&mut self, from: usize, loads: Vec<u32>) {
        let keys: Vec<_> = self.instances[from]
            .fleet
            .iter()
            .map(|(key, _)| key)
            .collect();
        for j in (0..INSTANCES).filter(|j| *j != from) {
            for (key, load) in keys.iter().zip(&loads) {
                let previous = self.instances[from].reported[key.0 as usize];
                let entry = self.instances[j].fleet.entry_mut(*key);
                entry.other_requests = entry.other_requests + load - previous;
            }
        }
        self.instances[from].reported = loads;
    }
}

fn ranked(request: Request) -> RankedRequest {
    RankedRequest {
        rank: rank(request.rank),
        account: request.account,
        is_returning: request.is_returning,
    }
}

fn choice_request<'a>(share: &'a LimitShare, excluded: &'a [BackendKey]) -> ChoiceRequest<'a> {
    ChoiceRequest {
        account: None,
        service: "desk",
        route: "pay",
        object: None,
        is_large: false,
        region: "west",
        data_centre: "a",
        home_regions: [&[], &[]],
        evacuated: &[],
        version_filter: None,
        excluded,
        cold_rate: 0.0,
        share,
        is_large_deployment: false,
    }
}
