//! Decision lines of log files.

use std::{
    fs::File,
    io::{BufRead, BufReader},
};

use anyhow::Context;
use serde_json::{Map, Value};

/// Longest line that is read, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Decision line.
#[derive(Clone, Debug)]
pub struct Line(Map<String, Value>);

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let line = Self(serde_json::from_str(text).ok()?);
        line.0.contains_key("kind").then_some(line)
    }

    /// Returns the kind of decision.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.text("kind")
    }

    /// Returns a text field, or `-`.
    #[must_use]
    pub fn text(&self, field: &str) -> &str {
        self.0.get(field).and_then(Value::as_str).unwrap_or("-")
    }

    /// Returns a number, or 0.
    #[must_use]
    pub fn number(&self, field: &str) -> u64 {
        self.0.get(field).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Returns a number with its fraction, or 0.
    #[must_use]
    pub fn fraction(&self, field: &str) -> f64 {
        self.0.get(field).and_then(Value::as_f64).unwrap_or(0.0)
    }

    /// Tells whether there is a field.
    #[must_use]
    pub fn has(&self, field: &str) -> bool {
        self.0.contains_key(field)
    }

    /// Tells whether a field is true.
    #[must_use]
    pub fn is(&self, field: &str) -> bool {
        self.0.get(field).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Returns the line as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        Value::Object(self.0.clone())
    }
}

/// Counts of what was read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Decision lines.
    pub decisions: u64,
    /// Lines that are none, or that can't be read.
    pub others: u64,
}

/// Hands the decision lines of files on, in the order of the files.
///
/// # Errors
/// Returns an error that names the file that can't be read.
pub fn read(files: &[String], mut take: impl FnMut(Line)) -> anyhow::Result<Counts> {
    let mut counts = Counts::default();
    for file in files {
        let opened = File::open(file).with_context(|| format!("cannot read {file}"))?;
        let mut input = BufReader::new(opened);
        let mut buf = Vec::new();
        while read_line(&mut input, &mut buf).with_context(|| format!("cannot read {file}"))? {
            let line = str::from_utf8(&buf).ok().and_then(Line::parse);
            match line {
                Some(line) => {
                    counts.decisions += 1;
                    take(line);
                }
                None => counts.others += 1,
            }
        }
    }
    Ok(counts)
}

/// Reads a line into an emptied buffer; what exceeds the longest line is left out. Returns
/// `false` at the end.
fn read_line(input: &mut impl BufRead, buf: &mut Vec<u8>) -> std::io::Result<bool> {
    buf.clear();
    let mut has_any = false;
    loop {
        let piece = input.fill_buf()?;
        if piece.is_empty() {
            return Ok(has_any);
        }
        has_any = true;
        let end = piece.iter().position(|byte| *byte == b'\n');
        let taken = end.unwrap_or(piece.len());
        let room = MAX_LINE_BYTES.saturating_sub(buf.len()).min(taken);
        buf.extend_from_slice(&piece[..room]);
        input.consume(end.map_or(taken, |end| end + 1));
        if end.is_some() {
            return Ok(true);
        }
    }
}
