//! Read-only reports of the administration API: instance, fleet, moves, keys and look-ups.

use std::{collections::BTreeMap, net::IpAddr};

use apricotlug_admin::{
    Explanation, FleetStatus, InstanceState, InstanceStatus, Keys, MoveStage, MoveStatus,
    PlatformStatus, Problem, ProblemCode, RegionStatus, Unconfirmed,
};
use apricotlug_model::{Bundle, BundleVersion, RegionKey};
use apricotlug_peer::{Member, State};
use apricotlug_policy::moves::{MoveState, TakeBackReason};
use serde_json::{Value, json};

use crate::admin_api::{AdminApi, Answer};

/// Time since the last answer after which the platform is reported as unreachable.
const PLATFORM_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Reports the state of this instance.
pub fn status(api: &AdminApi) -> Value {
    let shared = &api.shared;
    let view = shared.view.load();
    json!({
        "instance": shared.identity.name,
        "incarnation": format!("{:016x}", shared.identity.incarnation),
        "data_centre": shared.data_centre,
        "bundle_version": view.bundle.as_ref().map(|bundle| bundle.version.0),
        "withdrawn_keys": view.withdrawn.len(),
        "is_leaving": shared.drain.is_leaving(),
        "is_isolated": api.peers.view().is_isolated,
        "is_superseded": api.peers.view().is_superseded,
        "requests_in_flight": shared.drain.in_flight(),
        "orders_remembered": shared.decisions.orders().len(),
        "platform": platform_status(api),
        "rates_held_milli": rates_held(api),
    })
}

/// Reports this instance's share of each client account's rate, in thousandths of a request per
/// second. Empty before the first bundle.
fn rates_held(api: &AdminApi) -> BTreeMap<String, u64> {
    let Some(bundle) = api.shared.view.load().bundle.clone() else {
        return BTreeMap::new();
    };
    let now = api.shared.clock.now();
    let held = api.shared.decisions.with_budgets(|budgets| {
        let accounts = bundle.accounts.iter();
        accounts
            .map(|(key, account)| (account.id.clone(), budgets.held_share(key, now).rate_milli))
            .collect()
    });
    held.unwrap_or_default()
}

/// Reports the state of the fleet as seen from this instance.
pub fn fleet(api: &AdminApi) -> FleetStatus {
    let shared = &api.shared;
    let fleet = api.peers.view();
    let bundle = shared.view.load().bundle.clone();
    let unconfirmed = fleet.unconfirmed.iter();
    FleetStatus {
        instance: shared.identity.name.clone(),
        at: shared.clock.unix(),
        bundle: bundle.as_ref().map(|bundle| bundle.version),
        platform: platform_status(api),
        instances: fleet.members.iter().map(instance_status).collect(),
        regions: bundle
            .as_deref()
            .map(|bundle| region_statuses(api, bundle))
            .unwrap_or_default(),
        accounts: Vec::new(),
        moves: moves(api),
        unconfirmed: unconfirmed
            .map(|(key, names)| Unconfirmed {
                key: key.clone(),
                instances: names.clone(),
            })
            .collect(),
    }
}

fn platform_status(api: &AdminApi) -> PlatformStatus {
    let now = api.client.now();
    let last = api.client.last_answer();
    PlatformStatus {
        is_reachable: last.is_some_and(|at| now.since(at) < PLATFORM_TIMEOUT),
        answered_at: last.map(|at| api.shared.clock.unix().before(now.since(at))),
        calls: api.client.calls().total(),
    }
}

fn instance_status(member: &Member) -> InstanceStatus {
    let bundle = member.progress.bundle;
    InstanceStatus {
        name: member.record.id.name.clone(),
        data_centre: member.record.data_centre.clone(),
        state: match member.state {
            State::Ready if bundle == 0 => InstanceState::Empty,
            State::Ready => InstanceState::Ready,
            State::Leaving => InstanceState::Leaving,
            State::Suspect => InstanceState::Suspect,
            State::Dead => InstanceState::Dead,
        },
        caller: member.record.addresses.caller,
        bundle: (bundle > 0).then_some(BundleVersion(bundle)),
        load: member.load,
    }
}

