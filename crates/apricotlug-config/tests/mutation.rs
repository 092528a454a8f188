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

/// Values of every type, at the borders of what fields take.
const VALUES: [&str; 22] = [
    "0",
    "-1",
    "1",
    "255",
    "256",
    "65536",
    "4294967296",
    "9223372036854775807",
    "0x10",
    "1.5",
    "inf",
    "true",
    "''",
    "'x'",
    "'127.0.0.1:0'",
    "'[::1]:9'",
    "'0.0.0.0/0'",
    "'::/0'",
    "[]",
    "[[]]",
    "{}",
    "2026-01-01T00:00:00Z",
];

/// Replaces scalars, the text between `= ` and the next delimiter, by other values.
fn swap(text: &str, swaps: &[(Index, usize)]) -> String {
    let mut text = text.to_owned();
    for (at, value) in swaps {
        let starts: Vec<_> = text.match_indices("= ").map(|(i, _)| i + 2).collect();
        let start = starts[at.index(starts.len())];
        let len = text[start..]
            .find([',', ' ', '\n'])
            .unwrap_or(text.len() - start);
        text.replace_range(start..start + len, VALUES[*value]);
    }
    text
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

    #[test]
    fn swapped_values_never_panic_and_places_lie_in_the_text(
        swaps in prop::collection::vec((any::<Index>(), 0..VALUES.len()), 1..6),
    ) {
        for text in [SMALL, NOVAK] {
            let text = swap(text, &swaps);
            let lines: Vec<&str> = text.lines().collect();
            let findings = check(&text).err().unwrap_or_default();
            for place in findings.0.into_iter().map(|finding| finding.place) {
                let line = lines[place.line as usize - 1];
                prop_assert!((1..=line.chars().count() + 1).contains(&(place.column as usize)));
            }
        }
    }
}
