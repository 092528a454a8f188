//! Tests paths, the OpenAPI description, and that responses match its schemas.

mod support;

use std::collections::BTreeSet;

use apricotlug_admin::{
    BundleHead, CheckReply, DiffReply, Drain, DrainScope, Drains, Explanation, History, Keys,
    Method, Moves, OPENAPI, Operation, OperatorId, Problem, ProblemCode, RouteError, SignOffReply,
    WithdrawReply, resolve,
};
use apricotlug_config::parse_bundle;
use apricotlug_model::{BundleVersion, HashSet};
use serde::Serialize;
use serde_json::Value;
use support::{NOW, armor, fleet};

fn description() -> Value {
    serde_json::from_str(OPENAPI).unwrap()
}

#[test]
fn each_operation_resolves_from_its_own_target() {
    for operation in Operation::ALL {
        let count = operation.path().matches('{').count();
        let params = &["endpoint", "stock-1"][..count];
        let target = operation.target(params);
        let found = resolve(operation.method().as_str(), &target);
        assert_eq!(found, Ok((operation, params.to_vec())), "{operation}");
    }
}

#[test]
fn other_paths_and_methods_are_refused() {
    for path in [
        "/",
        "/v1",
        "/v1/bundle/",
        "/v2/bundle",
        "/v1/keys//withdraw",
        "/v1/moves/a/b",
    ] {
        assert_eq!(resolve("GET", path), Err(RouteError::NotFound), "{path}");
    }
    let expected = RouteError::MethodNotAllowed(vec![Method::Put, Method::Delete]);
    assert_eq!(resolve("POST", "/v1/drains/region/west"), Err(expected));
}

#[test]
fn the_description_lists_just_the_operations() {
    let description = description();
    let mut described = BTreeSet::new();
    for (path, methods) in description["paths"].as_object().unwrap() {
        for (method, entry) in methods.as_object().unwrap() {
            let params = entry["parameters"].as_array().into_iter().flatten();
            let in_path = params.filter(|param| param["in"] == "path").count();
            let name = entry["operationId"].as_str().unwrap();
            let role = entry["x-role"].as_str().map(str::to_owned);
            described.insert((
                name.to_owned(),
                method.to_uppercase(),
                path.clone(),
                role,
                in_path,
            ));
        }
    }
    let operations = Operation::ALL.into_iter().map(|operation| {
        let role = operation
            .role()
            .map(|role| format!("{role:?}").to_lowercase());
        let method = operation.method().as_str().to_owned();
        let path = operation.path().to_owned();
        let in_path = path.matches('{').count();
        (operation.name().to_owned(), method, path, role, in_path)
    });
    assert_eq!(described, operations.collect());
}

#[test]
fn every_reference_in_the_description_exists() {
    let description = description();
    let schemas = description["components"]["schemas"].as_object().unwrap();
    let references = OPENAPI.split("#/components/schemas/").skip(1);
    let names: BTreeSet<&str> = references
        .filter_map(|rest| rest.split('"').next())
        .collect();
    for name in &names {
        assert!(schemas.contains_key(*name), "{name}");
    }
    let defined: BTreeSet<&str> = schemas.keys().map(String::as_str).collect();
    assert_eq!(names, defined, "a schema without a reference to it");
}

/// Asserts that a value has all fields that its schema requires and only those that it allows.
fn check_schema(name: &str, value: &impl Serialize) {
    let description = description();
    let schema = &description["components"]["schemas"][name];
    let value = serde_json::to_value(value).unwrap();
    check_value(&description, schema, &value, name);
}

fn check_value(description: &Value, schema: &Value, value: &Value, place: &str) {
    if let Some(reference) = schema["$ref"].as_str() {
        let name = reference.rsplit('/').next().unwrap();
        let schema = &description["components"]["schemas"][name];
        return check_value(description, schema, value, place);
    }
    if let Some(words) = schema["enum"].as_array() {
        assert!(words.contains(value), "{place} is {value}");
    }
    match value {
        Value::Object(fields) => {
            let properties = schema["properties"].as_object().unwrap();
            for required in schema["required"].as_array().unwrap() {
                assert!(
                    fields.contains_key(required.as_str().unwrap()),
                    "{place}: {required}"
                );
            }
            for (name, field) in fields {
                let schema = properties
                    .get(name)
                    .unwrap_or_else(|| panic!("{place}.{name}"));
                check_value(description, schema, field, &format!("{place}.{name}"));
            }
        }
        Value::Array(items) => {
            for item in items {
                check_value(description, &schema["items"], item, place);
            }
        }
        scalar => {
            let kind = match scalar {
                Value::String(_) => "string",
                Value::Number(_) => "integer",
                Value::Bool(_) => "boolean",
                _ => "null",
            };
            let kinds = &schema["type"];
            let is_kind = kinds == kind
                || kinds
                    .as_array()
                    .is_some_and(|all| all.contains(&kind.into()));
            assert!(is_kind, "{place} is {scalar}");
        }
    }
}

