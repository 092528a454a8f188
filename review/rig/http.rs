//! HTTP/1.1 over one TCP channel.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A TCP channel with the bytes that were read and not used yet.
pub struct Channel {
    pub stream: TcpStream,
    /// Bytes that it reads in a second at most, as over a link; 0 for no limit.
    pub bytes_per_s: u64,
    buf: Vec<u8>,
    at: usize,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            bytes_per_s: 0,
            buf: Vec::new(),
            at: 0,
        }
    }

    pub fn connect(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, limit).map(Self::new)
    }

    fn rest(&self) -> &[u8] {
        &self.buf[self.at..]
    }

    /// Reads more bytes; 0 at the end of the stream. Fails with `TimedOut` at the deadline.
    fn fill(&mut self, deadline: Instant) -> io::Result<usize> {
        if self.at == self.buf.len() {
            self.buf.clear();
            self.at = 0;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let from = self.buf.len();
        self.buf.resize(from + 64 * 1024, 0);
        let read = self.stream.read(&mut self.buf[from..]);
        let len = *read.as_ref().unwrap_or(&0);
        self.buf.truncate(from + len);
        if self.bytes_per_s > 0 {
            thread::sleep(Duration::from_nanos(
                len as u64 * 1_000_000_000 / self.bytes_per_s,
            ));
        }
        read.map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
            _ => e,
        })
    }

    /// Reads a head; `None` if the channel ends before its first byte.
    pub fn read_head(&mut self, deadline: Instant) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest().windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest()[..end]).into_owned();
                self.at += end + 4;
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first,
                    headers: headers.collect(),
                }));
            }
            if self.rest().len() > 256 * 1024 {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill(deadline)? == 0 {
                return match self.rest().is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a body that has a length or comes in chunks.
    pub fn read_body(&mut self, head: &Head, deadline: Instant) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            return self.read_chunks(deadline);
        }
        let len = head
            .get("content-length")
            .and_then(|len| len.parse().ok())
            .unwrap_or(0);
        self.read_exact(len, deadline)
    }

    fn read_exact(&mut self, len: usize, deadline: Instant) -> io::Result<Vec<u8>> {
        let mut body = Vec::with_capacity(len);
        while body.len() < len {
            if self.rest().is_empty() && self.fill(deadline)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let take = (len - body.len()).min(self.rest().len());
            body.extend_from_slice(&self.buf[self.at..self.at + take]);
            self.at += take;
        }
        Ok(body)
    }

    fn read_chunks(&mut self, deadline: Instant) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let Some(end) = self.rest().windows(2).position(|two| two == b"\r\n") else {
                if self.fill(deadline)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                continue;
            };
            let size = String::from_utf8_lossy(&self.rest()[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            self.at += end + 2;
            body.extend(self.read_exact(size, deadline)?);
            self.read_exact(2, deadline)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream
            .set_write_timeout(Some(Duration::from_secs(20)))?;
        self.stream.write_all(bytes)
    }

    /// Returns whether the other side has closed or reset the channel.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        if !self.rest().is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub enum Seen {
    Answer {
        head: Head,
        body: Vec<u8>,
    },
    /// The channel ended without a complete answer.
    Closed(String),
    /// The client stopped waiting.
    NoAnswer,
}

impl Seen {
    pub fn status(&self) -> u16 {
        match self {
            Seen::Answer { head, .. } => head.status(),
            _ => 0,
        }
    }

    pub fn word(&self) -> String {
        match self {
            Seen::Answer { head, body } => format!("answer {} {} bytes", head.status(), body.len()),
            Seen::Closed(why) => format!("closed without a complete answer ({why})"),
            Seen::NoAnswer => "no complete answer".to_owned(),
        }
    }
}

pub fn read_answer(channel: &mut Channel, deadline: Instant) -> Seen {
    let head = match channel.read_head(deadline) {
        Ok(Some(head)) => head,
        Ok(None) => return Seen::Closed("end of stream".to_owned()),
        Err(e) if e.kind() == io::ErrorKind::TimedOut => return Seen::NoAnswer,
        Err(e) => return Seen::Closed(e.to_string()),
    };
    match channel.read_body(&head, deadline) {
        Ok(body) => Seen::Answer { head, body },
        Err(e) if e.kind() == io::ErrorKind::TimedOut => Seen::NoAnswer,
        Err(e) => Seen::Closed(format!("within the body: {e}")),
    }
}

/// One call on a channel of its own.
pub fn get(addr: SocketAddr, target: &str, limit: Duration) -> Option<(u16, Vec<u8>)> {
    let deadline = Instant::now() + limit;
    let mut channel = Channel::connect(addr, limit).ok()?;
    let text = format!("GET {target} HTTP/1.1\r\nHost: system\r\nConnection: close\r\n\r\n");
    channel.write(text.as_bytes()).ok()?;
    match read_answer(&mut channel, deadline) {
        Seen::Answer { head, body } => Some((head.status(), body)),
        _ => None,
    }
}
