//! Request and response heads.

use crate::error::{HttpError, Result};

/// Most header lines that one head may carry.
const MAX_HEADERS: usize = 100;

/// Headers whose meaning ends at one connection.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Header lines in the order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// Appends a line.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push((name.to_owned(), value.into()));
    }

    /// Returns the value of the first line with the name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.0
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Returns the value of the first line with the name, where it is text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Iterates over the values of all lines with the name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Removes all lines with the name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    }

    /// Removes the lines whose meaning ends at this connection, those that `connection` names
    /// included.
    pub fn remove_hop_by_hop(&mut self) {
        let named = self.list("connection");
        self.0.retain(|(n, _)| {
            let name = n.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(&name)
        });
    }

    /// Returns the comma-separated members of all lines with the name, in lower case.
    #[must_use]
    pub fn list(&self, name: &str) -> Vec<String> {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(|member| member.trim().to_ascii_lowercase())
            .filter(|member| !member.is_empty())
            .collect()
    }

    /// Iterates over all lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    fn encode(&self, buf: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            buf.extend_from_slice(name.as_bytes());
            buf.extend_from_slice(b": ");
            buf.extend_from_slice(value);
            buf.extend_from_slice(b"\r\n");
        }
        buf.extend_from_slice(b"\r\n");
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, as sent.
    pub method: String,
    /// Request target in origin form.
    pub target: String,
    /// Minor version: 0 or 1.
    pub minor: u8,
    /// Header lines.
    pub headers: Headers,
}

impl RequestHead {
    /// Parses a head. Returns `None` while more bytes are needed, else the head and its length.
    ///
    /// # Errors
    /// Returns an error where the bytes break the grammar, the target is not in origin form, or
    /// an HTTP/1.1 request does not name exactly one host.
    pub fn parse(buf: &[u8]) -> Result<Option<(Self, usize)>> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut lines);
        let len = match req.parse(buf).map_err(parse_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(len) => len,
        };
        let head = Self {
            method: req.method.unwrap_or_default().to_owned(),
            target: req.path.unwrap_or_default().to_owned(),
            minor: req.version.unwrap_or(1),
            headers: collect(req.headers),
        };
        if !head.target.starts_with('/') {
            return Err(HttpError::Malformed("request target is not in origin form"));
        }
        let hosts = head.headers.all("host").count();
        if hosts > 1 || (hosts == 0 && head.minor == 1) {
            return Err(HttpError::Malformed("exactly one host header is needed"));
        }
        Ok(Some((head, len)))
    }

    /// Encodes the head for the wire.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = format!("{} {} HTTP/1.1\r\n", self.method, self.target).into_bytes();
        self.headers.encode(&mut buf);
        buf
    }

    /// Returns the path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Tells whether the sender keeps the connection open for a next message.
    #[must_use]
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.minor, &self.headers)
    }
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Minor version: 0 or 1.
    pub minor: u8,
    /// Header lines.
    pub headers: Headers,
}

impl ResponseHead {
    /// Creates a head with no header lines.
    #[must_use]
    pub fn new(status: u16, reason: &str) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            minor: 1,
            headers: Headers::default(),
        }
    }

    /// Parses a head. Returns `None` while more bytes are needed, else the head and its length.
    ///
    /// # Errors
    /// Returns an error where the bytes break the grammar.
    pub fn parse(buf: &[u8]) -> Result<Option<(Self, usize)>> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut res = httparse::Response::new(&mut lines);
        let len = match res.parse(buf).map_err(parse_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(len) => len,
        };
        let head = Self {
            status: res.code.unwrap_or_default(),
            reason: res.reason.unwrap_or_default().to_owned(),
            minor: res.version.unwrap_or(1),
            headers: collect(res.headers),
        };
        Ok(Some((head, len)))
    }

    /// Encodes the head for the wire.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).into_bytes();
        self.headers.encode(&mut buf);
        buf
    }

    /// Tells whether the sender keeps the connection open for a next message.
    #[must_use]
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.minor, &self.headers)
    }

    /// Tells whether another head of the same exchange follows.
    #[must_use]
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status) && self.status != 101
    }
}

fn is_keep_alive(minor: u8, headers: &Headers) -> bool {
    let members = headers.list("connection");
    match minor {
        0 => members.iter().any(|m| m == "keep-alive"),
        _ => !members.iter().any(|m| m == "close"),
    }
}

fn collect(lines: &[httparse::Header<'_>]) -> Headers {
    Headers(
        lines
            .iter()
            .map(|line| (line.name.to_owned(), line.value.to_owned()))
            .collect(),
    )
}

fn parse_error(error: httparse::Error) -> HttpError {
    HttpError::Malformed(match error {
        httparse::Error::TooManyHeaders => "too many header lines",
        httparse::Error::Version => "unknown HTTP version",
        httparse::Error::HeaderName => "invalid header name",
        httparse::Error::HeaderValue => "invalid header value",
        httparse::Error::Status => "invalid status line",
        httparse::Error::NewLine | httparse::Error::Token => "invalid request line or token",
    })
}
