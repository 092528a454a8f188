//! Who holds a duty: sequences of holders over one store, with lost answers, pauses and a store that
//! goes back, and the reports that follow from its record. Random runs print their seed.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{BootTime, UnixTime};
use apricotlug_policy::steer::{
    DutyHolder, DutyInstance, DutyRecord, DutyStep, DutyTerms, WindowCounts, window_number,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const LEASE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(5);
const STEP_MS: u64 = 100;
const START_S: u64 = 1_767_000_000;

/// What happens to a write: whether it is done, and whether its answer arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    Good,
    Cut,
    LosesAnswers,
}

#[derive(Clone, Debug)]
struct Act {
    at_ms: u64,
    machine: usize,
    fence: u64,
    report: WindowCounts,
}

/// One store, three machines and the endpoint of the reports.
struct World {
    now_ms: u64,
    revision: u64,
    stored: Option<(DutyRecord, u64)>,
    machines: Vec<DutyHolder>,
    links: Vec<Link>,
    is_paused: Vec<bool>,
    accepts_reports: bool,
    acts: Vec<Act>,
    runs: u64,
    era: u64,
    copy: Option<(DutyRecord, u64)>,
    known_eras: Vec<u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: 0,
            revision: 1,
            stored: None,
            machines: Vec::new(),
            links: vec![Link::Good; 3],
            is_paused: vec![false; 3],
            accepts_reports: true,
            acts: Vec::new(),
            runs: 0,
            era: 0,
            copy: None,
            known_eras: vec![0; 3],
        };
        for machine in 0..3 {
            let holder = world.start(machine);
            world.machines.push(holder);
        }
        world
    }

    fn start(&mut self, machine: usize) -> DutyHolder {
        self.runs += 1;
        let own = DutyInstance {
            name: format!("m{machine}"),
            run: self.runs,
            peer: ([127, 0, 0, 1], 7_000 + machine as u16).into(),
        };
        DutyHolder::new(
            own,
            DutyTerms::new(LEASE, Duration::from_millis(300), WINDOW),
        )
    }

    fn restart(&mut self, machine: usize) {
        self.machines[machine] = self.start(machine);
    }

    /// Lets the store lose the writes since its last copy.
    fn go_back(&mut self) {
        self.stored.clone_from(&self.copy);
        self.era += 1;
    }

    fn now(&self) -> BootTime {
        BootTime::default().after(Duration::from_millis(self.now_ms))
    }

    fn wall(&self) -> UnixTime {
        UnixTime::default().after(Duration::from_millis(START_S * 1_000 + self.now_ms))
    }

    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now_ms += STEP_MS;
            for machine in 0..3 {
                if !self.is_paused[machine] {
                    self.step(machine);
                }
            }
        }
    }

    /// One step of an instance: what its process does every 200 ms.
    fn step(&mut self, machine: usize) {
        let (now, wall, link) = (self.now(), self.wall(), self.links[machine]);
        let holder = &mut self.machines[machine];
        holder.expire(now);
        if link != Link::Cut {
            if self.known_eras[machine] != self.era {
                self.known_eras[machine] = self.era;
                holder.on_store_went_back(now, wall);
            }
            if let Some((record, revision)) = self.stored.clone() {
                holder.on_record(Some(record), revision, now);
            }
            holder.on_items_read(now, wall);
        }
        let ready = holder
            .next_window()
            .filter(|number| *number < window_number(wall, WINDOW));
        // The counts that a machine has differ with time and machine.
        let ready = ready.map(|number| WindowCounts {
            number,
            counts: BTreeMap::from([("movers".to_owned(), self.now_ms * 10 + machine as u64)]),
        });
        match holder.next(now, wall, Some(machine as u32), ready) {
            DutyStep::Wait => {}
            DutyStep::Read if link == Link::Cut => {}
            DutyStep::Read => {
                let (record, revision) = self.stored.clone().unzip();
                holder.on_read(record, revision.unwrap_or(0), now);
            }
            DutyStep::Write(write) => {
                holder.on_requested(write.record.clone(), now);
                let current = self.stored.as_ref().map_or(0, |(_, revision)| *revision);
                let is_done = link != Link::Cut && current == write.expected;
                if is_done {
                    self.revision += 1;
                    self.stored = Some((write.record, self.revision));
                }
                match link {
                    Link::Good if is_done => holder.on_written(self.revision, now),
                    Link::Good => holder.on_conflict(now),
                    Link::Cut | Link::LosesAnswers => holder.on_unknown(),
                }
            }
        }
        if let Some((fence, report)) = holder.due_report(now)
            && self.accepts_reports
        {
            holder.on_report_accepted(report.number);
            self.acts.push(Act {
                at_ms: self.now_ms,
                machine,
                fence,
                report,
            });
        }
    }

    fn holders(&self) -> usize {
        let now = self.now();
        let holds = |holder: &&DutyHolder| holder.fence(now).is_some();
        self.machines.iter().filter(holds).count()
    }

    /// Checks the rules on all reports that were sent.
    fn check(&self, case: &str) {
        let mut reports: BTreeMap<u64, &WindowCounts> = BTreeMap::new();
        for act in &self.acts {
            let first = *reports.entry(act.report.number).or_insert(&act.report);
            assert_eq!(first, &act.report, "{case}: two reports of one window");
        }
        for pair in self.acts.windows(2) {
            let (a, b) = (&pair[0], &pair[1]);
            assert!(b.fence >= a.fence, "{case}: {a:?} {b:?}");
            let is_change = a.machine != b.machine;
            assert!(!is_change || b.fence > a.fence, "{case}: {a:?} {b:?}");
        }
        for (i, b) in self.acts.iter().enumerate() {
            let before = self.acts[..i].iter().rev().find(|a| a.machine != b.machine);
            let after = self.acts[i..].iter().find(|c| c.machine != b.machine);
            if let (Some(a), Some(c)) = (before, after)
                && a.machine == c.machine
            {
                let span = Duration::from_millis(c.at_ms - a.at_ms);
                assert!(span >= LEASE, "{case}: A, B, A {a:?} {b:?} {c:?}");
            }
        }
    }

    fn reported(&self) -> Vec<u64> {
        let mut numbers: Vec<_> = self.acts.iter().map(|act| act.report.number).collect();
        numbers.dedup();
        numbers
    }

    fn holder(&self) -> usize {
        let now = self.now();
        let holds = |holder: &DutyHolder| holder.fence(now).is_some();
        self.machines.iter().position(holds).expect("a holder")
    }
}