#[test]
fn answers_have_the_described_form() {
    let head = BundleHead {
        version: BundleVersion(4),
        signed_by: OperatorId("ann".to_owned()),
        signed_at: NOW,
    };
    let drain = Drain {
        scope: DrainScope::DataCentre,
        id: "brest".to_owned(),
    };
    let bundle = armor();
    let keys = Keys::list(&bundle, &HashSet::default(), |_| vec!["brest-2".to_owned()]);
    let reply = |key: &str| WithdrawReply {
        key: key.to_owned(),
        is_stored: false,
        unconfirmed: Vec::new(),
    };
    let explanation = Explanation {
        client: "10.29.0.1".to_owned(),
        home: None,
        instances: vec!["127.0.0.1:7000".to_owned()],
        steps: vec!["home region is full".to_owned()],
    };
    let findings = parse_bundle("b.toml", "version = 0", NOW).unwrap_err();
    let winner = SignOffReply::Conflict {
        winner: head.clone(),
        changes: vec!["+ site x".to_owned()],
    };
    check_schema("FleetStatus", &fleet());
    check_schema(
        "Moves",
        &Moves {
            moves: fleet().moves,
        },
    );
    check_schema("MoveStatus", &fleet().moves[0]);
    check_schema(
        "History",
        &History {
            versions: vec![head.clone()],
        },
    );
    check_schema("Accepted", &SignOffReply::Accepted { head });
    check_schema("Conflict", &winner);
    check_schema(
        "CheckReply",
        &CheckReply {
            version: BundleVersion(4),
        },
    );
    check_schema("DiffReply", &DiffReply::new(None, &[]));
    check_schema("Keys", &keys);
    check_schema("WithdrawReply", &reply("depots-1"));
    check_schema(
        "Drains",
        &Drains {
            drains: vec![drain],
        },
    );
    check_schema("Explanation", &explanation);
    check_schema("Problem", &Problem::from(&findings));
    check_schema(
        "Problem",
        &Problem::new(ProblemCode::TooLarge, "too large", "split it"),
    );
}

#[test]
fn the_list_of_keys_shows_withdrawals_and_no_hash() {
    let bundle = armor();
    let withdrawn = HashSet::from_iter(["armor-demo".to_owned()]);
    let keys = Keys::list(&bundle, &withdrawn, |_| Vec::new());
    let withdrawn_ids: Vec<_> = keys
        .keys
        .iter()
        .filter(|key| key.is_withdrawn)
        .map(|key| &key.id)
        .collect();
    assert_eq!(withdrawn_ids, ["armor-demo", "armor-depots-0"]);
    assert_eq!(keys.keys.len(), 10);
    let json = serde_json::to_string(&keys).unwrap();
    assert!(!json.contains("digest") && !json.contains("salt"));
}

#[test]
fn scopes_of_drains_are_words_of_the_path() {
    let bundle = armor();
    for (word, id) in [
        ("endpoint", "stock-1"),
        ("data-centre", "brest"),
        ("region", "morbihan"),
    ] {
        let scope: DrainScope = word.parse().unwrap();
        assert_eq!(scope.to_string(), word);
        assert!(scope.is_known(&bundle, id));
        assert!(!scope.is_known(&bundle, "nowhere"));
    }
    let problem = "country".parse::<DrainScope>().unwrap_err();
    assert_eq!(problem.code.status(), 404);
}

#[test]
fn the_status_survives_json() {
    let json = serde_json::to_string(&fleet()).unwrap();
    assert_eq!(
        serde_json::from_str::<apricotlug_admin::FleetStatus>(&json).unwrap(),
        fleet()
    );
}
