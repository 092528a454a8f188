//! Counters of bytes, calls and connections between instances.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use async_std::net::TcpStream;
use futures::{AsyncRead, AsyncWrite};

/// Traffic of a node since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes read from sockets.
    pub bytes_in: u64,
    /// Bytes written to sockets.
    pub bytes_out: u64,
    /// Outgoing calls, failed ones included.
    pub calls_out: u64,
    /// Outgoing calls that failed, failed connection attempts included.
    pub calls_failed: u64,
    /// Incoming calls, refused ones included.
    pub calls_in: u64,
    /// Outgoing connections opened.
    pub connects: u64,
}

/// Shared atomic counters that [`Traffic`] is read from.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    pub bytes_in: AtomicU64,
    pub bytes_out: AtomicU64,
    pub calls_out: AtomicU64,
    pub calls_failed: AtomicU64,
    pub calls_in: AtomicU64,
    pub connects: AtomicU64,
}

impl Meter {
    pub fn read(&self) -> Traffic {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            bytes_in: get(&self.bytes_in),
            bytes_out: get(&self.bytes_out),
            calls_out: get(&self.calls_out),
            calls_failed: get(&self.calls_failed),
            calls_in: get(&self.calls_in),
            connects: get(&self.connects),
        }
    }

    pub fn count(counter: &AtomicU64, n: usize) {
        counter.fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// Stream that counts the bytes read and written.
pub(super) struct Metered {
    pub stream: TcpStream,
    pub meter: Arc<Meter>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(n)) = &polled {
            Meter::count(&self.meter.bytes_in, *n);
        }
        polled
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &polled {
            Meter::count(&self.meter.bytes_out, *n);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
