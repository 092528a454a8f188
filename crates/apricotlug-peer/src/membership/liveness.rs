//! Signs of life: pulses within a data centre, one counter for each data centre across.

use std::collections::BTreeMap;

use apricotlug_model::MonoTime;

use super::{MAX_DATA_CENTRES, Membership, entry::Beat};
use crate::{Exchange, NameHash, Progress, Pulse, SiteBeat, State, Summary};

/// Most pulses in one message.
const MAX_PULSES: usize = 128;
/// Most beats of data centres in one message.
const MAX_BEATS: usize = 128;
/// Data centres that a message within a data centre sums up beside the own one.
const LOCAL_SUMMARIES: usize = 4;
/// Data centres that a message to another data centre sums up.
const REMOTE_SUMMARIES: usize = 64;
/// Stands for sets of withdrawn keys that differ within a data centre.
const DIFFERING: u64 = u64::MAX;

impl Membership {
    /// Returns the pulses of this instance and of members of its data centre, in turn.
    pub(super) fn pulses(&mut self) -> Vec<Pulse> {
        let others = self.entries.iter().filter(|(id, entry)| {
            **id != self.me && entry.data_centre == self.home && !entry.is_dead()
        });
        let others: Vec<Pulse> = others.map(|(id, entry)| entry.pulse(*id)).collect();
        let mut pulses = vec![self.own().pulse(self.me)];
        let start = self.cursor * MAX_PULSES % others.len().max(1);
        let turn = others.iter().cycle().skip(start);
        pulses.extend(turn.take(others.len().min(MAX_PULSES - 1)));
        pulses
    }

    /// Returns the pulses that are ahead of those in a message, and this instance's own.
    pub(super) fn pulses_ahead(&self, msg: &Exchange) -> Vec<Pulse> {
        let mut pulses = vec![self.own().pulse(self.me)];
        for theirs in &msg.pulses {
            let Some(entry) = self.entries.get(&theirs.id) else {
                continue;
            };
            let is_ahead = entry.run == theirs.run && entry.heartbeat > theirs.heartbeat;
            // A sender whose name another run uses learns whether that one is alive.
            let is_rival = entry.run != theirs.run && theirs.id == msg.sender;
            if theirs.id != self.me && (is_ahead || is_rival) {
                pulses.push(entry.pulse(theirs.id));
            }
        }
        pulses
    }

    /// Merges pulses, and adds to the reply what they show to differ.
    pub(super) fn merge_pulses(&mut self, msg: &Exchange, reply: &mut Exchange, now: MonoTime) {
        for pulse in &msg.pulses {
            if pulse.id == self.me {
                self.hear_rival(pulse, now);
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

    /// Advances the counter of this instance's own data centre.
    pub(super) fn raise_beat(&mut self, now: MonoTime) {
        let floor = self.floor(now);
        let beat = self.beats.entry(self.home);
        let beat = beat.or_insert_with(|| Beat::new(now));
        beat.value = beat.value.saturating_add(1);
        beat.floor = floor;
        beat.floor_beat = beat.value;
        beat.advanced_at = now;
    }

    /// Returns what all live members of this data centre hold, at least.
    fn floor(&self, now: MonoTime) -> Progress {
        let mut floor = self.own().progress;
        for (id, entry) in &self.entries {
            let is_local = entry.data_centre == self.home;
            if !is_local || self.state_of(*id, entry, now) >= State::Suspect {
                continue;
            }
            floor.bundle = floor.bundle.min(entry.progress.bundle);
            if floor.withdrawn != entry.progress.withdrawn {
                floor.withdrawn = DIFFERING;
            }
        }
        floor
    }

    /// Returns summaries: the own data centre's, then others in turn.
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
            .filter(|id| *id != self.home)
            .collect();
        let start = self.cursor * limit % others.len().max(1);
        let turn = others
            .iter()
            .cycle()
            .skip(start)
            .take(others.len().min(limit));
        let ids: Vec<NameHash> = [self.home].iter().chain(turn).copied().collect();
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

    /// Merges summaries, and adds to the reply those that are behind or differ.
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

    /// Returns the beats of all data centres, in turn where there are many.
    pub(super) fn site_beats(&self) -> Vec<SiteBeat> {
        let start = self.cursor * MAX_BEATS % self.beats.len().max(1);
        let turn = self.beats.iter().cycle().skip(start);
        let turn = turn.take(self.beats.len().min(MAX_BEATS));
        let beat = |(id, beat): (&NameHash, &Beat)| SiteBeat {
            data_centre: short(*id),
            beat: beat.value,
        };
        turn.map(beat).collect()
    }

    /// Merges the beats of a message, and adds to the reply to an opening one those behind.
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
                reply.beats.push(SiteBeat { beat, ..*theirs });
            }
        }
    }
}

/// Returns the upper half of the hash of a data centre's name.
fn short(data_centre: NameHash) -> u32 {
    (data_centre.0 >> 32) as u32
}
