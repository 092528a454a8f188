//! Members as seen from this instance, with silence taken into account.

use std::sync::Arc;

use apricotlug_model::MonoTime;

use super::{Membership, SITE_DEAD_AFTER, SITE_SUSPECT_AFTER, entry::Entry};
use crate::{Member, NameHash, State};

impl Membership {
    /// Returns the members in the order of their names; deaths of long ago are left out.
    #[must_use]
    pub fn view(&self, now: MonoTime) -> Vec<Member> {
        let entries = self.entries.iter();
        let mut members: Vec<Member> = entries
            .filter(|(_, entry)| !entry.is_buried(now))
            .map(|(id, entry)| self.member(*id, entry, now))
            .collect();
        members.sort_by(|a, b| a.record.id.name.cmp(&b.record.id.name));
        members
    }

    /// Returns the state of a member as seen from here.
    #[must_use]
    pub fn state(&self, id: NameHash, now: MonoTime) -> Option<State> {
        let entry = self.entries.get(&id)?;
        Some(self.state_of(id, entry, now))
    }

    fn member(&self, id: NameHash, entry: &Entry, now: MonoTime) -> Member {
        let is_local = entry.data_centre == self.home;
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
        let silence = if id == self.me {
            State::Ready
        } else if entry.data_centre == self.home {
            local_silence(entry, now)
        } else {
            self.site_silence(entry.data_centre, now)
        };
        entry.record.state.max(silence)
    }

    /// Returns what the silence of a whole data centre says about its members.
    pub(super) fn site_silence(&self, data_centre: NameHash, now: MonoTime) -> State {
        let Some(beat) = self.beats.get(&data_centre) else {
            return State::Suspect;
        };
        let silence = now.since(beat.advanced_at);
        if silence > SITE_DEAD_AFTER {
            State::Dead
        } else if silence > SITE_SUSPECT_AFTER {
            State::Suspect
        } else {
            State::Ready
        }
    }
}

fn local_silence(entry: &Entry, now: MonoTime) -> State {
    if now.since(entry.advanced_at) > entry.patience() {
        State::Suspect
    } else {
        State::Ready
    }
}
