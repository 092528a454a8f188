//! The backend server: when it is cold, and what the instances read of its record.

use apricotlug_model::{Backend, BackendState};
use rand::RngExt;

use super::{COLD_MS, Event, Play, instance::data_centre};

impl Play {
    pub(super) fn cool(&mut self) {
        let was_cold = self.now < self.cold_until;
        if !was_cold {
            self.sent.clear();
        }
        self.cold_until = self.now + COLD_MS;
        self.last_cooled_at = Some(self.now);
        self.has_kept_record = true;
        self.sent_since_cool = 0;
        let is_known = self.record.is_some();
        self.write_record();
        if is_known && !was_cold {
            // Who takes it for warm may send without limit, so all are told at once.
            for i in 0..self.instances.len() {
                let run = self.instances[i].run();
                self.on_event(Event::ReadRecord(i, run));
            }
        } else {
            self.tell_of_record(Event::ReadRecord);
        }
    }

    /// Lets the instances read a change of the record, each at a time of its own.
    pub(super) fn tell_of_record(&mut self, event: impl Fn(usize, u64) -> Event) {
        for i in 0..self.instances.len() {
            if self.instances[i].reads_records_now() {
                let delay = self.rng.random_range(20..300);
                self.after(delay, event(i, self.instances[i].run()));
            }
        }
    }

    pub(super) fn write_record(&mut self) {
        self.record = Some(Backend {
            id: self.backend_id.clone(),
            service: "shop".to_owned(),
            addr: ([10, 0, 0, 9], 80).into(),
            data_centre: data_centre(0),
            version: "v1".to_owned(),
            slots: 100,
            state: BackendState::Ready,
            cold_ms: (self.cold_until - self.now) as u32,
            born_ms: 1,
        });
    }
}
