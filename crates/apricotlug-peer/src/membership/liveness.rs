//! Heartbeats: pulses of members within a data centre, one beat counter per data centre across
//! data centres.

use std::collections::BTreeMap;

use apricotlug_model::MonoTime;

use super::{MAX_DATA_CENTRES, Membership, entry::Beat};
use crate::{DataCentreBeat, Exchange, NameHash, Progress, Pulse, State, Summary};

/// Maximum number of pulses in one message.
const MAX_PULSES: usize = 128;
/// Maximum number of beat counters in one message.
const MAX_BEATS: usize = 128;
/// Number of other data centres summarised in a message within a data centre.
const LOCAL_SUMMARIES: usize = 4;
/// Number of other data centres summarised in a message to another data centre.
const REMOTE_SUMMARIES: usize = 64;
/// Hash that marks that the sets of withdrawn keys differ within a data centre.
const DIFFERING_WITHDRAWN_SETS: u64 = u64::MAX;

impl Membership {
    /// Returns the pulses of this instance and of the members of its data centre, in rotation if
    /// they exceed one message.
    pub(super) fn pulses(&mut self) -> Vec<Pulse> {
        let others = self.entries.iter().filter(|(id, entry)| {
            **id != self.own_id && entry.data_centre == self.own_data_centre && !entry.is_dead()
        });
        let others: Vec<Pulse> = others.map(|(id, entry)| entry.pulse(*id)).collect();
        let mut pulses = vec![self.own().pulse(self.own_id)];
        let start = self.cursor * MAX_PULSES % others.len().max(1);
        let rotation = others.iter().cycle().skip(start);
        pulses.extend(rotation.take(others.len().min(MAX_PULSES - 1)));
        pulses
    }

    /// Returns this instance's own pulse and those that are newer than in the message.
    pub(super) fn pulses_ahead(&self, msg: &Exchange) -> Vec<Pulse> {
        let mut pulses = vec![self.own().pulse(self.own_id)];
        for theirs in &msg.pulses {
            let Some(entry) = self.entries.get(&theirs.id) else {
                continue;
            };
            let is_ahead = entry.run == theirs.run && entry.heartbeat > theirs.heartbeat;
            // Lets a sender whose name another run uses detect whether that run is alive.
            let is_conflicting = entry.run != theirs.run && theirs.id == msg.sender;
            if theirs.id != self.own_id && (is_ahead || is_conflicting) {
                pulses.push(entry.pulse(theirs.id));
            }
        }
        pulses
    }

    /// Merges pulses, and adds to the reply the records that differ and requests for them.
    pub(super) fn merge_pulses(&mut self, msg: &Exchange, reply: &mut Exchange, now: MonoTime) {
        for pulse in &msg.pulses {
            if pulse.id == self.own_id {
                self.merge_conflicting_pulse(pulse, now);
            } else {
                self.merge_pulse(pulse, now);
            }
            self.compare(&(*pulse).into(), reply);
        }
    }

    fn merge_pulse(&mut self, pulse: &Pulse, now: MonoTime) {
        let Some(entry) = self.entries.get_mut(&pulse.id) else {
            return;
        };
        if entry.run == pulse.run && pulse.heartbeat > entry.heartbeat {
            entry.heartbeat = pulse.heartbeat;
            entry.load = pulse.load;
            entry.progress = pulse.progress;
            entry.advanced_at = now;
            entry.has_failed_call = false;
        }
    }

    /// Advances the beat counter of this instance's data centre.
    pub(super) fn advance_beat(&mut self, now: MonoTime) {
        let floor = self.floor(now);
        let beat = self.beats.entry(self.own_data_centre);
        let beat = beat.or_insert_with(|| Beat::new(now));
        beat.value = beat.value.saturating_add(1);
        beat.floor = floor;
        beat.floor_beat = beat.value;
        beat.advanced_at = now;
    }

    /// Returns the minimum progress over all live members of this data centre.
    fn floor(&self, now: MonoTime) -> Progress {
        let mut floor = self.own().progress;
        for (id, entry) in &self.entries {
            let is_local = entry.data_centre == self.own_data_centre;
            if !is_local || self.state_of(*id, entry, now) >= State::Suspect {
                continue;
            }
            floor.bundle = floor.bundle.min(entry.progress.bundle);
            if floor.withdrawn != entry.progress.withdrawn {
                floor.withdrawn = DIFFERING_WITHDRAWN_SETS;
            }
        }
        floor
    }

