//! Client for single requests with small bodies, which are held in memory.

use std::{net::SocketAddr, time::Duration};

use async_std::future::timeout;

use crate::{
    body::BodyReader,
    conn::{Conn, Limits},
    error::{HttpError, Phase, Result},
    framing::{Framing, response_framing},
    head::{RequestHead, ResponseHead},
};

/// Complete response to a request.
#[derive(Debug)]
pub struct Reply {
    /// Head of the final response.
    pub head: ResponseHead,
    /// Content of the body, without chunk framing; empty if there is none.
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the complete response. Sets the framing headers
/// and `connection: close` on the request.
///
/// # Errors
/// Returns an error if no complete response with a body of at most `max_body_bytes` bytes arrives
/// within the time limit.
pub async fn exchange(
    addr: SocketAddr,
    mut head: RequestHead,
    body: &[u8],
    max_body_bytes: u64,
    time_limit: Duration,
) -> Result<Reply> {
    Framing::Length(body.len() as u64).announce(&mut head.headers);
    head.headers.push("connection", "close");
    let call = async {
        let mut conn = Conn::connect(addr, Limits::default(), time_limit).await?;
        let mut bytes = head.encode();
        bytes.extend_from_slice(body);
        conn.write(&bytes).await?;
        let response = conn.read_response().await?;
        let mut reader =
            BodyReader::new(response_framing(&head.method, &response)?, max_body_bytes);
        let mut body = Vec::new();
        while let Some(piece) = reader.next(&mut conn).await? {
            body.extend_from_slice(&piece);
        }
        Ok(Reply {
            head: response,
            body,
        })
    };
    timeout(time_limit, call)
        .await
        .unwrap_or(Err(HttpError::TimedOut(Phase::Head)))
}
