//! Message framing: determines where the body of a message ends.

use crate::{
    error::{HttpError, Result},
    head::{Headers, RequestHead, ResponseHead},
};

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks; an empty one ends it.
    Chunked,
    /// The body ends when the connection closes; responses only.
    UntilClose,
}

impl Framing {
    /// Sets the header lines that declare this framing and removes any others that declare one.
    /// `UntilClose` is declared as chunked, as `BodyWriter` sends it.
    pub fn announce(self, headers: &mut Headers) {
        headers.remove("content-length");
        headers.remove("transfer-encoding");
        match self {
            Self::Empty => {}
            Self::Length(len) => headers.push("content-length", len.to_string()),
            Self::Chunked | Self::UntilClose => headers.push("transfer-encoding", "chunked"),
        }
    }
}

/// Returns the framing of a request body.
///
/// # Errors
/// Returns an error if the head leaves the framing ambiguous: differing or malformed lengths,
/// a length together with a transfer coding, or a transfer coding other than `chunked`.
pub fn request_framing(head: &RequestHead) -> Result<Framing> {
    match declared_framing(&head.headers)? {
        Some(Framing::Length(0)) if head.method == "GET" => Ok(Framing::Empty),
        Some(framing) => Ok(framing),
        None => Ok(Framing::Empty),
    }
}

/// Returns the framing of the response body to a request of the given method.
///
/// # Errors
/// Returns an error if the head leaves the framing ambiguous, as for a request.
pub fn response_framing(method: &str, head: &ResponseHead) -> Result<Framing> {
    let declared = declared_framing(&head.headers)?;
    if method == "HEAD" || matches!(head.status, 204 | 304) {
        return Ok(Framing::Empty);
    }
    Ok(declared.unwrap_or(Framing::UntilClose))
}

fn declared_framing(headers: &Headers) -> Result<Option<Framing>> {
    let length = content_length(headers)?;
    let mut codings = headers.all("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(length.map(Framing::Length));
    };
    if length.is_some() {
        return Err(HttpError::Malformed(
            "content-length together with transfer-encoding",
        ));
    }
    if codings.next().is_some() || !coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Err(HttpError::Malformed("transfer coding other than chunked"));
    }
    Ok(Some(Framing::Chunked))
}

fn content_length(headers: &Headers) -> Result<Option<u64>> {
    let mut values = headers.all("content-length");
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|value| value != first) {
        return Err(HttpError::Malformed("differing content-length headers"));
    }
    let is_digits = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(first).ok().filter(|_| is_digits);
    let length = text.and_then(|text| text.parse().ok());
    length
        .map(Some)
        .ok_or(HttpError::Malformed("content-length is not a number"))
}
