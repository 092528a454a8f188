//! Simulation of a fleet in virtual time: the gossip of all instances over a network with faults.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use apricotlug_model::{InstanceId, MonoTime};
use apricotlug_peer::{
    Addresses, BundleHead, Chunk, CompleteBundle, Exchange, Fetch, Gossip, MemberRecord, NameHash,
    State, Target, encode_exchange,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Faults that the network applies to messages.
#[derive(Clone, Debug)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub max_delay: Duration,
    /// Directed pairs of instances whose messages are lost.
    pub cut: BTreeSet<(usize, usize)>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            max_delay: Duration::from_millis(50),
            cut: BTreeSet::new(),
        }
    }
}

pub struct Node {
    pub gossip: Gossip,
    pub record: MemberRecord,
    pub data_centre: usize,
    pub is_up: bool,
    pub is_paused: bool,
    pub bytes: u64,
    pub messages: u64,
    pub highest_version: u64,
    deferred: Vec<Event>,
    next_poll: MonoTime,
    calls: BTreeMap<u64, Target>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll(usize),
    Request(usize, usize, u64, Box<InFlight>),
    Reply(usize, u64, Box<InFlight>),
    Timeout(usize, u64),
    Refused(usize, u64),
    Chunks(usize, usize, u64),
}

/// Message in flight. All messages compare as equal, as the queue orders events by time and number.
#[derive(Clone, Debug, PartialEq, Eq)]
struct InFlight(Exchange);

impl PartialOrd for InFlight {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for InFlight {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub faults: Faults,
    pub now: MonoTime,
    pub counts_bytes: bool,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    next: u64,
    fetches: BTreeMap<u64, Fetch>,
}

impl Fleet {
    /// Returns a fleet with the given numbers of instances per data centre. All start within 400 ms
    /// and know one seed each.
    pub fn new(data_centres: &[usize], seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            faults: Faults::default(),
            now: MonoTime(1_000_000),
            counts_bytes: false,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            next: 0,
            fetches: BTreeMap::new(),
        };
        for (data_centre, members) in data_centres.iter().enumerate() {
            for _ in 0..*members {
                let index = fleet.nodes.len();
                fleet.nodes.push(node(index, data_centre, 1, fleet.now));
                fleet.plan_poll(index, MIN_DELAY * (index as u32 % 400));
            }
        }
        fleet
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs until the condition holds and returns the time that took; `None` if it does not hold
    /// within the span. The condition is checked every 50 ms and at the end.
    pub fn run_until(
        &mut self,
        span: Duration,
        mut is_met: impl FnMut(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let end = start.after(span);
        let mut next_check = start;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            if next_check.is_past(*at) {
                next_check = at.after(Duration::from_millis(50));
                if is_met(self) {
                    return Some(self.now.since(start));
                }
            }
            let Reverse((at, _, event)) = self.queue.pop().unwrap();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
        is_met(self).then(|| self.now.since(start))
    }

    pub fn crash(&mut self, i: usize) {
        self.nodes[i].is_up = false;
    }

    pub fn pause(&mut self, i: usize) {
        self.nodes[i].is_paused = true;
    }

    pub fn resume(&mut self, i: usize) {
        self.nodes[i].is_paused = false;
        for event in std::mem::take(&mut self.nodes[i].deferred) {
            self.schedule(Duration::ZERO, event);
        }
        self.plan_poll(i, Duration::ZERO);
    }

    /// Drops the messages that arrived during a pause, as if their connections had been closed.
    pub fn lose_deferred(&mut self, i: usize) {
        self.nodes[i].deferred.clear();
    }

    /// Restarts an instance without data under the same name and address.
    pub fn restart(&mut self, i: usize, generation: u64) {
        let data_centre = self.nodes[i].data_centre;
        let counters = (self.nodes[i].bytes, self.nodes[i].messages);
        self.nodes[i] = node(i, data_centre, generation, self.now);
        (self.nodes[i].bytes, self.nodes[i].messages) = counters;
        self.plan_poll(i, MIN_DELAY);
    }

    /// Cuts the links from one group to another, in that direction only.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        let pairs = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
        self.faults.cut.extend(pairs);
    }

    pub fn heal(&mut self) {
        self.faults.cut.clear();
    }