    /// Returns summaries of the own data centre and of others, in rotation.
    pub(super) fn summaries(&mut self, is_local: bool, now: MonoTime) -> Vec<Summary> {
        self.cursor = self.cursor.wrapping_add(1);
        let limit = if is_local {
            LOCAL_SUMMARIES
        } else {
            REMOTE_SUMMARIES
        };
        let others: Vec<NameHash> = self
            .beats
            .keys()
            .copied()
            .filter(|id| *id != self.own_data_centre)
            .collect();
        let start = self.cursor * limit % others.len().max(1);
        let rotation = others
            .iter()
            .cycle()
            .skip(start)
            .take(others.len().min(limit));
        let ids: Vec<NameHash> = [self.own_data_centre]
            .iter()
            .chain(rotation)
            .copied()
            .collect();
        let hashes = self.hashes(now);
        let summary = |id| self.summary(id, &hashes, now);
        ids.into_iter().map(summary).collect()
    }

    fn summary(
        &self,
        data_centre: NameHash,
        hashes: &BTreeMap<NameHash, u64>,
        now: MonoTime,
    ) -> Summary {
        let beat = self.beats.get(&data_centre).copied();
        let beat = beat.unwrap_or_else(|| Beat::new(now));
        Summary {
            data_centre,
            hash: hashes.get(&data_centre).copied().unwrap_or(0),
            beat: beat.floor_beat,
            floor: beat.floor,
        }
    }

    /// Merges summaries. For an opening message, adds newer summaries to the reply, and a digest
    /// of each data centre whose hash differs.
    pub(super) fn merge_summaries(&mut self, msg: &Exchange, reply: &mut Exchange, now: MonoTime) {
        let hashes = self.hashes(now);
        for theirs in &msg.summaries {
            let ours = self.summary(theirs.data_centre, &hashes, now);
            self.merge_floor(theirs, now);
            if msg.round > 0 {
                continue;
            }
            if theirs.beat < ours.beat {
                reply.summaries.push(ours);
            }
            if theirs.hash != ours.hash {
                reply.digests.push(self.digest(theirs.data_centre, now));
            }
        }
    }

    fn merge_floor(&mut self, theirs: &Summary, now: MonoTime) {
        let is_known = self.beats.contains_key(&theirs.data_centre);
        if !is_known && self.beats.len() >= MAX_DATA_CENTRES {
            return;
        }
        let beat = self.beats.entry(theirs.data_centre);
        let beat = beat.or_insert_with(|| Beat::new(now));
        if theirs.beat > beat.floor_beat {
            beat.floor_beat = theirs.beat;
            beat.floor = theirs.floor;
        }
        if theirs.beat > beat.value {
            beat.value = theirs.beat;
            beat.advanced_at = now;
        }
    }

    /// Returns the beat counters of all data centres, in rotation if they exceed one message.
    pub(super) fn data_centre_beats(&self) -> Vec<DataCentreBeat> {
        let start = self.cursor * MAX_BEATS % self.beats.len().max(1);
        let rotation = self.beats.iter().cycle().skip(start);
        let rotation = rotation.take(self.beats.len().min(MAX_BEATS));
        let beat = |(id, beat): (&NameHash, &Beat)| DataCentreBeat {
            data_centre: short(*id),
            beat: beat.value,
        };
        rotation.map(beat).collect()
    }

    /// Merges the beat counters of a message. For an opening message, adds to the reply those that
    /// are newer here.
    pub(super) fn merge_beats(&mut self, msg: &Exchange, reply: &mut Exchange, now: MonoTime) {
        for theirs in &msg.beats {
            let first = NameHash(u64::from(theirs.data_centre) << 32);
            let last = NameHash(first.0 | u64::from(u32::MAX));
            let Some((_, ours)) = self.beats.range_mut(first..=last).next() else {
                continue;
            };
            if theirs.beat > ours.value {
                ours.value = theirs.beat;
                ours.advanced_at = now;
            } else if theirs.beat < ours.value && msg.round == 0 {
                let beat = ours.value;
                reply.beats.push(DataCentreBeat { beat, ..*theirs });
            }
        }
    }
}

/// Returns the upper half of the hash of a data centre's name.
fn short(data_centre: NameHash) -> u32 {
    (data_centre.0 >> 32) as u32
}
