//! Requests that instances send together to a cold backend server, as a model in virtual time: the
//! bound has to hold whatever each of them knows of the others.
//!
//! `COLD_LIMIT_SEEDS` sets the number of seeds of every sheet, and with `COLD_LIMIT_WHOLE` all
//! instances of the largest deployment are played. With `--nocapture`, the tests print which share of
//! the requests that it is made for the backend server got.

#[path = "support/cold_limit/mod.rs"]
mod cold_limit;

use std::cmp::Reverse;

use cold_limit::{Links, Play, Row, Sheet};

/// Sheets of installations, with the number of seeds that are played.
const SHEETS: [(Sheet, u64); 7] = [
    (Sheet::new(1, 13.0, 5.0), 4),
    (Sheet::new(8, 5.2, 5.0), 4),
    (Sheet::new(9, 13.0, 5.0), 4),
    (Sheet::new(64, 4.7, 8.0), 2),
    (Sheet::new(90, 2.6, 8.0), 1),
    (Sheet::new(295, 2.6, 10.0), 1),
    (Sheet::new(1_500, 2.6, 10.0), 1),
];

/// Plays a row with every sheet and seed.
fn assert_holds(row: Row, links: &[Links]) {
    let seeds = std::env::var("COLD_LIMIT_SEEDS").ok();
    let seeds: Option<u64> = seeds.map(|text| text.parse().unwrap());
    let is_whole = std::env::var_os("COLD_LIMIT_WHOLE").is_some();
    let mut findings = Vec::new();
    for (mut sheet, usual) in SHEETS {
        // The largest deployment is costly and is played with the last links only.
        let is_costly = sheet.played_one_in > 1;
        let skipped = if is_costly { links.len() - 1 } else { 0 };
        if is_whole {
            sheet.played_one_in = 1;
        }
        for links in &links[skipped..] {
            findings.extend(finding(sheet, row, *links, seeds.unwrap_or(usual)));
        }
    }
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}

/// Plays a row with every seed. Returns how many plays are wrong, and the worst, or `None`.
fn finding(sheet: Sheet, row: Row, links: Links, seeds: u64) -> Option<String> {
    let place = format!("{row:?}, {links:?}, {} instances", sheet.instances);
    let plays = (0..seeds).map(|seed| (seed, Play::run(sheet, row, links, seed)));
    let mut plays: Vec<_> = plays.collect();
    let share: f64 = plays.iter().map(|(_, play)| play.used_share(&sheet)).sum();
    println!("{place}: {:.2} of its rate", share / seeds as f64);
    plays.sort_by_key(|(_, play)| Reverse(play.most));
    let wrong = plays.iter().filter_map(|(seed, play)| {
        let finding = play.finding(&sheet, row)?;
        Some(format!("seed {seed}: {finding}"))
    });
    let wrong: Vec<_> = wrong.collect();
    let worst = wrong.first()?;
    Some(format!(
        "{place}: {} of {seeds} plays, {worst}",
        wrong.len()
    ))
}

const BOTH: [Links; 2] = [Links::Equal, Links::FewWide];

#[test]
fn instances_that_all_know_each_other_keep_a_cold_servers_limit() {
    assert_holds(Row::Settled, &[Links::Equal]);
}

/// Guards against places in the order of senders that all unlisted instances share.
#[test]
fn instances_that_are_not_listed_keep_a_cold_servers_limit() {
    assert_holds(Row::Settled, &[Links::FewWide]);
}

/// Guards against places that move with each entry read, each new holder having credit, while a
/// region starts.
#[test]
fn a_region_that_returns_keeps_a_cold_servers_limit() {
    assert_holds(Row::RegionReturns, &BOTH);
}

/// Guards against instances that divide the limit by those of their first listing for as long as no
/// further read succeeds.
#[test]
fn a_region_that_returns_to_a_lost_store_keeps_a_cold_servers_limit() {
    assert_holds(Row::RegionReturnsToLostStore, &BOTH);
}

/// Guards against a fresh credit for each new run and against places that each restart moves.
#[test]
fn restarts_in_series_keep_a_cold_servers_limit() {
    assert_holds(Row::RestartsInSeries, &BOTH);
}

/// Guards against a rate that each of two halves divides among itself alone.
#[test]
fn halves_that_never_knew_each_other_keep_a_cold_servers_limit() {
    assert_holds(Row::HalvesApart, &BOTH);
}

/// Guards against places and shares that move while entries lapse.
#[test]
fn halves_that_lose_sight_of_each_other_keep_a_cold_servers_limit() {
    assert_holds(Row::HalvesPart, &BOTH);
}

/// Guards against an instance that takes the whole rate because it knows nobody yet.
#[test]
fn an_instance_that_knows_nobody_yet_keeps_a_cold_servers_limit() {
    assert_holds(Row::OneUnread, &BOTH);
}

/// Guards against several instances that each take the whole rate because they know nobody yet.
#[test]
fn several_instances_that_know_nobody_yet_keep_a_cold_servers_limit() {
    assert_holds(Row::EighthUnread, &BOTH);
}

/// Guards against instances that each take the whole rate while all of them start.
#[test]
fn a_whole_fleet_that_restarts_keeps_a_cold_servers_limit() {
    assert_holds(Row::AllRestart, &BOTH);
}

#[test]
fn a_server_that_becomes_cold_again_and_again_keeps_its_limit() {
    assert_holds(Row::ColdAgain, &[Links::Equal]);
}

/// Guards against places that all unlisted instances share, at a server whose record comes and goes.
#[test]
fn a_server_that_becomes_cold_again_keeps_its_limit_among_unlisted_instances() {
    assert_holds(Row::ColdAgain, &[Links::FewWide]);
}
