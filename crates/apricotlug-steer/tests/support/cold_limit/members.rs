//! Runs of instances, and what they read of each other's entries.

use rand::RngExt;

use super::{ENTRY_MS, Event, Play, StoreEntry, TICK_MS};

impl Play {
    /// Starts a new run, which knows nothing yet.
    pub(super) fn start(&mut self, i: usize) {
        let seed = self.rng.random();
        let run = self.instances[i].start(seed);
        self.after(TICK_MS, Event::Tick(i, run));
        let listed_in = self.rng.random_range(300..500);
        self.after(listed_in, Event::List(i, run));
        self.after(ENTRY_MS, Event::Enter(i, run));
    }

    pub(super) fn enter(&mut self, i: usize, run: u64) {
        if self.instances[i].run() != run || self.is_store_lost() {
            return;
        }
        self.instances[i].on_entered(self.now);
        let written_at = self.now;
        self.entries[i] = Some(StoreEntry { run, written_at });
        for viewer in 0..self.instances.len() {
            if viewer != i && self.instances[viewer].has_listed_by(self.now) {
                self.learn_later((viewer, self.instances[viewer].run()), (i, run), written_at);
            }
        }
    }

    /// Reads the store for the first time, which may lag behind the latest entries.
    pub(super) fn list(&mut self, i: usize, run: u64) {
        if !self.instances[i].is_running(run) || self.is_store_lost() {
            return;
        }
        for subject in (0..self.instances.len()).filter(|subject| *subject != i) {
            if let Some(entry) = self.entries[subject] {
                self.learn_later((i, run), (subject, entry.run), entry.written_at);
            }
        }
        self.instances[i].on_listed(self.now);
        if let Some(record) = self.record.clone() {
            self.instances[i].on_record(run, record, self.now);
        }
    }

    fn learn_later(&mut self, viewer: (usize, u64), subject: (usize, u64), written_at: u64) {
        let at = written_at + self.rng.random_range(50..600);
        if at <= self.now {
            self.learn(viewer, subject);
        } else {
            self.at(at, Event::Learn { viewer, subject });
        }
    }

    pub(super) fn learn(
        &mut self,
        (viewer, run): (usize, u64),
        (subject, subject_run): (usize, u64),
    ) {
        if self.instances[viewer].is_running(run) && !self.is_store_lost() {
            let (name, info) = self.instances[subject].entry(subject_run);
            self.instances[viewer].on_entry(&name, info, self.now);
        }
    }
}
