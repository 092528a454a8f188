//! Callers' connections: reads requests and writes their responses in order.

use std::{sync::Arc, time::Duration};

use apricotlug_http::{BodyReader, Conn, Framing, HttpError, Limits, RequestHead, request_framing};
use apricotlug_model::{CallerLimits, MonoTime};
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::future;

use crate::{
    admission::{Job, Refusal, prepare},
    attempt::Sending,
    dispatch::{Outcome, Ran, run, whole},
    response::{Next, deliver, refuse},
    shared::Shared,
};

/// Delay after `accept` failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest time without progress while a body or a response is transferred.
const PROGRESS: Duration = Duration::from_secs(15);

/// Accepts connections until the instance stops accepting.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accepted = future::or(async { Some(listener.accept().await) }, async {
            shared.door_closed().await;
            None
        });
        match accepted.await {
            Some(Ok((stream, _))) => {
                let shared = Arc::clone(&shared);
                task::spawn(async move { serve(&shared, stream).await });
            }
            Some(Err(e)) => {
                tracing::warn!(kind = "accept", error = %e);
                task::sleep(ACCEPT_PAUSE).await;
            }
            None => return,
        }
    }
}

fn limits(of: CallerLimits) -> Limits {
    Limits {
        head_bytes: of.head_bytes,
        idle: Duration::from_millis(of.idle_ms.into()),
        head: Duration::from_millis(of.head_ms.into()),
        progress: PROGRESS,
    }
}

async fn serve(shared: &Arc<Shared>, stream: TcpStream) {
    let mut conn = Conn::new(stream, Limits::default());
    loop {
        let of = shared
            .view()
            .plan
            .as_ref()
            .map_or_else(CallerLimits::default, |plan| plan.limits);
        conn.set_limits(limits(of));
        let Some(head) = next_head(shared, &mut conn).await else {
            return;
        };
        let in_flight = shared.drain.enter();
        let next = match head {
            Ok(head) => serve_one(shared, &mut conn, head, of).await,
            Err(e) => refuse_malformed(&mut conn, &e).await,
        };
        drop(in_flight);
        if next == Next::Close {
            conn.linger().await;
            return;
        }
    }
}

/// Reads the next request head. Returns `None` if the connection ends or the instance stops
/// accepting between two requests.
async fn next_head(shared: &Shared, conn: &mut Conn) -> Option<Result<RequestHead, HttpError>> {
    let closed = async {
        shared.door_closed().await;
        None
    };
    let head = future::or(async { Some(conn.read_request().await) }, closed).await;
    let head = match head {
        Some(head) => head,
        // A head that has partly arrived is still read and served.
        None if !conn.buffered().is_empty() => conn.read_request().await,
        None => return None,
    };
    match head {
        Err(e) if e.caller_status().is_none() => None,
        head => Some(head),
    }
}

async fn refuse_malformed(conn: &mut Conn, error: &HttpError) -> Next {
    let refusal = match error.caller_status() {
        Some(431) => Refusal::new(431, "Request Header Fields Too Large", "head_too_large"),
        Some(413) => Refusal::new(413, "Content Too Large", "body_too_large"),
        Some(408) => Refusal::new(408, "Request Timeout", "slow_caller"),
        _ => Refusal::new(400, "Bad Request", "malformed"),
    };
    tracing::info!(kind = "refusal", status = refusal.status, why = refusal.why, error = %error);
    // The caller may have disconnected; the connection is closed in either case.
    let _ = refuse(conn, &refusal, None, true).await;
    Next::Close
}

