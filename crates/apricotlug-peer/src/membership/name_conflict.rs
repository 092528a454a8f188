//! Another run that uses this instance's own name.
//!
//! An earlier run with a later generation (its clock ran ahead) falls silent, and this run then
//! raises its generation above it. A rival whose heartbeat goes on is alive: this run is
//! superseded and says so.

use apricotlug_model::MonoTime;

use super::{Membership, SUSPECT_AFTER};
use crate::{MemberRecord, Pulse, State};

/// Advances of its heartbeat after which a rival counts as alive.
const ADVANCES_OF_LIVE_RIVAL: u8 = 3;

/// Run with this instance's name and a higher rank.
#[derive(Clone, Debug)]
pub(super) struct Rival {
    record: MemberRecord,
    run: u32,
    heartbeat: u32,
    advances: u8,
    advanced_at: MonoTime,
}

impl Membership {
    /// Tells whether another live run uses this instance's name.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        let rival = self.rival.as_ref();
        rival.is_some_and(|rival| rival.advances >= ADVANCES_OF_LIVE_RIVAL)
    }

    pub(super) fn meet_rival(&mut self, record: MemberRecord, now: MonoTime) {
        if record.state == State::Dead {
            self.outrank(&record, now);
            return;
        }
        let run = record.run();
        if self.rival.as_ref().is_some_and(|rival| rival.run == run) {
            return;
        }
        self.rival = Some(Rival {
            record,
            run,
            heartbeat: 0,
            advances: 0,
            advanced_at: now,
        });
    }

    pub(super) fn hear_rival(&mut self, pulse: &Pulse, now: MonoTime) {
        let Some(rival) = &mut self.rival else {
            return;
        };
        if rival.run == pulse.run && pulse.heartbeat > rival.heartbeat {
            rival.heartbeat = pulse.heartbeat;
            rival.advances = rival.advances.saturating_add(1);
            rival.advanced_at = now;
        }
    }

    pub(super) fn settle_rival(&mut self, now: MonoTime) {
        let is_silent = |rival: &Rival| now.since(rival.advanced_at) > SUSPECT_AFTER;
        if let Some(rival) = self.rival.take_if(|rival| is_silent(rival)) {
            self.outrank(&rival.record, now);
        }
    }

    fn outrank(&mut self, rival: &MemberRecord, now: MonoTime) {
        let mut record = MemberRecord::clone(&self.own().record);
        record.generation = record.generation.max(rival.generation.saturating_add(1));
        record.state = self.announced;
        self.rival = None;
        self.replace_own(record, now);
    }
}
