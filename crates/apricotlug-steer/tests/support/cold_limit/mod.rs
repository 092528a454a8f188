//! Model of instances, what each knows of the others, and one cold backend server to which all send
//! as often as they may.

mod instance;
mod members;
mod outcome;
mod record;
mod rows;

use std::collections::{BTreeMap, VecDeque};

use apricotlug_model::Backend;
use apricotlug_policy::steer::usable_cold_rate;
use instance::Instance;
pub use outcome::Outcome;
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom};
pub use rows::{Links, Row};

/// Interval between two ticks of an instance, as the product has it.
const TICK_MS: u64 = 150;

/// Time for which the backend server stays cold.
const COLD_MS: u64 = 3_000;

/// Time over which requests are counted.
const WINDOW_MS: u64 = 1_000;

/// Time for which an instance knows the others before it has to use the backend server.
const SETTLED_MS: u64 = 2_000;

/// Time from the start of an instance to its entry in the store.
const ENTRY_MS: u64 = 400;

/// Instances that try to send in one millisecond at least. All of a larger deployment do so in turn,
/// in an order that is drawn for each round of `MAX_ROUND_MS` at most.
const TRIES_PER_MS: usize = 8;
const MAX_ROUND_MS: usize = 32;

/// Factor by which requests in a second may exceed the rate that it is made for, beside the slack.
const OVERAGE: f64 = 1.5;

/// Number of instances, and what a cold backend server of theirs may get.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    pub instances: usize,
    /// Requests per second that it is made for.
    pub rate: f64,
    /// Requests that it may get in a second beyond 1.5 times that rate.
    pub slack: f64,
    /// Instances for each one that is played, whose requests alone then have to keep the bound of
    /// all.
    pub played_one_in: u32,
}

impl Sheet {
    pub const fn new(instances: usize, rate: f64, slack: f64) -> Self {
        Self {
            instances,
            rate,
            slack,
            played_one_in: if instances > 1_000 { 10 } else { 1 },
        }
    }

    /// Returns the number of requests that it may get in a second.
    fn bound(&self) -> f64 {
        self.rate * OVERAGE + self.slack
    }

    /// Returns the rate at which all instances together send to it.
    fn usable_rate(&self) -> f64 {
        usable_cold_rate(self.rate, OVERAGE, self.slack)
    }
}

/// Entry of an instance in the store.
#[derive(Clone, Copy, Debug)]
struct StoreEntry {
    run: u64,
    written_at: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Start(usize),
    /// The entry of a run is written.
    Enter(usize, u64),
    /// A run has read the store for the first time.
    List(usize, u64),
    Tick(usize, u64),
    /// A viewer's run reads the entry of a run of another instance.
    Learn {
        viewer: (usize, u64),
        subject: (usize, u64),
    },
    /// A viewer reads that the entry of another instance is gone.
    Lapse {
        viewer: usize,
        subject: usize,
    },
    /// The backend server becomes cold, and its record says so.
    Cool,
    /// Its record lapses while it is still there and cold.
    LoseRecord,
    /// Its record is written again.
    WriteRecord,
    ReadRecord(usize, u64),
    ReadNoRecord(usize, u64),
    /// One instance restarts, and later the next one.
    RestartOne,
}

/// Instances and a backend server, with what is still to happen to them.
pub struct Play {
    sheet: Sheet,
    links: Links,
    rng: SmallRng,
    backend_id: String,
    now: u64,
    end: u64,
    instances: Vec<Instance>,
    entries: Vec<Option<StoreEntry>>,
    agenda: BTreeMap<u64, Vec<Event>>,
    /// From when on the store answers nobody.
    store_lost_at: u64,
    /// Record of the backend server, as last written.
    record: Option<Backend>,
    cold_until: u64,
    last_cooled_at: Option<u64>,
    /// Whether its record has been there since it became cold.
    has_kept_record: bool,
    sent_since_cool: usize,
    /// Time and sender of the requests in the last second.
    sent: VecDeque<(u64, usize)>,
    round: Vec<usize>,
    outcome: Outcome,
}

impl Play {
    /// Plays a row to its end.
    pub fn run(sheet: Sheet, row: Row, links: Links, seed: u64) -> Outcome {
        let mut play = Self::new(sheet, links, seed);
        play.arrange(row);
        while play.now < play.end {
            play.step();
        }
        play.outcome
    }

