//! Members as seen by this instance, missing heartbeats taken into account.

use std::sync::Arc;

use apricotlug_model::MonoTime;

use super::{DATA_CENTRE_DEAD_AFTER, DATA_CENTRE_SUSPECT_AFTER, Membership, entry::Entry};
use crate::{Member, NameHash, State};

impl Membership {
    /// Returns the members sorted by name, without expired tombstones.
    #[must_use]
    pub fn view(&self, now: MonoTime) -> Vec<Member> {
        let entries = self.entries.iter();
        let mut members: Vec<Member> = entries
            .filter(|(_, entry)| !entry.is_expired_tombstone(now))
            .map(|(id, entry)| self.member(*id, entry, now))
            .collect();
        members.sort_by(|a, b| a.record.id.name.cmp(&b.record.id.name));
        members
    }

    /// Returns the state of a member as seen by this instance; `None` if the member is unknown.
    #[must_use]
    pub fn state(&self, id: NameHash, now: MonoTime) -> Option<State> {
        let entry = self.entries.get(&id)?;
        Some(self.state_of(id, entry, now))
    }

    fn member(&self, id: NameHash, entry: &Entry, now: MonoTime) -> Member {
        let is_local = entry.data_centre == self.own_data_centre;
        let floor = self.beats.get(&entry.data_centre).map(|beat| beat.floor);
        Member {
            record: Arc::clone(&entry.record),
            state: self.state_of(id, entry, now),
            load: is_local.then_some(entry.load),
            progress: if is_local {
                entry.progress
            } else {
                floor.unwrap_or_default()
            },
        }
    }

    pub(super) fn state_of(&self, id: NameHash, entry: &Entry, now: MonoTime) -> State {
        let observed = if id == self.own_id {
            State::Ready
        } else if entry.data_centre == self.own_data_centre {
            local_state(entry, now)
        } else {
            self.data_centre_state(entry.data_centre, now)
        };
        entry.record.state.max(observed)
    }

    /// Returns the state that the beat counter of a data centre implies for its members.
    pub(super) fn data_centre_state(&self, data_centre: NameHash, now: MonoTime) -> State {
        let Some(beat) = self.beats.get(&data_centre) else {
            return State::Suspect;
        };
        let elapsed = now.since(beat.advanced_at);
        if elapsed > DATA_CENTRE_DEAD_AFTER {
            State::Dead
        } else if elapsed > DATA_CENTRE_SUSPECT_AFTER {
            State::Suspect
        } else {
            State::Ready
        }
    }
}

fn local_state(entry: &Entry, now: MonoTime) -> State {
    if now.since(entry.advanced_at) > entry.suspect_after() {
        State::Suspect
    } else {
        State::Ready
    }
}
