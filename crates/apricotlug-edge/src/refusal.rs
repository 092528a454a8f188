//! Answers that an instance gives on its own: refusals and unknown outcomes.

use apricotlug_http::{Conn, Framing, HttpError, ResponseHead};
use apricotlug_model::UnixTime;
use serde_json::json;

/// Header that tells what became of the request.
pub const OUTCOME_HEADER: &str = "apricotlug-outcome";

/// Header that carries the request's id to the backend server and back.
pub const REQUEST_ID_HEADER: &str = "apricotlug-request-id";

/// Header that carries the request's deadline to the backend server, in microseconds since 1970.
pub const DEADLINE_HEADER: &str = "apricotlug-deadline";

/// What became of a request that got no answer from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No backend server ran it.
    NotRun,
    /// A backend server perhaps ran it.
    Unknown,
    /// A backend server ran it; its answer cannot be repeated.
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

/// Answer that an instance gives on its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status code.
    pub status: u16,
    /// Code for programs; the same across releases.
    pub code: &'static str,
    /// What became of the request.
    pub outcome: Outcome,
    /// What the caller can do.
    pub help: &'static str,
    /// Point from which on a new try may succeed.
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

    /// Creates the answer to a request that perhaps ran.
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

    /// Encodes the answer, head and body.
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

/// Returns the refusal that tells a caller what was wrong with its request, if any fits.
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

/// Writes a refusal; a failure means that the caller is gone.
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
