//! HTTP application for operators: metrics and the administration API.

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

use crate::{actions, loader::Loader, moves::MoveAdvancer, reports};

/// State shared by the handlers of the administration API.
#[derive(Clone, Debug)]
pub struct AdminApi {
    /// State shared by all tasks of the instance.
    pub shared: Arc<Shared>,
    /// Handle of the peer node.
    pub peers: PeerHandle,
    /// Client for calls to the platform.
    pub client: Client,
    /// Reads and changes version moves.
    pub moves: MoveAdvancer,
    /// Handle of the thread that evaluates bundles.
    pub loader: Loader,
}

/// Authorised call to the administration API.
#[derive(Debug)]
pub struct Call<'a> {
    /// Operation that the method and path resolved to.
    pub operation: Operation,
    /// Path parameters, in path order.
    pub params: Vec<&'a str>,
    /// Operator whose key was sent; `None` for operations that need no role.
    pub operator: Option<OperatorId>,
    /// Request body as text; empty where none was sent.
    pub body: String,
}

/// HTTP status and JSON body of a response, or the problem to respond with.
pub type Answer = Result<(u16, Value), Problem>;

/// Creates the application that serves metrics and the administration API.
#[must_use]
pub fn app(api: AdminApi) -> tide::Server<AdminApi> {
    let mut app = tide::with_state(api);
    app.at("/metrics").get(metrics);
    app.at("/*").all(handle);
    app
}

async fn metrics(req: Request<AdminApi>) -> tide::Result {
    let page = req.state().shared.metrics.page();
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain")
        .body(page)
        .build())
}

async fn handle(mut req: Request<AdminApi>) -> tide::Result {
    let body = req.body_string().await;
    let answer = match body {
        Ok(body) => dispatch(&req, body).await,
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

async fn dispatch(req: &Request<AdminApi>, body: String) -> Answer {
    let api = req.state();
    let url = req.url();
    let (operation, params) = resolve(req.method().as_ref(), url.path())?;
    let operator = match operation.role() {
        None => None,
        Some(needed) => {
            let bundle = bundle(&api.shared)?;
            let key = bearer_key(req).unwrap_or_default();
            Some(authorise(
                &bundle,
                &api.shared.view.load().withdrawn,
                &key,
                needed,
            )?)
        }
    };
    log_operation(api, operation, operator.as_ref());
    let call = Call {
        operation,
        params,
        operator,
        body,
    };
    match operation {
        Operation::OpenApi => openapi(),
        Operation::Status => Ok((200, reports::status(api))),
        Operation::Fleet => Ok((200, json!(reports::fleet(api)))),
        Operation::Keys => Ok((
            200,
            json!(reports::keys(api, bundle(&api.shared)?.as_ref())),
        )),
        Operation::Explain => {
            let client = url.query_pairs().find(|(name, _)| name == "client");
            let client = client
                .map(|(_, text)| text.into_owned())
                .unwrap_or_default();
            reports::explain(bundle(&api.shared)?.as_ref(), &client)
        }
        Operation::Bundle | Operation::History => actions::read_bundle(api, &call).await,
        Operation::Check => actions::check(api, &call).await,
        Operation::Diff => actions::diff(bundle(&api.shared)?.as_ref(), &call),
        Operation::SignOff => actions::sign_off(api, &call).await,
        Operation::Withdraw => actions::withdraw(api, &call).await,
        Operation::Moves => Ok((
            200,
            json!(Moves {
                moves: reports::moves(api)
            }),
        )),
        Operation::PauseMove => actions::change_move(api, &call, MoveState::Paused).await,
        Operation::ResumeMove => actions::change_move(api, &call, MoveState::Running).await,
        Operation::TakeBackMove => {
            let state = MoveState::TakenBack(TakeBackReason::Operator);
            actions::change_move(api, &call, state).await
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

fn log_operation(api: &AdminApi, operation: Operation, operator: Option<&OperatorId>) {
    if operation.method() == Method::Get {
        return;
    }
    let operator = operator.map_or("-", |operator| operator.0.as_str());
    let instance = api.shared.identity.name.as_str();
    tracing::info!(kind = "operation", operation = %operation, operator, instance);
}

/// Returns the bundle in force on this instance.
///
/// # Errors
/// Returns `NotReady` where the instance has no bundle yet.
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

fn bearer_key(req: &Request<AdminApi>) -> Option<String> {
    let value = req.header("authorization")?.last().as_str();
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}
