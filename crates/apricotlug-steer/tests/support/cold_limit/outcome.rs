//! What a play has shown, and what is wrong with it.

use super::{COLD_MS, Row, Sheet};

/// Share of the usable rate that instances use at least where all know each other, and all have
/// requests without end.
const MIN_USED: f64 = 0.7;

/// What a play has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Largest number of requests in a second.
    pub most: usize,
    /// Number of instances that sent them.
    pub senders: usize,
    /// When that second ended, in milliseconds from the start.
    pub at: u64,
    /// Time at which it became cold of a period in which it got none.
    pub unused_from: Option<u64>,
    /// Requests, and milliseconds for which it was cold.
    pub sent: usize,
    pub cold_ms: u64,
}

impl Outcome {
    /// Returns what is wrong with it, or `None`.
    pub fn finding(&self, sheet: &Sheet, row: Row) -> Option<String> {
        let Self {
            most, senders, at, ..
        } = self;
        if *most as f64 > sheet.bound() {
            let bound = sheet.bound();
            return Some(format!(
                "{most} requests of {senders} instances in the second to {at} ms, {bound:.1} allowed"
            ));
        }
        let used = self.used_share(sheet) * sheet.rate / sheet.usable_rate();
        if row == Row::Settled && sheet.played_one_in == 1 && used < MIN_USED {
            return Some(format!("{used:.2} of the usable rate is used"));
        }
        self.unused_from
            .map(|from| format!("no request in {COLD_MS} ms from {from} ms"))
    }

    /// Returns the share of the requests that it is made for that it got.
    pub fn used_share(&self, sheet: &Sheet) -> f64 {
        self.sent as f64 * 1_000.0 / (sheet.rate * self.cold_ms.max(1) as f64)
    }
}
