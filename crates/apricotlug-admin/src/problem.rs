//! Error responses of the administration API: a machine-readable code, a message and a help text.

use std::fmt;

use apricotlug_model::{Finding, Findings};
use serde::{Deserialize, Serialize};

use crate::{Denied, RouteError};

/// Machine-readable code of a problem, stable across releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemCode {
    /// The call has no valid operator's key.
    Unauthorised,
    /// The operator's role does not cover the operation.
    Forbidden,
    /// The path or the entry does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The request is invalid; findings may list the faults.
    Refused,
    /// Another operator's change came first, or the entry's state does not permit the change.
    Conflict,
    /// The request exceeds a limit.
    TooLarge,
    /// The platform cannot be reached; nothing was changed.
    PlatformUnavailable,
    /// The platform's response was lost: the change may be in force.
    OutcomeUnknown,
    /// The instance holds no bundle yet.
    NotReady,
}

impl ProblemCode {
    /// Returns the HTTP status of the error response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthorised => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::Refused => 422,
            Self::PlatformUnavailable | Self::NotReady => 503,
            Self::OutcomeUnknown => 504,
        }
    }

    /// Returns the exit code of a command that fails with the problem.
    #[must_use]
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Refused | Self::TooLarge => 2,
            Self::Conflict => 3,
            Self::Unauthorised | Self::Forbidden => 4,
            Self::PlatformUnavailable | Self::NotReady => 5,
            Self::OutcomeUnknown => 6,
            Self::NotFound | Self::MethodNotAllowed => 1,
        }
    }
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Machine-readable code.
    pub code: ProblemCode,
    /// Description of the error for people.
    pub message: String,
    /// Suggested action for the operator.
    pub help: String,
    /// Faults of the request, one per line with place and help; empty where there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<String>,
}

impl Problem {
    /// Creates a problem without findings.
    #[must_use]
    pub fn new(code: ProblemCode, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            help: help.into(),
            findings: Vec::new(),
        }
    }

    /// Creates the `NotFound` problem of an entry that does not exist. `kind` names the kind of
    /// entry.
    #[must_use]
    pub fn unknown(kind: &str, id: &str) -> Self {
        let message = format!("there is no {kind} {id:?}");
        Self::new(
            ProblemCode::NotFound,
            message,
            "list what there is, and correct the name",
        )
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "error[{:?}]: {}", self.code, self.message)?;
        for finding in &self.findings {
            writeln!(f, "  {finding}")?;
        }
        write!(f, "  help: {}", self.help)
    }
}

impl From<Denied> for Problem {
    fn from(denied: Denied) -> Self {
        let (code, help) = match denied {
            Denied::NoKey | Denied::InvalidKey | Denied::Withdrawn(_) => (
                ProblemCode::Unauthorised,
                "send `authorization: Bearer ID.SECRET` of an operator",
            ),
            Denied::Role { .. } => (ProblemCode::Forbidden, "ask an operator who has the role"),
        };
        Self::new(code, denied.to_string(), help)
    }
}

impl From<RouteError> for Problem {
    fn from(error: RouteError) -> Self {
        let help = "see /v1/openapi.json";
        match error {
            RouteError::NotFound => Self::new(ProblemCode::NotFound, "no such path", help),
            RouteError::MethodNotAllowed(methods) => {
                let words: Vec<_> = methods.iter().map(|method| method.as_str()).collect();
                let message = format!("the path takes {} only", words.join(", "));
                Self::new(ProblemCode::MethodNotAllowed, message, help)
            }
        }
    }
}

impl From<&Findings> for Problem {
    fn from(findings: &Findings) -> Self {
        let line =
            |finding: &Finding| format!("{}: {}; {}", finding.place, finding.message, finding.help);
        let message = format!("{} finding(s)", findings.0.len());
        let mut problem = Self::new(
            ProblemCode::Refused,
            message,
            "mend all of them and try again",
        );
        problem.findings = findings.0.iter().map(line).collect();
        problem
    }
}
