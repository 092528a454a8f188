//! Cut on rank: how much of the less urgent ranks is refused whatever wait it would have.
//!
//! The wait at a backend server is known late, and a slot that looks free may be taken. The cut
//! depends on nothing but the refusals of this instance: it rises while requests of ranks that are
//! not cut are refused, and falls again once they are admitted.

use std::time::Duration;

use apricotlug_model::MonoTime;

use super::served_share::ServedShare;

/// Time after which a request of a rank that is not cut counts half.
const HALF_LIFE: Duration = Duration::from_millis(1_000);

/// Refused share of the ranks that are not cut, up to which the cut falls.
const TOLERATED_REFUSALS: f64 = 0.02;

/// Ranks per second by which the cut rises at a refused share of 1, and falls without refusals.
const RISE_PER_S: f64 = 4.0;
const FALL_PER_S: f64 = 0.5;

/// Largest time between two requests that counts for a rise.
const MAX_RISE_STEP: Duration = Duration::from_millis(250);

/// Number of ranks that are refused, from the least urgent on, with the part of the last one.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankCut {
    level: f64,
    uncut: ServedShare,
    updated_at: MonoTime,
}

impl Default for RankCut {
    fn default() -> Self {
        Self {
            level: 0.0,
            uncut: ServedShare::new(HALF_LIFE),
            updated_at: MonoTime::default(),
        }
    }
}

impl RankCut {
    /// Returns the share of a rank that passes, 0 to 1. `position` is the number of ranks that are
    /// less urgent.
    pub(super) fn passing_share(&self, position: usize) -> f64 {
        (position as f64 + 1.0 - self.level).clamp(0.0, 1.0)
    }

    /// Records whether a request was admitted of a rank with `position` less urgent ones among
    /// `count` ranks, while room was short by `shortage`, 0 to 1.
    pub(super) fn record(
        &mut self,
        is_admitted: bool,
        (position, count): (usize, usize),
        shortage: f64,
        now: MonoTime,
    ) {
        if self.passing_share(position) >= 1.0 {
            self.uncut.record(is_admitted, now);
        }
        let elapsed = now.since(self.updated_at);
        self.updated_at = now;
        let refused = self.uncut.get(now).map_or(0.0, |admitted| 1.0 - admitted) * shortage;
        let change = if refused > TOLERATED_REFUSALS {
            (refused - TOLERATED_REFUSALS) * RISE_PER_S * elapsed.min(MAX_RISE_STEP).as_secs_f64()
        } else {
            (refused / TOLERATED_REFUSALS - 1.0) * FALL_PER_S * elapsed.as_secs_f64()
        };
        // The most urgent rank is never cut.
        let highest = count.saturating_sub(1) as f64;
        self.level = (self.level + change).clamp(0.0, highest);
    }
}
