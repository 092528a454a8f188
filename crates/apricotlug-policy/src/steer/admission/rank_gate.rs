//! Order under scarcity: which requests get the room of a service that has too little of it.
//!
//! A request is admitted while its wait at the chosen backend server is below a part of the wait that
//! its target latency allows. That part is smaller for a less urgent rank, so that the less urgent
//! are refused first, and what they leave is there for the others. All instances measure the wait at
//! the same backend servers and derive the parts from the same plan, so that they need no messages of
//! their own to agree.

use std::{cmp::Ordering, time::Duration};

use apricotlug_model::{HashMap, MonoTime};

use super::{
    admit::{AdmissionDecision, RequestLimits, decide_with_wait_share},
    rank::Rank,
    rank_cut::RankCut,
    ranked_request::{RankedRequest, Room},
    served_share::ServedShare,
    shortage::Shortage,
};

/// Time after which a request counts half in an admitted share.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Part of the allowed wait that is kept for more urgent ranks, as a multiple of their part of the
/// requests.
const KEPT_WAIT: f64 = 2.0;

/// Requests of a rank that the cut refuses at most, as a multiple of the more urgent requests. Those
/// of the rank itself count again when their callers come back.
const MAX_CUT: f64 = 4.0;

/// Maximum part of the allowed wait that is kept.
const MAX_KEPT_WAIT: f64 = 0.7;

/// Part added for a caller that comes back after a refusal.
const RETURN_BONUS: f64 = 0.15;

/// Part by which a difference between two admitted shares changes the allowed wait.
const SHARE_GAIN: f64 = 1.0;

/// Largest part that a client account gains or loses for its share among those of its rank.
const MAX_ACCOUNT_CHANGE: f64 = 0.1;

/// Admitted share below which the least urgent rank or a client account gets the same room as the
/// most urgent rank, as a fraction of the admitted share of all requests; what each more urgent rank
/// gets in addition, so that the order holds among those with the least room too; and the maximum.
const MIN_SERVED: f64 = 0.33;
const MIN_SERVED_STEP: f64 = 0.08;
const MAX_MIN_SERVED: f64 = 0.6;

/// Admitted share of all requests that is assumed at least where none of a more urgent rank arrives:
/// this instance cannot see then how much of the room those get elsewhere.
const ASSUMED_SERVED: f64 = 0.2;

/// Recent requests of other ranks from which the kept room follows from them. The kept wait follows
/// from the number of ranks else: the more urgent requests may come to other instances.
const MIN_OTHERS: f64 = 2.0;

/// Maximum number of client accounts whose shares are kept.
const MAX_ACCOUNTS: usize = 1_024;

/// Recent requests of the ranks around one.
#[derive(Clone, Copy, Debug, Default)]
struct OtherRanks {
    more_urgent: f64,
    own: f64,
    less_urgent: f64,
}

/// Decides by rank who gets the room of one service.
#[derive(Clone, Debug)]
pub struct RankGate {
    /// Ranks that may compete, the most urgent first.
    ranks: Vec<Rank>,
    all: ServedShare,
    by_rank: HashMap<Rank, ServedShare>,
    by_account: HashMap<u64, ServedShare>,
    cut: RankCut,
    shortage: Shortage,
}

impl Default for RankGate {
    fn default() -> Self {
        Self {
            ranks: Vec::new(),
            all: ServedShare::new(HALF_LIFE),
            by_rank: HashMap::default(),
            by_account: HashMap::default(),
            cut: RankCut::default(),
            shortage: Shortage::default(),
        }
    }
}

impl RankGate {
    /// Sets the ranks that may compete, the most urgent first. Shares of the others are forgotten.
    pub fn set_ranks(&mut self, ranks: Vec<Rank>) {
        self.by_rank.retain(|rank, _| ranks.contains(rank));
        self.ranks = ranks;
    }

