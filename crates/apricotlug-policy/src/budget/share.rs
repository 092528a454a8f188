//! Share of a budget: a rate and a burst.

use std::iter::Sum;

use apricotlug_model::Account;

/// Thousandths of a request per second in one request per second.
const MILLI: u64 = 1_000;

/// Share of a client account's budget, or all of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Share {
    /// Rate, in thousandths of a request per second.
    pub rate_milli: u64,
    /// Burst, in requests.
    pub burst: u64,
}

impl Share {
    /// Share from which nothing can be spent.
    pub const ZERO: Self = Self {
        rate_milli: 0,
        burst: 0,
    };

    /// Returns the whole budget of a client account.
    #[must_use]
    pub fn budget_of(account: &Account) -> Self {
        Self {
            rate_milli: u64::from(account.rate) * MILLI,
            burst: account.burst.into(),
        }
    }

    /// Tells whether both rate and burst are zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::ZERO
    }

    /// Adds two shares; rate and burst saturate.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.saturating_add(other.rate_milli),
            burst: self.burst.saturating_add(other.burst),
        }
    }

    /// Subtracts another share; rate and burst stop at zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.saturating_sub(other.rate_milli),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    /// Returns the smaller rate and the smaller burst of two shares.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.min(other.rate_milli),
            burst: self.burst.min(other.burst),
        }
    }

    /// Returns the larger rate and the larger burst of two shares.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.max(other.rate_milli),
            burst: self.burst.max(other.burst),
        }
    }

    /// Tells whether neither rate nor burst exceeds that of another share.
    #[must_use]
    pub fn fits(self, other: Self) -> bool {
        self.rate_milli <= other.rate_milli && self.burst <= other.burst
    }

    /// Scales rate and burst by `to / from`, rounded down; where `to` is not smaller, nothing
    /// changes.
    #[must_use]
    pub fn scaled_down(self, from: Self, to: Self) -> Self {
        Self {
            rate_milli: scaled(self.rate_milli, from.rate_milli, to.rate_milli),
            burst: scaled(self.burst, from.burst, to.burst),
        }
    }
}

impl Sum for Share {
    fn sum<I: Iterator<Item = Self>>(shares: I) -> Self {
        shares.fold(Self::ZERO, Self::plus)
    }
}

fn scaled(value: u64, from: u64, to: u64) -> u64 {
    if to >= from {
        return value;
    }
    let product = u128::from(value) * u128::from(to) / u128::from(from);
    u64::try_from(product).unwrap_or(value)
}
