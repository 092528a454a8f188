//! Relays: with many instances, a few in each region read the store and report to the others.
//!
//! An instance polls a relay as it would watch the store. Each request reports what the instance
//! admitted and observed, and the response contains the same for all other instances, so that only
//! relays exchange datagrams. Each response gives the age of its data; an instance that gets stale
//! data reads the store itself.

mod change_log;
mod client;
mod report;
mod server;

pub use change_log::{ChangeLog, Delta, ListedChanges, OlderRead, Snapshot};
pub use client::{ask_once, poll};
pub use report::exchange_figures;
pub use server::serve;

use std::{io, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};

/// Largest message, in bytes: all items that a store holds for one installation.
const MAX_MESSAGE_BYTES: u32 = 32 << 20;

/// Reads one message, which is preceded by its length as 4 bytes in big-endian order.
async fn read(mut stream: &TcpStream, time_limit: Duration) -> io::Result<Vec<u8>> {
    let reading = async {
        let len = read_len(stream, MAX_MESSAGE_BYTES).await?;
        let mut bytes = vec![0; len];
        stream.read_exact(&mut bytes).await?;
        Ok(bytes)
    };
    timeout(time_limit, reading)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads the length of a message of up to `max` bytes.
async fn read_len(mut stream: &TcpStream, max: u32) -> io::Result<usize> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await?;
    let len = u32::from_be_bytes(len);
    if len > max {
        let text = format!("message of {len} bytes, {max} allowed");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    Ok(len as usize)
}

/// Writes one message, preceded by its length as 4 bytes in big-endian order.
async fn write(mut stream: &TcpStream, message: &[u8], time_limit: Duration) -> io::Result<()> {
    let len = u32::try_from(message.len()).unwrap_or(u32::MAX);
    let mut bytes = len.to_be_bytes().to_vec();
    bytes.extend_from_slice(message);
    timeout(time_limit, stream.write_all(&bytes))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
