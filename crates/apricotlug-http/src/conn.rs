//! Buffered connection with a time limit on each read and write.

use std::{
    io,
    net::{self, Shutdown, SocketAddr},
    time::{Duration, Instant},
};

use async_io::Async;
use async_std::net::TcpStream;
use futures_lite::future::{self, poll_once};
use rustix::net::sockopt;

use crate::{
    error::{HttpError, Phase, Result},
    head::{RequestHead, ResponseHead},
    stream::{Stream, with_timeout},
    turn::{Step, Turn},
};

/// Largest read from the socket, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Most interim (1xx) responses before a final one.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Most bytes that are read ahead of the current exchange, to notice that the peer has closed.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// Interval of probes on an idle connection, and how many of them may stay unanswered.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Longest time for which sent bytes may stay unacknowledged. It spans several retransmissions.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest time for which input is discarded after the last response of a connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Size and time limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest wait for the first byte of a head.
    pub idle: Duration,
    /// Longest time from the first byte of a head to its last.
    pub head: Duration,
    /// Longest wait for the next byte of a body, or for a write to transfer any byte.
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

/// Connection and the bytes that were read from it but not yet consumed.
#[derive(Debug)]
pub struct Conn {
    stream: Stream,
    buf: Vec<u8>,
    consumed: usize,
    /// End of the bytes that were read. Behind it lies space for a read, which may have been
    /// cancelled.
    filled: usize,
    /// Largest next read, in bytes.
    read_bytes: usize,
    /// Whether it holds no buffer while it waits for input.
    is_lean: bool,
    turn: Turn,
    limits: Limits,
}

impl Conn {
    /// Wraps a connected stream and disables Nagle's algorithm on it.
    #[must_use]
    pub fn new(stream: TcpStream, limits: Limits) -> Self {
        // Sends small messages without delay; a failure only adds latency.
        let _ = stream.set_nodelay(true);
        Self {
            stream: Stream::new(stream),
            buf: Vec::new(),
            consumed: 0,
            filled: 0,
            read_bytes: READ_BYTES,
            is_lean: false,
            turn: Turn::default(),
            limits,
        }
    }

    /// Connects to an address. The connection fails soon after the peer has fallen silent, in use or
    /// idle.
    ///
    /// # Errors
    /// Returns an error if the connection is refused or not established within the time limit.
    pub async fn connect(addr: SocketAddr, limits: Limits, time_limit: Duration) -> Result<Self> {
        let stream = with_timeout(time_limit, Phase::Write, connect(addr)).await?;
        Ok(Self::new(stream, limits))
    }

    /// Returns the limits of this connection.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits; a `BodyWriter` that exists already keeps the previous ones.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Limits the largest read to `bytes`, or to the usual size with `None`. With a small one, a
    /// connection that waits for a head holds little memory.
    pub fn set_read_bytes(&mut self, bytes: Option<usize>) {
        self.read_bytes = bytes.unwrap_or(READ_BYTES);
    }

    /// Sets whether the connection holds no buffer while it waits for input, at the price of one more
    /// call of the operating system for each read that has waited.
    pub fn set_lean(&mut self, is_lean: bool) {
        self.is_lean = is_lean;
    }

    /// Frees the buffer if nothing is left in it.
    pub fn release_buffer(&mut self) {
        if self.buffered().is_empty() {
            self.buf = Vec::new();
            self.consumed = 0;
            self.filled = 0;
        }
    }

