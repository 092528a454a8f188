//! Typed reader over one TOML table: records what is missing, of the wrong type, out of range or
//! unknown, and goes on.

use std::{net::SocketAddr, ops::RangeInclusive};

use apricotlug_model::FindingCode;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    credential,
    doc::{At, Doc},
    value::{self, Port},
};

/// Fields of one table.
pub(crate) struct Fields<'t> {
    table: &'t DeTable<'t>,
    offset: usize,
    what: &'static str,
    known: Vec<&'static str>,
}

impl<'t> Fields<'t> {
    /// Creates a reader; `what` names the table in messages.
    pub(crate) fn new(table: &'t DeTable<'t>, offset: usize, what: &'static str) -> Self {
        Self {
            table,
            offset,
            what,
            known: Vec::new(),
        }
    }

    /// Returns the offset of the table.
    pub(crate) fn offset(&self) -> usize {
        self.offset
    }

    /// Returns the offset of a field's value, or of the table where the field is absent.
    pub(crate) fn offset_of(&self, name: &str) -> usize {
        self.table
            .get(name)
            .map_or(self.offset, |value| value.span().start)
    }

    /// Tells whether the table has a field.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// Reads an optional value.
    pub(crate) fn optional(&mut self, name: &'static str) -> Option<&'t Spanned<DeValue<'t>>> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        self.table.get(name)
    }

    /// Reads a required value.
    pub(crate) fn required(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
    ) -> Option<&'t Spanned<DeValue<'t>>> {
        let value = self.optional(name);
        if value.is_none() {
            doc.add(
                FindingCode::MissingField,
                self.offset,
                format!("{} has no field `{name}`", self.what),
                format!("add `{name}`"),
            );
        }
        value
    }

    /// Reads a required string.
    pub(crate) fn string(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Option<At<&'t str>> {
        let value = self.required(doc, name)?;
        value::string(doc, value, name)
    }

    /// Reads a required name: 1 to 64 letters, digits, `-`, `_` or `.`.
    pub(crate) fn id(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Option<At<&'t str>> {
        let id = self.string(doc, name)?;
        value::check_id(doc, id)
    }

    /// Reads the public id of a key: a name without `.`, which ends the id in `id.secret`.
    pub(crate) fn key_id(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Option<At<&'t str>> {
        let id = self.id(doc, name)?;
        if !credential::is_id(id.value) {
            doc.add(
                FindingCode::OutOfRange,
                id.offset,
                format!("the key id {:?} contains `.`", id.value),
                "use letters, digits, `-` or `_`: `.` ends the id in `id.secret`",
            );
            return None;
        }
        Some(id)
    }

    /// Reads required bytes written in hexadecimal.
    pub(crate) fn hex<const N: usize>(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
    ) -> Option<[u8; N]> {
        let text = self.string(doc, name)?;
        let mut bytes = [0; N];
        if hex::decode_to_slice(text.value, &mut bytes).is_err() {
            doc.add(
                FindingCode::OutOfRange,
                text.offset,
                format!("`{name}` is not {N} bytes in hexadecimal"),
                "copy the row that `key new` printed",
            );
            return None;
        }
        Some(bytes)
    }

    /// Reads a required integer within a range.
    pub(crate) fn integer<T: TryFrom<i64>>(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        range: RangeInclusive<i64>,
    ) -> Option<T> {
        let value = self.required(doc, name)?;
        value::integer(doc, value, name, range)
    }

