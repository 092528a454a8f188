//! Text tables for a terminal.

use std::fmt;

const COLUMN_GAP: &str = "  ";

/// Alignment of the cells of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Align {
    /// Aligns to the left, for names.
    Left,
    /// Aligns to the right, for numbers.
    Right,
}

/// Table with a header line and columns as wide as their widest cell.
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

    /// Adds a row. Missing cells are left empty and surplus cells are dropped. Control characters
    /// are replaced by `?`, so that a name cannot send control sequences to the terminal.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        let sanitise = |cell: String| cell.replace(char::is_control, "?");
        let mut row: Vec<String> = cells
            .into_iter()
            .take(self.columns.len())
            .map(sanitise)
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
        let header = self.columns[column].0.chars().count();
        cells.fold(header, usize::max)
    }

    fn line<'c>(&self, cells: impl Iterator<Item = &'c str>, widths: &[usize]) -> String {
        let columns = self.columns.iter().zip(widths);
        let padded = cells
            .zip(columns)
            .map(|(cell, ((_, align), width))| match align {
                Align::Left => format!("{cell:<width$}"),
                Align::Right => format!("{cell:>width$}"),
            });
        padded
            .collect::<Vec<_>>()
            .join(COLUMN_GAP)
            .trim_end()
            .to_owned()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.columns.len()).map(|i| self.width(i)).collect();
        let header = self.columns.iter().map(|(name, _)| *name);
        writeln!(f, "{}", self.line(header, &widths))?;
        for row in &self.rows {
            writeln!(f, "{}", self.line(row.iter().map(String::as_str), &widths))?;
        }
        Ok(())
    }
}
