//! What cached answers may still bring to a region.

use apricotlug_model::UnixTime;

/// Number of time slices. Answers live for less than all but two of them.
const SLICES: usize = 32;
/// Span of a slice, in microseconds.
const SLICE_US: u64 = 250_000;

/// Live answers and their charges by the time slice in which they expire.
///
/// A charge ends with the slice after the one in which its answer expires, so that a caller
/// whose clock is a slice behind is still counted.
#[derive(Clone, Debug, Default)]
pub(super) struct ChargeRing {
    slices: [Charge; SLICES],
    sum: Charge,
    first_slice: u64,
}

/// Answers with what they may bring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Charge {
    /// Number of answers.
    pub(super) answers: u64,
    /// Slots that their callers may occupy, in thousandths.
    pub(super) milli_slots: u64,
}

impl ChargeRing {
    /// Counts an answer until it expires.
    pub(super) fn add(&mut self, milli_slots: u64, expires_at: UnixTime, now: UnixTime) {
        let charge = self.slice(expires_at, now);
        charge.answers += 1;
        charge.milli_slots += milli_slots;
        self.sum.answers += 1;
        self.sum.milli_slots += milli_slots;
    }

    /// Stops counting an answer that carried no charge, before it expires.
    pub(super) fn remove_uncharged(&mut self, expires_at: UnixTime, now: UnixTime) {
        let charge = self.slice(expires_at, now);
        if charge.answers > 0 {
            charge.answers -= 1;
            self.sum.answers -= 1;
        }
    }

    /// Returns the sum over live answers.
    pub(super) fn live(&mut self, now: UnixTime) -> Charge {
        self.advance(now);
        self.sum
    }

    fn slice(&mut self, expires_at: UnixTime, now: UnixTime) -> &mut Charge {
        self.advance(now);
        let last = self.first_slice + SLICES as u64 - 1;
        let slice = (expires_at.0 / SLICE_US + 1).clamp(self.first_slice, last);
        &mut self.slices[(slice % SLICES as u64) as usize]
    }

    /// Drops the slices that are over. A clock that goes back changes nothing.
    fn advance(&mut self, now: UnixTime) {
        let present = now.0 / SLICE_US;
        let over = present.saturating_sub(self.first_slice).min(SLICES as u64);
        for slice in self.first_slice..self.first_slice + over {
            let charge = std::mem::take(&mut self.slices[(slice % SLICES as u64) as usize]);
            self.sum.answers -= charge.answers;
            self.sum.milli_slots -= charge.milli_slots;
        }
        self.first_slice = self.first_slice.max(present);
    }
}
