//! Bundles: accepted values, and each fault with its code.

mod support;

use apricotlug_config::{MAX_FINDINGS, chunk::MAX_TEXT_BYTES, load_bundle, parse_bundle};
use apricotlug_model::{
    Bundle, EndpointKey,
    FindingCode::{
        self, Contradiction, Duplicate, MissingField, OutOfRange, PastDeadline, Syntax,
        UnknownField, UnknownReference, WrongType,
    },
    UnixTime, VersionKey,
};
use support::{ARMOR, NOVAK, NOW, SMALL, check, codes, edit};

#[test]
fn small_bundle_is_evaluated() {
    let bundle = check(SMALL).unwrap();
    assert_eq!(bundle.version.0, 3);
    let incoming = bundle.versions[VersionKey(1)].incoming.as_ref().unwrap();
    assert_eq!(incoming.from, VersionKey(0));
    assert_eq!(incoming.deadline, UnixTime(1_801_414_800_000_000));
    assert_eq!(incoming.stages, [10, 500, 1000]);
    let endpoint = &bundle.endpoints[EndpointKey(1)];
    assert!(endpoint.is_draining);
    assert_eq!(bundle.region_of(EndpointKey(1)).0, 1);
    let home = |addr: &str| bundle.blocks.home(addr.parse().unwrap()).map(|site| site.0);
    assert_eq!(home("10.1.255.255"), Some(0));
    assert_eq!(home("10.2.1.0"), None);
    assert_eq!(home("2001:db8::1"), Some(1));
    assert_eq!(bundle.links.len(), 1);
}

fn total_slots(bundle: &Bundle, service: &str) -> (usize, u32) {
    let key = bundle.services.find(|row| row.id == service).unwrap();
    let rows = bundle.endpoints.values();
    let rows = rows.filter(|row| bundle.versions[row.version].service == key);
    let slots: Vec<_> = rows.map(|row| u32::from(row.slots)).collect();
    (slots.len(), slots.iter().sum())
}

#[test]
fn example_bundles_have_the_sizes_of_today() {
    let armor = parse_bundle("caisses-armor.toml", ARMOR, NOW).unwrap();
    let novak = parse_bundle("novak.toml", NOVAK, NOW).unwrap();
    for bundle in [&armor, &novak] {
        assert_eq!(bundle.regions.len(), 3);
        assert_eq!(bundle.data_centres.len(), 6);
        assert_eq!(bundle.links.len(), 6);
        assert_eq!(bundle.accounts.len(), 8);
        assert_eq!(bundle.endpoints.len(), 40);
    }
    assert_eq!(total_slots(&armor, "stock"), (16, 64));
    assert_eq!(total_slots(&armor, "bookings").0, 12);
    assert_eq!(total_slots(&novak, "catalogue"), (16, 96));
    assert_eq!(total_slots(&novak, "orders"), (12, 36));
}

