//! Receives the body of a request, once nothing speaks against running it.

use apricotlug_http::{
    BodyReader, Conn, ConnPermit, Framing, HttpError, RequestHead, request_framing,
};
use apricotlug_model::{CallerLimits, MonoTime};

use crate::{
    admission::{Refusal, check},
    request_body::{BodyError, RequestBody},
    shared::Shared,
};

/// Delay before a retry, in milliseconds, while there is no room for a body.
const NO_ROOM_RETRY_MS: u64 = 1_000;

/// Why a body was not received.
#[derive(Debug)]
pub enum ReceiveError {
    /// The request is refused; its body was not read to the end.
    Refused(Refusal),
    /// The request is malformed or exceeds a limit, or its connection failed.
    Http(HttpError),
    /// The connection was closed for another one, because it had waited longest.
    Displaced,
}

impl From<HttpError> for ReceiveError {
    fn from(e: HttpError) -> Self {
        Self::Http(e)
    }
}

impl From<BodyError> for ReceiveError {
    fn from(e: BodyError) -> Self {
        match e {
            BodyError::NoRoom => {
                let refusal = Refusal::new(503, "Service Unavailable", "no_room");
                Self::Refused(refusal.with_retry_ms(NO_ROOM_RETRY_MS))
            }
            BodyError::Stalled => {
                Self::Refused(Refusal::new(408, "Request Timeout", "stalled_body"))
            }
            BodyError::Http(e) => Self::Http(e),
            BodyError::Displaced => Self::Displaced,
        }
    }
}

/// Receives the body of a request that arrived at `arrived_at`. Where the body is still on its way,
/// its route and its account are checked first, and what it takes is never read for a request that
/// would be refused.
///
/// # Errors
/// Returns an error if the request is refused or cannot be read. The connection must then be closed,
/// because the rest of the body may be on its way.
pub async fn receive(
    shared: &Shared,
    conn: &mut Conn,
    permit: &mut ConnPermit,
    head: &RequestHead,
    limits: CallerLimits,
    arrived_at: MonoTime,
) -> Result<(Framing, RequestBody), ReceiveError> {
    let framing = request_framing(head)?;
    if matches!(framing, Framing::Length(len) if len > limits.body_bytes) {
        return Err(HttpError::BodyTooLarge(limits.body_bytes).into());
    }
    if !is_buffered(framing, conn) {
        check(shared, &shared.operator_view(), head, arrived_at).map_err(ReceiveError::Refused)?;
    }
    let body = shared.bodies.start(framing, conn)?;
    let expects = head.headers.text("expect");
    if expects.is_some_and(|value| value.eq_ignore_ascii_case("100-continue")) {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    conn.set_read_bytes(None);
    let reader = BodyReader::new(framing, limits.body_bytes);
    let body = body.read(conn, permit, reader).await?;
    if shared.conn_limits.is_crowded() {
        conn.release_buffer();
    }
    // Until here the connection could be closed for another one.
    if permit.on_request() {
        Ok((framing, body))
    } else {
        Err(ReceiveError::Displaced)
    }
}

/// Returns whether the whole body has arrived already.
fn is_buffered(framing: Framing, conn: &Conn) -> bool {
    match framing {
        Framing::Empty => true,
        Framing::Length(len) => conn.buffered().len() as u64 >= len,
        Framing::Chunked | Framing::UntilClose => false,
    }
}
