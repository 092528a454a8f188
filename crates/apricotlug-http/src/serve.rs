//! Server loop that hands whole, unambiguous requests to a `tide` application.

use std::{net::SocketAddr, sync::Arc};

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
    head::{RequestHead, ResponseHead},
};

/// Largest request body that an application takes, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Whether a connection goes on after an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Served {
    /// It carries another request.
    KeepAlive,
    /// It is closed.
    Close,
}

/// Accepts connections for ever and serves each by the application.
///
/// # Errors
/// Returns what the system reports when it can accept no more.
pub async fn serve_app<S>(listener: TcpListener, app: Arc<tide::Server<S>>) -> Result<()>
where
    S: Clone + Send + Sync + 'static,
{
    loop {
        let (stream, peer) = listener.accept().await?;
        let app = Arc::clone(&app);
        task::spawn(async move { serve_conn(stream, peer, &app).await });
    }
}

async fn serve_conn<S>(stream: TcpStream, peer: SocketAddr, app: &tide::Server<S>)
where
    S: Clone + Send + Sync + 'static,
{
    let mut conn = Conn::new(stream, Limits::default());
    loop {
        match serve_one(&mut conn, peer, app).await {
            Ok(Served::KeepAlive) => {}
            Ok(Served::Close) => return,
            Err(e) => return refuse(&mut conn, &e).await,
        }
    }
}

async fn refuse(conn: &mut Conn, error: &HttpError) {
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
    // The caller may be gone already.
    let _ = conn.write(&bytes).await;
}

async fn serve_one<S>(conn: &mut Conn, peer: SocketAddr, app: &tide::Server<S>) -> Result<Served>
where
    S: Clone + Send + Sync + 'static,
{
    let head = conn.read_request().await?;
    let mut reader = BodyReader::new(request_framing(&head)?, MAX_BODY_BYTES);
    if head
        .headers
        .list("expect")
        .iter()
        .any(|e| e == "100-continue")
    {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut body = Vec::new();
    while let Some(piece) = reader.next(conn).await? {
        body.extend_from_slice(&piece);
    }
    let mut req = app_request(&head, body)?;
    req.set_peer_addr(Some(peer));
    let response: Response = app
        .respond(req)
        .await
        .unwrap_or_else(|_: tide::Error| Response::new(StatusCode::InternalServerError));
    let served = if head.is_keep_alive() {
        Served::KeepAlive
    } else {
        Served::Close
    };
    answer(conn, &head, response, served).await?;
    Ok(served)
}

fn app_request(head: &RequestHead, body: Vec<u8>) -> Result<Request> {
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

async fn answer(
    conn: &mut Conn,
    req: &RequestHead,
    mut response: Response,
    served: Served,
) -> Result<()> {
    // A body that fails while it is read is answered by closing before its declared end.
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
    if served == Served::Close {
        head.headers.push("connection", "close");
    }
    let mut bytes = head.encode();
    if req.method != "HEAD" {
        bytes.extend_from_slice(&body);
    }
    conn.write(&bytes).await
}
