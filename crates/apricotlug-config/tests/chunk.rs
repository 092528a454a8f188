//! Chunks: whole texts come back, small changes stay small, damage is an error.

mod support;

use std::collections::BTreeSet;

use apricotlug_config::chunk::{
    Chunk, ChunkError, ChunkHash, MAX_CHUNK_BYTES, MAX_TEXT_BYTES, Manifest, join, split,
};
use apricotlug_model::{BundleVersion, HashMap};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use support::{NOVAK, NOW};

fn manifest(chunks: Vec<ChunkHash>) -> Manifest {
    Manifest {
        version: BundleVersion(3),
        write_id: u64::MAX,
        signed_by: "novak-signer".to_owned(),
        signed_at: NOW,
        chunks,
    }
}

fn store(chunks: Vec<Chunk>) -> HashMap<ChunkHash, String> {
    let rows = chunks.into_iter();
    rows.map(|chunk| (chunk.hash, chunk.text)).collect()
}

/// Bundle-like text with one block a line.
fn block_lines(count: usize) -> String {
    let line = |i: usize| format!("  \"10.{}.{}.0/24\",\n", i / 256, i % 256);
    (0..count).map(line).collect()
}

fn distinct(text: &str) -> BTreeSet<ChunkHash> {
    split(text).0.into_iter().collect()
}

#[test]
fn chunks_stay_near_the_target_length() {
    let text = block_lines(60_000);
    let (hashes, chunks) = split(&text);
    let mean = text.len() / hashes.len();
    assert!(
        (12 * 1024..=20 * 1024).contains(&mean),
        "mean length {mean}"
    );
    assert!(
        chunks
            .iter()
            .all(|chunk| chunk.text.len() <= MAX_CHUNK_BYTES)
    );
}

#[test]
fn long_and_repeated_lines_are_cut_at_the_limit() {
    for text in ["é".repeat(MAX_CHUNK_BYTES), "x\n".repeat(MAX_CHUNK_BYTES)] {
        let (hashes, chunks) = split(&text);
        assert!(
            chunks
                .iter()
                .all(|chunk| chunk.text.len() <= MAX_CHUNK_BYTES)
        );
        let held = store(chunks);
        assert_eq!(join(&manifest(hashes), |hash| held.get(&hash)), Ok(text));
    }
}

#[test]
fn missing_and_corrupt_chunks_are_errors() {
    let text = block_lines(6_000);
    let (hashes, chunks) = split(&text);
    let victim = hashes[1];
    let held = store(chunks);
    let head = manifest(hashes);
    let absent = join(&head, |hash| held.get(&hash).filter(|_| hash != victim));
    assert_eq!(absent, Err(ChunkError::Missing(victim)));
    let damaged = join(&head, |hash| {
        let text = held[&hash].clone();
        Some(if hash == victim {
            text.replacen('1', "2", 1)
        } else {
            text
        })
    });
    assert_eq!(damaged, Err(ChunkError::Corrupt(victim)));
    let swapped = join(&head, |_| held.get(&victim));
    assert_eq!(swapped, Err(ChunkError::Corrupt(head.chunks[0])));
}

#[test]
fn a_manifest_cannot_exhaust_memory() {
    let chunk = "x".repeat(MAX_CHUNK_BYTES);
    let hash = ChunkHash::of(chunk.as_bytes());
    let head = manifest(vec![hash; MAX_TEXT_BYTES / MAX_CHUNK_BYTES + 1]);
    assert_eq!(join(&head, |_| Some(&chunk)), Err(ChunkError::TooLong));
}

#[test]
fn missing_lists_each_absent_chunk_once() {
    let [a, b, c] = ["a", "b", "c"].map(|text| ChunkHash::of(text.as_bytes()));
    let head = manifest(vec![c, a, b, c]);
    assert_eq!(head.missing(|hash| hash == a), [c, b]);
}

#[test]
fn a_manifest_survives_json_and_refuses_what_it_does_not_know() {
    let head = manifest(split(NOVAK).0);
    let json = serde_json::to_string(&head).unwrap();
    assert_eq!(serde_json::from_str::<Manifest>(&json).unwrap(), head);
    let short = json.replace(&head.chunks[0].to_string(), "00");
    assert!(serde_json::from_str::<Manifest>(&short).is_err());
    let extra = json.replacen('{', "{\"colour\":1,", 1);
    assert!(serde_json::from_str::<Manifest>(&extra).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_comes_back_whole(lines in prop::collection::vec(".{0,400}", 0..400)) {
        let text = lines.join("\n");
        let (hashes, chunks) = split(&text);
        let held = store(chunks);
        prop_assert_eq!(join(&manifest(hashes), |hash| held.get(&hash)), Ok(text));
    }

    #[test]
    fn a_changed_line_gives_at_most_two_new_chunks(at in any::<Index>(), line in "[ -~]{0,60}") {
        let text = block_lines(8_000);
        let before = distinct(&text);
        let lines: Vec<_> = text.split_inclusive('\n').collect();
        let i = at.index(lines.len());
        let replaced = [&lines[..i], &[line.as_str(), "\n"], &lines[i + 1..]].concat().concat();
        let inserted = [&lines[..i], &[line.as_str(), "\n"], &lines[i..]].concat().concat();
        let removed = [&lines[..i], &lines[i + 1..]].concat().concat();
        for after in [replaced, inserted, removed] {
            prop_assert!(distinct(&after).difference(&before).count() <= 2);
        }
    }
}