    /// Returns whether requests of different ranks may compete.
    #[must_use]
    pub fn is_ordered(&self) -> bool {
        self.ranks.len() > 1
    }

    /// Returns how short of room the backend servers of a region are, 0 to 1. `utilisation` returns
    /// the requests that run or wait there as a share of their slots.
    pub fn shortage(
        &mut self,
        region: &str,
        now: MonoTime,
        utilisation: impl FnOnce() -> f64,
    ) -> f64 {
        self.shortage.get(region, now, utilisation)
    }

    /// Returns the part of the allowed wait that a request may use: 1 where only one rank competes
    /// or room is not short, more only where its rank or client account is admitted far less often
    /// than all, and `None` for a request that is refused whatever its wait. `draw` is a random number
    /// from 0 to 1.
    #[must_use]
    pub fn wait_share(
        &self,
        request: RankedRequest,
        room: Room,
        draw: f64,
        now: MonoTime,
    ) -> Option<f64> {
        let shortage = room.shortage;
        if !self.is_ordered() || shortage <= 0.0 {
            return Some(1.0);
        }
        let deficit = self.deficit(request, now);
        if deficit > 0.0 {
            return Some(1.0 + deficit);
        }
        let least_urgent = self.ranks.len() - 1;
        let position = self.position(request.rank);
        let others = self.others(request.rank, now);
        let of_rank = 1.0 - self.kept_wait(request.rank, others);
        let bonus = if request.is_returning {
            RETURN_BONUS
        } else {
            0.0
        };
        let change = self.account_change(request, now) - self.inversion(request.rank, now);
        let needed = others.map_or(1.0, |others| others.more_urgent / others.own.max(1.0));
        let passing_share = self
            .cut
            .passing_share(least_urgent - position)
            .max(1.0 - needed * MAX_CUT);
        let wait_share = (of_rank + bonus + change).clamp(0.0, 1.0);
        if draw < 1.0 - (1.0 - passing_share - bonus) * shortage {
            Some(1.0 - (1.0 - wait_share) * shortage)
        } else {
            room.has_fresh_load.then_some(0.0)
        }
    }

    /// Returns the recent requests of all ranks beside one; `None` where there are too few to know
    /// their parts.
    fn others(&self, rank: Rank, now: MonoTime) -> Option<OtherRanks> {
        let mut others = OtherRanks::default();
        for (other, share) in &self.by_rank {
            let sum = match other.cmp(&rank) {
                Ordering::Less => &mut others.more_urgent,
                Ordering::Equal => &mut others.own,
                Ordering::Greater => &mut others.less_urgent,
            };
            *sum += share.arrived(now);
        }
        Some(others).filter(|others| others.more_urgent + others.less_urgent >= MIN_OTHERS)
    }

    /// Returns the part of the allowed wait that is kept for the ranks above one.
    fn kept_wait(&self, rank: Rank, others: Option<OtherRanks>) -> f64 {
        let Some(others) = others else {
            let least_urgent = self.ranks.len().saturating_sub(1).max(1);
            return MAX_KEPT_WAIT * self.position(rank) as f64 / least_urgent as f64;
        };
        let all = others.more_urgent + others.own + others.less_urgent;
        (others.more_urgent / all * KEPT_WAIT).min(MAX_KEPT_WAIT)
    }

    /// Returns the number of ranks that are more urgent.
    fn position(&self, rank: Rank) -> usize {
        let position = self.ranks.iter().position(|other| *other == rank);
        position.unwrap_or(self.ranks.len().saturating_sub(1))
    }

    /// Decides whether to admit a request with the part of the allowed wait from
    /// [`Self::wait_share`], whose answer is expected after `expected_ms`, of which it waits
    /// `wait_ms` for a slot. `is_known` states whether there are enough observations of the route to
    /// refuse a request for its expected latency.
    #[must_use]
    pub fn decide(
        &self,
        wait_share: Option<f64>,
        limits: RequestLimits,
        (expected_ms, wait_ms): (f64, f64),
        is_known: bool,
    ) -> AdmissionDecision {
        wait_share.map_or(AdmissionDecision::Overloaded, |wait_share| {
            decide_with_wait_share(limits, expected_ms, wait_ms, is_known, wait_share)
        })
    }

