//! Typed reader over one TOML table: records what is missing, of the wrong type, out of range or
//! unknown, and goes on.

use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
};

use apricotlug_model::FindingCode;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::doc::{At, Doc};

const MAX_ID_BYTES: usize = 64;

/// Port rule for an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    /// The system may pick a free port: port 0 is allowed.
    Any,
    /// The port must be named.
    Named,
}

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
        string(doc, value, name)
    }

    /// Reads a required name: 1 to 64 letters, digits, `-`, `_` or `.`.
    pub(crate) fn id(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Option<At<&'t str>> {
        let id = self.string(doc, name)?;
        check_id(doc, id)
    }

    /// Reads the public id of a key: a name without `.`, which ends the id in `id.secret`.
    pub(crate) fn key_id(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Option<At<&'t str>> {
        let id = self.id(doc, name)?;
        if id.value.contains('.') {
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
        integer(doc, value, name, range)
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
            Some(value) => integer(doc, value, name, range),
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
            wrong_type(doc, value, name, "true or false");
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
        addr(doc, text, name, port)
    }

    /// Reads a required list of at least one socket address.
    pub(crate) fn some_addrs(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Vec<SocketAddr> {
        if let Some(value) = self.optional(name).filter(|value| is_empty_list(value)) {
            empty_list(doc, value, name);
        }
        self.addrs(doc, name)
    }

    /// Reads a required list of socket addresses without duplicates.
    pub(crate) fn addrs(&mut self, doc: &mut Doc<'_>, name: &'static str) -> Vec<SocketAddr> {
        let mut addrs = Vec::new();
        for item in self.list(doc, name) {
            let read = string(doc, item, name).and_then(|text| addr(doc, text, name, Port::Named));
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
            Some(value) => list(doc, value, name),
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
        list(doc, value, name)
            .iter()
            .filter_map(|item| table(doc, item, what))
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
            .filter(|value| is_empty_list(value))
        {
            empty_list(doc, value, name);
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
        table(doc, value, what)
    }

    /// Reads an optional table.
    pub(crate) fn optional_table(
        &mut self,
        doc: &mut Doc<'_>,
        name: &'static str,
        what: &'static str,
    ) -> Option<Fields<'t>> {
        let value = self.optional(name)?;
        table(doc, value, what)
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

/// Reads a string.
pub(crate) fn string<'t>(
    doc: &mut Doc<'_>,
    value: &'t Spanned<DeValue<'t>>,
    name: &str,
) -> Option<At<&'t str>> {
    let text = value.get_ref().as_str();
    if text.is_none() {
        wrong_type(doc, value, name, "a string");
    }
    text.map(|text| At {
        value: text,
        offset: value.span().start,
    })
}

/// Reads an integer within a range.
pub(crate) fn integer<T: TryFrom<i64>>(
    doc: &mut Doc<'_>,
    value: &Spanned<DeValue<'_>>,
    name: &str,
    range: RangeInclusive<i64>,
) -> Option<T> {
    let Some(digits) = value.get_ref().as_integer() else {
        wrong_type(doc, value, name, "an integer");
        return None;
    };
    let number = i64::from_str_radix(digits.as_str(), digits.radix()).ok();
    let number = number.filter(|number| range.contains(number));
    let number = number.and_then(|number| T::try_from(number).ok());
    if number.is_none() {
        doc.add(
            FindingCode::OutOfRange,
            value.span().start,
            format!("`{name}` is {digits}"),
            format!("use {} to {}", range.start(), range.end()),
        );
    }
    number
}

/// Reads a list, which may be empty.
fn list<'t>(
    doc: &mut Doc<'_>,
    value: &'t Spanned<DeValue<'t>>,
    name: &str,
) -> &'t [Spanned<DeValue<'t>>] {
    match value.get_ref().as_array() {
        Some(items) => items,
        None => {
            wrong_type(doc, value, name, "a list");
            &[]
        }
    }
}

/// Reads a list that must hold at least one value.
pub(crate) fn some_list<'t>(
    doc: &mut Doc<'_>,
    value: &'t Spanned<DeValue<'t>>,
    name: &str,
) -> &'t [Spanned<DeValue<'t>>] {
    if is_empty_list(value) {
        empty_list(doc, value, name);
    }
    list(doc, value, name)
}

fn is_empty_list(value: &Spanned<DeValue<'_>>) -> bool {
    value
        .get_ref()
        .as_array()
        .is_some_and(|items| items.is_empty())
}

fn empty_list(doc: &mut Doc<'_>, value: &Spanned<DeValue<'_>>, name: &str) {
    doc.add(
        FindingCode::OutOfRange,
        value.span().start,
        format!("`{name}` is an empty list"),
        "name at least one",
    );
}

fn table<'t>(
    doc: &mut Doc<'_>,
    value: &'t Spanned<DeValue<'t>>,
    what: &'static str,
) -> Option<Fields<'t>> {
    let table = value.get_ref().as_table();
    if table.is_none() {
        wrong_type(doc, value, what, "a table");
    }
    table.map(|table| Fields::new(table, value.span().start, what))
}

fn addr(doc: &mut Doc<'_>, text: At<&str>, name: &str, port: Port) -> Option<At<SocketAddr>> {
    let Ok(addr) = text.value.parse::<SocketAddr>() else {
        doc.add(
            FindingCode::OutOfRange,
            text.offset,
            format!("`{name}` has {:?}, which is no address", text.value),
            "write IP number and port, e.g. \"10.0.0.1:7000\" or \"[fd00::1]:7000\"",
        );
        return None;
    };
    if addr.port() == 0 && port == Port::Named {
        doc.add(
            FindingCode::OutOfRange,
            text.offset,
            format!("`{name}` has {addr} with port 0"),
            "use a port from 1 to 65535",
        );
    }
    check_ip(doc, addr.ip(), text.offset, name);
    Some(At {
        value: addr,
        offset: text.offset,
    })
}

fn check_ip(doc: &mut Doc<'_>, ip: IpAddr, offset: usize, name: &str) {
    if ip.is_unspecified() || ip.is_multicast() {
        doc.add(
            FindingCode::OutOfRange,
            offset,
            format!("`{name}` has {ip}, which others cannot connect to"),
            "use the IP number of one network interface",
        );
    }
}

fn check_id<'t>(doc: &mut Doc<'_>, id: At<&'t str>) -> Option<At<&'t str>> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_id =
        !id.value.is_empty() && id.value.len() <= MAX_ID_BYTES && id.value.chars().all(is_allowed);
    if !is_id {
        doc.add(
            FindingCode::OutOfRange,
            id.offset,
            format!("{:?} is no name", id.value),
            format!("use 1 to {MAX_ID_BYTES} letters, digits, `-`, `_` or `.`"),
        );
    }
    is_id.then_some(id)
}

/// Reports a value of the wrong type.
pub(crate) fn wrong_type(
    doc: &mut Doc<'_>,
    value: &Spanned<DeValue<'_>>,
    name: &str,
    expected: &str,
) {
    doc.add(
        FindingCode::WrongType,
        value.span().start,
        format!(
            "`{name}` is of type {}, expected {expected}",
            value.get_ref().type_str()
        ),
        format!("write {expected}"),
    );
}
