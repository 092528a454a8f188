//! Blocks of client addresses and the table that finds the block of an address.

use std::net::IpAddr;

use crate::SiteKey;

/// Block of client addresses that has one home site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// First address of the block.
    pub network: IpAddr,
    /// Length of the common prefix, in bits.
    pub prefix: u8,
    /// Site that serves the block while nothing speaks against it.
    pub home: SiteKey,
}

/// Table of disjoint blocks, sorted by address, searched by bisection.
///
/// IPv4 and IPv6 blocks stand in vectors of their own: an IPv4 row takes 12 bytes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BlockTable {
    v4: Vec<(u32, u32, SiteKey)>,
    v6: Vec<(u128, u128, SiteKey)>,
}

impl BlockTable {
    /// Builds the table.
    ///
    /// # Errors
    /// Returns the pairs of blocks that overlap, each as indices into `blocks`.
    pub fn build(blocks: &[Block]) -> Result<Self, Vec<(usize, usize)>> {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (i, block) in blocks.iter().enumerate() {
            match block.network {
                IpAddr::V4(ip) => {
                    let first = u32::from(ip);
                    let last = first | u32::MAX.checked_shr(block.prefix.into()).unwrap_or(0);
                    v4.push((first, last, block.home, i));
                }
                IpAddr::V6(ip) => {
                    let first = u128::from(ip);
                    let last = first | u128::MAX.checked_shr(block.prefix.into()).unwrap_or(0);
                    v6.push((first, last, block.home, i));
                }
            }
        }
        v4.sort_unstable_by_key(|row| (row.0, row.3));
        v6.sort_unstable_by_key(|row| (row.0, row.3));
        let mut overlaps = overlaps(&v4);
        overlaps.extend(self::overlaps(&v6));
        if !overlaps.is_empty() {
            return Err(overlaps);
        }
        Ok(Self {
            v4: v4
                .into_iter()
                .map(|(first, last, home, _)| (first, last, home))
                .collect(),
            v6: v6
                .into_iter()
                .map(|(first, last, home, _)| (first, last, home))
                .collect(),
        })
    }

    /// Returns the home site of the block that holds the address.
    #[must_use]
    pub fn home(&self, addr: IpAddr) -> Option<SiteKey> {
        match addr.to_canonical() {
            IpAddr::V4(ip) => find(&self.v4, u32::from(ip)),
            IpAddr::V6(ip) => find(&self.v6, u128::from(ip)),
        }
    }

    /// Iterates over the blocks: IPv4 before IPv6, each in the order of addresses.
    pub fn iter(&self) -> impl Iterator<Item = Block> {
        let v4 = self.v4.iter().map(|&(first, last, home)| Block {
            network: IpAddr::V4(first.into()),
            prefix: prefix((first ^ last).leading_zeros()),
            home,
        });
        let v6 = self.v6.iter().map(|&(first, last, home)| Block {
            network: IpAddr::V6(first.into()),
            prefix: prefix((first ^ last).leading_zeros()),
            home,
        });
        v4.chain(v6)
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Tells whether the table holds no block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Narrows the number of leading bits that two addresses share.
fn prefix(bits: u32) -> u8 {
    u8::try_from(bits).unwrap_or(u8::MAX)
}

fn find<T: Ord + Copy>(rows: &[(T, T, SiteKey)], addr: T) -> Option<SiteKey> {
    let next = rows.partition_point(|row| row.0 <= addr);
    let row = rows.get(next.checked_sub(1)?)?;
    (addr <= row.1).then_some(row.2)
}

fn overlaps<T: Ord + Copy>(rows: &[(T, T, SiteKey, usize)]) -> Vec<(usize, usize)> {
    let mut overlaps = Vec::new();
    let mut widest: Option<&(T, T, SiteKey, usize)> = None;
    for row in rows {
        if let Some(before) = widest.filter(|before| row.0 <= before.1) {
            overlaps.push((before.3, row.3));
        }
        if widest.is_none_or(|before| row.1 > before.1) {
            widest = Some(row);
        }
    }
    overlaps
}