#[test]
fn each_bundle_fault_is_found() {
    let cases: &[(&str, &str, &[FindingCode])] = &[
        (
            "{ id = \"orders\" }]",
            "{ id = \"orders\" }, { id = \"orders\" }]",
            &[Duplicate],
        ),
        ("2001:db8::/32", "::ffff:10.9.0.0/112", &[OutOfRange]),
        (
            "\nregion = [",
            "\nregions = [",
            &[MissingField, UnknownField],
        ),
        ("\nsite = [", "\nsites = [", &[MissingField, UnknownField]),
        (
            "service_version = [",
            "service_versions = [",
            &[MissingField, UnknownField],
        ),
        (
            "endpoint = [",
            "endpoints = [",
            &[MissingField, UnknownField],
        ),
        ("route = [", "routes = [", &[MissingField, UnknownField]),
        (
            "operator = [",
            "operators = [",
            &[MissingField, UnknownField],
        ),
        ("version = 3", "version = 0", &[OutOfRange]),
        ("version = 3", "", &[MissingField]),
        ("version = 3", "version = '3'", &[WrongType]),
        ("version = 3", "version = 3\nversion = 4", &[Syntax]),
        ("version = 3", "version = 3\ncolour = 1", &[UnknownField]),
        (
            "cap_percent = 80, shift",
            "cap_percent = 101, shift",
            &[OutOfRange],
        ),
        (
            "shift_cap_percent = 20",
            "shift_cap_percent = 81",
            &[Contradiction],
        ),
        (
            r#"{ id = "east", c"#,
            r#"{ id = "west", c"#,
            &[Duplicate, UnknownReference, UnknownReference],
        ),
        (
            r#"region = "west""#,
            r#"region = "north""#,
            &[UnknownReference],
        ),
        (
            r#"data_centre = "brest""#,
            r#"data_centre = "b""#,
            &[UnknownReference],
        ),
        (r#"to = "east""#, r#"to = "west""#, &[Contradiction]),
        ("mbit_per_s = 280", "mbit_per_s = 0", &[OutOfRange]),
        ("rate = 100", "rate = 0", &[OutOfRange]),
        ("burst = 200", "burst = 0", &[OutOfRange]),
        (r#"id = "depots-1""#, r#"id = "ann""#, &[Duplicate]),
        (r#"id = "depots-1""#, r#"id = "a.b""#, &[OutOfRange]),
        ("digest = \"a2", "digest = \"", &[OutOfRange]),
        (r#"role = "signer""#, r#"role = "viewer""#, &[Contradiction]),
        (r#"role = "signer""#, r#"role = "boss""#, &[OutOfRange]),
        (
            r#"[{ id = "stock" }, { id = "orders" }]"#,
            "[]",
            &[OutOfRange; 1],
        ),
        ("from = \"1\"", "from = \"9\"", &[UnknownReference]),
        ("from = \"1\"", "from = \"2\"", &[Contradiction]),
        (
            "2027-01-31T18:00:00+01:00",
            "2026-12-01T00:00:00Z",
            &[PastDeadline],
        ),
        (
            "2027-01-31T18:00:00+01:00",
            "2027-01-31T18:00:00",
            &[OutOfRange],
        ),
        (
            "2027-01-31T18:00:00+01:00",
            "\"2027-01-31T18:00:00Z\"",
            &[WrongType],
        ),
        ("[10, 500, 1000]", "[]", &[OutOfRange]),
        ("[10, 500, 1000]", "[10, 10, 1000]", &[Contradiction]),
        ("[10, 500, 1000]", "[10, 500]", &[Contradiction]),
        ("[10, 500, 1000]", "[0, 1001]", &[OutOfRange, OutOfRange]),
        (
            r#"{ id = "1", service = "orders" }"#,
            r#"{ id = "2", service = "stock" }"#,
            &[Duplicate, UnknownReference],
        ),
        (
            r#"{ id = "1", service = "orders" }"#,
            r#"{ id = "1", service = "orders" }, { id = "2", service = "orders" }"#,
            &[Contradiction, Contradiction],
        ),
        ("127.0.0.1:9002", "127.0.0.1:9001", &[Duplicate]),
        ("127.0.0.1:9002", "127.0.0.1:0", &[OutOfRange]),
        (r#"{ id = "stock-2""#, r#"{ id = "stock-1""#, &[Duplicate]),
        (
            r#"service = "stock", version = "2""#,
            r#"service = "stock", version = "1""#,
            &[Contradiction],
        ),
        ("slots = 4", "slots = 0", &[OutOfRange]),
        ("slots = 4", "slots = 4, colour = 1", &[UnknownField]),
        ("draining = true", "draining = 1", &[WrongType]),
        (
            r#"prefix = "/stock""#,
            r#"prefix = "stock/""#,
            &[OutOfRange],
        ),
        (
            r#"prefix = "/stock""#,
            r#"prefix = "/orders""#,
            &[Duplicate],
        ),
        (r#"access = "open""#, r#"access = "all""#, &[OutOfRange]),
        ("timeout_ms = 1500", "timeout_ms = 0", &[OutOfRange]),
        ("brest-1 = [", "brest-9 = [", &[UnknownReference]),
        (r#"["10.1.0.0/16", "10.2.0.0/24"]"#, "[]", &[OutOfRange]),
        ("10.2.0.0/24", "10.2.0.1/24", &[OutOfRange]),
        ("10.2.0.0/24", "10.2.0.0/33", &[OutOfRange]),
        ("10.2.0.0/24", "10.2.0.0/+8", &[OutOfRange]),
        ("10.2.0.0/24", "10.1.4.0/24", &[Duplicate]),
        ("10.2.0.0/24", "10.0.0.0/8", &[Duplicate, Duplicate]),
        ("\"10.2.0.0/24\"", "7", &[WrongType]),
    ];
    for (from, to, expected) in cases {
        let findings = check(&edit(SMALL, from, to)).expect_err(to);
        assert_eq!(codes(&findings), *expected, "{to:?} gives\n{findings}");
    }
}

#[test]
fn blocks_may_stand_one_a_line_in_a_string() {
    let list = r#"["10.3.0.0/16", "2001:db8::/32"]"#;
    let same = edit(SMALL, list, "'''\n10.3.0.0/16\n2001:db8::/32\n'''");
    assert_eq!(check(&same).unwrap(), check(SMALL).unwrap());
    let cases = [
        ("'''\n10.3.0.0/16\n 10.3.4.0/24\n'''", "46:2"),
        ("\"\"\"\n10.3.0.0/16\né\n\"\"\"", "46:1"),
        ("'10.3.0.0/16 10.4.0.1/16'", "44:25"),
        ("\"10.3.0.0/16\\t10.4.0.1/16\"", "44:12"),
        ("'''\n\n'''", "44:12"),
    ];
    for (text, place) in cases {
        let findings = check(&edit(SMALL, list, text)).unwrap_err();
        let found = format!(
            "{}:{}",
            findings.0[0].place.line, findings.0[0].place.column
        );
        assert_eq!(found, place, "{text:?} gives\n{findings}");
        assert_eq!(findings.0.len(), 1);
    }
}

#[test]
fn line_ends_and_a_byte_order_mark_change_nothing() {
    let list = r#"["10.3.0.0/16", "2001:db8::/32"]"#;
    let text = edit(SMALL, list, "'''\n10.3.0.0/16\n2001:db8::/32\n'''");
    let expected = check(&text).unwrap();
    assert_eq!(check(&text.replace('\n', "\r\n")).unwrap(), expected);
    assert_eq!(check(&format!("\u{feff}{text}")).unwrap(), expected);
    let faulty = edit(&text, "slots = 4", "slots = 0").replace('\n', "\r\n");
    let place = &check(&faulty).unwrap_err().0[0].place;
    assert_eq!((place.line, place.column), (33, 106));
}

#[test]
fn a_flood_of_findings_is_cut_short_and_counted() {
    let list = r#"["10.1.0.0/16", "10.2.0.0/24"]"#;
    let text = edit(SMALL, list, &format!("[{}]", "\"x\",".repeat(3_000)));
    let findings = check(&text).unwrap_err();
    assert_eq!(findings.0.len(), MAX_FINDINGS + 1);
    let last = findings
        .0
        .iter()
        .find(|row| row.message.contains("further"))
        .unwrap();
    assert!(
        last.message.starts_with("2000 further findings"),
        "{}",
        last.message
    );
}

#[test]
fn a_text_beyond_the_limit_is_refused() {
    let text = format!("{SMALL}#{}", "x".repeat(MAX_TEXT_BYTES));
    assert_eq!(codes(&check(&text).unwrap_err()), [OutOfRange]);
}

#[test]
fn an_accepted_bundle_loads_after_its_deadline() {
    let text = edit(SMALL, "2027-01-31T18:00:00+01:00", "2020-01-31T18:00:00Z");
    assert_eq!(codes(&check(&text).unwrap_err()), [PastDeadline]);
    assert!(load_bundle("bundle.toml", &text).is_ok());
}

#[test]
fn all_bundle_findings_come_together_with_their_places() {
    let text = [
        ("version = 3", "version = -1"),
        ("cap_percent = 80, shift", "cap_percent = 180, shift"),
        (r#"region = "east""#, r#"region = "north""#),
        ("burst = 200", "burst = 0"),
        (r#"role = "signer""#, r#"role = "boss""#),
        ("2027-01-31T18:00:00+01:00", "2020-01-31T18:00:00Z"),
        ("[10, 500, 1000]", "[10, 5]"),
        ("127.0.0.1:9002", "127.0.0.1:9001"),
        ("slots = 3", "slots = 'é', colour = 3"),
        (r#"prefix = "/stock", "#, ""),
        ("10.2.0.0/24", "10.1.4.0/24"),
        ("10.3.0.0/16", "10.3.0.1/16"),
    ];
    let text = text
        .iter()
        .fold(SMALL.to_owned(), |text, (from, to)| edit(&text, from, to));
    let findings = check(&text).unwrap_err();
    insta::assert_snapshot!(findings);
}
