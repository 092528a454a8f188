//! Answers to single requests of the platform stand-in.

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

/// Calls received, refused ones included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Tally {
    pub(super) total: u64,
    pub(super) by_path: BTreeMap<String, u64>,
    pub(super) by_second: BTreeMap<u64, u64>,
}

impl Tally {
    /// Counts a call and returns the number of calls in its second.
    fn count(&mut self, path: &str, second: u64) -> u64 {
        self.total += 1;
        *self.by_path.entry(path.to_owned()).or_default() += 1;
        let in_second = self.by_second.entry(second).or_default();
        *in_second += 1;
        *in_second
    }
}

/// Answers one request; an error closes the connection without an answer.
pub(super) async fn answer(shared: &Shared, req: Request) -> http_types::Result<Response> {
    let path = req.url().path().to_owned();
    if let Some(refused) = admit(shared, &path) {
        return Ok(refused);
    }
    let faults = shared.faults();
    task::sleep(Duration::from_millis(faults.delay_ms.into())).await;
    if faults.outage == Outage::Hang {
        futures_lite::future::pending::<()>().await;
    }
    let body = read_whole(req).await?;
    let mut res = run(shared, &path, &body);
    spoil(shared, &path, &mut res)?;
    Ok(res)
}

fn admit(shared: &Shared, path: &str) -> Option<Response> {
    let second = shared.now().0 / 1_000_000;
    let in_second = shared.count(|tally| tally.count(path, second));
    let mut faults = shared.faults_mut();
    if faults
        .calls_per_s
        .is_some_and(|limit| in_second > limit.into())
    {
        return Some(refuse(Refusal(429, "etcdserver: too many requests")));
    }
    Faults::take(&mut faults.fail_calls).then(|| refuse(Refusal(503, "etcdserver: no leader")))
}

/// Reads a request's body; the HTTP library takes one that was cut short as whole.
async fn read_whole(mut req: Request) -> http_types::Result<Vec<u8>> {
    let declared = req.len();
    let mut body = Vec::new();
    req.take_body().read_to_end(&mut body).await?;
    if declared.is_some_and(|declared| declared != body.len()) {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(body)
}

fn run(shared: &Shared, path: &str, body: &[u8]) -> Response {
    let now = shared.now();
    let mut store = shared.store();
    store.expire(now);
    let store = &mut *store;
    match path {
        "/v3/kv/range" => reply(body, |req: RangeRequest| Ok(store.range(&req))),
        "/v3/kv/put" => reply(body, |req| store.put(req)),
        "/v3/kv/deleterange" => reply(body, |req| Ok(store.delete_range(&req))),
        "/v3/kv/txn" => reply(body, |req: TxnRequest| store.txn(req)),
        "/v3/lease/grant" => reply(body, |req| store.grant(&req, now)),
        "/v3/lease/keepalive" => reply(body, |req: LeaseRequest| {
            let result = store.keep_alive(&req, now);
            Ok(Streamed { result })
        }),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => reply(body, |req| store.revoke(&req)),
        "/v3/watch" => watch(store, body, shared.faults().is_watch_stale),
        _ => refuse(Refusal(404, "Not Found")),
    }
}

fn reply<Q: DeserializeOwned, A: Serialize>(
    body: &[u8],
    run: impl FnOnce(Q) -> Result<A, Refusal>,
) -> Response {
    let Ok(req) = serde_json::from_slice(body) else {
        return refuse(Refusal(400, "malformed request"));
    };
    match run(req) {
        Ok(answer) => json(StatusCode::Ok, &answer),
        Err(refusal) => refuse(refusal),
    }
}

fn watch(store: &mut Store, body: &[u8], is_stale: bool) -> Response {
    let Ok(mut req) = serde_json::from_slice::<WatchRequest>(body) else {
        return refuse(Refusal(400, "malformed request"));
    };
    if is_stale {
        req.create_request.start_revision.0 = 1;
    }
    let parts = Box::pin(store.watch(&req.create_request));
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_reader(parts.into_async_read(), None));
    res.insert_header(headers::CONTENT_TYPE, "application/json");
    res
}

/// Loses or cuts an answer whose request has taken effect.
fn spoil(shared: &Shared, path: &str, res: &mut Response) -> http_types::Result<()> {
    let mut faults = shared.faults_mut();
    let has_effect = path == "/v3/kv/txn" || path.starts_with("/v3/lease/");
    if has_effect && Faults::take(&mut faults.lose_answers) {
        return Err(io::Error::from(io::ErrorKind::ConnectionReset).into());
    }
    if path == "/v3/kv/range" && Faults::take(&mut faults.cut_answers) {
        let declared = res.len().unwrap_or_default();
        let body = res.take_body().into_reader();
        let cut = body.take(declared as u64 / 2);
        let cut = futures_lite::io::BufReader::new(cut);
        res.set_body(Body::from_reader(cut, Some(declared)));
        // The connection closes after the answer, as that of a server which died.
        res.insert_header(headers::CONNECTION, "close");
    }
    Ok(())
}

fn refuse(Refusal(status, text): Refusal) -> Response {
    let answer = ErrorResponse {
        error: text.to_owned(),
        code: 0,
    };
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    json(status, &answer)
}

fn json(status: StatusCode, answer: &impl Serialize) -> Response {
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(answer).unwrap_or_default());
    res.insert_header(headers::CONTENT_TYPE, "application/json");
    res
}
