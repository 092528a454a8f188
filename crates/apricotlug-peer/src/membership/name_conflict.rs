//! Name conflict: another run uses the name of this instance.
//!
//! An earlier run may have a higher generation because its clock ran ahead. Its heartbeat no longer
//! advances, and this run then raises its generation above it. If the heartbeat of the other run
//! keeps advancing, that run is alive, and this run reports itself as superseded.

use apricotlug_model::MonoTime;

use super::{Membership, SUSPECT_AFTER};
use crate::{MemberRecord, Pulse, State};

/// Number of heartbeat advances after which a conflicting run is considered alive.
const ADVANCES_OF_LIVE_RUN: u8 = 3;

/// Run with the name of this instance and a higher rank.
#[derive(Clone, Debug)]
pub(super) struct ConflictingRun {
    record: MemberRecord,
    run: u32,
    heartbeat: u32,
    advances: u8,
    advanced_at: MonoTime,
}

impl Membership {
    /// Returns whether another live run uses the name of this instance.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        let conflicting_run = self.conflicting_run.as_ref();
        conflicting_run.is_some_and(|other| other.advances >= ADVANCES_OF_LIVE_RUN)
    }

    pub(super) fn note_conflicting_run(&mut self, record: MemberRecord, now: MonoTime) {
        if record.state == State::Dead {
            self.outrank(&record, now);
            return;
        }
        let run = record.run();
        if self
            .conflicting_run
            .as_ref()
            .is_some_and(|other| other.run == run)
        {
            return;
        }
        self.conflicting_run = Some(ConflictingRun {
            record,
            run,
            heartbeat: 0,
            advances: 0,
            advanced_at: now,
        });
    }

    pub(super) fn merge_conflicting_pulse(&mut self, pulse: &Pulse, now: MonoTime) {
        let Some(other) = &mut self.conflicting_run else {
            return;
        };
        if other.run == pulse.run && pulse.heartbeat > other.heartbeat {
            other.heartbeat = pulse.heartbeat;
            other.advances = other.advances.saturating_add(1);
            other.advanced_at = now;
        }
    }

    pub(super) fn settle_name_conflict(&mut self, now: MonoTime) {
        let is_stale = |other: &ConflictingRun| now.since(other.advanced_at) > SUSPECT_AFTER;
        if let Some(other) = self.conflicting_run.take_if(|other| is_stale(other)) {
            self.outrank(&other.record, now);
        }
    }

    fn outrank(&mut self, other: &MemberRecord, now: MonoTime) {
        let mut record = MemberRecord::clone(&self.own().record);
        record.generation = record.generation.max(other.generation.saturating_add(1));
        record.state = self.announced;
        self.conflicting_run = None;
        self.replace_own(record, now);
    }
}
