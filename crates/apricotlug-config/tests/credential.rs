//! API keys: made, split and verified.

mod support;

use apricotlug_config::credential;
use rand::{SeedableRng, rngs::StdRng};
use support::{ARMOR, SMALL, check, edit};

#[test]
fn a_generated_key_verifies_against_its_row_only() {
    let mut rng = StdRng::seed_from_u64(7);
    let key = credential::generate("depots-2", &mut rng);
    let other = credential::generate("depots-2", &mut rng);
    assert_ne!(key.plain, other.plain);
    let (start, end) = (
        SMALL.find("    { id = \"depots-1\"").unwrap(),
        "  ] },\n]\noperator",
    );
    let rows = &SMALL[start..SMALL.find(end).unwrap()];
    let text = edit(SMALL, rows, &format!("    {}\n", key.row));
    let hash = check(&text).unwrap().credentials["depots-2"].hash;
    let (id, secret) = credential::split(&key.plain).unwrap();
    assert_eq!(id, "depots-2");
    assert!(credential::verify(&hash, secret));
    assert!(!credential::verify(
        &hash,
        credential::split(&other.plain).unwrap().1
    ));
    assert!(!credential::verify(&hash, ""));
}

#[test]
fn keys_without_id_or_secret_do_not_split() {
    for key in ["", ".", "id.", ".secret", "id"] {
        assert_eq!(credential::split(key), None, "{key:?}");
    }
    assert_eq!(credential::split("id.a.b"), Some(("id", "a.b")));
}

#[test]
fn ids_of_keys_are_names_without_a_dot() {
    for (id, expected) in [
        ("depots-2", true),
        ("a.b", false),
        ("", false),
        ("a b", false),
    ] {
        assert_eq!(credential::is_id(id), expected, "{id:?}");
    }
}

#[test]
fn demo_keys_of_the_examples_verify() {
    let bundle = check(ARMOR).unwrap();
    let caller = &bundle.credentials["armor-demo"];
    assert!(credential::verify(&caller.hash, "try-armor-demo"));
    assert!(bundle.credentials["armor-depots-0"].is_withdrawn);
    let operator = &bundle.operators["armor-signer"];
    assert!(credential::verify(&operator.hash, "try-armor-signer"));
}
