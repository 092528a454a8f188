//! Parsing and encoding of request and response heads.

use crate::error::{HttpError, Result};

/// Largest number of header lines in one head.
const MAX_HEADERS: usize = 100;

/// Status codes that have a meaning.
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;

/// Status code of a change to another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Hop-by-hop headers, which apply to one connection only and are not forwarded.
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

/// Header lines in the order of arrival; names are compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// Appends a line and keeps those with the same name.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push((name.to_owned(), value.into()));
    }

    /// Returns the value of the first line with the name, or `None` if it is absent.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.0
            .iter()
            .find(|(line_name, _)| line_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Returns the value of the first line with the name, or `None` if it is absent or not UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Iterates over the values of all lines with the name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        self.0
            .iter()
            .filter(move |(line_name, _)| line_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Removes all lines with the name.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|(line_name, _)| !line_name.eq_ignore_ascii_case(name));
    }

    /// Removes the hop-by-hop headers, including those named in `connection`.
    pub fn remove_hop_by_hop(&mut self) {
        let connection_options = self.list("connection");
        self.0.retain(|(line_name, _)| {
            let name = line_name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str()) && !connection_options.contains(&name)
        });
    }

    /// Returns the comma-separated members of all lines with the name, in lower case. Empty members
    /// and lines that are not UTF-8 are left out.
    #[must_use]
    pub fn list(&self, name: &str) -> Vec<String> {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(|member| member.trim().to_ascii_lowercase())
            .filter(|member| !member.is_empty())
            .collect()
    }

    /// Iterates over the names and values of all lines.
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
    /// Method, as sent; case-sensitive.
    pub method: String,
    /// Request target in origin form: the path and the query.
    pub target: String,
    /// Minor version of HTTP/1: 0 or 1.
    pub minor: u8,
    /// Header lines.
    pub headers: Headers,
}

impl RequestHead {
    /// Parses a head. Returns the head and its length in bytes, or `None` if bytes are missing.
    ///
    /// # Errors
    /// Returns an error if the head is malformed, the target is not in origin form, there are
    /// several `host` headers, or an HTTP/1.1 request has none.
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
            headers: to_headers(req.headers),
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

    /// Encodes the head as HTTP/1.1, whatever its minor version.
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

    /// Returns whether the sender keeps the connection open for another message.
    #[must_use]
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.minor, &self.headers)
    }
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code, from 100 to 599 and not 101 in a head that was parsed.
    pub status: u16,
    /// Reason phrase; may be empty.
    pub reason: String,
    /// Minor version of HTTP/1: 0 or 1.
    pub minor: u8,
    /// Header lines.
    pub headers: Headers,
}

impl ResponseHead {
    /// Creates an HTTP/1.1 head without header lines.
    #[must_use]
    pub fn new(status: u16, reason: &str) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            minor: 1,
            headers: Headers::default(),
        }
    }

    /// Parses a head. Returns the head and its length in bytes, or `None` if bytes are missing.
    ///
    /// # Errors
    /// Returns an error if the head is malformed, its status code has no meaning in the protocol, or
    /// it is 101: nobody asks for another protocol.
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
            headers: to_headers(res.headers),
        };
        if !STATUS_CODES.contains(&head.status) || head.status == SWITCHING_PROTOCOLS {
            return Err(HttpError::Malformed("status code without a meaning"));
        }
        Ok(Some((head, len)))
    }

    /// Encodes the head as HTTP/1.1, whatever its minor version.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = format!("HTTP/1.1 {} {}\r\n", self.status, self.reason).into_bytes();
        self.headers.encode(&mut buf);
        buf
    }

    /// Returns whether the sender keeps the connection open for another message.
    #[must_use]
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.minor, &self.headers)
    }

    /// Returns whether another response head of the same exchange follows: the status is 1xx.
    #[must_use]
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

fn is_keep_alive(minor: u8, headers: &Headers) -> bool {
    let members = headers.list("connection");
    match minor {
        0 => members.iter().any(|member| member == "keep-alive"),
        _ => !members.iter().any(|member| member == "close"),
    }
}

fn to_headers(lines: &[httparse::Header<'_>]) -> Headers {
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
