//! Blocks of client addresses.

use std::net::IpAddr;

use apricotlug_model::{Block, BlockTable, Bundle, FindingCode, SiteKey};

use super::names::Names;
use crate::{
    doc::{At, Doc},
    fields::Fields,
    value,
};

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
    let mut blocks = Vec::new();
    let mut offsets = Vec::new();
    for (site, list) in table.entries() {
        let home = sites.resolve(doc, site);
        for item in value::some_list(doc, list, site.value) {
            let Some(text) = value::string(doc, item, "block") else {
                continue;
            };
            let Some((network, prefix)) = parse_block(doc, text) else {
                continue;
            };
            blocks.push(Block {
                network,
                prefix,
                home: home.unwrap_or(SiteKey(u32::MAX)),
            });
            offsets.push(text.offset);
        }
    }
    match BlockTable::build(&blocks) {
        Ok(table) => bundle.blocks = table,
        Err(overlaps) => {
            for (first, second) in overlaps {
                add_overlap(
                    doc,
                    (&blocks[first], offsets[first]),
                    (&blocks[second], offsets[second]),
                );
            }
        }
    }
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
