//! Snapshot that handles read.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use apricotlug_model::MonoTime;

use super::Node;
use crate::{FleetView, Gossip, Member, State};

/// Time after which a snapshot is replaced even where nothing spread on change has changed.
const VIEW_LASTS: Duration = Duration::from_millis(400);

impl Node {
    /// Publishes a new snapshot where something has changed or the last one is old.
    pub(super) fn refresh_view(&self, now: MonoTime) {
        let gossip = self.gossip.borrow();
        let state = (gossip.news.digest(), gossip.membership.changes());
        drop(gossip);
        if self.shown.get() != state || self.view_expires.get().is_past(now) {
            self.shown.set(state);
            self.view_expires.set(now.after(VIEW_LASTS));
            self.publish_view(now);
        }
    }

    fn publish_view(&self, now: MonoTime) {
        let gossip = self.gossip.borrow();
        let members: Arc<[Member]> = gossip.membership.view(now).into();
        let view = FleetView {
            unconfirmed: Arc::new(unconfirmed(&gossip, &members)),
            members,
            withdrawn: Arc::clone(gossip.news.withdrawn()),
            records: Arc::clone(gossip.news.records()),
            bundle: gossip.news.bundle().cloned(),
            is_superseded: gossip.membership.is_superseded(),
            is_isolated: gossip.membership.is_isolated(now),
        };
        drop(gossip);
        if let Ok(mut slot) = self.view.write() {
            *slot = Arc::new(view);
        }
    }
}

fn unconfirmed(gossip: &Gossip, members: &[Member]) -> BTreeMap<String, Vec<String>> {
    let mut unconfirmed: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for member in members.iter().filter(|member| member.state != State::Dead) {
        for key in gossip.news.unconfirmed_by(member.progress.withdrawn) {
            let names = unconfirmed.entry(key.to_owned()).or_default();
            names.push(member.record.id.name.clone());
        }
    }
    unconfirmed
}