    fn new(sheet: Sheet, links: Links, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instances = 0..sheet.instances;
        let instances = instances.map(|i| {
            let is_played = rng.random_ratio(1, sheet.played_one_in);
            Instance::new(i, links.mbps(i), is_played)
        });
        let instances = instances.collect();
        Self {
            sheet,
            links,
            rng,
            backend_id: format!("back-{seed}"),
            now: 0,
            end: 0,
            instances,
            entries: vec![None; sheet.instances],
            agenda: BTreeMap::new(),
            store_lost_at: u64::MAX,
            record: None,
            cold_until: 0,
            last_cooled_at: None,
            has_kept_record: false,
            sent_since_cool: 0,
            sent: VecDeque::new(),
            round: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.agenda.entry(self.now + ms).or_default().push(event);
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.agenda.entry(ms).or_default().push(event);
    }

    fn is_store_lost(&self) -> bool {
        self.now >= self.store_lost_at
    }

    fn played(&self) -> Vec<usize> {
        let all = 0..self.instances.len();
        all.filter(|i| self.instances[*i].is_played()).collect()
    }

    fn step(&mut self) {
        while let Some(due) = self.agenda.first_entry()
            && *due.key() <= self.now
        {
            for event in due.remove() {
                self.on_event(event);
            }
        }
        if self.now < self.cold_until {
            self.outcome.cold_ms += 1;
            self.send();
        }
        if let Some(from) = self.last_cooled_at
            && self.now >= from + COLD_MS
        {
            if self.sent_since_cool == 0 && self.is_owed(from) {
                self.outcome.unused_from.get_or_insert(from);
            }
            self.last_cooled_at = None;
        }
        self.now += 1;
    }

    /// Returns whether the backend server had to get a request in the time for which it was cold:
    /// an instance that look-ups list had known the others for long, and ran throughout.
    fn is_owed(&self, cooled_at: u64) -> bool {
        let Some(settled_at) = cooled_at.checked_sub(SETTLED_MS) else {
            return false;
        };
        let mut instances = self.instances.iter().enumerate();
        let has_sender = instances
            .any(|(i, instance)| self.links.is_listed(i) && instance.has_listed_by(settled_at));
        has_sender && self.has_kept_record && self.sheet.played_one_in == 1
    }

    fn send(&mut self) {
        let played = self.played();
        let tries = played.len().div_ceil(MAX_ROUND_MS).max(TRIES_PER_MS);
        for _ in 0..tries.min(played.len()) {
            if self.round.is_empty() {
                self.round = played.clone();
                self.round.shuffle(&mut self.rng);
            }
            let Some(i) = self.round.pop() else { return };
            if self.instances[i].try_send(self.sheet.usable_rate(), self.now) {
                self.sent.push_back((self.now, i));
                self.sent_since_cool += 1;
                self.outcome.sent += 1;
            }
        }
        while let Some((at, _)) = self.sent.front()
            && at + WINDOW_MS <= self.now
        {
            self.sent.pop_front();
        }
        if self.sent.len() > self.outcome.most {
            let mut senders: Vec<_> = self.sent.iter().map(|(_, i)| i).collect();
            senders.sort_unstable();
            senders.dedup();
            self.outcome.most = self.sent.len();
            self.outcome.senders = senders.len();
            self.outcome.at = self.now;
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Start(i) => self.start(i),
            Event::Enter(i, run) => self.enter(i, run),
            Event::List(i, run) => self.list(i, run),
            Event::Tick(i, run) => {
                let reads_store = !self.is_store_lost();
                if self.instances[i].tick(run, now, reads_store) {
                    self.after(TICK_MS, event);
                }
            }
            Event::Learn { viewer, subject } => self.learn(viewer, subject),
            Event::Lapse { viewer, subject } => {
                let name = self.instances[subject].name().to_owned();
                self.instances[viewer].on_lapse(&name);
            }
            Event::Cool => self.cool(),
            Event::LoseRecord => {
                self.record = None;
                self.has_kept_record = false;
                self.tell_of_record(Event::ReadNoRecord);
            }
            Event::WriteRecord => {
                self.write_record();
                self.tell_of_record(Event::ReadRecord);
            }
            Event::ReadRecord(i, run) => {
                if let Some(record) = self.record.clone() {
                    self.instances[i].on_record(run, record, now);
                }
            }
            Event::ReadNoRecord(i, run) => self.instances[i].on_no_record(run),
            Event::RestartOne => self.restart_one(),
        }
    }
}
