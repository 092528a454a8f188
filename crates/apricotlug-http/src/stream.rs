//! Byte stream of a connection, of which several handles may read and write.

use std::{
    future::Future,
    io::{self, ErrorKind, IoSlice},
    net::Shutdown,
    sync::{Arc, OnceLock},
    time::Duration,
};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
};

use crate::{
    error::{HttpError, Phase, Result},
    turn::{Step, Turn},
};

/// Most pieces that one write transfers.
const MAX_PIECES_A_WRITE: usize = 32;

/// Stream of a connection; clones are handles to the same stream.
///
/// The operating system reports the failure of a connection once, to whichever operation comes next.
/// Reads after that return 0, as they do where the peer has ended its stream. The first failure is
/// therefore kept for all handles.
#[derive(Clone, Debug)]
pub struct Stream {
    tcp: TcpStream,
    failure: Arc<OnceLock<ErrorKind>>,
}

impl Stream {
    pub(crate) fn new(tcp: TcpStream) -> Self {
        Self {
            tcp,
            failure: Arc::default(),
        }
    }

    pub(crate) fn tcp(&self) -> &TcpStream {
        &self.tcp
    }

    /// Reads up to `buf.len()` bytes. Returns their number; 0 means that the peer has ended its stream.
    pub(crate) async fn read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let read = (&self.tcp).read(buf).await;
        self.check_end(read)
    }

    /// Reads as `read` does and leaves the bytes in the stream.
    pub(crate) async fn peek(&self, buf: &mut [u8]) -> io::Result<usize> {
        let read = self.tcp.peek(buf).await;
        self.check_end(read)
    }

    pub(crate) fn shutdown(&self, how: Shutdown) -> io::Result<()> {
        self.tcp.shutdown(how)
    }

    /// Writes all bytes; the time limit restarts with each write that transfers any byte. Each write is
    /// a step of `turn`.
    ///
    /// # Errors
    /// Returns an error if the write fails or transfers no byte within the time limit.
    pub async fn write_all(
        &self,
        mut bytes: &[u8],
        progress_timeout: Duration,
        turn: &mut Turn,
    ) -> Result<()> {
        while !bytes.is_empty() {
            turn.take(Step::Transfer).await;
            let writing = async { self.record((&self.tcp).write(bytes).await) };
            let written = with_timeout(progress_timeout, Phase::Write, writing).await?;
            if written == 0 {
                return Err(HttpError::Truncated);
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Writes pieces one behind the other, several with each write, and copies none of them. The time
    /// limit restarts with each write that transfers any byte; each write is a step of `turn`.
    ///
    /// # Errors
    /// Returns an error if the write fails or transfers no byte within the time limit.
    pub async fn write_pieces(
        &self,
        pieces: &[&[u8]],
        progress_timeout: Duration,
        turn: &mut Turn,
    ) -> Result<()> {
        for pieces in pieces.chunks(MAX_PIECES_A_WRITE) {
            let mut slices: Vec<_> = pieces.iter().map(|piece| IoSlice::new(piece)).collect();
            let mut left = slices.as_mut_slice();
            IoSlice::advance_slices(&mut left, 0);
            while !left.is_empty() {
                turn.take(Step::Transfer).await;
                let writing = async { self.record((&self.tcp).write_vectored(left).await) };
                let written = with_timeout(progress_timeout, Phase::Write, writing).await?;
                if written == 0 {
                    return Err(HttpError::Truncated);
                }
                IoSlice::advance_slices(&mut left, written);
            }
        }
        Ok(())
    }

    /// Keeps the first failure of the connection. A broken pipe is left out: a write reports it where the
    /// peer had ended its stream before the connection failed.
    fn record<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if let Err(e) = &result
            && e.kind() != ErrorKind::BrokenPipe
        {
            // A later failure says nothing new.
            let _ = self.failure.set(e.kind());
        }
        result
    }

    /// Tells the end of the peer's stream from that of a failed connection.
    fn check_end(&self, read: io::Result<usize>) -> io::Result<usize> {
        match (self.record(read)?, self.failure.get()) {
            (0, Some(kind)) => Err((*kind).into()),
            (read, _) => Ok(read),
        }
    }
}

pub(crate) async fn with_timeout<T>(
    time_limit: Duration,
    phase: Phase,
    operation: impl Future<Output = io::Result<T>>,
) -> Result<T> {
    match timeout(time_limit, operation).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(HttpError::TimedOut(phase)),
    }
}
