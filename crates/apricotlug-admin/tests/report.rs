//! Tests the text report of the fleet's state.

mod support;

use apricotlug_admin::{Align, FleetStatus, PlatformStatus, Report, Table, moves_table};
use support::fleet;

#[test]
fn the_report_lists_the_fleet() {
    insta::assert_snapshot!(Report::new(&fleet()));
}

#[test]
fn an_empty_fleet_has_no_tables() {
    let status = FleetStatus {
        platform: PlatformStatus::default(),
        instances: Vec::new(),
        regions: Vec::new(),
        accounts: Vec::new(),
        moves: Vec::new(),
        unconfirmed: Vec::new(),
        bundle: None,
        ..fleet()
    };
    let text = Report::new(&status).to_string();
    assert_eq!(
        text,
        "Seen by brest-1 at 2026-12-01T00:00:00Z, bundle version -\n\
         Platform: not reachable, no answer yet, 0 calls\n"
    );
}

#[test]
fn small_shares_of_moves_are_distinguishable() {
    let mut status = fleet().moves.remove(0);
    for (share, text) in [(0, "0.0%"), (5, "0.5%"), (250, "25.0%"), (1000, "100.0%")] {
        status.share = share;
        let table = moves_table(std::slice::from_ref(&status)).to_string();
        assert!(table.contains(&format!(" {text} ")), "{table}");
    }
}

#[test]
fn rows_of_any_length_fit_the_table() {
    let mut table = Table::new(&[("A", Align::Left), ("B", Align::Right)]);
    table.push(["é\n".to_owned()]);
    table.push(["x".to_owned(), "10".to_owned(), "dropped".to_owned()]);
    assert_eq!(table.to_string(), "A    B\né?\nx   10\n");
}
