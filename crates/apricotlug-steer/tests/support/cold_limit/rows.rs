//! What happens to the instances in a play.

use apricotlug_steer::Peers;
use rand::{RngExt, seq::SliceRandom};

use super::{
    COLD_MS, Event, Play, StoreEntry, TICK_MS,
    instance::{mono, region},
};

/// When the backend server becomes cold, where the instances have run for long: all know each other
/// for two seconds by then.
const COOL_MS: u64 = 2_200;

/// Bandwidth of the instances' links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// All are equal.
    Equal,
    /// Twelve in 64 are wide, and look-ups list only those.
    FewWide,
}

impl Links {
    const WIDE_MBPS: u32 = 200;
    const NARROW_MBPS: u32 = 10;

    /// Returns the bandwidth of an instance's link.
    pub fn mbps(self, i: usize) -> u32 {
        if self.is_listed(i) {
            Self::WIDE_MBPS
        } else {
            Self::NARROW_MBPS
        }
    }

    /// Returns whether look-ups list an instance.
    pub fn is_listed(self, i: usize) -> bool {
        self == Self::Equal || i % 16 < 3
    }
}

/// What happens to the instances, and what each knows of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Row {
    /// All know each other.
    Settled,
    /// A third of them start at about the time at which the backend server is back.
    RegionReturns,
    /// The same, and the store falls silent once most of them have listed the entries.
    RegionReturnsToLostStore,
    /// They restart one after the other.
    RestartsInSeries,
    /// Each of two halves has never known of the other.
    HalvesApart,
    /// Each of two halves sees the entries of the other lapse.
    HalvesPart,
    /// One has not read the store yet, though it has callers.
    OneUnread,
    /// An eighth of them have not read the store yet.
    EighthUnread,
    /// All start within half a second.
    AllRestart,
    /// The backend server becomes cold again and again, and its record lapses meanwhile.
    ColdAgain,
}

impl Play {
    /// Brings the instances into their first state and schedules what happens.
    pub(super) fn arrange(&mut self, row: Row) {
        let all: Vec<_> = (0..self.instances.len()).collect();
        let mut cool_at = COOL_MS;
        match row {
            Row::Settled => self.settle(&all),
            Row::RegionReturns | Row::RegionReturnsToLostStore => {
                let running: Vec<_> = all.iter().copied().filter(|i| region(*i) != 0).collect();
                self.settle(&running);
                let first = cool_at - self.rng.random_range(100..500);
                self.start_within(first, 700, all.iter().copied().filter(|i| region(*i) == 0));
                if row == Row::RegionReturnsToLostStore {
                    self.store_lost_at = first + self.rng.random_range(500..1_000);
                }
            }
            Row::RestartsInSeries => {
                self.settle(&all);
                self.at(cool_at - 1_500, Event::RestartOne);
            }
            Row::HalvesApart => {
                let (one, other): (Vec<_>, Vec<_>) = all.iter().partition(|i| **i % 2 == 0);
                self.settle(&one);
                self.settle(&other);
            }
            Row::HalvesPart => {
                self.settle(&all);
                self.part_halves(cool_at);
            }
            Row::OneUnread => self.leave_unread(&all, 1),
            Row::EighthUnread => {
                let unread = (self.played().len() / 8).max(2);
                self.leave_unread(&all, unread);
            }
            Row::AllRestart => {
                self.start_within(0, 500, all.into_iter());
                cool_at = self.rng.random_range(100..500);
            }
            Row::ColdAgain => {
                self.settle(&all);
                cool_at = self.cool_in_series(cool_at);
            }
        }
        self.at(cool_at, Event::Cool);
        self.end = cool_at + COLD_MS + 1;
    }

    /// Lets a group of instances run that have known each other, and nobody else, since the start.
    fn settle(&mut self, group: &[usize]) {
        let mut known = Peers::default();
        for i in group {
            let (name, info) = self.instances[*i].entry(1);
            known.register(&name, info, mono(0));
        }
        for i in group {
            let seed = self.rng.random();
            let run = self.instances[*i].start(seed);
            if self.instances[*i].is_played() {
                self.instances[*i].on_first_view(known.clone(), 0);
            }
            self.entries[*i] = Some(StoreEntry { run, written_at: 0 });
            let phase = self.rng.random_range(0..TICK_MS);
            self.at(phase, Event::Tick(*i, run));
        }
    }

    fn start_within(&mut self, first: u64, ms: u64, instances: impl Iterator<Item = usize>) {
        for i in instances {
            let at = first + self.rng.random_range(0..ms);
            self.at(at, Event::Start(i));
        }
    }

    fn part_halves(&mut self, cool_at: u64) {
        for viewer in self.played() {
            let first = self.rng.random_range(cool_at - 2_000..cool_at + COLD_MS);
            for subject in (0..self.instances.len()).filter(|i| *i % 2 != viewer % 2) {
                let at = first + self.rng.random_range(0..300);
                self.at(at, Event::Lapse { viewer, subject });
            }
        }
    }

    fn leave_unread(&mut self, all: &[usize], unread: usize) {
        let mut played = self.played();
        played.shuffle(&mut self.rng);
        let unread = &played[..unread.min(played.len())];
        let settled = all.iter().copied().filter(|i| !unread.contains(i));
        self.settle(&settled.collect::<Vec<_>>());
        for i in unread {
            let seed = self.rng.random();
            let run = self.instances[*i].start(seed);
            self.instances[*i].read_records();
            let phase = self.rng.random_range(0..TICK_MS);
            self.at(phase, Event::Tick(*i, run));
        }
    }

    /// Schedules times at which the backend server becomes cold again. Returns the last one,
    /// before which it has been warm.
    fn cool_in_series(&mut self, first: u64) -> u64 {
        let mut at = first;
        for _ in 0..2 {
            self.at(at, Event::Cool);
            let lapse_at = at + self.rng.random_range(350..900);
            self.at(lapse_at, Event::LoseRecord);
            let written_at = lapse_at + self.rng.random_range(400..700);
            self.at(written_at, Event::WriteRecord);
            at += self.rng.random_range(1_700..2_600);
        }
        at + COLD_MS + 1_000
    }

    /// Restarts one of the instances that have run for long, and schedules the next such restart.
    pub(super) fn restart_one(&mut self) {
        let running = 0..self.instances.len();
        let running: Vec<_> = running
            .filter(|i| self.instances[*i].has_listed_by(self.now.saturating_sub(1_000)))
            .collect();
        if !running.is_empty() {
            let i = running[self.rng.random_range(0..running.len())];
            self.start(i);
        }
        let delay = self.rng.random_range(100..300);
        self.after(delay, Event::RestartOne);
    }
}