    /// Waits until the peer closes or resets the connection. Bytes that arrive meanwhile are kept
    /// for the next exchange. Behind too many of them a close is not detected, and the future never
    /// completes.
    pub async fn closed(&mut self) {
        while self.buffered().len() < MAX_READ_AHEAD_BYTES {
            self.turn.take(Step::Transfer).await;
            match self.read_more().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        future::pending().await
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    /// Returns the error of the operating system, for example if the socket is not connected.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.tcp().peer_addr()
    }

    /// Returns a second handle to the stream, for writing while this connection reads.
    #[must_use]
    pub fn writer(&self) -> Stream {
        self.stream.clone()
    }

    /// Returns a handle to the socket, for shutting it down. Failures that it reports are not known to
    /// this connection.
    #[must_use]
    pub fn socket(&self) -> TcpStream {
        self.stream.tcp().clone()
    }

    /// Returns the bytes that were read but not yet consumed.
    #[must_use]
    pub fn buffered(&self) -> &[u8] {
        &self.buf[self.consumed..self.filled]
    }

    /// Marks the first `len` buffered bytes as consumed.
    pub fn take(&mut self, len: usize) {
        self.consumed += len;
        if self.consumed >= self.filled {
            self.consumed = 0;
            self.filled = 0;
        }
    }

    /// Counts a line of the buffer that is about to be consumed. Lets other tasks run first if the turn
    /// is over.
    pub(crate) async fn take_line_turn(&mut self) {
        self.turn.take(Step::BufferedLine).await;
    }

    /// Reads more bytes into the buffer. Returns their number; 0 means that the peer has ended its
    /// stream.
    ///
    /// # Errors
    /// Returns an error if no byte arrives within the time limit, the read fails, or the connection
    /// failed before the end of the stream, also where a write has reported it.
    pub async fn fill(&mut self, time_limit: Duration, phase: Phase) -> Result<usize> {
        self.turn.take(Step::Transfer).await;
        with_timeout(time_limit, phase, self.read_more()).await
    }

    /// Reads more bytes into the buffer. A read that is cancelled leaves the buffer as it was.
    async fn read_more(&mut self) -> io::Result<usize> {
        if self.is_lean && self.buffered().is_empty() {
            self.release_buffer();
            if self.stream.peek(&mut [0]).await? == 0 {
                return Ok(0);
            }
        }
        self.buf.copy_within(self.consumed..self.filled, 0);
        self.filled -= self.consumed;
        self.consumed = 0;
        self.buf.resize(self.filled + self.read_bytes, 0);
        let read = self.stream.read(&mut self.buf[self.filled..]).await?;
        self.filled += read;
        Ok(read)
    }

    /// Reads a request head.
    ///
    /// # Errors
    /// Returns an error if the connection closes, a limit is exceeded or the head is malformed.
    pub async fn read_request(&mut self) -> Result<RequestHead> {
        self.read_head(RequestHead::parse).await
    }

    /// Reads the final response head and skips interim (1xx) ones.
    ///
    /// # Errors
    /// Returns an error if the connection closes, a limit is exceeded or the head is malformed.
    pub async fn read_response(&mut self) -> Result<ResponseHead> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.read_head(ResponseHead::parse).await?;
            if !head.is_interim() {
                return Ok(head);
            }
        }
        Err(HttpError::Malformed("too many interim responses"))
    }

    async fn read_head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>>,
    ) -> Result<T> {
        if self.buffered().is_empty() && self.fill(self.limits.idle, Phase::Idle).await? == 0 {
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
            let remaining = deadline.saturating_duration_since(Instant::now());
            if self.fill(remaining, Phase::Head).await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Writes all bytes; the time limit restarts with each write that transfers any byte.
    ///
    /// # Errors
    /// Returns an error if the write fails or transfers no byte within the progress time limit.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        let time_limit = self.limits.progress;
        self.stream
            .write_all(bytes, time_limit, &mut self.turn)
            .await
    }

    /// Writes pieces one behind the other without copying them; the time limit restarts with each write
    /// that transfers any byte.
    ///
    /// # Errors
    /// Returns an error if the write fails or transfers no byte within the progress time limit.
    pub async fn write_pieces(&mut self, pieces: &[&[u8]]) -> Result<()> {
        let time_limit = self.limits.progress;
        self.stream
            .write_pieces(pieces, time_limit, &mut self.turn)
            .await
    }

    /// Makes the close of the connection reset it, so that the peer does not take it for the end of a
    /// message.
    ///
    /// # Errors
    /// Returns the error of the operating system if the option cannot be set.
    pub fn reset_on_close(&self) -> io::Result<()> {
        sockopt::set_socket_linger(self.stream.tcp(), Some(Duration::ZERO))?;
        Ok(())
    }

    /// Closes the write direction and discards input for up to `LINGER_TIMEOUT`. Closing a socket
    /// with unread input resets the connection, and the peer could lose the last response.
    pub async fn linger(&mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = Instant::now() + LINGER_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            self.take(self.buffered().len());
            match self.fill(remaining, Phase::Body).await {
                Ok(read) if read > 0 && !remaining.is_zero() => {}
                _ => return,
            }
        }
    }

    /// Returns whether an idle connection may carry another exchange: it is open and received no
    /// unexpected bytes.
    pub async fn is_reusable(&mut self) -> bool {
        if !self.buffered().is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        poll_once(self.stream.peek(&mut byte)).await.is_none()
    }
}

/// Connects to an address, with the socket options by which a connection fails whose other end no
/// longer acknowledges anything: a cut or a lost machine closes no connection.
///
/// # Errors
/// Returns the error of the operating system if the connection is refused or an option cannot be
/// set.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = Async::<net::TcpStream>::connect(addr).await?.into_inner()?;
    sockopt::set_socket_keepalive(&stream, true)?;
    sockopt::set_tcp_keepidle(&stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(&stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(&stream, KEEPALIVE_PROBES)?;
    let timeout_ms = u32::try_from(ACK_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(&stream, timeout_ms)?;
    Ok(stream.into())
}
