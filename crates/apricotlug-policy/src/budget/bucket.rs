//! Token bucket that one instance keeps for one client account.

use std::time::Duration;

use apricotlug_model::MonoTime;

use crate::budget::Share;

/// Nano-tokens in one token. A rate in thousandths per second multiplied by microseconds gives
/// nano-tokens without a division, so that nothing is ever rounded up.
const NANO_TOKENS_PER_TOKEN: u64 = 1_000_000_000;

/// Time until a caller may retry while the bucket has no share to refill from.
const RETRY_WITHOUT_ALLOTMENT: Duration = Duration::from_secs(1);

/// Result of a request for one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// One token was taken.
    Granted,
    /// No token was available.
    Refused {
        /// Earliest time at which a token can be available.
        retry_at: MonoTime,
    },
}

/// Token bucket that refills at the rate of a share until a deadline.
///
/// It starts without tokens, and its content never exceeds the burst of the share. Nothing is
/// granted from the deadline on.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    share: Share,
    until: MonoTime,
    nano_tokens: u64,
    refilled_at: MonoTime,
}

impl Bucket {
    /// Creates a bucket without tokens and without a share.
    #[must_use]
    pub fn empty(now: MonoTime) -> Self {
        Self {
            refilled_at: now,
            ..Self::default()
        }
    }

    /// Returns the share that sets the refill rate and the capacity.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns the deadline from which on the bucket neither refills nor grants tokens.
    #[must_use]
    pub fn until(&self) -> MonoTime {
        self.until
    }

    /// Returns the time up to which the bucket has been refilled.
    #[must_use]
    pub fn refilled_at(&self) -> MonoTime {
        self.refilled_at
    }

    /// Returns the content in whole tokens, rounded down.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.nano_tokens / NANO_TOKENS_PER_TOKEN
    }

    /// Replaces the share, effective from the time of the last refill. Tokens beyond the new burst
    /// are lost.
    pub fn set_share(&mut self, share: Share, until: MonoTime) {
        self.share = share;
        self.until = until;
        self.nano_tokens = self.nano_tokens.min(capacity(share));
    }

    /// Removes up to `tokens` whole tokens and returns how many were removed. Does not refill
    /// first.
    pub fn take(&mut self, tokens: u64) -> u64 {
        let taken = tokens.min(self.tokens());
        self.nano_tokens -= taken * NANO_TOKENS_PER_TOKEN;
        taken
    }

    /// Refills up to `now`, or up to the deadline if that is earlier. A `now` before the last
    /// refill changes nothing.
    pub fn refill(&mut self, now: MonoTime) {
        let end = now.min(self.until);
        if end > self.refilled_at {
            let micros = end.0 - self.refilled_at.0;
            let nano_tokens = self.share.rate_milli.saturating_mul(micros);
            self.nano_tokens = self
                .nano_tokens
                .saturating_add(nano_tokens)
                .min(capacity(self.share));
        }
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes one token, unless the deadline has passed or no token is available.
    pub fn spend(&mut self, now: MonoTime) -> Admission {
        self.refill(now);
        if self.until.is_past(self.refilled_at) || self.nano_tokens < NANO_TOKENS_PER_TOKEN {
            let retry_at = self.retry_at();
            return Admission::Refused { retry_at };
        }
        self.nano_tokens -= NANO_TOKENS_PER_TOKEN;
        Admission::Granted
    }

    fn retry_at(&self) -> MonoTime {
        let has_ended = self.until.is_past(self.refilled_at);
        if has_ended || self.share.rate_milli == 0 || self.share.burst == 0 {
            return self.refilled_at.after(RETRY_WITHOUT_ALLOTMENT);
        }
        let missing = NANO_TOKENS_PER_TOKEN.saturating_sub(self.nano_tokens);
        let micros = missing.div_ceil(self.share.rate_milli);
        self.refilled_at.after(Duration::from_micros(micros))
    }
}

fn capacity(share: Share) -> u64 {
    share.burst.saturating_mul(NANO_TOKENS_PER_TOKEN)
}