/// Reports the slots and cap of each region and the slots that this instance occupies there.
fn region_statuses(api: &AdminApi, bundle: &Bundle) -> Vec<RegionStatus> {
    let own = bundle.data_centre(&api.shared.data_centre);
    let own_region = own.map(|own| bundle.data_centres[own].region);
    bundle
        .regions
        .iter()
        .map(|(key, region)| {
            let slots = region_slots(bundle, key);
            let occupied = occupied_slots(api, bundle, key);
            RegionStatus {
                id: region.id.clone(),
                slots,
                cap: slots * u32::from(region.cap_percent) / 100,
                occupied,
                shifted: if own_region == Some(key) { 0 } else { occupied },
            }
        })
        .collect()
}

fn region_slots(bundle: &Bundle, region: RegionKey) -> u32 {
    let endpoints = bundle.endpoints.iter();
    let here = endpoints.filter(|(key, e)| bundle.region_of(*key) == region && !e.is_draining);
    here.map(|(_, endpoint)| u32::from(endpoint.slots)).sum()
}

fn occupied_slots(api: &AdminApi, bundle: &Bundle, region: RegionKey) -> u32 {
    let here = bundle
        .endpoints
        .keys()
        .filter(|key| bundle.region_of(*key) == region);
    let outstanding = api
        .shared
        .decisions
        .with_placement(|placement| here.map(|key| u32::from(placement.outstanding(key))).sum());
    outstanding.unwrap_or(0)
}

/// Reports the version moves as seen from this instance.
pub fn moves(api: &AdminApi) -> Vec<MoveStatus> {
    let views = api.moves.views();
    views
        .into_iter()
        .map(|view| {
            let state = view.record.as_ref().map(|record| record.state);
            let (stage, reason) = match state {
                None => (MoveStage::Running, "not begun"),
                Some(MoveState::Running) if view.has_cut => (MoveStage::Running, "cut here"),
                Some(MoveState::Running) => (MoveStage::Running, "advancing"),
                Some(MoveState::Paused) => (MoveStage::Paused, "paused by an operator"),
                Some(MoveState::Finished) => (MoveStage::Done, "finished"),
                Some(MoveState::TakenBack(TakeBackReason::Deadline)) => {
                    (MoveStage::TakenBack, "not finished at its deadline")
                }
                Some(MoveState::TakenBack(TakeBackReason::Fault)) => (
                    MoveStage::TakenBack,
                    "the evidence speaks against the version",
                ),
                Some(MoveState::TakenBack(TakeBackReason::Operator)) => {
                    (MoveStage::TakenBack, "taken back by an operator")
                }
            };
            MoveStatus {
                service: view.id.service,
                from: view.from,
                to: view.id.version,
                stage,
                share: view.share,
                deadline: view.id.deadline,
                reason: reason.to_owned(),
            }
        })
        .collect()
}

/// Reports the keys of client accounts and their withdrawals.
pub fn keys(api: &AdminApi, bundle: &Bundle) -> Keys {
    let withdrawn = api.shared.view.load().withdrawn.clone();
    let fleet = api.peers.view();
    Keys::list(bundle, &withdrawn, |id| {
        fleet.unconfirmed.get(id).cloned().unwrap_or_default()
    })
}

/// Explains which home site, data centre and region a client address has.
pub fn explain(bundle: &Bundle, client: &str) -> Answer {
    let addr: IpAddr = client.parse().map_err(|_| {
        Problem::new(
            ProblemCode::Refused,
            format!("{client:?} is no address"),
            "send client=IP",
        )
    })?;
    let home = bundle.blocks.home(addr);
    let mut steps = Vec::new();
    match home {
        None => steps.push("no block holds the address: any region serves it".to_owned()),
        Some(site) => {
            let site = &bundle.sites[site];
            let dc = &bundle.data_centres[site.data_centre];
            steps.push(format!(
                "a block holds the address; its home is site {}",
                site.id
            ));
            steps.push(format!("the site stands in data centre {}", dc.id));
            steps.push(format!(
                "the data centre stands in region {}",
                bundle.regions[dc.region].id
            ));
        }
    }
    let explanation = Explanation {
        client: client.to_owned(),
        home: home.map(|site| bundle.sites[site].id.clone()),
        instances: Vec::new(),
        steps,
    };
    Ok((200, json!(explanation)))
}
