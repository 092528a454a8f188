//! Findings about a file, each with its place, collected and reported together.

use std::fmt;

use serde::Serialize;

/// Place in a file. Lines and columns count from 1; column counts characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Place {
    /// File as the operator named it.
    pub file: String,
    /// Line, from 1.
    pub line: u32,
    /// Column, from 1.
    pub column: u32,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// Kind of finding. The code stays the same across releases, so that programs may match on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingCode {
    /// The text is not TOML.
    Syntax,
    /// A field that no reader knows.
    UnknownField,
    /// A required field is absent.
    MissingField,
    /// A value has the wrong type.
    WrongType,
    /// A value has the right type but lies outside of what is allowed.
    OutOfRange,
    /// Two entries carry the same id, or two blocks overlap.
    Duplicate,
    /// A name refers to nothing.
    UnknownReference,
    /// A deadline lies in the past.
    PastDeadline,
    /// Entries that are fine alone contradict each other.
    Contradiction,
}

/// One finding: what is wrong, where, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Kind of finding.
    pub code: FindingCode,
    /// Where it stands.
    pub place: Place,
    /// What was found and what was expected.
    pub message: String,
    /// What the operator can do.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: error[{:?}]: {}",
            self.place, self.code, self.message
        )?;
        write!(f, "  help: {}", self.help)
    }
}

/// Findings of one check, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Tells whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Sorts by place and returns the value, unless something was found.
    ///
    /// # Errors
    /// Returns all findings where there is at least one.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        self.0.sort_by(|a, b| a.place.cmp(&b.place));
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} finding(s)", self.0.len())
    }
}
