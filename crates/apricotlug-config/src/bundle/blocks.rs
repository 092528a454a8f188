//! Blocks of client addresses.

use std::{net::IpAddr, ops::Range};

use apricotlug_model::{Block, BlockTable, Bundle, FindingCode, SiteKey};
use toml::{Spanned, de::DeValue};

use super::names::Names;
use crate::{
    doc::{At, Doc},
    fields::Fields,
    value,
};

/// Home of blocks whose site is a finding; never part of an accepted bundle.
const UNKNOWN_SITE: SiteKey = SiteKey(u32::MAX);

/// Reads the blocks of all sites.
pub(super) fn read<'t>(
    doc: &mut Doc<'_>,
    fields: &mut Fields<'t>,
    sites: &Names<'t, SiteKey>,
    bundle: &mut Bundle,
) {
    let Some(table) = fields.optional_table(doc, "blocks", "`blocks`") else {
        return;
    };
    let mut rows = Rows::default();
    for (site, value) in table.entries() {
        rows.home = sites.resolve(doc, site);
        rows.read_site(doc, site.value, value);
    }
    bundle.blocks = rows.build(doc);
}

/// Blocks read so far, with their offsets.
#[derive(Default)]
struct Rows {
    home: Option<SiteKey>,
    blocks: Vec<Block>,
    offsets: Vec<usize>,
}

impl Rows {
    /// Reads the blocks of one site: a list of strings, or one string with blocks between white
    /// space. A long list takes a fraction of the memory as one string.
    fn read_site(&mut self, doc: &mut Doc<'_>, site: &str, value: &Spanned<DeValue<'_>>) {
        if let Some(text) = value.get_ref().as_str() {
            self.read_text(doc, site, text, value.span());
            return;
        }
        for item in value::some_list(doc, value, site) {
            if let Some(text) = value::string(doc, item, "block") {
                self.push(doc, text);
            }
        }
    }

    fn read_text(&mut self, doc: &mut Doc<'_>, site: &str, text: &str, span: Range<usize>) {
        let start = doc.offset_within(span.clone(), text);
        for word in text.split_whitespace() {
            let offset = match start {
                Some(start) => start + offset_of_word(text, word),
                None => span.start,
            };
            let value = word;
            self.push(doc, At { value, offset });
        }
        if text.trim().is_empty() {
            value::empty_list(doc, span.start, site);
        }
    }

    fn push(&mut self, doc: &mut Doc<'_>, text: At<&str>) {
        let Some((network, prefix)) = parse_block(doc, text) else {
            return;
        };
        self.blocks.push(Block {
            network,
            prefix,
            home: self.home.unwrap_or(UNKNOWN_SITE),
        });
        self.offsets.push(text.offset);
    }

    fn build(self, doc: &mut Doc<'_>) -> BlockTable {
        let overlaps = match BlockTable::build(&self.blocks) {
            Ok(table) => return table,
            Err(overlaps) => overlaps,
        };
        for (first, second) in overlaps {
            add_overlap(doc, self.row(first), self.row(second));
        }
        BlockTable::default()
    }

    fn row(&self, i: usize) -> (&Block, usize) {
        (&self.blocks[i], self.offsets[i])
    }
}

/// Returns the offset of a word that is a part of the text.
fn offset_of_word(text: &str, word: &str) -> usize {
    word.as_ptr().addr() - text.as_ptr().addr()
}

fn add_overlap(doc: &mut Doc<'_>, a: (&Block, usize), b: (&Block, usize)) {
    let (first, second) = if a.1 <= b.1 { (a, b) } else { (b, a) };
    let line = doc.line(first.1);
    doc.add(
        FindingCode::Duplicate,
        second.1,
        format!(
            "{}/{} overlaps {}/{} on line {line}",
            second.0.network, second.0.prefix, first.0.network, first.0.prefix
        ),
        "give each address to one site only",
    );
}

fn parse_block(doc: &mut Doc<'_>, text: At<&str>) -> Option<(IpAddr, u8)> {
    let parsed = split_block(text.value);
    let Some((ip, prefix)) = parsed else {
        doc.add(
            FindingCode::OutOfRange,
            text.offset,
            format!("{:?} is no block", text.value),
            "write network and prefix length, e.g. \"10.0.0.0/16\" or \"2001:db8::/32\"",
        );
        return None;
    };
    if ip.to_canonical() != ip {
        doc.add(
            FindingCode::OutOfRange,
            text.offset,
            format!(
                "{} is IPv4 written as IPv6, and would match no client",
                text.value
            ),
            "write it as an IPv4 block",
        );
        return None;
    }
    let network = network(ip, prefix);
    if network != ip {
        doc.add(
            FindingCode::OutOfRange,
            text.offset,
            format!("{} has bits set beyond its prefix", text.value),
            format!("write {network}/{prefix}"),
        );
        return None;
    }
    Some((ip, prefix))
}

fn split_block(text: &str) -> Option<(IpAddr, u8)> {
    let (ip, prefix) = text.split_once('/')?;
    let ip: IpAddr = ip.parse().ok()?;
    let is_plain = prefix.bytes().all(|digit| digit.is_ascii_digit());
    let prefix: u8 = prefix.parse().ok()?;
    let bits = if ip.is_ipv4() { 32 } else { 128 };
    (is_plain && prefix <= bits).then_some((ip, prefix))
}

fn network(ip: IpAddr, prefix: u8) -> IpAddr {
    let prefix = u32::from(prefix);
    match ip {
        IpAddr::V4(ip) => {
            let host = u32::MAX.checked_shr(prefix).unwrap_or(0);
            IpAddr::V4((u32::from(ip) & !host).into())
        }
        IpAddr::V6(ip) => {
            let host = u128::MAX.checked_shr(prefix).unwrap_or(0);
            IpAddr::V6((u128::from(ip) & !host).into())
        }
    }
}
