//! Settings: accepted values, and each fault with its code.

mod support;

use apricotlug_config::{LogLevel, parse_settings};
use apricotlug_model::FindingCode::{
    self, Duplicate, MissingField, OutOfRange, Syntax, UnknownField, WrongType,
};
use support::{ENTRY, codes, edit};

#[test]
fn example_settings_are_accepted() {
    let settings = parse_settings("entry.toml", ENTRY).unwrap();
    assert_eq!(settings.instance, "brest-1");
    assert_eq!(settings.data_centre, "brest");
    assert_eq!(settings.log_level, LogLevel::Info);
    assert_eq!(settings.listen.peer, "127.0.0.1:7003".parse().unwrap());
    assert_eq!(settings.platform, ["127.0.0.1:7100".parse().unwrap()]);
    assert_eq!(settings.peers.len(), 2);
    assert_eq!(settings.drain_ms, 30_000);
}

#[test]
fn each_settings_fault_is_found() {
    let cases: &[(&str, &str, &[FindingCode])] = &[
        (r#"instance = "brest-1""#, "", &[MissingField]),
        (r#"instance = "brest-1""#, "instance = 7", &[WrongType]),
        (
            r#"instance = "brest-1""#,
            r#"instance = "a b""#,
            &[OutOfRange],
        ),
        (r#"instance = "brest-1""#, "instance = ", &[Syntax]),
        (
            r#"log_level = "info""#,
            r#"log_level = "loud""#,
            &[OutOfRange],
        ),
        (r#"["127.0.0.1:7100"]"#, "[]", &[OutOfRange]),
        (r#"["127.0.0.1:7100"]"#, r#"["127.0.0.1:0"]"#, &[OutOfRange]),
        (
            r#"["127.0.0.1:7100"]"#,
            r#"["127.0.0.1:65536"]"#,
            &[OutOfRange],
        ),
        (
            r#"["127.0.0.1:7100"]"#,
            r#"["store.local:7100"]"#,
            &[OutOfRange],
        ),
        (r#"["127.0.0.1:7100"]"#, r#""127.0.0.1:7100""#, &[WrongType]),
        (r#""127.0.0.1:7023""#, r#""127.0.0.1:7013""#, &[Duplicate]),
        (r#""127.0.0.1:7001""#, r#""127.0.0.1:7000""#, &[Duplicate]),
        (r#""127.0.0.1:7001""#, r#""0.0.0.0:7001""#, &[OutOfRange]),
        ("lookup = ", "look_up = ", &[MissingField, UnknownField]),
        ("drain_ms = 30_000", "drain_ms = -1", &[OutOfRange]),
        ("drain_ms = 30_000", "drain_ms = 1.5", &[WrongType]),
        ("drain_ms = 30_000", "colour = 1", &[UnknownField]),
    ];
    for (from, to, expected) in cases {
        let findings = parse_settings("entry.toml", &edit(ENTRY, from, to)).unwrap_err();
        assert_eq!(codes(&findings), *expected, "{to:?} gives\n{findings}");
    }
}

#[test]
fn port_zero_is_allowed_in_listen_and_peers_may_be_empty() {
    let text = edit(ENTRY, "127.0.0.1:7000", "127.0.0.1:0");
    let text = edit(&text, "127.0.0.1:7001", "127.0.0.1:0");
    let text = edit(&text, r#"["127.0.0.1:7013", "127.0.0.1:7023"]"#, "[]");
    let settings = parse_settings("entry.toml", &text).unwrap();
    assert!(settings.peers.is_empty());
}

#[test]
fn all_settings_findings_come_together_with_their_places() {
    let text = "instance = 'a'\nlog_level = 'x'\nplatform = ['1.2.3.4:0', 'y']\nextra = 1\n";
    let findings = parse_settings("e.toml", text).unwrap_err();
    insta::assert_snapshot!(findings);
}
