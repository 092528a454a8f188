//! Bodies: read with their framing verified, written with a framing of our own.

use std::time::Duration;

use async_std::net::TcpStream;

use crate::{
    conn::{Conn, write_all},
    error::{HttpError, Leg, Result},
    framing::Framing,
};

/// Longest line that gives a chunk's size, with its extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Most bytes of trailer lines.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Counted(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Reads one body piece by piece and verifies that it is whole.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    read: u64,
    max: u64,
}

impl BodyReader {
    /// Starts a body with the given framing and a largest size in bytes.
    #[must_use]
    pub fn new(framing: Framing, max: u64) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(len) => State::Counted(len),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            read: 0,
            max,
        }
    }

    /// Tells whether the whole body was read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Reads the next piece. Returns `None` after the last.
    ///
    /// # Errors
    /// Returns an error where the body ends short, breaks its framing, stalls or grows too large.
    pub async fn next(&mut self, conn: &mut Conn) -> Result<Option<Vec<u8>>> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Counted(left) => {
                    let piece = self.piece(conn, left).await?.ok_or(HttpError::Truncated)?;
                    self.state = match left - piece.len() as u64 {
                        0 => State::Done,
                        left => State::Counted(left),
                    };
                    return Ok(Some(piece));
                }
                State::ChunkData(left) => {
                    let piece = self.piece(conn, left).await?.ok_or(HttpError::Truncated)?;
                    self.state = match left - piece.len() as u64 {
                        0 => State::ChunkEnd,
                        left => State::ChunkData(left),
                    };
                    return Ok(Some(piece));
                }
                State::UntilClose => {
                    let piece = self.piece(conn, u64::MAX).await?;
                    if piece.is_none() {
                        self.state = State::Done;
                    }
                    return Ok(piece);
                }
                State::ChunkSize => self.state = chunk_size(&line(conn).await?)?,
                State::ChunkEnd => {
                    if !line(conn).await?.is_empty() {
                        return Err(HttpError::Malformed("chunk longer than its size"));
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    skip_trailer(conn).await?;
                    self.state = State::Done;
                }
            }
        }
    }

    async fn piece(&mut self, conn: &mut Conn, most: u64) -> Result<Option<Vec<u8>>> {
        if conn.buffered().is_empty() && fill(conn).await? == 0 {
            return Ok(None);
        }
        let held = conn.buffered();
        let len = usize::try_from(most).unwrap_or(usize::MAX).min(held.len());
        let piece = held[..len].to_vec();
        conn.take(len);
        self.read += len as u64;
        if self.read > self.max {
            return Err(HttpError::BodyTooLarge(self.max));
        }
        Ok(Some(piece))
    }
}

async fn fill(conn: &mut Conn) -> Result<usize> {
    let within = conn.limits().progress;
    conn.fill(within, Leg::Body).await
}

async fn line(conn: &mut Conn) -> Result<Vec<u8>> {
    loop {
        if let Some(end) = conn.buffered().windows(2).position(|pair| pair == b"\r\n") {
            let line = conn.buffered()[..end].to_vec();
            conn.take(end + 2);
            return Ok(line);
        }
        if conn.buffered().len() > MAX_CHUNK_LINE_BYTES {
            return Err(HttpError::Malformed("chunk line too long"));
        }
        if fill(conn).await? == 0 {
            return Err(HttpError::Truncated);
        }
    }
}

fn chunk_size(line: &[u8]) -> Result<State> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    match size.ok_or(HttpError::Malformed(
        "chunk size is not a hexadecimal number",
    ))? {
        0 => Ok(State::Trailer),
        size => Ok(State::ChunkData(size)),
    }
}

async fn skip_trailer(conn: &mut Conn) -> Result<()> {
    let mut read = 0;
    loop {
        let line = line(conn).await?;
        if line.is_empty() {
            return Ok(());
        }
        read += line.len();
        if read > MAX_TRAILER_BYTES {
            return Err(HttpError::HeadTooLarge(MAX_TRAILER_BYTES));
        }
    }
}

/// Writes one body with a given framing.
///
/// A body whose end is not known beforehand goes out in chunks, so that the receiver can tell a
/// cut body from a whole one.
#[derive(Debug)]
pub struct BodyWriter {
    stream: TcpStream,
    is_chunked: bool,
    progress: Duration,
}

impl BodyWriter {
    /// Starts a body on a connection.
    #[must_use]
    pub fn new(conn: &Conn, framing: Framing) -> Self {
        Self {
            stream: conn.writer(),
            is_chunked: matches!(framing, Framing::Chunked | Framing::UntilClose),
            progress: conn.limits().progress,
        }
    }

    /// Writes a piece.
    ///
    /// # Errors
    /// Returns an error where the write makes no progress in time or fails.
    pub async fn write(&mut self, piece: &[u8]) -> Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        if !self.is_chunked {
            return write_all(&self.stream, piece, self.progress).await;
        }
        let mut buf = format!("{:x}\r\n", piece.len()).into_bytes();
        buf.extend_from_slice(piece);
        buf.extend_from_slice(b"\r\n");
        write_all(&self.stream, &buf, self.progress).await
    }

    /// Ends the body.
    ///
    /// # Errors
    /// Returns an error where the write makes no progress in time or fails.
    pub async fn finish(self) -> Result<()> {
        if !self.is_chunked {
            return Ok(());
        }
        write_all(&self.stream, b"0\r\n\r\n", self.progress).await
    }
}