fn assert_no_gap(numbers: &[u64], case: &str) {
    for pair in numbers.windows(2) {
        assert_eq!(pair[0] + 1, pair[1], "{case}: {numbers:?}");
    }
}

/// A fault of the holder: how it is brought about, and what ends it.
type Change = fn(&mut World, usize);

#[test]
fn one_instance_holds_the_duty_and_another_follows_after_each_fault() {
    let cases: [(&str, Change, Change); 6] = [
        (
            "killed",
            |world, m| world.is_paused[m] = true,
            |world, m| {
                world.restart(m);
                world.is_paused[m] = false;
            },
        ),
        (
            "suspended",
            |world, m| world.is_paused[m] = true,
            |world, m| {
                world.is_paused[m] = false;
            },
        ),
        (
            "cut from the store",
            |world, m| world.links[m] = Link::Cut,
            |world, m| {
                world.links[m] = Link::Good;
            },
        ),
        (
            "answers lost",
            |world, m| world.links[m] = Link::LosesAnswers,
            |world, m| {
                world.links[m] = Link::Good;
            },
        ),
        ("restarted at once", World::restart, |_, _| {}),
        (
            "released",
            |world, m| {
                let release = world.machines[m].release().expect("a hold");
                world.revision += 1;
                let (now, revision) = (world.now(), world.revision);
                world.stored = Some((release.record.clone(), revision));
                world.machines[m].on_requested(release.record, now);
                world.machines[m].on_written(revision, now);
            },
            |_, _| {},
        ),
    ];
    for (case, begin, end) in cases {
        let mut world = World::new();
        world.run_for(12_000);
        assert_eq!(world.holders(), 1, "{case}");
        let first = world.holder();
        begin(&mut world, first);
        world.run_for(15_000);
        assert_eq!(world.holders(), 1, "{case}");
        end(&mut world, first);
        world.run_for(20_000);
        world.check(case);
        assert_eq!(world.holders(), 1, "{case}");
        assert_no_gap(&world.reported(), case);
        assert!(
            world.reported().len() >= 8,
            "{case}: {:?}",
            world.reported()
        );
    }
}

