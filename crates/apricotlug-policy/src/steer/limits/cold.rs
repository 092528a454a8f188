//! Rate limit for cold backend servers, which can handle only few requests per second from all
//! instances together.
//!
//! Instances take turns, in an order that differs from one backend server to the next. Each counts the
//! turns by its share of the limit, so that the rate holds whoever else sends, and a turn that passes
//! without a request is lost: after a quiet time, or a return of many callers at once, no two instances
//! have requests to make up for.

use std::time::Duration;

use apricotlug_model::MonoTime;

use super::limit_share::LimitShare;

/// Time within which a turn can be used. Requests for one backend server come to an instance only now
/// and then, so that a shorter one would often pass without any.
const TURN: Duration = Duration::from_millis(500);

/// Groups of instances that do not know of each other for which the stated bound has room.
const GROUPS: f64 = 2.0;

/// Largest share of the rate that backend servers bear which all instances together use, whatever the
/// bound allows beyond.
const MAX_USED_SHARE: f64 = 0.9;

/// Returns the requests per second that all instances together send to a cold backend server.
///
/// It bears `rate` requests per second, and may get `rate * overage + slack` in one second. Two groups
/// of instances that do not know of each other stay within that, also where all turns that begin
/// within a second and the time of a turn are used in one second.
#[must_use]
pub fn usable_cold_rate(rate: f64, overage: f64, slack: f64) -> f64 {
    let allowed = rate * overage + slack;
    let counted_s = 1.0 + TURN.as_secs_f64();
    (allowed / (GROUPS * counted_s)).min(rate * MAX_USED_SHARE)
}

/// Turns of this instance at one backend server while that one is cold.
#[derive(Clone, Copy, Debug)]
struct Turns {
    /// Accrued share at the start.
    start_s: f64,
    /// Place of this instance among those that take turns, 0 to 1.
    place: f64,
    /// Number of the last turn that was used, from 1; 0 for none.
    last_used: u64,
}

impl Turns {
    /// Returns the number of the turn that can be used at `now`, from 1.
    fn current(&self, now: MonoTime, rate: f64, region: &str, share: &LimitShare) -> Option<u64> {
        let turns = (share.accrued_s(region, now) - self.start_s) * rate - self.place;
        let since_start_s = turns.fract() / (rate * share.in_region(region));
        let is_open = turns >= 0.0 && since_start_s < TURN.as_secs_f64();
        is_open.then_some(turns as u64 + 1)
    }
}

/// Rate limiter of one instance for one backend server. Not cold by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdGate {
    until: MonoTime,
    turns: Option<Turns>,
}

impl ColdGate {
    /// Marks the backend server as cold until the given time, by its newest record. Records are read
    /// in the order in which they were written, so a later one may shorten the period.
    pub fn on_record(&mut self, until: MonoTime) {
        self.until = until;
    }

    /// Marks the backend server as cold until the given time, by another source than its records.
    /// That does not shorten the period, because the source may be older than the last record.
    pub fn set_cold_until(&mut self, until: MonoTime) {
        self.until = self.until.max(until);
    }

    /// Returns whether the backend server counts as cold at `now`.
    #[must_use]
    pub fn is_cold(&self, now: MonoTime) -> bool {
        !self.until.is_past(now)
    }

    /// Returns for how long the backend server still counts as cold.
    #[must_use]
    pub fn remaining(&self, now: MonoTime) -> Duration {
        self.until.since(now)
    }

    /// Starts or ends the turns at the backend server, whose hash determines their order.
    pub fn update(&mut self, now: MonoTime, hash: u64, region: &str, share: &LimitShare) {
        if !self.is_cold(now) {
            self.turns = None;
        } else if self.turns.is_none() && share.in_region(region) > 0.0 {
            self.turns = Some(Turns {
                start_s: share.accrued_s(region, now),
                place: share.place(region, hash),
                last_used: 0,
            });
        }
    }

    /// Returns whether this instance may send it a request now. `rate` is the limit in requests per
    /// second from all instances, 0 for none, and `region` the one of the backend server.
    #[must_use]
    pub fn may_send(&self, now: MonoTime, rate: f64, region: &str, share: &LimitShare) -> bool {
        if !self.is_cold(now) || rate <= 0.0 {
            return true;
        }
        self.turns.is_some_and(|turns| {
            let current = turns.current(now, rate, region, share);
            current.is_some_and(|turn| turn > turns.last_used)
        })
    }

    /// Records that a request was sent.
    pub fn on_send(&mut self, now: MonoTime, rate: f64, region: &str, share: &LimitShare) {
        if let Some(turns) = &mut self.turns
            && let Some(turn) = turns.current(now, rate, region, share)
        {
            turns.last_used = turn;
        }
    }
}
