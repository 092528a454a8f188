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

/// Load that stands for an instance without a usable slot.
const NO_SLOTS: u16 = u16::MAX;

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
            let own = bundle.data_centre(&shared.data_centre);
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

/// Returns the load of this instance for its peers. Without a usable slot it is [`NO_SLOTS`].
fn own_load(shared: &Shared) -> u16 {
    let now = shared.clock.now();
    let load = shared.gate.with_placement(|placement| placement.load(now));
    match load {
        None | Some((_, 0)) => NO_SLOTS,
        Some((outstanding, slots)) => {
            let load = outstanding.saturating_mul(LOAD_SCALE) / slots;
            u16::try_from(load).unwrap_or(NO_SLOTS).min(NO_SLOTS - 1)
        }
    }
}

fn load(reported: Option<u16>) -> InstanceLoad {
    match reported {
        Some(NO_SLOTS) => InstanceLoad {
            outstanding: 0,
            slots: 0,
        },
        reported => InstanceLoad {
            outstanding: reported.unwrap_or(0).into(),
            slots: LOAD_SCALE,
        },
    }
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
        let Some(data_centre) = bundle.data_centre(data_centre) else {
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
            load: load(member.load),
        });
    }
    lookups.update(bundle, own, &entries, names, shared.clock.unix());
}

/// Returns the regions that have an instance which certainly takes work.
fn ready_regions(bundle: &Bundle, members: &[Member]) -> BTreeSet<RegionKey> {
    let ready = members.iter().filter(|member| member.state == State::Ready);
    let data_centres = ready.filter_map(|member| bundle.data_centre(&member.record.data_centre));
    data_centres
        .map(|key| bundle.data_centres[key].region)
        .collect()
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
