//! What operators do through the administration API.

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
    admin_api::{AdminPages, Answer, Call, bundle},
    error::NodeError,
    moves::MoveError,
    release, reports,
};

/// Name under which findings of a sent bundle are reported.
const SENT: &str = "body";

/// Checks a sent bundle.
pub async fn check(pages: &AdminPages, call: &Call<'_>) -> Answer {
    let bundle = sent(pages, call).await?;
    Ok((
        200,
        json!(CheckReply {
            version: bundle.version
        }),
    ))
}

/// Evaluates a sent bundle and returns all findings together.
async fn sent(pages: &AdminPages, call: &Call<'_>) -> Result<Bundle, Problem> {
    let checked = pages
        .loader
        .check(SENT, call.body.clone(), UnixTime::now())
        .await;
    checked.map_err(|e| match e {
        NodeError::Bundle(findings) => Problem::from(&findings),
        e => Problem::new(ProblemCode::NotReady, e.to_string(), "ask another instance"),
    })
}

/// Compares a sent bundle with the one in force.
pub fn diff(in_force: &Bundle, call: &Call<'_>) -> Answer {
    let sent = load_bundle(SENT, &call.body).map_err(|f| Problem::from(&f))?;
    let changes = diff::diff(in_force, &sent);
    Ok((200, json!(DiffReply::new(Some(in_force.version), &changes))))
}

/// Reads the bundle in force, or the versions signed off so far.
pub async fn read_bundle(pages: &AdminPages, call: &Call<'_>) -> Answer {
    let store = BundleStore::new(pages.client.clone());
    if call.operation == Operation::Bundle {
        let version = bundle(&pages.shared)?.version;
        return Ok((200, json!({ "version": version })));
    }
    let heads = store.list_history().await.map_err(unavailable)?;
    let versions = heads.iter().filter_map(describe).collect();
    Ok((200, json!(History { versions })))
}

fn describe(head: &Head) -> Option<BundleHead> {
    let manifest: Manifest = serde_json::from_slice(&head.manifest).ok()?;
    Some(BundleHead {
        version: manifest.version,
        signed_by: OperatorId(manifest.signed_by),
        signed_at: manifest.signed_at,
    })
}

/// Puts a sent bundle in force, unless another operator was first.
pub async fn sign_off(pages: &AdminPages, call: &Call<'_>) -> Answer {
    let sent = sent(pages, call).await?;
    let operator = call.operator.clone().unwrap_or(OperatorId(String::new()));
    let store = BundleStore::new(pages.client.clone());
    let signed = release::sign_off(&store, &call.body, sent.version, &operator.0).await;
    match signed.map_err(unavailable)? {
        SignOff::Accepted => {
            let head = BundleHead {
                version: sent.version,
                signed_by: operator,
                signed_at: pages.shared.clock.unix(),
            };
            Ok((200, json!(SignOffReply::Accepted { head })))
        }
        SignOff::Conflict { winner } => {
            let winner = winner.as_deref().and_then(describe).ok_or_else(|| {
                let help = "read the bundle in force before a repeat";
                Problem::new(ProblemCode::Conflict, "another bundle was first", help)
            })?;
            let in_force = bundle(&pages.shared)?;
            let changes = diff::diff(&in_force, &sent);
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

/// Withdraws a key: here at once, on the peers by gossip, in the platform if it answers.
pub async fn withdraw(pages: &AdminPages, call: &Call<'_>) -> Answer {
    let key = call.params.first().copied().unwrap_or_default();
    let known = bundle(&pages.shared)?;
    if !known.credentials.contains_key(key) && !known.operators.contains_key(key) {
        return Err(Problem::unknown("key", key));
    }
    pages.shared.withdraw_new(&[key.to_owned()].into());
    pages.peers.withdraw(key).await.map_err(|e| {
        let help = "it is withdrawn on this instance; repeat it at another";
        Problem::new(ProblemCode::OutcomeUnknown, e.to_string(), help)
    })?;
    let operator = call
        .operator
        .as_ref()
        .map_or("-", |operator| operator.0.as_str());
    let stored = Withdrawals::new(pages.client.clone())
        .add(key, operator.as_bytes())
        .await;
    let own = &pages.shared.identity.name;
    let mut unconfirmed = pages
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

/// Pauses, resumes or takes back the move of a service.
pub async fn change_move(pages: &AdminPages, call: &Call<'_>, state: MoveState) -> Answer {
    let service = call.params.first().copied().unwrap_or_default();
    let views = pages.moves.views();
    let view = views.iter().find(|view| view.id.service == service);
    let view = view.ok_or_else(|| Problem::unknown("move of a service", service))?;
    let is_changed = pages
        .moves
        .change(&view.id, state)
        .await
        .map_err(|e| match e {
            MoveError::Platform(e) => unavailable(e),
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
            moves: reports::moves(pages)
        }),
    ))
}

fn unavailable(error: Error) -> Problem {
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