async fn serve_one(
    shared: &Arc<Shared>,
    conn: &mut Conn,
    mut head: RequestHead,
    of: CallerLimits,
) -> Next {
    let arrived_at = shared.clock.now();
    let (framing, body) = match read_body(conn, &head, of).await {
        Ok(read) => read,
        Err(e) if e.caller_status().is_none() => return Next::Close,
        Err(e) => return refuse_malformed(conn, &e).await,
    };
    let is_closing = !head.is_keep_alive();
    let job = prepare(shared, &head, arrived_at);
    head.headers.remove_hop_by_hop();
    head.headers.remove("expect");
    let (ran, id, route, account) = match &job {
        Ok(job) => {
            let sending = Sending {
                head: &head,
                body: &body,
                framing: whole(framing, &body),
                account: job.account().map(|account| account.id.as_str()),
                id: job.asked.id.as_deref(),
            };
            let Some(ran) = run_watched(shared, conn, job, sending).await else {
                log_left(shared, job, arrived_at);
                return Next::Close;
            };
            let account = job.account().map(|account| account.id.as_str());
            (ran, job.asked.id.clone(), job.route().id.as_str(), account)
        }
        Err(refusal) => {
            let id = apricotlug_adapter::decode_request(&head).id;
            let ran = Ran {
                outcome: Outcome::Refused(refusal.clone()),
                backend: String::new(),
                attempts: 0,
            };
            (ran, id, "-", None)
        }
    };
    let latency = shared.clock.now().since(arrived_at);
    let (status, why) = match &ran.outcome {
        Outcome::Answered(answer) => (answer.head.status, "answered"),
        Outcome::Refused(refusal) => (refusal.status, refusal.why),
    };
    if let (Ok(job), Outcome::Refused(refusal)) = (&job, &ran.outcome) {
        give_back(shared, job, refusal);
    }
    shared.metrics.on_request(route, why, latency);
    tracing::info!(
        kind = "request",
        request = id,
        route,
        account,
        backend = ran.backend,
        status,
        result = why,
        attempts = ran.attempts,
        ms = latency.as_millis() as u64,
        plan = job.as_ref().ok().map(|job| job.plan.version),
        news_ms = shared.news.age().map(|age| age.as_millis() as u64)
    );
    let is_closing = is_closing || shared.drain.is_leaving();
    let delivered = match ran.outcome {
        Outcome::Answered(answer) => deliver(conn, &head, *answer, is_closing).await,
        Outcome::Refused(refusal) => refuse(conn, &refusal, id.as_deref(), is_closing).await,
    };
    delivered.unwrap_or_else(|e| {
        tracing::info!(kind = "undelivered", request = id, error = %e);
        Next::Close
    })
}

/// Returns a request that ran nowhere to the client account's rate.
fn give_back(shared: &Shared, job: &Job, refusal: &Refusal) {
    if let (Some(account), 503) = (job.account(), refusal.status) {
        shared.gate().quotas.give_back(&account.id);
    }
}

fn log_left(shared: &Shared, job: &Job, arrived_at: MonoTime) {
    let latency = shared.clock.now().since(arrived_at);
    shared
        .metrics
        .on_request(&job.route().id, "caller_left", latency);
    tracing::info!(
        kind = "request",
        request = job.asked.id,
        route = job.route().id,
        result = "caller_left",
        ms = latency.as_millis() as u64
    );
}

/// Runs a request, and cancels it if its caller disconnects. Returns `None` if it was cancelled. A
/// request that must not run twice is never cancelled.
async fn run_watched(
    shared: &Arc<Shared>,
    conn: &Conn,
    job: &Job,
    sending: Sending<'_>,
) -> Option<Ran> {
    let work = run(shared, job, sending);
    if !job.route().exchange.may_repeat() {
        return Some(work.await);
    }
    future::or(async { Some(work.await) }, async {
        conn.closed().await;
        None
    })
    .await
}

async fn read_body(
    conn: &mut Conn,
    head: &RequestHead,
    of: CallerLimits,
) -> Result<(Framing, Vec<u8>), HttpError> {
    let framing = request_framing(head)?;
    if matches!(framing, Framing::Length(len) if len > of.body_bytes) {
        return Err(HttpError::BodyTooLarge(of.body_bytes));
    }
    let expects = head.headers.text("expect");
    if expects.is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut reader = BodyReader::new(framing, of.body_bytes);
    let mut body = Vec::new();
    while let Some(piece) = reader.next(conn).await? {
        body.extend_from_slice(&piece);
    }
    Ok((framing, body))
}
