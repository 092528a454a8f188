//! Operators' pages: metrics, and the administration API over HTTP.

use std::sync::Arc;

use apricotlug_admin::{
    Method, Moves, OPENAPI, Operation, OperatorId, Problem, ProblemCode, authorise, resolve,
};
use apricotlug_edge::Shared;
use apricotlug_model::Bundle;
use apricotlug_peer::PeerHandle;
use apricotlug_platform::Client;
use apricotlug_policy::moves::{MoveState, TakeBackReason};
use serde_json::{Value, json};
use tide::{Request, Response, StatusCode};

use crate::{actions, loader::Loader, moves::MoveKeeper, reports};

/// State of the operators' pages.
#[derive(Clone, Debug)]
pub struct AdminPages {
    /// State of the instance.
    pub shared: Arc<Shared>,
    /// Peer node.
    pub peers: PeerHandle,
    /// Client of the platform.
    pub client: Client,
    /// Version moves.
    pub moves: MoveKeeper,
    /// Thread that evaluates bundles.
    pub loader: Loader,
}

/// Call of an operator that was authorised.
#[derive(Debug)]
pub struct Call<'a> {
    /// Operation.
    pub operation: Operation,
    /// Parameters of the path, in their order.
    pub params: Vec<&'a str>,
    /// Operator; `None` for operations that anybody may call.
    pub operator: Option<OperatorId>,
    /// Body.
    pub body: String,
}

/// Status and JSON body of an answer.
pub type Answer = Result<(u16, Value), Problem>;

/// Creates the application that serves operators.
#[must_use]
pub fn app(pages: AdminPages) -> tide::Server<AdminPages> {
    let mut app = tide::with_state(pages);
    app.at("/metrics").get(metrics);
    app.at("/*").all(api);
    app
}

async fn metrics(req: Request<AdminPages>) -> tide::Result {
    let page = req.state().shared.metrics.page();
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain")
        .body(page)
        .build())
}

async fn api(mut req: Request<AdminPages>) -> tide::Result {
    let body = req.body_string().await;
    let answer = match body {
        Ok(body) => answer(&req, body).await,
        Err(_) => Err(Problem::new(
            ProblemCode::Refused,
            "the body is not text",
            "send UTF-8",
        )),
    };
    Ok(match answer {
        Ok((status, value)) => response(status, &value),
        Err(problem) => response(problem.code.status(), &json!(problem)),
    })
}

fn response(status: u16, value: &Value) -> Response {
    Response::builder(status)
        .content_type("application/json")
        .body(format!("{value}\n"))
        .build()
}

async fn answer(req: &Request<AdminPages>, body: String) -> Answer {
    let pages = req.state();
    let url = req.url();
    let (operation, params) = resolve(req.method().as_ref(), url.path())?;
    let operator = match operation.role() {
        None => None,
        Some(needed) => {
            let bundle = bundle(&pages.shared)?;
            let key = bearer(req).unwrap_or_default();
            Some(authorise(
                &bundle,
                &pages.shared.view.load().withdrawn,
                &key,
                needed,
            )?)
        }
    };
    log(pages, operation, operator.as_ref());
    let call = Call {
        operation,
        params,
        operator,
        body,
    };
    match operation {
        Operation::OpenApi => openapi(),
        Operation::Status => Ok((200, reports::status(pages))),
        Operation::Fleet => Ok((200, json!(reports::fleet(pages)))),
        Operation::Keys => Ok((
            200,
            json!(reports::keys(pages, bundle(&pages.shared)?.as_ref())),
        )),
        Operation::Explain => {
            let client = url.query_pairs().find(|(name, _)| name == "client");
            let client = client
                .map(|(_, text)| text.into_owned())
                .unwrap_or_default();
            reports::explain(bundle(&pages.shared)?.as_ref(), &client)
        }
        Operation::Bundle | Operation::History => actions::read_bundle(pages, &call).await,
        Operation::Check => actions::check(pages, &call).await,
        Operation::Diff => actions::diff(bundle(&pages.shared)?.as_ref(), &call),
        Operation::SignOff => actions::sign_off(pages, &call).await,
        Operation::Withdraw => actions::withdraw(pages, &call).await,
        Operation::Moves => Ok((
            200,
            json!(Moves {
                moves: reports::moves(pages)
            }),
        )),
        Operation::PauseMove => actions::change_move(pages, &call, MoveState::Paused).await,
        Operation::ResumeMove => actions::change_move(pages, &call, MoveState::Running).await,
        Operation::TakeBackMove => {
            let state = MoveState::TakenBack(TakeBackReason::Operator);
            actions::change_move(pages, &call, state).await
        }
        Operation::Drains | Operation::StartDrain | Operation::StopDrain => Err(Problem::new(
            ProblemCode::NotFound,
            "this operation is not offered yet",
            "set `draining` on the endpoints in a new bundle",
        )),
    }
}

fn openapi() -> Answer {
    let page = serde_json::from_str(OPENAPI);
    Ok((200, page.unwrap_or(Value::Null)))
}

fn log(pages: &AdminPages, operation: Operation, operator: Option<&OperatorId>) {
    if operation.method() == Method::Get {
        return;
    }
    let operator = operator.map_or("-", |operator| operator.0.as_str());
    let instance = pages.shared.identity.name.as_str();
    tracing::info!(kind = "operation", operation = %operation, operator, instance);
}

/// Returns the bundle in force.
///
/// # Errors
/// Returns a problem where there is none yet.
pub fn bundle(shared: &Shared) -> Result<Arc<Bundle>, Problem> {
    shared.view.load().bundle.clone().ok_or_else(|| {
        let help = "ask another instance, or sign off a first bundle at the platform";
        Problem::new(
            ProblemCode::NotReady,
            "this instance holds no bundle yet",
            help,
        )
    })
}

fn bearer(req: &Request<AdminPages>) -> Option<String> {
    let value = req.header("authorization")?.last().as_str();
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}
