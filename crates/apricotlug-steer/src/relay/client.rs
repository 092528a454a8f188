//! Polls a relay for changes of the store.

use std::{io, net::SocketAddr, time::Duration};

use apricotlug_model::StoreVersion;
use async_std::{future::timeout, net::TcpStream};

use super::{read, write};
use crate::{
    shared::Shared,
    wire::{RelayRequest, RelayResponse, decode_relay_response, encode_relay_request},
};

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time beyond the wait after which a relay counts as failed.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

/// Sends a request to a relay and reads the response. The connection is kept for the next request.
///
/// # Errors
/// Returns an error if no valid response arrives in time.
pub async fn poll(
    shared: &Shared,
    conn: &mut Option<(SocketAddr, TcpStream)>,
    relay: SocketAddr,
    after: StoreVersion,
    wait: Duration,
) -> io::Result<RelayResponse> {
    let reusable = conn.take().filter(|(addr, _)| *addr == relay);
    let stream = match reusable {
        Some((_, stream)) => stream,
        None => connect(relay).await?,
    };
    let mut request = RelayRequest {
        run: shared.run,
        after,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        ..RelayRequest::default()
    };
    shared.steering().fill_request(&mut request);
    write(&stream, &encode_relay_request(&request), RESPONSE_SLACK).await?;
    let bytes = read(&stream, wait + RESPONSE_SLACK).await?;
    let response =
        decode_relay_response(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    *conn = Some((relay, stream));
    Ok(response)
}

/// Sends a request to an instance on a new connection and reads the response.
///
/// # Errors
/// Returns an error if no valid response arrives within the time limit.
pub async fn ask_once(
    instance: SocketAddr,
    request: &RelayRequest,
    time_limit: Duration,
) -> io::Result<RelayResponse> {
    let stream = connect(instance).await?;
    write(&stream, &encode_relay_request(request), time_limit).await?;
    let bytes = read(&stream, time_limit).await?;
    decode_relay_response(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

async fn connect(relay: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, apricotlug_http::connect(relay))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
