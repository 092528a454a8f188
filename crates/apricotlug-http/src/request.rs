//! One whole exchange as a client, for small bodies.

use std::{net::SocketAddr, time::Duration};

use async_std::future::timeout;

use crate::{
    body::BodyReader,
    conn::{Conn, Limits},
    error::{HttpError, Leg, Result},
    framing::{Framing, response_framing},
    head::{RequestHead, ResponseHead},
};

/// Whole response to a request.
#[derive(Debug)]
pub struct Reply {
    /// Head of the response.
    pub head: ResponseHead,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Sends a request on a connection of its own and reads the whole response.
///
/// # Errors
/// Returns an error where no whole response of at most `max` bytes arrives within the span.
pub async fn exchange(
    addr: SocketAddr,
    mut head: RequestHead,
    body: &[u8],
    max: u64,
    within: Duration,
) -> Result<Reply> {
    Framing::Length(body.len() as u64).announce(&mut head.headers);
    head.headers.push("connection", "close");
    let call = async {
        let mut conn = Conn::connect(addr, Limits::default(), within).await?;
        let mut bytes = head.encode();
        bytes.extend_from_slice(body);
        conn.write(&bytes).await?;
        let response = conn.read_response().await?;
        let mut reader = BodyReader::new(response_framing(&head.method, &response)?, max);
        let mut body = Vec::new();
        while let Some(piece) = reader.next(&mut conn).await? {
            body.extend_from_slice(&piece);
        }
        Ok(Reply {
            head: response,
            body,
        })
    };
    timeout(within, call)
        .await
        .unwrap_or(Err(HttpError::TimedOut(Leg::Head)))
}
