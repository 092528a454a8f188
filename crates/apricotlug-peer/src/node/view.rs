//! Publication of the snapshot that handles read.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use apricotlug_model::MonoTime;

use super::Node;
use crate::{FleetView, Gossip, Member, State};

/// Maximum age of a snapshot. It is replaced after this time even if no record and no replicated
/// data has changed, as heartbeats, loads and progress do.
const VIEW_MAX_AGE: Duration = Duration::from_millis(400);

impl Node {
    /// Publishes a new snapshot if data or records have changed or the last one has expired.
    pub(super) fn refresh_view(&self, now: MonoTime) {
        let gossip = self.gossip.borrow();
        let state = (gossip.data.digest(), gossip.membership.changes());
        drop(gossip);
        if self.published_state.get() != state || self.view_expires.get().is_past(now) {
            self.published_state.set(state);
            self.view_expires.set(now.after(VIEW_MAX_AGE));
            self.publish_view(now);
        }
    }

    fn publish_view(&self, now: MonoTime) {
        let gossip = self.gossip.borrow();
        let members: Arc<[Member]> = gossip.membership.view(now).into();
        let view = FleetView {
            unconfirmed: Arc::new(unconfirmed(&gossip, &members)),
            members,
            withdrawn: Arc::clone(gossip.data.withdrawn()),
            records: Arc::clone(gossip.data.records()),
            bundle: gossip.data.bundle().cloned(),
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
        for key in gossip.data.unconfirmed_by(member.progress.withdrawn) {
            let names = unconfirmed.entry(key.to_owned()).or_default();
            names.push(member.record.id.name.clone());
        }
    }
    unconfirmed
}