    pub fn data_centre(&self, data_centre: usize) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|i| self.nodes[*i].data_centre == data_centre)
            .collect()
    }

    /// Returns the state of one instance as another sees it.
    pub fn state(&self, observer: usize, subject: usize) -> Option<State> {
        let id = NameHash::of(&self.nodes[subject].record.id.name);
        self.nodes[observer].gossip.membership.state(id, self.now)
    }

    /// Returns whether an observer sees an instance as ready, and so lists it in look-ups.
    pub fn sees_ready(&self, observer: usize, subject: usize) -> bool {
        self.state(observer, subject) == Some(State::Ready)
    }

    /// Returns whether every instance of the group sees every other one as ready.
    pub fn all_see_ready(&self, group: &[usize]) -> bool {
        let named = |a: &usize| group.iter().all(|b| self.sees_ready(*a, *b));
        group.iter().all(named)
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.nodes.len()).collect()
    }

    pub fn publish(&mut self, i: usize, version: u64) {
        let bundle = bundle(version);
        self.nodes[i].gossip.data.publish(bundle);
        self.plan_poll(i, Duration::ZERO);
    }

    pub fn withdraw(&mut self, i: usize, key: &str) {
        self.nodes[i].gossip.data.withdraw(key).unwrap();
        self.plan_poll(i, Duration::ZERO);
    }

    pub fn has_version(&self, group: &[usize], version: u64) -> bool {
        let mut nodes = group.iter().map(|i| &self.nodes[*i]);
        nodes.all(|node| node.gossip.data.version() >= version)
    }

    pub fn has_withdrawn(&self, group: &[usize], key: &str) -> bool {
        let mut nodes = group.iter().map(|i| &self.nodes[*i]);
        nodes.all(|node| node.gossip.data.withdrawn().contains(key))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next += 1;
        let at = self.now.after(after);
        self.queue.push(Reverse((at, self.next, event)));
    }

    fn handle(&mut self, event: Event) {
        let owner = event.owner();
        if !self.nodes[owner].is_up {
            if let Event::Request(from, _, call_id, _) = event {
                self.schedule(MIN_DELAY, Event::Refused(from, call_id));
            }
            return;
        }
        if self.nodes[owner].is_paused {
            if !matches!(event, Event::Poll(_)) {
                self.nodes[owner].deferred.push(event);
            }
            return;
        }
        match event {
            Event::Poll(i) => self.poll(i),
            Event::Request(from, to, call_id, msg) => {
                let reply = self.nodes[to].gossip.answer(&msg.0, self.now);
                self.send(to, from, reply, |msg| Event::Reply(from, call_id, msg));
            }
            Event::Reply(i, call_id, msg) => self.reply(i, call_id, &msg.0),
            Event::Timeout(i, call_id) | Event::Refused(i, call_id) => {
                if let Some(target) = self.nodes[i].calls.remove(&call_id) {
                    self.nodes[i].gossip.call_failed(&target);
                }
            }
            Event::Chunks(to, from, number) => self.chunks(to, from, number),
        }
        self.after_event(owner);
    }

    /// Schedules the next poll of an instance; it replaces one that was scheduled before.
    fn plan_poll(&mut self, i: usize, after: Duration) {
        self.nodes[i].next_poll = self.now.after(after);
        self.schedule(after, Event::Poll(i));
    }

    fn poll(&mut self, i: usize) {
        if self.nodes[i].next_poll != self.now {
            return;
        }
        self.nodes[i].next_poll = MonoTime::MAX;
        let targets = self.nodes[i].gossip.poll(self.now, &mut self.rng);
        for target in targets {
            let msg = self.nodes[i].gossip.request(&target, self.now);
            self.call(i, target, msg);
        }
    }

    fn call(&mut self, i: usize, target: Target, msg: Exchange) {
        let to = index_of(target.addr);
        self.next += 1;
        let call_id = self.next;
        self.nodes[i].calls.insert(call_id, target);
        self.schedule(CALL_TIMEOUT, Event::Timeout(i, call_id));
        self.send(i, to, msg, |msg| Event::Request(i, to, call_id, msg));
    }

    fn reply(&mut self, i: usize, call_id: u64, msg: &Exchange) {
        let target = self.nodes[i].calls.remove(&call_id);
        let next = self.nodes[i].gossip.follow_up(msg, self.now);
        if let (Some(target), Some(next)) = (target, next) {
            self.call(i, target, next);
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        msg: Exchange,
        event: impl Fn(Box<InFlight>) -> Event,
    ) {
        if self.counts_bytes {
            let bytes = encode_exchange(&msg).len() as u64;
            for i in [from, to] {
                self.nodes[i].bytes += bytes;
                self.nodes[i].messages += 1;
            }
        }
        let is_cut = self.faults.cut.contains(&(from, to));
        if is_cut || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let delay = self.rng.random_range(MIN_DELAY..=self.faults.max_delay);
            self.schedule(delay, event(Box::new(InFlight(msg.clone()))));
        }
    }

    /// Schedules the next poll, checks that no bundle version goes down, and starts a fetch if one
    /// is due.
    fn after_event(&mut self, i: usize) {
        let span = self.nodes[i].gossip.poll_at().since(self.now);
        let span = span.max(MIN_DELAY);
        if self.now.after(span) < self.nodes[i].next_poll {
            self.plan_poll(i, span);
        }
        let node = &mut self.nodes[i];
        let version = node.gossip.data.version();
        assert!(version >= node.highest_version, "bundle version went down");
        node.highest_version = version;
        for bundle in node.gossip.data.take_completed() {
            assert_eq!(bundle.head, self::bundle(bundle.head.version).head);
        }
        let Some(fetch) = node.gossip.data.next_fetch(self.now) else {
            return;
        };
        let target = node.gossip.membership.target(fetch.peer);
        let Some(to) = target.map(|target| index_of(target.addr)) else {
            node.gossip.data.store_fetched(&fetch, Vec::new(), self.now);
            return;
        };
        self.next += 1;
        let number = self.next;
        self.fetches.insert(number, fetch);
        let delay = self.rng.random_range(MIN_DELAY..=self.faults.max_delay);
        self.schedule(delay * 2, Event::Chunks(i, to, number));
    }

    fn chunks(&mut self, to: usize, from: usize, number: u64) {
        let Some(fetch) = self.fetches.remove(&number) else {
            return;
        };
        let is_cut = [(from, to), (to, from)]
            .iter()
            .any(|pair| self.faults.cut.contains(pair));
        let is_silent = !self.nodes[from].is_up || self.nodes[from].is_paused || is_cut;
        let chunks = match is_silent {
            true => Vec::new(),
            false => self.nodes[from].gossip.data.chunks(&fetch.hashes),
        };
        self.nodes[to]
            .gossip
            .data
            .store_fetched(&fetch, chunks, self.now);
    }
}

