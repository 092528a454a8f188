//! Token bucket of one holder for one client account.

use std::time::Duration;

use apricotlug_model::MonoTime;

use crate::budget::Part;

/// Nano-tokens in one token. A rate in thousandths per second times microseconds gives
/// nano-tokens without a division, so that nothing is ever rounded up.
const NANOS_PER_TOKEN: u64 = 1_000_000_000;

/// Time after which a caller may come again where no allotment is held.
const RETRY_WITHOUT_ALLOTMENT: Duration = Duration::from_secs(1);

/// Answer to a request for one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// One token was taken.
    Granted,
    /// No token was there.
    Refused {
        /// Earliest point at which a token can be there.
        retry_at: MonoTime,
    },
}

/// Token bucket with a part that stays the same until a deadline.
///
/// It starts without tokens, refills up to its deadline only, and its content never exceeds the
/// burst of its part.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    part: Part,
    until: MonoTime,
    nanos: u64,
    refilled_at: MonoTime,
}

impl Bucket {
    /// Returns an empty bucket that holds no part.
    #[must_use]
    pub fn empty(now: MonoTime) -> Self {
        Self {
            refilled_at: now,
            ..Self::default()
        }
    }

    /// Returns the part that the bucket refills by.
    #[must_use]
    pub fn part(&self) -> Part {
        self.part
    }

    /// Returns the point at which the part ends.
    #[must_use]
    pub fn until(&self) -> MonoTime {
        self.until
    }

    /// Returns the point up to which the bucket has been refilled.
    #[must_use]
    pub fn refilled_at(&self) -> MonoTime {
        self.refilled_at
    }

    /// Returns the content, in whole tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.nanos / NANOS_PER_TOKEN
    }

    /// Replaces the part from the point on up to which the bucket has been refilled. Tokens beyond
    /// the new burst are lost.
    pub fn set_part(&mut self, part: Part, until: MonoTime) {
        self.part = part;
        self.until = until;
        self.nanos = self.nanos.min(capacity(part));
    }

    /// Takes out up to a number of tokens and returns how many there were.
    pub fn take(&mut self, tokens: u64) -> u64 {
        let taken = tokens.min(self.tokens());
        self.nanos -= taken * NANOS_PER_TOKEN;
        taken
    }

    /// Refills up to `now`, or up to the deadline where that is earlier. An earlier `now` than the
    /// last one changes nothing.
    pub fn refill(&mut self, now: MonoTime) {
        let end = now.min(self.until);
        if end > self.refilled_at {
            let micros = end.0 - self.refilled_at.0;
            let nanos = self.part.rate_milli.saturating_mul(micros);
            self.nanos = self.nanos.saturating_add(nanos).min(capacity(self.part));
        }
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes one token, unless the part has ended or no token is there.
    pub fn spend(&mut self, now: MonoTime) -> Admission {
        self.refill(now);
        if self.until.is_past(self.refilled_at) || self.nanos < NANOS_PER_TOKEN {
            let retry_at = self.retry_at();
            return Admission::Refused { retry_at };
        }
        self.nanos -= NANOS_PER_TOKEN;
        Admission::Granted
    }

    fn retry_at(&self) -> MonoTime {
        let is_ended = self.until.is_past(self.refilled_at);
        if is_ended || self.part.rate_milli == 0 || self.part.burst == 0 {
            return self.refilled_at.after(RETRY_WITHOUT_ALLOTMENT);
        }
        let missing = NANOS_PER_TOKEN.saturating_sub(self.nanos);
        let micros = missing.div_ceil(self.part.rate_milli);
        self.refilled_at.after(Duration::from_micros(micros))
    }
}

fn capacity(part: Part) -> u64 {
    part.burst.saturating_mul(NANOS_PER_TOKEN)
}
