//! Polls a relay for changes of the store.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{future::timeout, net::TcpStream};

use super::{read, write};
use crate::{
    shared::Shared,
    wire::{Ask, Told, decode_told, encode_ask},
};

/// Time limit for connecting.
const CONNECT: Duration = Duration::from_millis(400);

/// Time beyond the wait after which a relay counts as failed.
const SLACK: Duration = Duration::from_millis(500);

/// Sends a request to a relay and reads the response. The connection is kept for the next request.
///
/// # Errors
/// Returns an error if no valid response arrives in time.
pub async fn ask(
    shared: &Shared,
    conn: &mut Option<(SocketAddr, TcpStream)>,
    relay: SocketAddr,
    after: u64,
    wait: Duration,
) -> io::Result<Told> {
    let kept = conn.take().filter(|(addr, _)| *addr == relay);
    let stream = match kept {
        Some((_, stream)) => stream,
        None => connect(relay).await?,
    };
    let mut question = Ask {
        run: shared.run,
        after,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        ..Ask::default()
    };
    shared.gate().report(&mut question);
    write(&stream, &encode_ask(&question), SLACK).await?;
    let bytes = read(&stream, wait + SLACK).await?;
    let told = decode_told(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    *conn = Some((relay, stream));
    Ok(told)
}

async fn connect(relay: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT, TcpStream::connect(relay))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
