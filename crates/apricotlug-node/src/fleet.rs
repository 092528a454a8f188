//! Applies fleet changes to this instance: look-up directory, slot shares and withdrawn keys. Also
//! determines the delegate of the data centre.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use apricotlug_edge::{LiveInstance, Shared};
use apricotlug_model::{Bundle, DataCentreKey, RegionKey};
use apricotlug_peer::{Member, PeerHandle, State};
use apricotlug_policy::lookup::{InstanceEntry, InstanceLoad, InstanceState};
use async_std::task;

use crate::lookups::{InstanceAddress, LookupDirectory};

/// Pause between two reads of the fleet view.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Reported load of an instance with all slots occupied: loads are in thousandths of the slots.
const FULL_LOAD: u32 = 1_000;

/// Reported load of an instance without a usable slot.
const NO_SLOTS: u16 = u16::MAX;

/// Reports the load to the peers and applies the fleet view to the instance, in an endless loop.
pub async fn follow(shared: Arc<Shared>, lookups: Arc<LookupDirectory>, peers: PeerHandle) {
    loop {
        peers.set_load(own_load(&shared));
        let view = peers.view();
        shared.withdraw_new(&view.withdrawn);
        let bundle = shared.view.load().bundle.clone();
        let holders = view
            .members
            .iter()
            .filter(|member| member.state != State::Dead);
        let is_changed = shared.live_instances.set(holders.map(holder).collect());
        if let Some(bundle) = bundle {
            if is_changed {
                shared.split_slots(&bundle);
            }
            let own = bundle.data_centre(&shared.data_centre);
            if let Some(own) = own {
                update_lookups(&shared, &lookups, &bundle, own, &view.members);
            }
        }
        task::sleep(UPDATE_INTERVAL).await;
    }
}

/// Tells whether this instance is the delegate, which calls the platform for its data centre: the
/// first by name of the live instances there. Instances with different views may both act as the
/// delegate; that only costs extra calls.
#[must_use]
pub fn is_delegate(shared: &Shared, peers: &PeerHandle) -> bool {
    delegate(shared, &peers.members())
        .is_none_or(|member| member.record.id.name >= shared.identity.name)
}

/// Returns the delegate of this instance's data centre; `None` where `members` has no live one.
#[must_use]
pub fn delegate(shared: &Shared, members: &[Member]) -> Option<Member> {
    let live = members.iter().filter(|member| {
        member.record.data_centre == shared.data_centre
            && matches!(member.state, State::Ready | State::Leaving)
    });
    live.min_by(|a, b| a.record.id.name.cmp(&b.record.id.name))
        .cloned()
}

fn holder(member: &Member) -> LiveInstance {
    LiveInstance {
        id: member.record.id.clone(),
        data_centre: member.record.data_centre.clone(),
    }
}

/// Returns the load that this instance reports to its peers: thousandths of its slots, or
/// [`NO_SLOTS`] without a usable slot.
fn own_load(shared: &Shared) -> u16 {
    let now = shared.clock.now();
    let load = shared
        .decisions
        .with_placement(|placement| placement.load(now));
    match load {
        None | Some((_, 0)) => NO_SLOTS,
        Some((outstanding, slots)) => {
            let load = outstanding.saturating_mul(FULL_LOAD) / slots;
            u16::try_from(load).unwrap_or(NO_SLOTS).min(NO_SLOTS - 1)
        }
    }
}

fn instance_load(reported: Option<u16>) -> InstanceLoad {
    match reported {
        Some(NO_SLOTS) => InstanceLoad {
            outstanding: 0,
            slots: 0,
        },
        reported => InstanceLoad {
            outstanding: reported.unwrap_or(0).into(),
            slots: FULL_LOAD,
        },
    }
}

fn update_lookups(
    shared: &Shared,
    lookups: &LookupDirectory,
    bundle: &Arc<Bundle>,
    own: DataCentreKey,
    members: &[Member],
) {
    let mut names: BTreeMap<SocketAddr, InstanceAddress> = BTreeMap::new();
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
            InstanceAddress {
                name: member.record.id.name.clone(),
                lookup: addresses.lookup,
            },
        );
        entries.push(InstanceEntry {
            id: member.record.id.clone(),
            addr: addresses.caller,
            data_centre,
            state: lookup_state(
                member.state,
                ready.contains(&bundle.data_centres[data_centre].region),
            ),
            load: instance_load(member.load),
        });
    }
    lookups.update(bundle, own, &entries, names, shared.clock.unix());
}

/// Returns the regions that have at least one ready instance.
fn ready_regions(bundle: &Bundle, members: &[Member]) -> BTreeSet<RegionKey> {
    let ready = members.iter().filter(|member| member.state == State::Ready);
    let data_centres = ready.filter_map(|member| bundle.data_centre(&member.record.data_centre));
    data_centres
        .map(|key| bundle.data_centres[key].region)
        .collect()
}

/// Returns the state that look-ups use. A suspect instance is listed only where its region has no
/// ready instance.
fn lookup_state(state: State, has_ready: bool) -> InstanceState {
    match state {
        State::Ready => InstanceState::Ready,
        State::Leaving => InstanceState::Leaving,
        State::Suspect if has_ready => InstanceState::Dead,
        State::Suspect => InstanceState::Suspect,
        State::Dead => InstanceState::Dead,
    }
}
