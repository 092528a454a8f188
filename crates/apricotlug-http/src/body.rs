//! Reading of bodies with validation of their framing, and writing of bodies.

use std::time::Duration;

use crate::{
    conn::Conn,
    error::{HttpError, Phase, Result},
    framing::Framing,
    stream::Stream,
    turn::Turn,
};

/// Longest chunk size line, chunk extensions included, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Largest trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    ContentLength(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Reads one body piece by piece and verifies that it is complete.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    read_bytes: u64,
    max_bytes: u64,
}

impl BodyReader {
    /// Creates a reader for a body with the given framing and a limit of `max_bytes` bytes.
    #[must_use]
    pub fn new(framing: Framing, max_bytes: u64) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(len) => State::ContentLength(len),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            read_bytes: 0,
            max_bytes,
        }
    }

    /// Returns whether the body was read to its end.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Reads the next piece of content, without chunk framing. Returns `None` after the last.
    ///
    /// # Errors
    /// Returns an error if the body is truncated, its framing is malformed, no byte arrives within
    /// the progress time limit of the connection, or the body exceeds its size limit.
    pub async fn next(&mut self, conn: &mut Conn) -> Result<Option<Vec<u8>>> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::ContentLength(remaining) => {
                    let piece = self
                        .read_up_to(conn, remaining)
                        .await?
                        .ok_or(HttpError::Truncated)?;
                    self.state = match remaining - piece.len() as u64 {
                        0 => State::Done,
                        remaining => State::ContentLength(remaining),
                    };
                    return Ok(Some(piece));
                }
                State::ChunkData(remaining) => {
                    let piece = self
                        .read_up_to(conn, remaining)
                        .await?
                        .ok_or(HttpError::Truncated)?;
                    self.state = match remaining - piece.len() as u64 {
                        0 => State::ChunkEnd,
                        remaining => State::ChunkData(remaining),
                    };
                    return Ok(Some(piece));
                }
                State::UntilClose => {
                    let piece = self.read_up_to(conn, u64::MAX).await?;
                    if piece.is_none() {
                        self.state = State::Done;
                    }
                    return Ok(piece);
                }
                State::ChunkSize => self.state = parse_chunk_size(&read_line(conn).await?)?,
                State::ChunkEnd => {
                    if !read_line(conn).await?.is_empty() {
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

    async fn read_up_to(&mut self, conn: &mut Conn, max_len: u64) -> Result<Option<Vec<u8>>> {
        if conn.buffered().is_empty() && fill_buffer(conn).await? == 0 {
            return Ok(None);
        }
        let buffered = conn.buffered();
        let len = usize::try_from(max_len)
            .unwrap_or(usize::MAX)
            .min(buffered.len());
        let piece = buffered[..len].to_vec();
        conn.take(len);
        self.read_bytes += len as u64;
        if self.read_bytes > self.max_bytes {
            return Err(HttpError::BodyTooLarge(self.max_bytes));
        }
        Ok(Some(piece))
    }
}

async fn fill_buffer(conn: &mut Conn) -> Result<usize> {
    let time_limit = conn.limits().progress;
    conn.fill(time_limit, Phase::Body).await
}

async fn read_line(conn: &mut Conn) -> Result<Vec<u8>> {
    conn.take_line_turn().await;
    loop {
        if let Some(end) = conn.buffered().windows(2).position(|pair| pair == b"\r\n") {
            let line = conn.buffered()[..end].to_vec();
            conn.take(end + 2);
            return Ok(line);
        }
        if conn.buffered().len() > MAX_CHUNK_LINE_BYTES {
            return Err(HttpError::Malformed("chunk line too long"));
        }
        if fill_buffer(conn).await? == 0 {
            return Err(HttpError::Truncated);
        }
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<State> {
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
    let mut read_bytes = 0;
    loop {
        let line = read_line(conn).await?;
        if line.is_empty() {
            return Ok(());
        }
        read_bytes += line.len();
        if read_bytes > MAX_TRAILER_BYTES {
            return Err(HttpError::HeadTooLarge(MAX_TRAILER_BYTES));
        }
    }
}

/// Writes one body with a given framing.
///
/// A body of unknown length is sent in chunks, so that the receiver can tell a truncated body from
/// a complete one.
#[derive(Debug)]
pub struct BodyWriter {
    stream: Stream,
    is_chunked: bool,
    progress_timeout: Duration,
    turn: Turn,
}

impl BodyWriter {
    /// Creates a writer on a connection; `Framing::UntilClose` is written in chunks as well.
    #[must_use]
    pub fn new(conn: &Conn, framing: Framing) -> Self {
        Self {
            stream: conn.writer(),
            is_chunked: matches!(framing, Framing::Chunked | Framing::UntilClose),
            progress_timeout: conn.limits().progress,
            turn: Turn::default(),
        }
    }

    /// Writes a piece of content. An empty one is ignored, as an empty chunk would end the body.
    ///
    /// # Errors
    /// Returns an error if the write fails or transfers no byte within the progress time limit.
    pub async fn write(&mut self, piece: &[u8]) -> Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        if !self.is_chunked {
            return self.write_all(piece).await;
        }
        let mut buf = format!("{:x}\r\n", piece.len()).into_bytes();
        buf.extend_from_slice(piece);
        buf.extend_from_slice(b"\r\n");
        self.write_all(&buf).await
    }

    /// Ends the body: writes the last, empty chunk if the body is chunked.
    ///
    /// # Errors
    /// Returns an error if the write fails or transfers no byte within the progress time limit.
    pub async fn finish(mut self) -> Result<()> {
        if !self.is_chunked {
            return Ok(());
        }
        self.write_all(b"0\r\n\r\n").await
    }

    async fn write_all(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream
            .write_all(bytes, self.progress_timeout, &mut self.turn)
            .await
    }
}
