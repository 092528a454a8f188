//! Settings of an instance on the platform: accepted values, and each fault with its code.

mod support;

use apricotlug_config::parse_site;
use apricotlug_model::FindingCode::{
    self, MissingField, OutOfRange, UnknownField, UnknownReference, WrongType,
};

const EXAMPLE: &str = include_str!("../../../examples/steer.toml");

#[test]
fn example_settings_are_accepted() {
    let settings = parse_site("steer.toml", EXAMPLE).unwrap();
    assert_eq!(settings.region(), "finistere");
    assert_eq!(settings.region_of("rennes-a"), "ille-vilaine");
    assert_eq!(settings.region_of("nowhere"), "");
    assert_eq!(settings.bounds.lookup_ms, 5_000);
    assert_eq!(settings.bounds.retry_ratio, 0.2);
    assert_eq!(settings.bounds.apply_ms, 2_500);
    assert_eq!(settings.min_lease_ms, 1_000);
    assert_eq!(settings.machine.memory_mb, 112);
    assert_eq!(settings.machine.descriptors, None);
    assert_eq!(settings.usage.map(|usage| usage.late_ms), Some(10_000));
    let without = EXAMPLE.split("[usage]").next().unwrap_or_default();
    assert_eq!(parse_site("steer.toml", without).unwrap().usage, None);
    assert!(settings.is_first_start && settings.bounds.is_revocation_strict);
}

#[test]
fn the_limits_of_the_machine_are_read_where_they_are_given() {
    let text = format!("{EXAMPLE}\n[machine]\nmemory_mb = 260\ndescriptors = 4100\n");
    let machine = parse_site("steer.toml", &text).unwrap().machine;
    assert_eq!((machine.memory_mb, machine.descriptors), (260, Some(4_100)));
}

#[test]
fn each_fault_is_found_with_its_place() {
    let cases: &[(&str, &str, &[FindingCode])] = &[
        ("instance = \"brest-1\"", "", &[MissingField]),
        (
            "data_centre = \"brest-a\"",
            "data_centre = \"x\"",
            &[UnknownReference],
        ),
        ("first_start = true", "first_start = 1", &[WrongType]),
        ("grace = \"6s\"", "grace = \"6\"", &[OutOfRange]),
        ("grace = \"6s\"", "grace = \"-6s\"", &[OutOfRange]),
        ("grace = \"6s\"", "grace = 6", &[WrongType]),
        ("apply = \"2500ms\"", "apply = \"0s\"", &[OutOfRange]),
        ("apply = \"2500ms\"", "apply = 2500", &[WrongType]),
        ("drain = \"2500ms\"", "drain = \"999ms\"", &[OutOfRange]),
        ("retry_ratio = 0.2", "retry_ratio = \"0.2\"", &[WrongType]),
        ("retry_ratio = 0.2", "retry_ratio = -0.2", &[OutOfRange]),
        ("cold_overage = 1.5", "cold_overage = \"1.5\"", &[WrongType]),
        ("cold_overage = 1.5", "cold_overage = 0.9", &[OutOfRange]),
        ("cold_slack = 5", "cold_slack = -5", &[OutOfRange]),
        (
            "quota_slack = 20",
            "quota_slack = 20\nmore = 1",
            &[UnknownField],
        ),
        (
            "cold_slack = 5",
            "cold_slack = 5\n[machine]\nmemory_mb = 0",
            &[OutOfRange],
        ),
        (
            "cold_slack = 5",
            "cold_slack = 5\n[machine]\ndescriptors = \"many\"",
            &[WrongType],
        ),
        ("127.0.0.1:7100", "127.0.0.1:0", &[OutOfRange]),
        ("127.0.0.1:7101", "127.0.0.1:0", &[OutOfRange]),
        ("\nwindow = \"5s\"", "\nwindow = 5", &[WrongType]),
        ("\nwindow = \"5s\"", "\nwindow = \"0s\"", &[OutOfRange]),
        ("late = \"10s\"", "", &[MissingField]),
        (
            "lease = \"3s\"",
            "lease = \"3s\"\nterm = 1",
            &[UnknownField],
        ),
        (
            "caller = \"127.0.0.1:7000\"",
            "caller = \"nowhere\"",
            &[OutOfRange],
        ),
    ];
    for (from, to, codes) in cases {
        let text = EXAMPLE.replacen(from, to, 1);
        assert_ne!(text, EXAMPLE, "{from}");
        let findings = parse_site("steer.toml", &text).unwrap_err();
        assert_eq!(support::codes(&findings), *codes, "{to:?}");
    }
}