    /// Records whether a request was admitted, while room was short by `shortage`, 0 to 1.
    pub fn record(
        &mut self,
        request: RankedRequest,
        is_admitted: bool,
        shortage: f64,
        now: MonoTime,
    ) {
        if !self.is_ordered() {
            return;
        }
        self.all.record(is_admitted, now);
        let (position, count) = (self.position(request.rank), self.ranks.len());
        self.cut
            .record(is_admitted, (count - 1 - position, count), shortage, now);
        let of_rank = self.by_rank.entry(request.rank).or_insert_with(new_share);
        of_rank.record(is_admitted, now);
        if self.by_account.len() >= MAX_ACCOUNTS && !self.by_account.contains_key(&request.account)
        {
            self.by_account.retain(|_, share| share.get(now).is_some());
            if self.by_account.len() >= MAX_ACCOUNTS {
                return;
            }
        }
        let of_account = self
            .by_account
            .entry(request.account)
            .or_insert_with(new_share);
        of_account.record(is_admitted, now);
    }

    fn rank_share(&self, rank: Rank, now: MonoTime) -> Option<f64> {
        self.by_rank.get(&rank)?.get(now)
    }

    fn account_share(&self, account: u64, now: MonoTime) -> Option<f64> {
        self.by_account.get(&account)?.get(now)
    }

    /// Returns how far the request's rank or client account lies below the share of all requests that
    /// it should be admitted at least, 0 to 1.
    fn deficit(&self, request: RankedRequest, now: MonoTime) -> f64 {
        let less_urgent = self.ranks.len() - 1 - self.position(request.rank);
        let min_served = (MIN_SERVED + MIN_SERVED_STEP * less_urgent as f64).min(MAX_MIN_SERVED);
        let mut more_urgent = self.ranks.iter().filter(|rank| **rank < request.rank);
        let sees_more_urgent = more_urgent.any(|rank| self.rank_share(*rank, now).is_some());
        let all = self.all.get(now).unwrap_or(0.0);
        let all = if sees_more_urgent || less_urgent + 1 == self.ranks.len() {
            all
        } else {
            all.max(ASSUMED_SERVED)
        };
        let deficit = |share: Option<f64>, min_share: f64| {
            share.map_or(0.0, |share| 1.0 - share / min_share.max(f64::EPSILON))
        };
        let of_rank = deficit(self.rank_share(request.rank, now), all * min_served);
        let of_account = deficit(self.account_share(request.account, now), all * MIN_SERVED);
        of_rank.max(of_account).max(0.0)
    }

    /// Returns the change for a client account that is admitted more or less often than its rank.
    fn account_change(&self, request: RankedRequest, now: MonoTime) -> f64 {
        let shares = self
            .rank_share(request.rank, now)
            .zip(self.account_share(request.account, now));
        let difference = shares.map_or(0.0, |(of_rank, of_account)| of_rank - of_account);
        (difference * SHARE_GAIN).clamp(-MAX_ACCOUNT_CHANGE, MAX_ACCOUNT_CHANGE)
    }

    /// Returns the part that a rank loses because one more urgent is admitted less often.
    fn inversion(&self, rank: Rank, now: MonoTime) -> f64 {
        let Some(share) = self.rank_share(rank, now) else {
            return 0.0;
        };
        let more_urgent = self.ranks.iter().filter(|other| **other < rank);
        let differences = more_urgent
            .filter_map(|other| self.rank_share(*other, now))
            .map(|other| share - other);
        differences.fold(0.0, f64::max) * SHARE_GAIN
    }
}

fn new_share() -> ServedShare {
    ServedShare::new(HALF_LIFE)
}