impl Event {
    fn owner(&self) -> usize {
        match self {
            Self::Poll(i) | Self::Reply(i, ..) | Self::Timeout(i, _) | Self::Refused(i, _) => *i,
            Self::Request(_, to, ..) => *to,
            Self::Chunks(to, ..) => *to,
        }
    }
}

/// Returns the bundle of a version; an even version and the next one share a chunk.
pub fn bundle(version: u64) -> CompleteBundle {
    let chunks = [
        Chunk::new(format!("accounts {}", version / 2).into_bytes()),
        Chunk::new(format!("blocks {version}").into_bytes()),
    ];
    let head = BundleHead {
        version,
        bytes: format!("head {version}").into_bytes().into(),
        chunks: chunks.iter().map(|chunk| chunk.hash).collect(),
    };
    CompleteBundle::new(head, &chunks).unwrap()
}

/// Returns the record of an instance; its IP address encodes the index.
pub fn record(index: usize, data_centre: usize, generation: u64) -> MemberRecord {
    let addr = |port: u16| -> SocketAddr {
        let ip = Ipv4Addr::from_bits(0x0a00_0000 + index as u32);
        (ip, port).into()
    };
    MemberRecord {
        id: InstanceId {
            name: format!("entry-{index:04}"),
            incarnation: generation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ index as u64,
        },
        generation,
        version: 0,
        state: State::Ready,
        data_centre: format!("data-centre-{data_centre:02}"),
        addresses: Addresses {
            caller: addr(8080),
            lookup: addr(8081),
            peer: addr(7000),
        },
    }
}

fn node(index: usize, data_centre: usize, generation: u64, now: MonoTime) -> Node {
    let record = record(index, data_centre, generation);
    // The first instance uses the second as its seed, so that it can be restarted as well.
    let seed = self::record(usize::from(index == 0), 0, 1).addresses.peer;
    Node {
        gossip: Gossip::new(record.clone(), vec![seed], now),
        record,
        data_centre,
        is_up: true,
        is_paused: false,
        bytes: 0,
        messages: 0,
        highest_version: 0,
        deferred: Vec::new(),
        next_poll: MonoTime::MAX,
        calls: BTreeMap::new(),
    }
}

fn index_of(addr: SocketAddr) -> usize {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => (ip.to_bits() - 0x0a00_0000) as usize,
        std::net::IpAddr::V6(_) => unreachable!("the fleet uses IPv4 only"),
    }
}
