//! Damaged texts are refused with findings and never panic.

mod support;

use apricotlug_config::parse_settings;
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use support::{ENTRY, NOVAK, SMALL, check};

const SNIPPETS: [&str; 14] = [
    "",
    "\0",
    "é",
    "[",
    "]",
    "{",
    "}",
    "=",
    "\"",
    "\n",
    "-1",
    "99999999999999999999",
    "[[x]]",
    "= [1]",
];

/// Replaces some characters at a time by a snippet.
fn mutate(text: &str, edits: &[(Index, usize, usize)]) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for (at, len, snippet) in edits {
        let start = at.index(chars.len() + 1);
        let end = chars.len().min(start + len);
        chars.splice(start..end, SNIPPETS[*snippet].chars());
    }
    chars.into_iter().collect()
}

fn edits() -> impl Strategy<Value = Vec<(Index, usize, usize)>> {
    let one = (any::<Index>(), 0..12_usize, 0..SNIPPETS.len());
    prop::collection::vec(one, 1..5)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn damaged_texts_never_panic(edits in edits()) {
        for text in [SMALL, NOVAK] {
            let result = check(&mutate(text, &edits));
            prop_assert!(result.is_ok() || !result.unwrap_err().is_empty());
        }
        let result = parse_settings("entry.toml", &mutate(ENTRY, &edits));
        prop_assert!(result.is_ok() || !result.unwrap_err().is_empty());
    }
}
