//! Tests that operators are authorised by their personal keys only, within the role of the key.

mod support;

use apricotlug_admin::{Denied, Operation, Problem, ProblemCode, authorise};
use apricotlug_model::{
    HashSet,
    Role::{Responder, Signer, Viewer},
};
use support::armor;

#[test]
fn each_key_has_the_operations_of_its_role() {
    let bundle = armor();
    let none = HashSet::default();
    let allowed = |key: &str| -> usize {
        let roles = Operation::ALL.into_iter().filter_map(Operation::role);
        roles
            .filter(|&role| authorise(&bundle, &none, key, role).is_ok())
            .count()
    };
    assert_eq!(allowed("armor-viewer.try-armor-viewer"), 10);
    assert_eq!(allowed("armor-responder.try-armor-responder"), 16);
    assert_eq!(allowed("armor-signer.try-armor-signer"), 17);
}

#[test]
fn other_keys_are_denied() {
    let bundle = armor();
    let withdrawn = HashSet::from_iter(["armor-responder".to_owned()]);
    let cases = [
        ("", Viewer, Denied::NoKey),
        ("armor-viewer", Viewer, Denied::NoKey),
        ("armor-viewer.", Viewer, Denied::NoKey),
        ("armor-viewer.try-armor-signer", Viewer, Denied::InvalidKey),
        ("nobody.try-nobody", Viewer, Denied::InvalidKey),
        ("armor-demo.try-armor-demo", Viewer, Denied::InvalidKey),
        (
            "armor-depots-0.try-armor-depots-0",
            Viewer,
            Denied::InvalidKey,
        ),
        ("armor-responder.wrong", Viewer, Denied::InvalidKey),
        (
            "armor-responder.try-armor-responder",
            Viewer,
            Denied::Withdrawn("armor-responder".to_owned()),
        ),
        (
            "armor-viewer.try-armor-viewer",
            Responder,
            Denied::Role {
                needed: Responder,
                held: Viewer,
            },
        ),
        (
            "armor-viewer.try-armor-viewer",
            Signer,
            Denied::Role {
                needed: Signer,
                held: Viewer,
            },
        ),
    ];
    for (key, needed, denied) in cases {
        assert_eq!(
            authorise(&bundle, &withdrawn, key, needed),
            Err(denied),
            "{key}"
        );
    }
}

#[test]
fn a_denial_reveals_no_secret_and_has_its_status() {
    let bundle = armor();
    let none = HashSet::default();
    let denied = authorise(&bundle, &none, "armor-signer.hidden", Viewer).unwrap_err();
    let problem = Problem::from(denied);
    assert!(!problem.to_string().contains("hidden"));
    assert_eq!(problem.code.status(), 401);
    let denied = authorise(&bundle, &none, "armor-viewer.try-armor-viewer", Signer).unwrap_err();
    assert_eq!(Problem::from(denied).code, ProblemCode::Forbidden);
}
