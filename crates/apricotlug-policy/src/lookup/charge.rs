//! Load that callers with cached answers may still bring to a region.

use apricotlug_model::UnixTime;

/// Number of time slices. The lifetime of an answer must be shorter than `SLICES - 2` slices.
const SLICES: usize = 32;
/// Length of a slice, in microseconds.
const SLICE_US: u64 = 250_000;

/// Unexpired answers and their charges, grouped by the time slice in which they expire.
///
/// A charge is kept until the end of the slice after the one in which its answer expires, so that
/// a caller whose clock is one slice behind is still counted.
#[derive(Clone, Debug, Default)]
pub(super) struct ChargeRing {
    slices: [Charge; SLICES],
    total: Charge,
    first_slice: u64,
}

/// Number of answers and the load that they may cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Charge {
    /// Number of answers.
    pub(super) answers: u64,
    /// Backend slots that their callers may occupy, in thousandths of a slot.
    pub(super) milli_slots: u64,
}

impl ChargeRing {
    /// Counts an answer until it expires.
    pub(super) fn add(&mut self, milli_slots: u64, expires_at: UnixTime, now: UnixTime) {
        let charge = self.slice(expires_at, now);
        charge.answers += 1;
        charge.milli_slots += milli_slots;
        self.total.answers += 1;
        self.total.milli_slots += milli_slots;
    }

    /// Removes an answer that was added with a charge of zero, before it expires.
    pub(super) fn remove_uncharged(&mut self, expires_at: UnixTime, now: UnixTime) {
        let charge = self.slice(expires_at, now);
        if charge.answers > 0 {
            charge.answers -= 1;
            self.total.answers -= 1;
        }
    }

    /// Returns the total over all unexpired answers.
    pub(super) fn live(&mut self, now: UnixTime) -> Charge {
        self.advance(now);
        self.total
    }

    fn slice(&mut self, expires_at: UnixTime, now: UnixTime) -> &mut Charge {
        self.advance(now);
        let last = self.first_slice + SLICES as u64 - 1;
        let slice = (expires_at.0 / SLICE_US + 1).clamp(self.first_slice, last);
        &mut self.slices[(slice % SLICES as u64) as usize]
    }

    /// Clears the slices that have ended. Has no effect if the clock went backwards.
    fn advance(&mut self, now: UnixTime) {
        let current = now.0 / SLICE_US;
        let expired_slices = current.saturating_sub(self.first_slice).min(SLICES as u64);
        for slice in self.first_slice..self.first_slice + expired_slices {
            let charge = std::mem::take(&mut self.slices[(slice % SLICES as u64) as usize]);
            self.total.answers -= charge.answers;
            self.total.milli_slots -= charge.milli_slots;
        }
        self.first_slice = self.first_slice.max(current);
    }
}
