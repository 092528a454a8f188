//! Server loop that passes complete, unambiguously framed requests to a `tide` application.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use http_types::{Body, Method, Request, Response, StatusCode, Url};

use crate::{
    body::BodyReader,
    conn::{Conn, Limits},
    error::{HttpError, Result},
    framing::{Framing, request_framing},
    gate::{ConnGate, ConnPermit},
    head::{RequestHead, ResponseHead},
    turn::{Step, Turn},
};

/// Delay after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Largest read from a caller of an application, in bytes. Most requests are shorter.
const APP_READ_BYTES: usize = 1024;

/// Limits on the callers of an application.
#[derive(Clone, Debug)]
pub struct AppLimits {
    /// Largest request body that is passed to the application, in bytes.
    pub body_bytes: u64,
    /// Connections that may be open.
    pub gate: Arc<ConnGate>,
}

impl Default for AppLimits {
    fn default() -> Self {
        Self {
            body_bytes: 16 * 1024 * 1024,
            gate: Arc::new(ConnGate::new(4_096)),
        }
    }
}

/// What happens to a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// The connection stays open for another request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// Accepts connections and serves their requests with the application, without end: a connection
/// that cannot be accepted does not keep others out.
pub async fn serve_app<S>(listener: TcpListener, app: Arc<tide::Server<S>>, limits: AppLimits)
where
    S: Clone + Send + Sync + 'static,
{
    let mut turn = Turn::default();
    loop {
        turn.take(Step::Transfer).await;
        let Ok((stream, peer)) = listener.accept().await else {
            task::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(permit) = limits.gate.enter(&stream) else {
            continue;
        };
        let app = Arc::clone(&app);
        let body_bytes = limits.body_bytes;
        task::spawn(async move { serve_conn(stream, permit, peer, &app, body_bytes).await });
    }
}

async fn serve_conn<S>(
    stream: TcpStream,
    mut permit: ConnPermit,
    peer: SocketAddr,
    app: &tide::Server<S>,
    body_bytes: u64,
) where
    S: Clone + Send + Sync + 'static,
{
    let mut conn = Conn::new(stream, Limits::default());
    conn.set_read_bytes(Some(APP_READ_BYTES));
    loop {
        permit.on_wait();
        match serve_one(&mut conn, &mut permit, peer, app, body_bytes).await {
            Ok(AfterResponse::KeepAlive) => {}
            Ok(AfterResponse::Close) => return,
            Err(error) => return send_error(&mut conn, &error).await,
        }
    }
}

async fn send_error(conn: &mut Conn, error: &HttpError) {
    let Some(status) = error.caller_status() else {
        return;
    };
    let mut head = ResponseHead::new(
        status,
        StatusCode::try_from(status).map_or("", |s| s.canonical_reason()),
    );
    let body = format!("{error}\n");
    Framing::Length(body.len() as u64).announce(&mut head.headers);
    head.headers.push("connection", "close");
    let mut bytes = head.encode();
    bytes.extend_from_slice(body.as_bytes());
    // Ignored: the caller may have closed the connection already.
    let _ = conn.write(&bytes).await;
}

async fn serve_one<S>(
    conn: &mut Conn,
    permit: &mut ConnPermit,
    peer: SocketAddr,
    app: &tide::Server<S>,
    body_bytes: u64,
) -> Result<AfterResponse>
where
    S: Clone + Send + Sync + 'static,
{
    let head = conn.read_request().await?;
    let framing = request_framing(&head)?;
    if matches!(framing, Framing::Length(len) if len > body_bytes) {
        return Err(HttpError::BodyTooLarge(body_bytes));
    }
    let mut reader = BodyReader::new(framing, body_bytes);
    if head
        .headers
        .list("expect")
        .iter()
        .any(|expectation| expectation == "100-continue")
    {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut body = Vec::new();
    while let Some(piece) = reader.next(conn).await? {
        body.extend_from_slice(&piece);
    }
    // A caller that stops within its body keeps nobody out.
    if !permit.on_request() {
        return Ok(AfterResponse::Close);
    }
    let mut req = to_app_request(&head, body)?;
    req.set_peer_addr(Some(peer));
    let response: Response = app
        .respond(req)
        .await
        .unwrap_or_else(|_: tide::Error| Response::new(StatusCode::InternalServerError));
    let after_response = if head.is_keep_alive() {
        AfterResponse::KeepAlive
    } else {
        AfterResponse::Close
    };
    send_response(conn, &head, response, after_response).await?;
    Ok(after_response)
}

fn to_app_request(head: &RequestHead, body: Vec<u8>) -> Result<Request> {
    let method: Method = head
        .method
        .parse()
        .map_err(|_| HttpError::Malformed("unknown method"))?;
    let host = head.headers.text("host").unwrap_or("localhost");
    let url = Url::parse(&format!("http://{host}{}", head.target))
        .map_err(|_| HttpError::Malformed("host and target make no URL"))?;
    let mut req = Request::new(method, url);
    for (name, value) in head.headers.iter() {
        let Ok(value) = std::str::from_utf8(value) else {
            return Err(HttpError::Malformed("header value is not text"));
        };
        req.append_header(name, value);
    }
    req.set_body(Body::from_bytes(body));
    Ok(req)
}

async fn send_response(
    conn: &mut Conn,
    req: &RequestHead,
    mut response: Response,
    after_response: AfterResponse,
) -> Result<()> {
    // If the body of the response cannot be read, the connection is closed without a response.
    let body = response
        .take_body()
        .into_bytes()
        .await
        .map_err(|_| HttpError::Truncated)?;
    let status = response.status();
    let mut head = ResponseHead::new(status.into(), status.canonical_reason());
    for (name, values) in response.iter() {
        for value in values.iter() {
            head.headers.push(name.as_str(), value.as_str());
        }
    }
    Framing::Length(body.len() as u64).announce(&mut head.headers);
    if after_response == AfterResponse::Close {
        head.headers.push("connection", "close");
    }
    let mut bytes = head.encode();
    if req.method != "HEAD" {
        bytes.extend_from_slice(&body);
    }
    conn.write(&bytes).await
}
