//! Instances that read the store, relays and each other, as a model in virtual time: how late a
//! confirmed change is in force, and whether an instance holds what it claims to know.

#[path = "support/world/mod.rs"]
mod world;

use world::{Sheet, World};

/// Sheets of installations: the small ones, the grown ones, a large one, one with
/// tight bounds, and two whose store comes back from older copies at times.
const SHEETS: [Sheet; 7] = [
    Sheet::new(8, 2_500, 3_000),
    Sheet::new(9, 2_500, 4_000),
    Sheet::new(24, 3_000, 4_000),
    Sheet::new(30, 4_000, 5_000),
    Sheet::new(12, 2_000, 2_500),
    Sheet::new(9, 2_500, 4_000).with_drills(),
    Sheet::new(24, 3_000, 4_000).with_drills(),
];

const SEEDS: u64 = 64;
const SECONDS: u64 = 60;

/// Ticks between two checks.
const CHECK_INTERVAL: u64 = 2;

/// Plays every sheet with every seed, and returns what the check finds first in each.
fn findings(check: impl Fn(&World) -> Option<String>) -> Vec<String> {
    let mut findings = Vec::new();
    for sheet in SHEETS {
        for seed in 0..SEEDS {
            let mut world = World::new(sheet, seed);
            let ticks = SECONDS * 1_000 / World::TICK_MS;
            let finding = (0..ticks / CHECK_INTERVAL).find_map(|_| {
                (0..CHECK_INTERVAL).for_each(|_| world.tick());
                check(&world)
            });
            let drills = if sheet.has_drills { ", drills" } else { "" };
            let place = format!("{} instances{drills}, seed {seed}", sheet.instances);
            findings.extend(finding.map(|finding| format!("{place}: {finding}")));
        }
    }
    findings
}

fn assert_none(findings: &[String]) {
    let shown = findings
        .iter()
        .take(5)
        .cloned()
        .collect::<Vec<_>>()
        .join("\n");
    assert!(findings.is_empty(), "{} plays:\n{shown}", findings.len());
}

/// Guards against time limits that add up beyond the bound: an instance that is in touch again went
/// on reading from another one that had just been cut off, and answered 404 to a confirmed route.
#[test]
fn a_confirmed_change_is_in_force_in_time_wherever_it_is_read_from() {
    assert_none(&findings(World::late_change));
}

/// Guards against a change that is missed for good, since its reader takes itself to be past it.
#[test]
fn an_instance_holds_what_its_revision_and_its_last_read_claim() {
    assert_none(&findings(World::false_claim));
}

/// Guards against a refusal that a caller takes for final, and that a confirmed plan forbids: by an
/// instance in any trouble, in touch or not.
#[test]
fn an_instance_that_refuses_for_good_knows_every_plan_in_force() {
    assert_none(&findings(World::wrong_refusal));
}