/// Guards against two reports of one window: the first holder ends between the write and the sending,
/// and its successor has other counts.
#[test]
fn a_successor_sends_the_report_that_was_written_before() {
    let mut world = World::new();
    world.run_for(12_000);
    world.accepts_reports = false;
    world.run_for(5_000);
    let (record, _) = world.stored.clone().unwrap();
    let written = record.reports.last().cloned().expect("a report to send");
    let first = world.holder();
    world.is_paused[first] = true;
    world.accepts_reports = true;
    world.run_for(15_000);
    world.check("between write and sending");
    let sent = world
        .acts
        .iter()
        .find(|act| act.report.number == written.number);
    let sent = sent.expect("the report is sent");
    assert_eq!(sent.report, written);
    assert_ne!(sent.machine, first);
    assert_no_gap(&world.reported(), "between write and sending");
}

/// Guards against a number that was there before: the store has lost the writes of the last holders.
#[test]
fn numbers_grow_and_no_window_is_reported_anew_when_the_store_goes_back() {
    let mut world = World::new();
    world.run_for(12_000);
    world.copy = world.stored.clone();
    let first = world.holder();
    world.is_paused[first] = true;
    world.run_for(20_000);
    assert_ne!(world.holder(), first);
    world.go_back();
    world.is_paused[first] = false;
    world.run_for(30_000);
    world.check("store gone back");
    assert_eq!(world.holders(), 1);
    let last = world.acts.last().map(|act| act.report.number);
    assert_eq!(last, Some(window_number(world.wall(), WINDOW) - 1));
}

#[test]
fn no_rule_breaks_under_random_faults() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new();
        for _ in 0..60 {
            let machine = rng.random_range(0..3);
            match rng.random_range(0..9) {
                0 => world.is_paused[machine] = true,
                1 => world.is_paused = vec![false; 3],
                2 => world.links[machine] = Link::Cut,
                3 => world.links[machine] = Link::LosesAnswers,
                4 => world.links = vec![Link::Good; 3],
                5 => world.restart(machine),
                6 => world.go_back(),
                7 => world.copy.clone_from(&world.stored),
                _ => world.accepts_reports = !world.accepts_reports,
            }
            world.run_for(rng.random_range(1..80) * STEP_MS);
            assert!(world.holders() <= 1, "seed {seed}");
        }
        world.check(&format!("seed {seed}"));
    }
}

/// Guards against windows that nobody reports: an instance that has just started takes the duty before
/// one that knows which windows are open.
#[test]
fn an_instance_that_has_just_started_stands_behind_the_others() {
    let mut world = World::new();
    world.run_for(12_000);
    assert_eq!(world.holder(), 0);
    world.is_paused[0] = true;
    // A window ends meanwhile, and the next holder stops before it has settled that one.
    world.run_for(4_000);
    world.restart(0);
    world.is_paused[0] = false;
    while world.holders() == 0 {
        world.run_for(STEP_MS);
    }
    assert_eq!(world.holder(), 1);
    world.is_paused[1] = true;
    world.run_for(15_000);
    assert_eq!(world.holder(), 2);
    world.check("just started");
    assert_no_gap(&world.reported(), "just started");
}

/// Guards against an instance whose view of the record is none that the store will ever confirm.
#[test]
fn a_take_over_that_conflicts_twice_reads_the_record() {
    let mut world = World::new();
    let mut holder = world.start(0);
    holder.on_items_read(world.now(), world.wall());
    for expected in [false, true] {
        world.now_ms += 20_000;
        let step = holder.next(world.now(), world.wall(), Some(0), None);
        let DutyStep::Write(write) = step else {
            panic!("{step:?}");
        };
        holder.on_requested(write.record, world.now());
        holder.on_conflict(world.now());
        let step = holder.next(world.now(), world.wall(), Some(0), None);
        assert_eq!(step == DutyStep::Read, expected, "{step:?}");
    }
}
