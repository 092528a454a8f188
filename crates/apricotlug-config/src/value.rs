//! Readers of single TOML values: each records what is wrong with its value.

use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
};

use apricotlug_model::FindingCode;
use toml::{Spanned, de::DeValue};

use crate::{
    doc::{At, Doc},
    fields::Fields,
};

const MAX_ID_BYTES: usize = 64;

/// Port rule for an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    /// The system may pick a free port: port 0 is allowed.
    Any,
    /// The port must be named.
    Named,
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

/// Reads a time with its unit, `ms` or `s`, in whole milliseconds.
pub(crate) fn span_ms(doc: &mut Doc<'_>, text: At<&str>, name: &str) -> Option<u32> {
    let (number, scale) = match text.value.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.value.strip_suffix('s').unwrap_or_default(), 1_000.0),
    };
    let ms = number.trim().parse::<f64>().ok().map(|value| value * scale);
    let ms = ms.filter(|ms| (0.0..=f64::from(u32::MAX)).contains(ms));
    if ms.is_none() {
        doc.add(
            FindingCode::OutOfRange,
            text.offset,
            format!("`{name}` is {:?}, which is no time", text.value),
            "write a number and its unit, e.g. \"1500ms\" or \"2.5s\"",
        );
    }
    ms.map(|ms| ms as u32)
}

/// Reads a number that is not negative.
pub(crate) fn number(doc: &mut Doc<'_>, value: &Spanned<DeValue<'_>>, name: &str) -> Option<f64> {
    let text = match value.get_ref() {
        DeValue::Integer(digits) => Some(digits.as_str().to_owned()),
        DeValue::Float(digits) => Some(digits.as_str().to_owned()),
        _ => None,
    };
    let Some(text) = text else {
        wrong_type(doc, value, name, "a number");
        return None;
    };
    let number = text.parse::<f64>().ok().filter(|number| *number >= 0.0);
    if number.is_none() {
        doc.add(
            FindingCode::OutOfRange,
            value.span().start,
            format!("`{name}` is {text}"),
            "use a number that is not negative",
        );
    }
    number
}

/// Reads a list, which may be empty.
pub(crate) fn list<'t>(
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
        empty_list(doc, value.span().start, name);
    }
    list(doc, value, name)
}

pub(crate) fn is_empty_list(value: &Spanned<DeValue<'_>>) -> bool {
    value
        .get_ref()
        .as_array()
        .is_some_and(|items| items.is_empty())
}

pub(crate) fn empty_list(doc: &mut Doc<'_>, offset: usize, name: &str) {
    doc.add(
        FindingCode::OutOfRange,
        offset,
        format!("`{name}` is an empty list"),
        "name at least one",
    );
}

pub(crate) fn table<'t>(
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

pub(crate) fn addr(
    doc: &mut Doc<'_>,
    text: At<&str>,
    name: &str,
    port: Port,
) -> Option<At<SocketAddr>> {
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

/// Tells whether a text may name an entry.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.chars().all(is_allowed)
}

pub(crate) fn check_id<'t>(doc: &mut Doc<'_>, id: At<&'t str>) -> Option<At<&'t str>> {
    let is_id = is_name(id.value);
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
