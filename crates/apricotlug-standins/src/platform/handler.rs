//! Request handlers of the platform stand-in.

use std::{collections::BTreeMap, io, time::Duration};

use apricotlug_platform::wire::{
    ErrorResponse, LeaseRequest, RangeRequest, Streamed, TxnRequest, WatchRequest,
};
use async_std::{io::ReadExt, task};
use futures::TryStreamExt;
use http_types::{Body, Request, Response, StatusCode, headers};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    Faults, Outage,
    server::Shared,
    store::{Refusal, Store},
};

/// Numbers of calls received, refused ones included; seconds are those of the stand-in's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CallCounts {
    pub(super) total: u64,
    pub(super) by_path: BTreeMap<String, u64>,
    pub(super) by_second: BTreeMap<u64, u64>,
}

impl CallCounts {
    /// Counts a call. Returns the number of calls so far in its second.
    fn record(&mut self, path: &str, second: u64) -> u64 {
        self.total += 1;
        *self.by_path.entry(path.to_owned()).or_default() += 1;
        let in_second = self.by_second.entry(second).or_default();
        *in_second += 1;
        *in_second
    }
}

/// Handles one request; an error closes the connection without a response.
pub(super) async fn respond(shared: &Shared, req: Request) -> http_types::Result<Response> {
    let path = req.url().path().to_owned();
    if let Some(refusal) = find_refusal(shared, &path) {
        return Ok(refusal);
    }
    let faults = shared.faults();
    task::sleep(Duration::from_millis(faults.delay_ms.into())).await;
    if faults.outage == Outage::Hang {
        futures_lite::future::pending::<()>().await;
    }
    let body = read_body(req).await?;
    let mut res = execute(shared, &path, &body);
    inject_response_fault(shared, &path, &mut res)?;
    Ok(res)
}

fn find_refusal(shared: &Shared, path: &str) -> Option<Response> {
    let second = shared.now().0 / 1_000_000;
    let in_second = shared.with_call_counts(|counts| counts.record(path, second));
    let mut faults = shared.faults_mut();
    if faults
        .calls_per_s
        .is_some_and(|limit| in_second > limit.into())
    {
        return Some(error_response(Refusal(
            429,
            "etcdserver: too many requests",
        )));
    }
    Faults::consume(&mut faults.fail_calls)
        .then(|| error_response(Refusal(503, "etcdserver: no leader")))
}

/// Reads the body of a request and checks its length, as the HTTP library accepts a truncated body
/// as complete.
async fn read_body(mut req: Request) -> http_types::Result<Vec<u8>> {
    let declared = req.len();
    let mut body = Vec::new();
    req.take_body().read_to_end(&mut body).await?;
    if declared.is_some_and(|declared| declared != body.len()) {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(body)
}

fn execute(shared: &Shared, path: &str, body: &[u8]) -> Response {
    let now = shared.now();
    let mut store = shared.store();
    store.expire(now);
    let store = &mut *store;
    match path {
        "/v3/kv/range" => handle(body, |req: RangeRequest| Ok(store.range(&req))),
        "/v3/kv/put" => handle(body, |req| store.put(req)),
        "/v3/kv/deleterange" => handle(body, |req| Ok(store.delete_range(&req))),
        "/v3/kv/txn" => handle(body, |req: TxnRequest| store.txn(req)),
        "/v3/lease/grant" => handle(body, |req| store.grant(&req, now)),
        "/v3/lease/keepalive" => handle(body, |req: LeaseRequest| {
            let result = store.keep_alive(&req, now);
            Ok(Streamed { result })
        }),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => handle(body, |req| store.revoke(&req)),
        "/v3/watch" => watch(store, body, shared.faults().is_watch_stale),
        _ => error_response(Refusal(404, "Not Found")),
    }
}

fn handle<Req: DeserializeOwned, Res: Serialize>(
    body: &[u8],
    call: impl FnOnce(Req) -> Result<Res, Refusal>,
) -> Response {
    let Ok(req) = serde_json::from_slice(body) else {
        return error_response(Refusal(400, "malformed request"));
    };
    match call(req) {
        Ok(response) => json_response(StatusCode::Ok, &response),
        Err(refusal) => error_response(refusal),
    }
}

fn watch(store: &mut Store, body: &[u8], is_stale: bool) -> Response {
    let Ok(mut req) = serde_json::from_slice::<WatchRequest>(body) else {
        return error_response(Refusal(400, "malformed request"));
    };
    if is_stale {
        req.create_request.start_revision.0 = 1;
    }
    let chunks = Box::pin(store.watch(&req.create_request));
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(chunks.into_async_read(), None));
    res.insert_header(headers::CONTENT_TYPE, "application/json");
    res
}

/// Drops or truncates the response to a call that has run, if such a fault is pending.
fn inject_response_fault(
    shared: &Shared,
    path: &str,
    res: &mut Response,
) -> http_types::Result<()> {
    let mut faults = shared.faults_mut();
    let is_txn_or_lease = path == "/v3/kv/txn" || path.starts_with("/v3/lease/");
    if is_txn_or_lease && Faults::consume(&mut faults.lose_answers) {
        return Err(io::Error::from(io::ErrorKind::ConnectionReset).into());
    }
    if path == "/v3/kv/range" && Faults::consume(&mut faults.cut_answers) {
        let declared = res.len().unwrap_or_default();
        let body = res.take_body().into_reader();
        let truncated = body.take(declared as u64 / 2);
        let truncated = futures_lite::io::BufReader::new(truncated);
        res.set_body(Body::from_reader(truncated, Some(declared)));
        // Closes the connection after the response, as if the server had crashed.
        res.insert_header(headers::CONNECTION, "close");
    }
    Ok(())
}

fn error_response(Refusal(status, text): Refusal) -> Response {
    let response = ErrorResponse {
        error: text.to_owned(),
        code: 0,
    };
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    json_response(status, &response)
}

fn json_response(status: StatusCode, response: &impl Serialize) -> Response {
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(response).unwrap_or_default());
    res.insert_header(headers::CONTENT_TYPE, "application/json");
    res
}
