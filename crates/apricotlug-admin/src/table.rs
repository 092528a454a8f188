//! Text tables for a terminal.

use std::fmt;

const GAP: &str = "  ";

/// Side of a column on which its cells stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Align {
    /// For names.
    Left,
    /// For numbers.
    Right,
}

/// Table with a head line and columns as wide as their widest cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    columns: Vec<(&'static str, Align)>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(columns: &[(&'static str, Align)]) -> Self {
        Self {
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row. Missing cells are empty, further ones are dropped. Control characters of a
    /// cell are shown as `?`, so that a name can't steer the terminal.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        let clean = |cell: String| cell.replace(char::is_control, "?");
        let mut row: Vec<String> = cells
            .into_iter()
            .take(self.columns.len())
            .map(clean)
            .collect();
        row.resize(self.columns.len(), String::new());
        self.rows.push(row);
    }

    /// Tells whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].chars().count());
        let head = self.columns[column].0.chars().count();
        cells.fold(head, usize::max)
    }

    fn line<'c>(&self, cells: impl Iterator<Item = &'c str>, widths: &[usize]) -> String {
        let columns = self.columns.iter().zip(widths);
        let padded = cells
            .zip(columns)
            .map(|(cell, ((_, align), width))| match align {
                Align::Left => format!("{cell:<width$}"),
                Align::Right => format!("{cell:>width$}"),
            });
        padded.collect::<Vec<_>>().join(GAP).trim_end().to_owned()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.columns.len()).map(|i| self.width(i)).collect();
        let head = self.columns.iter().map(|(name, _)| *name);
        writeln!(f, "{}", self.line(head, &widths))?;
        for row in &self.rows {
            writeln!(f, "{}", self.line(row.iter().map(String::as_str), &widths))?;
        }
        Ok(())
    }
}
