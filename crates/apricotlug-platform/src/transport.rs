//! HTTP calls to the platform: one connection a call, a time limit on each, bodies counted.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use async_std::{future::timeout, io::ReadExt, net::TcpStream};
use http_types::{Method, Request, Response, StatusCode, Url, headers};

use crate::{Error, Result, wire::ErrorResponse};

/// Longest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Addresses of the platform, tried in turn.
#[derive(Debug)]
pub(crate) struct Transport {
    addrs: Vec<SocketAddr>,
    preferred: AtomicUsize,
    timeout_ms: u32,
}

impl Transport {
    pub(crate) fn new(addrs: Vec<SocketAddr>, timeout_ms: u32) -> Self {
        Self {
            addrs,
            preferred: AtomicUsize::new(0),
            timeout_ms,
        }
    }

    /// Posts a request and returns the whole body of the answer.
    pub(crate) async fn post(&self, path: &str, body: Vec<u8>) -> Result<Vec<u8>> {
        let answer = timeout(self.limit(), async {
            let mut res = self.send(path, body).await?;
            read_body(&mut res).await
        });
        let answer = answer.await.unwrap_or_else(|_| Err(self.too_late()));
        self.turn_away_from_failed(&answer);
        answer
    }

    /// Posts a request whose answer is a stream and returns once its head has arrived.
    pub(crate) async fn open(&self, path: &str, body: Vec<u8>) -> Result<Response> {
        let answer = timeout(self.limit(), self.send(path, body)).await;
        let answer = answer.unwrap_or_else(|_| Err(self.too_late()));
        self.turn_away_from_failed(&answer);
        answer
    }

    fn limit(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }

    fn too_late(&self) -> Error {
        Error::Broken(format!("no answer within {} ms", self.timeout_ms))
    }

    /// Makes the next call start at the next address where this one failed.
    fn turn_away_from_failed<T>(&self, answer: &Result<T>) {
        if answer.as_ref().is_err_and(Error::is_transient) {
            self.preferred.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn send(&self, path: &str, body: Vec<u8>) -> Result<Response> {
        let (stream, addr) = self.connect().await?;
        let url = Url::parse(&format!("http://{addr}{path}"))
            .map_err(|e| Error::Malformed(e.to_string()))?;
        let mut req = Request::new(Method::Post, url);
        req.insert_header(headers::CONNECTION, "close");
        req.insert_header(headers::CONTENT_TYPE, "application/json");
        req.set_body(body);
        let res = async_h1::connect(stream, req)
            .await
            .map_err(|e| Error::Broken(e.to_string()))?;
        check_status(res).await
    }

    async fn connect(&self) -> Result<(TcpStream, SocketAddr)> {
        let first = self.preferred.load(Ordering::Relaxed);
        let share = self.limit() / (self.addrs.len() as u32 + 1);
        let mut last = io::Error::new(io::ErrorKind::NotFound, "no address is configured");
        for i in 0..self.addrs.len() {
            let addr = self.addrs[(first + i) % self.addrs.len()];
            match timeout(share, TcpStream::connect(addr)).await {
                Ok(Ok(stream)) => {
                    stream.set_nodelay(true).map_err(Error::Unreachable)?;
                    return Ok((stream, addr));
                }
                Ok(Err(e)) => last = e,
                Err(_) => last = io::ErrorKind::TimedOut.into(),
            }
        }
        Err(Error::Unreachable(last))
    }
}

async fn check_status(mut res: Response) -> Result<Response> {
    match res.status() {
        StatusCode::Ok => Ok(res),
        StatusCode::TooManyRequests => Err(Error::RateLimited),
        status => {
            let body = read_body(&mut res).await.unwrap_or_default();
            let message = error_text(&body);
            let status_code = u16::from(status);
            if status.is_client_error() {
                return Err(Error::Refused {
                    status: status_code,
                    message,
                });
            }
            Err(Error::Failed {
                status: status_code,
                message,
            })
        }
    }
}

fn error_text(body: &[u8]) -> String {
    serde_json::from_slice::<ErrorResponse>(body)
        .map(|answer| answer.error)
        .unwrap_or_else(|_| String::from_utf8_lossy(body).into_owned())
}

/// Reads a body and compares its length with the declared one: the HTTP library takes a body
/// that was cut short as whole, and a body without framing as empty.
async fn read_body(res: &mut Response) -> Result<Vec<u8>> {
    let declared = res.len();
    let is_framed = declared.is_some() || res.header(headers::TRANSFER_ENCODING).is_some();
    if !is_framed {
        return Err(Error::Malformed("a body without framing".to_owned()));
    }
    let mut body = Vec::new();
    let limit = MAX_BODY_BYTES as u64 + 1;
    res.take_body()
        .take(limit)
        .read_to_end(&mut body)
        .await
        .map_err(|e| Error::Broken(e.to_string()))?;
    if body.len() > MAX_BODY_BYTES {
        return Err(Error::Malformed(format!("over {MAX_BODY_BYTES} bytes")));
    }
    match declared {
        Some(declared) if declared != body.len() => Err(Error::Cut {
            declared,
            received: body.len(),
        }),
        _ => Ok(body),
    }
}
