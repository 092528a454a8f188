//! What the administration API reports.

use std::{collections::BTreeMap, net::IpAddr};

use apricotlug_admin::{
    Explanation, FleetStatus, InstanceState, InstanceStatus, Keys, MoveStage, MoveStatus,
    PlatformStatus, Problem, ProblemCode, RegionStatus, Unconfirmed,
};
use apricotlug_model::{Bundle, BundleVersion, RegionKey};
use apricotlug_peer::{Member, State};
use apricotlug_policy::moves::{MoveState, TakeBackReason};
use serde_json::{Value, json};

use crate::admin_api::{AdminPages, Answer};

/// Time without an answer after which the platform counts as unreachable.
const PLATFORM_SILENCE: std::time::Duration = std::time::Duration::from_secs(5);

/// Reports the state of this instance.
pub fn status(pages: &AdminPages) -> Value {
    let shared = &pages.shared;
    let view = shared.view.load();
    json!({
        "instance": shared.identity.name,
        "incarnation": format!("{:016x}", shared.identity.incarnation),
        "data_centre": shared.data_centre,
        "bundle_version": view.bundle.as_ref().map(|bundle| bundle.version.0),
        "withdrawn_keys": view.withdrawn.len(),
        "is_leaving": shared.drain.is_leaving(),
        "is_isolated": pages.peers.view().is_isolated,
        "is_superseded": pages.peers.view().is_superseded,
        "requests_in_flight": shared.drain.in_flight(),
        "orders_remembered": shared.gate.orders().len(),
        "platform": platform(pages),
        "rates_held_milli": rates_held(pages),
    })
}

/// Reports the part of each client account's rate that may be spent here, in thousandths per
/// second.
fn rates_held(pages: &AdminPages) -> BTreeMap<String, u64> {
    let Some(bundle) = pages.shared.view.load().bundle.clone() else {
        return BTreeMap::new();
    };
    let now = pages.shared.clock.now();
    let held = pages.shared.gate.with_budgets(|budgets| {
        let accounts = bundle.accounts.iter();
        accounts
            .map(|(key, account)| (account.id.clone(), budgets.held(key, now).rate_milli))
            .collect()
    });
    held.unwrap_or_default()
}

/// Reports the state of the fleet as seen from here.
pub fn fleet(pages: &AdminPages) -> FleetStatus {
    let shared = &pages.shared;
    let fleet = pages.peers.view();
    let bundle = shared.view.load().bundle.clone();
    let unconfirmed = fleet.unconfirmed.iter();
    FleetStatus {
        instance: shared.identity.name.clone(),
        at: shared.clock.unix(),
        bundle: bundle.as_ref().map(|bundle| bundle.version),
        platform: platform(pages),
        instances: fleet.members.iter().map(instance).collect(),
        regions: bundle
            .as_deref()
            .map(|bundle| regions(pages, bundle))
            .unwrap_or_default(),
        accounts: Vec::new(),
        moves: moves(pages),
        unconfirmed: unconfirmed
            .map(|(key, names)| Unconfirmed {
                key: key.clone(),
                instances: names.clone(),
            })
            .collect(),
    }
}

fn platform(pages: &AdminPages) -> PlatformStatus {
    let now = pages.client.now();
    let last = pages.client.last_answer();
    PlatformStatus {
        is_reachable: last.is_some_and(|at| now.since(at) < PLATFORM_SILENCE),
        answered_at: last.map(|at| pages.shared.clock.unix().before(now.since(at))),
        calls: pages.client.calls().total(),
    }
}

fn instance(member: &Member) -> InstanceStatus {
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

/// Reports the load that this instance puts on each region.
fn regions(pages: &AdminPages, bundle: &Bundle) -> Vec<RegionStatus> {
    let own = bundle.data_centre(&pages.shared.data_centre);
    let own_region = own.map(|own| bundle.data_centres[own].region);
    bundle
        .regions
        .iter()
        .map(|(key, region)| {
            let slots = slots(bundle, key);
            let occupied = occupied(pages, bundle, key);
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

fn slots(bundle: &Bundle, region: RegionKey) -> u32 {
    let endpoints = bundle.endpoints.iter();
    let here = endpoints.filter(|(key, e)| bundle.region_of(*key) == region && !e.is_draining);
    here.map(|(_, endpoint)| u32::from(endpoint.slots)).sum()
}

fn occupied(pages: &AdminPages, bundle: &Bundle, region: RegionKey) -> u32 {
    let here = bundle
        .endpoints
        .keys()
        .filter(|key| bundle.region_of(*key) == region);
    let outstanding = pages
        .shared
        .gate
        .with_placement(|placement| here.map(|key| u32::from(placement.outstanding(key))).sum());
    outstanding.unwrap_or(0)
}

/// Reports the moves as seen from here.
pub fn moves(pages: &AdminPages) -> Vec<MoveStatus> {
    let views = pages.moves.views();
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

/// Reports the keys of client accounts.
pub fn keys(pages: &AdminPages, bundle: &Bundle) -> Keys {
    let withdrawn = pages.shared.view.load().withdrawn.clone();
    let fleet = pages.peers.view();
    Keys::list(bundle, &withdrawn, |id| {
        fleet.unconfirmed.get(id).cloned().unwrap_or_default()
    })
}

/// Explains where the clients of an address belong.
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
