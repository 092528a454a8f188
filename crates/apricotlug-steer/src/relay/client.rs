//! Asks a relay for what the store holds.

use std::{io, net::SocketAddr, time::Duration};

use async_std::{future::timeout, net::TcpStream};

use super::{read, write};
use crate::{
    shared::Shared,
    wire::{Ask, Told, decode_told, encode_ask},
};

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(400);

/// Time beyond the wait after which a relay is taken for lost.
const SLACK: Duration = Duration::from_millis(500);

/// Asks a relay, on a connection that is kept between questions.
///
/// # Errors
/// Returns why no answer came.
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