    /// Reads a required time with its unit, `ms` or `s`, in whole milliseconds.
    pub(crate) fn span_ms(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Option<u32> {
        let text = self.string(doc, name)?;
        value::span_ms(doc, text, name)
    }

    /// Reads an optional time with its unit, `ms` or `s`, in whole milliseconds, or returns the
    /// default. A time below `min_ms` is a finding.
    pub(crate) fn span_ms_or(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        min_ms: u32,
        default_ms: u32,
    ) -> Option<u32> {
        if !self.has(name) {
            return Some(default_ms);
        }
        let text = self.string(doc, name)?;
        let span_ms = value::span_ms(doc, text, name)?;
        if span_ms < min_ms {
            doc.add(
                FindingCode::OutOfRange,
                text.offset,
                format!("`{name}` is {span_ms} ms"),
                format!("give at least {min_ms} ms"),
            );
        }
        Some(span_ms)
    }

    /// Reads a required number that is not negative.
    pub(crate) fn number(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Option<f64> {
        let value = self.required(doc, name)?;
        value::number(doc, value, name)
    }

    /// Reads an optional number that is at least `min`, or returns the default.
    pub(crate) fn number_or(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        min: f64,
        default: f64,
    ) -> Option<f64> {
        let Some(value) = self.optional(name) else {
            return Some(default);
        };
        let number = value::number(doc, value, name)?;
        if number < min {
            doc.add(
                FindingCode::OutOfRange,
                value.span().start,
                format!("`{name}` is {number}"),
                format!("give at least {min}"),
            );
        }
        Some(number)
    }

    /// Reads an optional integer within a range, or returns the default.
    pub(crate) fn integer_or<T: TryFrom<i64>>(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        range: RangeInclusive<i64>,
        default: T,
    ) -> Option<T> {
        match self.optional(name) {
            Some(value) => value::integer(doc, value, name, range),
            None => Some(default),
        }
    }

    /// Reads an optional flag, false where absent.
    pub(crate) fn flag(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Option<bool> {
        let Some(value) = self.optional(name) else {
            return Some(false);
        };
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            value::wrong_type(doc, value, name, "true or false");
        }
        flag
    }

    /// Reads a required word out of a closed set.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let word = self.string(doc, name)?;
        let found = choices.iter().find(|(choice, _)| *choice == word.value);
        if found.is_none() {
            let words: Vec<_> = choices.iter().map(|(choice, _)| *choice).collect();
            doc.add(
                FindingCode::OutOfRange,
                word.offset,
                format!("`{name}` is {:?}", word.value),
                format!("use one of: {}", words.join(", ")),
            );
        }
        found.map(|(_, choice)| *choice)
    }

    /// Reads a required socket address with a concrete IP number.
    pub(crate) fn addr(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        port: Port,
    ) -> Option<At<SocketAddr>> {
        let text = self.string(doc, name)?;
        value::addr(doc, text, name, port)
    }

    /// Reads a required list of at least one socket address.
    pub(crate) fn some_addrs(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Vec<SocketAddr> {
        if let Some(value) = self
            .optional(name)
            .filter(|value| value::is_empty_list(value))
        {
            value::empty_list(doc, value.span().start, name);
        }
        self.addrs(doc, name)
    }

    /// Reads a required list of socket addresses without duplicates.
    pub(crate) fn addrs(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Vec<SocketAddr> {
        let mut addrs = Vec::new();
        for item in self.list(doc, name) {
            let read = value::string(doc, item, name)
                .and_then(|text| value::addr(doc, text, name, Port::Named));
            let Some(read) = read else { continue };
            if addrs.contains(&read.value) {
                doc.add(
                    FindingCode::Duplicate,
                    read.offset,
                    format!("`{name}` names {} twice", read.value),
                    "remove one of them",
                );
            }
            addrs.push(read.value);
        }
        addrs
    }

    /// Reads a required list.
    pub(crate) fn list(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
    ) -> &'t [Spanned<DeValue<'t>>] {
        match self.required(doc, name) {
            Some(value) => value::list(doc, value, name),
            None => &[],
        }
    }

    /// Reads a list of tables; `what` names one of them in messages. An absent list is empty.
    pub(crate) fn tables(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        what: &'static str,
    ) -> Vec<Fields<'t>> {
        let Some(value) = self.optional(name) else {
            return Vec::new();
        };
        value::list(doc, value, name)
            .iter()
            .filter_map(|item| value::table(doc, item, what))
            .collect()
    }

    /// Reads a list of tables that must hold at least one.
    pub(crate) fn some_tables(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        what: &'static str,
    ) -> Vec<Fields<'t>> {
        if let Some(value) = self
            .required(doc, name)
            .filter(|value| value::is_empty_list(value))
        {
            value::empty_list(doc, value.span().start, name);
        }
        self.tables(doc, name, what)
    }

    /// Reads a required table.
    pub(crate) fn table(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        what: &'static str,
    ) -> Option<Fields<'t>> {
        let value = self.required(doc, name)?;
        value::table(doc, value, what)
    }

    /// Reads an optional table.
    pub(crate) fn optional_table(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        what: &'static str,
    ) -> Option<Fields<'t>> {
        let value = self.optional(name)?;
        value::table(doc, value, what)
    }

    /// Iterates over all entries of a table whose field names are free.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (At<&'t str>, &'t Spanned<DeValue<'t>>)> {
        self.table.iter().map(|(name, value)| {
            let offset = name.span().start;
            let value_of_name: &str = name.get_ref();
            (
                At {
                    value: value_of_name,
                    offset,
                },
                value,
            )
        })
    }

    /// Reports the fields that no reader asked for.
    pub(crate) fn finish(self, doc: &mut Doc<'_>) {
        for name in self.table.keys() {
            let text: &str = name.get_ref();
            if self.known.contains(&text) {
                continue;
            }
            doc.add(
                FindingCode::UnknownField,
                name.span().start,
                format!("{} has an unknown field `{text}`", self.what),
                format!("remove it, or use one of: {}", self.known.join(", ")),
            );
        }
    }
}
