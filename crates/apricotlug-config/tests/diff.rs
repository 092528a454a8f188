//! Comparison of bundles, as an operator reads it.

mod support;

use apricotlug_config::diff::diff;
use support::{SMALL, check, edit};

#[test]
fn equal_bundles_have_no_changes() {
    let bundle = check(SMALL).unwrap();
    assert!(diff(&bundle, &bundle).is_empty());
}

#[test]
fn the_order_of_entries_is_no_change() {
    let text = edit(
        SMALL,
        r#"{ id = "stock" }, { id = "orders" }"#,
        r#"{ id = "orders" }, { id = "stock" }"#,
    );
    let (before, after) = (check(SMALL).unwrap(), check(&text).unwrap());
    assert_eq!(diff(&before, &after), []);
}

#[test]
fn each_kind_of_change_is_listed() {
    let edits = [
        ("version = 3", "version = 4"),
        ("cap_percent = 80, shift", "cap_percent = 70, shift"),
        ("mbit_per_s = 280", "mbit_per_s = 300"),
        ("rate = 100, burst = 200", "rate = 150, burst = 250"),
        ("digest = \"a2", "withdrawn = true, digest = \"ff"),
        ("role = \"signer\", salt", "role = \"signer\",  salt"),
        ("2027-01-31T18:00:00+01:00", "2027-02-01T18:00:00+01:00"),
        ("slots = 4", "slots = 6"),
        (", draining = true", ""),
        (r#"id = "orders-1""#, r#"id = "orders-2""#),
        ("timeout_ms = 1500", "timeout_ms = 900"),
        (r#""10.2.0.0/24""#, r#""10.4.0.0/24", "2001:db9::/32""#),
        (r#""10.3.0.0/16", "#, ""),
        (r#"["10.1.0.0/16", "#, r#"["10.3.0.0/16", "#),
    ];
    let text = edits
        .iter()
        .fold(SMALL.to_owned(), |text, (from, to)| edit(&text, from, to));
    let changes = diff(&check(SMALL).unwrap(), &check(&text).unwrap());
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
