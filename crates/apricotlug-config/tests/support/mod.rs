//! Texts and helpers shared by the tests.
#![allow(dead_code, reason = "each test file uses some of these")]

use apricotlug_config::parse_bundle;
use apricotlug_model::{Bundle, FindingCode, Findings, UnixTime};

/// 2026-12-01T00:00:00Z.
pub const NOW: UnixTime = UnixTime(1_796_083_200_000_000);

pub const ARMOR: &str = include_str!("../../../../examples/caisses-armor.toml");
pub const NOVAK: &str = include_str!("../../../../examples/novak.toml");
pub const ENTRY: &str = include_str!("../../../../examples/entry.toml");
pub const SMALL: &str = include_str!("small.toml");

pub fn check(text: &str) -> Result<Bundle, Findings> {
    parse_bundle("bundle.toml", text, NOW)
}

pub fn codes(findings: &Findings) -> Vec<FindingCode> {
    findings.0.iter().map(|finding| finding.code).collect()
}

/// Replaces the one occurrence of `from`.
pub fn edit(text: &str, from: &str, to: &str) -> String {
    assert_eq!(text.matches(from).count(), 1, "{from:?} must occur once");
    text.replace(from, to)
}
