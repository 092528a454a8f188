//! Responses that an instance generates itself: refusals and unknown outcomes.

use apricotlug_http::{Conn, Framing, HttpError, ResponseHead};
use apricotlug_model::UnixTime;
use serde_json::json;

/// Response header with the outcome of the request: `not-run`, `unknown` or `ran`.
pub const OUTCOME_HEADER: &str = "apricotlug-outcome";

/// Header that carries the request's id to the backend server and back.
pub const REQUEST_ID_HEADER: &str = "apricotlug-request-id";

/// Header that carries the request's deadline to the backend server, in microseconds since 1970.
pub const DEADLINE_HEADER: &str = "apricotlug-deadline";

/// Outcome of a request for which no backend server's response is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No backend server ran it.
    NotRun,
    /// A backend server may have run it.
    Unknown,
    /// A backend server ran it, but its answer is not available for a repeat.
    Ran,
}

impl Outcome {
    /// Returns the value of the outcome header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Error response that an instance generates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status code, 400 to 599.
    pub status: u16,
    /// Machine-readable code, stable across releases.
    pub code: &'static str,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Advice to the caller, as free text.
    pub help: &'static str,
    /// Earliest time at which a retry may succeed; `None` where no time is known.
    pub retry_at: Option<UnixTime>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub const fn not_run(status: u16, code: &'static str, help: &'static str) -> Self {
        Self {
            status,
            code,
            outcome: Outcome::NotRun,
            help,
            retry_at: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(status: u16, code: &'static str, help: &'static str) -> Self {
        Self {
            status,
            code,
            outcome: Outcome::Unknown,
            help,
            retry_at: None,
        }
    }

    /// Encodes the response, head and JSON body. `is_closing` announces that the connection closes.
    #[must_use]
    pub fn encode(&self, request_id: &str, now: UnixTime, is_closing: bool) -> Vec<u8> {
        let body = json!({
            "code": self.code,
            "outcome": self.outcome.as_str(),
            "help": self.help,
            "request_id": request_id,
            "retry_at_us": self.retry_at.map(|at| at.0),
        });
        let body = format!("{body}\n");
        let mut head = ResponseHead::new(self.status, reason(self.status));
        head.headers.push("content-type", "application/json");
        head.headers.push(OUTCOME_HEADER, self.outcome.as_str());
        head.headers.push(REQUEST_ID_HEADER, request_id);
        if let Some(at) = self.retry_at {
            let seconds = at.since(now).as_secs_f64().ceil().max(1.0);
            head.headers.push("retry-after", format!("{seconds}"));
        }
        if is_closing {
            head.headers.push("connection", "close");
        }
        Framing::Length(body.len() as u64).announce(&mut head.headers);
        let mut bytes = head.encode();
        bytes.extend_from_slice(body.as_bytes());
        bytes
    }
}

/// Returns the refusal for a request that could not be read; `None` where the caller gets no
/// response.
#[must_use]
pub fn for_http_error(error: &HttpError) -> Option<Refusal> {
    let status = error.caller_status()?;
    let (code, help) = match status {
        408 => (
            "request_timeout",
            "send the whole request within the time limit",
        ),
        413 => ("body_too_large", "send a smaller body"),
        431 => ("head_too_large", "send fewer or shorter headers"),
        _ => (
            "malformed_request",
            "send one unambiguous HTTP/1.1 request at a time",
        ),
    };
    Some(Refusal::not_run(status, code, help))
}

/// Writes an encoded response.
///
/// # Errors
/// Returns an error where the caller has disconnected.
pub async fn send(conn: &mut Conn, bytes: &[u8], is_closing: bool) -> Result<(), HttpError> {
    conn.write(bytes).await?;
    if is_closing {
        conn.linger().await;
    }
    Ok(())
}

fn reason(status: u16) -> &'static str {
    http_types::StatusCode::try_from(status).map_or("Unknown", |s| s.canonical_reason())
}
