//! The text under check: places of byte offsets, and the findings so far.

use std::{iter, mem, ops::Range};

use apricotlug_model::{Finding, FindingCode, Findings, Place};
use toml::{Spanned, de::DeTable};

use crate::chunk::MAX_TEXT_BYTES;

/// Most findings that are listed; further ones are counted.
pub const MAX_FINDINGS: usize = 1_000;

/// Value with the byte offset where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct At<T> {
    pub(crate) value: T,
    pub(crate) offset: usize,
}

/// Text under check.
pub(crate) struct Doc<'t> {
    file: &'t str,
    text: &'t str,
    line_starts: Vec<usize>,
    findings: Findings,
    omitted: Option<Omitted>,
}

/// Findings beyond the limit.
struct Omitted {
    count: usize,
    first: Place,
}

impl<'t> Doc<'t> {
    /// Creates a document without findings.
    pub(crate) fn new(file: &'t str, text: &'t str) -> Self {
        Self {
            file,
            text,
            line_starts: Vec::new(),
            findings: Findings::default(),
            omitted: None,
        }
    }

    /// Returns the table of the text.
    ///
    /// # Errors
    /// Returns every syntax error where the text is not TOML, or that the text is too long.
    pub(crate) fn table(&mut self) -> Result<Spanned<DeTable<'t>>, Findings> {
        if self.text.len() > MAX_TEXT_BYTES {
            let message = format!("the text has {} bytes", self.text.len());
            let help = format!("use at most {MAX_TEXT_BYTES} bytes");
            self.add(FindingCode::OutOfRange, 0, message, help);
            return Err(self.take_findings());
        }
        let (table, errors) = DeTable::parse_recoverable(self.text);
        if errors.is_empty() {
            return Ok(table);
        }
        for error in errors {
            let offset = error.span().map_or(0, |Range { start, .. }| start);
            let message = error.message().replace('\n', ", ");
            self.add(
                FindingCode::Syntax,
                offset,
                message,
                "correct the TOML syntax; other checks run after it",
            );
        }
        Err(self.take_findings())
    }

    /// Adds a finding at a byte offset.
    pub(crate) fn add(
        &mut self,
        code: FindingCode,
        offset: usize,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        let place = self.place(offset);
        if self.findings.0.len() >= MAX_FINDINGS {
            let first = place;
            let omitted = self.omitted.get_or_insert(Omitted { count: 0, first });
            omitted.count += 1;
            return;
        }
        self.findings.push(Finding {
            code,
            place,
            message: message.into(),
            help: help.into(),
        });
    }

    /// Returns the line of a byte offset, for messages that refer to another place.
    pub(crate) fn line(&mut self, offset: usize) -> u32 {
        self.place(offset).line
    }

    /// Returns the offset of a string's content, or `None` where the TOML text writes it with
    /// escapes.
    pub(crate) fn offset_within(&self, span: Range<usize>, content: &str) -> Option<usize> {
        let raw = self.text.get(span.clone())?;
        raw.find(content).map(|start| span.start + start)
    }

    /// Returns the value, unless something was found.
    ///
    /// # Errors
    /// Returns all findings where there is at least one.
    pub(crate) fn finish<T>(&mut self, value: T) -> Result<T, Findings> {
        let mut findings = mem::take(&mut self.findings);
        if let Some(Omitted { count, first }) = self.omitted.take() {
            findings.push(Finding {
                code: FindingCode::OutOfRange,
                place: first,
                message: format!("{count} further findings are not listed"),
                help: "mend those listed and check again".to_owned(),
            });
        }
        findings.into_result(value)
    }

    /// Returns the sorted findings.
    pub(crate) fn take_findings(&mut self) -> Findings {
        self.finish(()).err().unwrap_or_default()
    }

    fn place(&mut self, offset: usize) -> Place {
        if self.line_starts.is_empty() {
            self.line_starts = line_starts(self.text);
        }
        let line = self.line_starts.partition_point(|&start| start <= offset);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        Place {
            file: self.file.to_owned(),
            line: count(line),
            column: count(before.chars().count() + 1),
        }
    }
}

fn line_starts(text: &str) -> Vec<usize> {
    let breaks = text.match_indices('\n').map(|(i, _)| i + 1);
    iter::once(0).chain(breaks).collect()
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
