//! What a writer concludes from the entry that stands after its comparison failed.

use apricotlug_platform::{Entry, Swap, WriteId};

const OWN: WriteId = WriteId(1);

fn entry(create_revision: i64, version: i64, lineage: &[u128]) -> Entry {
    Entry {
        key: "k".to_owned(),
        value: Vec::new(),
        lineage: lineage.iter().copied().map(WriteId).collect(),
        create_revision,
        mod_revision: create_revision + version - 1,
        version,
    }
}

#[test]
fn a_lost_answer_is_judged_by_the_lineage_of_the_entry() {
    let base = entry(10, 1, &[9]);
    let written = |revision, is_superseded| Swap::Written {
        revision,
        is_superseded,
    };
    let conflict = |current| Swap::Conflict { current };
    let other = entry(10, 2, &[2, 9]);
    let raw = entry(10, 2, &[]);
    let recreated = entry(20, 1, &[2]);
    let long_chain = entry(10, 4, &[4, 3]);
    let rows = [
        (
            "own write stands",
            Some(entry(10, 2, &[1, 9])),
            true,
            written(11, false),
        ),
        (
            "another built on it",
            Some(entry(10, 3, &[2, 1, 9])),
            true,
            written(12, true),
        ),
        (
            "another was first",
            Some(other.clone()),
            true,
            conflict(Some(other)),
        ),
        (
            "written without envelope",
            Some(raw.clone()),
            true,
            Swap::Unknown,
        ),
        (
            "same, but no attempt was lost",
            Some(raw.clone()),
            false,
            conflict(Some(raw)),
        ),
        (
            "deleted and created again",
            Some(recreated),
            true,
            Swap::Unknown,
        ),
        (
            "more writes than the lineage",
            Some(long_chain),
            true,
            Swap::Unknown,
        ),
        ("deleted", None, true, Swap::Unknown),
        ("deleted, no attempt was lost", None, false, conflict(None)),
    ];
    for (name, current, is_uncertain, expected) in rows {
        let swap = Swap::judge(OWN, Some(&base), current, is_uncertain);
        assert_eq!(swap, expected, "{name}");
    }
}

#[test]
fn a_key_that_another_created_first_is_a_conflict_even_after_a_lost_answer() {
    let other = entry(10, 2, &[3, 2]);
    let swap = Swap::judge(OWN, None, Some(other.clone()), true);
    assert_eq!(
        swap,
        Swap::Conflict {
            current: Some(other)
        }
    );
}
