//! Follows the fleet: members for look-ups and slot shares, withdrawn keys, the delegate.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use apricotlug_edge::{Holder, Shared};
use apricotlug_model::{Bundle, DataCentreKey, RegionKey};
use apricotlug_peer::{Member, PeerHandle, State};
use apricotlug_policy::lookup::{InstanceEntry, InstanceLoad, InstanceState};
use async_std::task;

use crate::lookups::{Lookups, Named};

/// Pause between two looks at the fleet.
const PERIOD: Duration = Duration::from_millis(200);

/// Parts of the load scale on which peers report.
const LOAD_SCALE: u32 = 1_000;

/// Follows the fleet for ever.
pub async fn follow(shared: Arc<Shared>, lookups: Arc<Lookups>, peers: PeerHandle) {
    loop {
        peers.set_load(own_load(&shared));
        let view = peers.view();
        shared.withdraw_new(&view.withdrawn);
        let bundle = shared.view.load().bundle.clone();
        let holders = view
            .members
            .iter()
            .filter(|member| member.state != State::Dead);
        let is_changed = shared.holders.set(holders.map(holder).collect());
        if let Some(bundle) = bundle {
            if is_changed {
                shared.split_slots(&bundle);
            }
            let own = bundle.data_centres.find(|dc| dc.id == shared.data_centre);
            if let Some(own) = own {
                update_lookups(&shared, &lookups, &bundle, own, &view.members);
            }
        }
        task::sleep(PERIOD).await;
    }
}

/// Tells whether this instance acts for its data centre towards the platform: it is the first by
/// name of the live instances there. Two may hold themselves for the first; that costs calls only.
#[must_use]
pub fn is_delegate(shared: &Shared, peers: &PeerHandle) -> bool {
    delegate(shared, &peers.members())
        .is_none_or(|member| member.record.id.name >= shared.identity.name)
}

/// Returns the delegate of this instance's data centre.
#[must_use]
pub fn delegate(shared: &Shared, members: &[Member]) -> Option<Member> {
    let live = members.iter().filter(|member| {
        member.record.data_centre == shared.data_centre
            && matches!(member.state, State::Ready | State::Leaving)
    });
    live.min_by(|a, b| a.record.id.name.cmp(&b.record.id.name))
        .cloned()
}

fn holder(member: &Member) -> Holder {
    Holder {
        id: member.record.id.clone(),
        data_centre: member.record.data_centre.clone(),
    }
}

fn own_load(shared: &Shared) -> u16 {
    let Some(bundle) = shared.view.load().bundle.clone() else {
        return 0;
    };
    let now = shared.clock.now();
    let slots = shared.gate.with_placement(|placement| {
        let limits = bundle
            .endpoints
            .keys()
            .map(|key| placement.slot_limit(key, now));
        limits.map(u32::from).sum::<u32>()
    });
    let in_flight = u32::try_from(shared.drain.in_flight()).unwrap_or(u32::MAX);
    let load = in_flight.saturating_mul(LOAD_SCALE) / slots.unwrap_or(0).max(1);
    u16::try_from(load).unwrap_or(u16::MAX)
}

fn update_lookups(
    shared: &Shared,
    lookups: &Lookups,
    bundle: &Arc<Bundle>,
    own: DataCentreKey,
    members: &[Member],
) {
    let mut names: BTreeMap<SocketAddr, Named> = BTreeMap::new();
    let mut entries = Vec::new();
    let ready = ready_regions(bundle, members);
    for member in members {
        let data_centre = &member.record.data_centre;
        let Some(data_centre) = bundle.data_centres.find(|dc| dc.id == *data_centre) else {
            continue;
        };
        let addresses = member.record.addresses;
        names.insert(
            addresses.caller,
            Named {
                name: member.record.id.name.clone(),
                lookup: addresses.lookup,
            },
        );
        entries.push(InstanceEntry {
            id: member.record.id.clone(),
            addr: addresses.caller,
            data_centre,
            state: state(
                member.state,
                ready.contains(&bundle.data_centres[data_centre].region),
            ),
            load: InstanceLoad {
                outstanding: member.load.unwrap_or(0).into(),
                slots: LOAD_SCALE,
            },
        });
    }
    lookups.update(bundle, own, &entries, names, shared.clock.unix());
}

/// Returns the regions that have an instance which certainly takes work.
fn ready_regions(bundle: &Bundle, members: &[Member]) -> BTreeSet<RegionKey> {
    let ready = members.iter().filter(|member| member.state == State::Ready);
    let data_centres = ready.filter_map(|member| {
        bundle
            .data_centres
            .values()
            .find(|dc| dc.id == member.record.data_centre)
    });
    data_centres.map(|dc| dc.region).collect()
}

/// Returns the state that look-ups go by. A suspect instance is named only where its region has
/// none that is ready.
fn state(state: State, has_ready: bool) -> InstanceState {
    match state {
        State::Ready => InstanceState::Ready,
        State::Leaving => InstanceState::Leaving,
        State::Suspect if has_ready => InstanceState::Dead,
        State::Suspect => InstanceState::Suspect,
        State::Dead => InstanceState::Dead,
    }
}
