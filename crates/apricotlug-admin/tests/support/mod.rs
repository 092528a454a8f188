//! Sample bundle and fleet status shared by the tests.
#![allow(dead_code, reason = "each test file uses some of these")]

use apricotlug_admin::{
    AccountStatus, FleetStatus, InstanceState, InstanceStatus, MoveStage, MoveStatus,
    PlatformStatus, RegionStatus, Unconfirmed,
};
use apricotlug_config::load_bundle;
use apricotlug_model::{Bundle, BundleVersion, UnixTime};

/// 2026-12-01T00:00:00Z.
pub const NOW: UnixTime = UnixTime(1_796_083_200_000_000);

pub fn armor() -> Bundle {
    let text = include_str!("../../../../examples/caisses-armor.toml");
    load_bundle("caisses-armor.toml", text).unwrap()
}

fn instance(name: &str, state: InstanceState, bundle: Option<u64>) -> InstanceStatus {
    InstanceStatus {
        name: name.to_owned(),
        data_centre: "brest".to_owned(),
        state,
        caller: "127.0.0.1:7000".parse().unwrap(),
        bundle: bundle.map(BundleVersion),
        load: bundle.map(|_| 425),
    }
}

pub fn fleet() -> FleetStatus {
    FleetStatus {
        instance: "brest-1".to_owned(),
        at: NOW,
        bundle: Some(BundleVersion(12)),
        platform: PlatformStatus {
            is_reachable: false,
            answered_at: Some(UnixTime(NOW.0 - 300_000_000)),
            calls: 1_204,
        },
        instances: vec![
            instance("brest-1", InstanceState::Ready, Some(12)),
            instance("brest-2", InstanceState::Ready, Some(11)),
            instance("brest-3\u{1b}[2J", InstanceState::Suspect, Some(12)),
            instance("brest-4", InstanceState::Empty, None),
        ],
        regions: vec![RegionStatus {
            id: "finistere".to_owned(),
            slots: 54,
            cap: 43,
            occupied: 44,
            shifted: 3,
        }],
        accounts: vec![AccountStatus {
            id: "armor-depots".to_owned(),
            rate: 400,
            admitted: 310,
            refused_in_rate: 0,
        }],
        moves: vec![MoveStatus {
            service: "stock".to_owned(),
            from: "1".to_owned(),
            to: "2".to_owned(),
            stage: MoveStage::TakenBack,
            share: 0,
            deadline: NOW,
            reason: "errors on route stock".to_owned(),
        }],
        unconfirmed: vec![Unconfirmed {
            key: "armor-depots-0".to_owned(),
            instances: vec!["brest-2".to_owned(), "brest-3".to_owned()],
        }],
    }
}
