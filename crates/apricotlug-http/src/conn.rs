//! Buffered connection whose reads and writes each have a deadline.

use std::{
    future::Future,
    io,
    net::{Shutdown, SocketAddr},
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};
use futures_lite::future::{self, poll_once};

use crate::{
    error::{HttpError, Leg, Result},
    head::{RequestHead, ResponseHead},
};

/// Bytes asked from the system at once.
const READ_BYTES: usize = 16 * 1024;

/// Longest time for which input is discarded after a last answer.
const LINGER: Duration = Duration::from_secs(1);

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest wait for the first byte of a head.
    pub idle: Duration,
    /// Longest time from the first byte of a head to its last.
    pub head: Duration,
    /// Longest wait for any progress of a body or a write.
    pub progress: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            idle: Duration::from_secs(75),
            head: Duration::from_secs(10),
            progress: Duration::from_secs(15),
        }
    }
}

/// Connection with the bytes that were read from it and not yet taken.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    taken: usize,
    limits: Limits,
}

impl Conn {
    /// Wraps a stream.
    #[must_use]
    pub fn new(stream: TcpStream, limits: Limits) -> Self {
        // Small messages go out at once; a failure only costs latency.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
            taken: 0,
            limits,
        }
    }

    /// Connects by address.
    ///
    /// # Errors
    /// Returns an error where the connection is refused or not made within the span.
    pub async fn connect(addr: SocketAddr, limits: Limits, within: Duration) -> Result<Self> {
        let stream = timed(within, Leg::Write, TcpStream::connect(addr)).await?;
        Ok(Self::new(stream, limits))
    }

    /// Returns the limits of this connection.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Waits until the other end closes the connection or resets it. Bytes that wait to be read
    /// hide that; then it waits for ever.
    pub async fn closed(&self) {
        let mut byte = [0; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => future::pending().await,
        }
    }

    /// Returns the address of the other end.
    ///
    /// # Errors
    /// Returns what the system reports.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Returns a second handle of the stream, for writing while this one reads.
    #[must_use]
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns the bytes that were read and not yet taken.
    #[must_use]
    pub fn buffered(&self) -> &[u8] {
        &self.buf[self.taken..]
    }

    /// Marks bytes as taken.
    pub fn take(&mut self, len: usize) {
        self.taken += len;
        if self.taken >= self.buf.len() {
            self.buf.clear();
            self.taken = 0;
        }
    }

    /// Reads more bytes into the buffer. Returns their number, 0 at the end of the stream.
    ///
    /// # Errors
    /// Returns an error where nothing arrives within the span or the system reports one.
    pub async fn fill(&mut self, within: Duration, leg: Leg) -> Result<usize> {
        self.buf.drain(..self.taken);
        self.taken = 0;
        let held = self.buf.len();
        self.buf.resize(held + READ_BYTES, 0);
        let read = timed(within, leg, self.stream.read(&mut self.buf[held..])).await;
        self.buf.truncate(held + *read.as_ref().unwrap_or(&0));
        read
    }

    /// Reads a request head.
    ///
    /// # Errors
    /// Returns an error where the connection ends, a limit is exceeded or the head is malformed.
    pub async fn read_request(&mut self) -> Result<RequestHead> {
        self.read_head(RequestHead::parse).await
    }

    /// Reads a response head, and skips interim ones.
    ///
    /// # Errors
    /// Returns an error where the connection ends, a limit is exceeded or the head is malformed.
    pub async fn read_response(&mut self) -> Result<ResponseHead> {
        loop {
            let head = self.read_head(ResponseHead::parse).await?;
            if !head.is_interim() {
                return Ok(head);
            }
        }
    }

    async fn read_head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>>,
    ) -> Result<T> {
        if self.buffered().is_empty() && self.fill(self.limits.idle, Leg::Idle).await? == 0 {
            return Err(HttpError::Closed);
        }
        let deadline = Instant::now() + self.limits.head;
        loop {
            if let Some((head, len)) = parse(self.buffered())? {
                if len > self.limits.head_bytes {
                    return Err(HttpError::HeadTooLarge(self.limits.head_bytes));
                }
                self.take(len);
                return Ok(head);
            }
            if self.buffered().len() > self.limits.head_bytes {
                return Err(HttpError::HeadTooLarge(self.limits.head_bytes));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if self.fill(left, Leg::Head).await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// Returns an error where the write makes no progress in time or fails.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        write_all(&self.stream, bytes, self.limits.progress).await
    }

    /// Ends the own direction and discards what still arrives for a short while, so that the last
    /// answer is not lost to a reset.
    pub async fn linger(&mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = Instant::now() + LINGER;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            self.take(self.buffered().len());
            match self.fill(left, Leg::Body).await {
                Ok(read) if read > 0 && !left.is_zero() => {}
                _ => return,
            }
        }
    }

    /// Tells whether an idle connection may carry another exchange: it is open, and nothing
    /// arrived on it unasked.
    pub async fn is_reusable(&mut self) -> bool {
        if !self.buffered().is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        poll_once(self.stream.peek(&mut byte)).await.is_none()
    }
}

/// Writes all bytes to a stream; the deadline moves on with each write that makes progress.
///
/// # Errors
/// Returns an error where the write makes no progress in time or fails.
pub async fn write_all(mut stream: &TcpStream, mut bytes: &[u8], progress: Duration) -> Result<()> {
    while !bytes.is_empty() {
        let written = timed(progress, Leg::Write, stream.write(bytes)).await?;
        if written == 0 {
            return Err(HttpError::Truncated);
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

async fn timed<T>(
    within: Duration,
    leg: Leg,
    step: impl Future<Output = io::Result<T>>,
) -> Result<T> {
    match timeout(within, step).await {
        Ok(done) => Ok(done?),
        Err(_) => Err(HttpError::TimedOut(leg)),
    }
}
