//! Handlers of the administration API for bundles, key withdrawals and version moves.

use apricotlug_admin::{
    BundleHead, CheckReply, DiffReply, History, Moves, Operation, OperatorId, Problem, ProblemCode,
    SignOffReply, WithdrawReply,
};
use apricotlug_config::{chunk::Manifest, diff, load_bundle};
use apricotlug_model::{Bundle, UnixTime};
use apricotlug_platform::{BundleStore, Error, Head, SignOff, Withdrawals};
use apricotlug_policy::moves::MoveState;
use serde_json::json;

use crate::{
    admin_api::{AdminApi, Answer, Call, bundle},
    error::NodeError,
    moves::MoveError,
    release, reports,
};

/// File name in the findings of a bundle that was sent in a request body.
const REQUEST_BUNDLE: &str = "body";

/// Checks the bundle in the request body and returns its version.
pub async fn check(api: &AdminApi, call: &Call<'_>) -> Answer {
    let bundle = parse_request_bundle(api, call).await?;
    Ok((
        200,
        json!(CheckReply {
            version: bundle.version
        }),
    ))
}

/// Evaluates the bundle in the request body. A refused bundle gives a problem with all findings.
async fn parse_request_bundle(api: &AdminApi, call: &Call<'_>) -> Result<Bundle, Problem> {
    let checked = api
        .loader
        .check(REQUEST_BUNDLE, call.body.clone(), UnixTime::now())
        .await;
    checked.map_err(|e| match e {
        NodeError::Bundle(findings) => Problem::from(&findings),
        e => Problem::new(ProblemCode::NotReady, e.to_string(), "ask another instance"),
    })
}

/// Compares the bundle in the request body with the one in force.
pub fn diff(in_force: &Bundle, call: &Call<'_>) -> Answer {
    let candidate = load_bundle(REQUEST_BUNDLE, &call.body).map_err(|f| Problem::from(&f))?;
    let changes = diff::diff(in_force, &candidate);
    Ok((200, json!(DiffReply::new(Some(in_force.version), &changes))))
}

/// Returns the version of the bundle in force, or the signed-off versions for `History`.
pub async fn read_bundle(api: &AdminApi, call: &Call<'_>) -> Answer {
    let store = BundleStore::new(api.client.clone());
    if call.operation == Operation::Bundle {
        let version = bundle(&api.shared)?.version;
        return Ok((200, json!({ "version": version })));
    }
    let heads = store.list_history().await.map_err(platform_problem)?;
    let versions = heads.iter().filter_map(bundle_head).collect();
    Ok((200, json!(History { versions })))
}

fn bundle_head(head: &Head) -> Option<BundleHead> {
    let manifest: Manifest = serde_json::from_slice(&head.manifest).ok()?;
    Some(BundleHead {
        version: manifest.version,
        signed_by: OperatorId(manifest.signed_by),
        signed_at: manifest.signed_at,
    })
}

/// Signs off the bundle in the request body. Answers 409 with the differences where another
/// operator's sign-off came first.
pub async fn sign_off(api: &AdminApi, call: &Call<'_>) -> Answer {
    let candidate = parse_request_bundle(api, call).await?;
    let operator = call.operator.clone().unwrap_or(OperatorId(String::new()));
    let store = BundleStore::new(api.client.clone());
    let signed = release::sign_off(&store, &call.body, candidate.version, &operator.0).await;
    match signed.map_err(platform_problem)? {
        SignOff::Accepted => {
            let head = BundleHead {
                version: candidate.version,
                signed_by: operator,
                signed_at: api.shared.clock.unix(),
            };
            Ok((200, json!(SignOffReply::Accepted { head })))
        }
        SignOff::Conflict { winner } => {
            let winner = winner.as_deref().and_then(bundle_head).ok_or_else(|| {
                let help = "read the bundle in force before a repeat";
                Problem::new(ProblemCode::Conflict, "another bundle was first", help)
            })?;
            let in_force = bundle(&api.shared)?;
            let changes = diff::diff(&in_force, &candidate);
            let changes = changes.iter().map(ToString::to_string).collect();
            Ok((409, json!(SignOffReply::Conflict { winner, changes })))
        }
        SignOff::Unknown => {
            let help = "read the bundle in force before a repeat";
            Err(Problem::new(
                ProblemCode::OutcomeUnknown,
                "the platform's answer was lost",
                help,
            ))
        }
    }
}

/// Withdraws a key: on this instance at once, on the peers by gossip, and in the platform where it
/// answers.
pub async fn withdraw(api: &AdminApi, call: &Call<'_>) -> Answer {
    let key = call.params.first().copied().unwrap_or_default();
    let in_force = bundle(&api.shared)?;
    if !in_force.credentials.contains_key(key) && !in_force.operators.contains_key(key) {
        return Err(Problem::unknown("key", key));
    }
    api.shared.withdraw_new(&[key.to_owned()].into());
    api.peers.withdraw(key).await.map_err(|e| {
        let help = "it is withdrawn on this instance; repeat it at another";
        Problem::new(ProblemCode::OutcomeUnknown, e.to_string(), help)
    })?;
    let operator = call
        .operator
        .as_ref()
        .map_or("-", |operator| operator.0.as_str());
    let stored = Withdrawals::new(api.client.clone())
        .add(key, operator.as_bytes())
        .await;
    let own = &api.shared.identity.name;
    let mut unconfirmed = api
        .peers
        .view()
        .unconfirmed
        .get(key)
        .cloned()
        .unwrap_or_default();
    unconfirmed.retain(|name| name != own);
    let reply = WithdrawReply {
        key: key.to_owned(),
        is_stored: stored.unwrap_or(false),
        unconfirmed,
    };
    Ok((200, json!(reply)))
}

/// Pauses, resumes or takes back the version move of a service.
pub async fn change_move(api: &AdminApi, call: &Call<'_>, state: MoveState) -> Answer {
    let service = call.params.first().copied().unwrap_or_default();
    let views = api.moves.views();
    let view = views.iter().find(|view| view.id.service == service);
    let view = view.ok_or_else(|| Problem::unknown("move of a service", service))?;
    let is_changed = api
        .moves
        .set_state(&view.id, state)
        .await
        .map_err(|e| match e {
            MoveError::Platform(e) => platform_problem(e),
            MoveError::Malformed(what) => Problem::new(
                ProblemCode::Refused,
                what,
                "take the version out in a new bundle",
            ),
            MoveError::Conflict => {
                let help = "list the moves and try again";
                Problem::new(ProblemCode::Conflict, e.to_string(), help)
            }
        })?;
    if !is_changed {
        let help = "list the moves: this one is over, not begun, or in that state already";
        return Err(Problem::new(
            ProblemCode::Conflict,
            "nothing was changed",
            help,
        ));
    }
    Ok((
        200,
        json!(Moves {
            moves: reports::moves(api)
        }),
    ))
}

fn platform_problem(error: Error) -> Problem {
    let help = "nothing was changed; try again, or through another instance";
    match error {
        Error::Malformed(what) => Problem::new(
            ProblemCode::Refused,
            what,
            "raise the version and try again",
        ),
        error => Problem::new(ProblemCode::PlatformUnavailable, error.to_string(), help),
    }
}
