//! Moves of a service to another version: how much of its traffic the new one gets, and when it
//! has shown that it is bad.

use std::time::Duration;

use apricotlug_model::MonoTime;

/// Share of the traffic that a new version gets while little is known of it.
const TRIAL_SHARE: f64 = 0.04;

/// Stages after the trial: part of the time allowed after which each begins, and its share.
const STAGES: [(f64, f64); 4] = [(0.45, 0.15), (0.52, 0.4), (0.60, 0.7), (0.66, 1.0)];

/// Part of the time allowed after which a version that serves all traffic well is final.
const COMPLETE_AT: f64 = 0.8;

/// Bad answers at which a version may be taken back.
const MIN_BAD: f64 = 5.0;

/// Share of bad answers, beyond the old version's, at which it is taken back.
const BAD_SHARE: f64 = 0.1;

/// Good answers without which no later stage begins.
const MIN_GOOD: u64 = 15;

/// Answers of the versions of a service, counted over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Good answers of the new version.
    pub new_good: u64,
    /// Bad answers of the new version.
    pub new_bad: u64,
    /// Good answers of the old version.
    pub old_good: u64,
    /// Bad answers of the old version.
    pub old_bad: u64,
}

impl Evidence {
    /// Adds another instance's counts.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self {
            new_good: self.new_good + other.new_good,
            new_bad: self.new_bad + other.new_bad,
            old_good: self.old_good + other.old_good,
            old_bad: self.old_bad + other.old_bad,
        }
    }

    /// Tells whether the new version is bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let old = share(self.old_bad, self.old_good);
        let new = share(self.new_bad, self.new_good);
        self.new_bad as f64 >= MIN_BAD && new > old + BAD_SHARE
    }
}

fn share(bad: u64, good: u64) -> f64 {
    bad as f64 / (bad + good).max(1) as f64
}

/// What the new version gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// A share of the traffic.
    Share(f64),
    /// Nothing: it is bad.
    Nothing,
}

/// What is to be told of the move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It goes on.
    GoOn,
    /// The new version serves all traffic.
    Complete,
    /// The new version is taken back.
    TakeBack,
}

/// Move of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rollout {
    /// When it began.
    pub started_at: MonoTime,
    /// When it must have ended.
    pub deadline: MonoTime,
    /// Set once the version was found bad: it stays so.
    pub was_bad: bool,
    /// Point since which it gets all traffic.
    pub all_since: Option<MonoTime>,
}

impl Rollout {
    /// Starts a move.
    #[must_use]
    pub fn new(started_at: MonoTime, within: Duration) -> Self {
        Self {
            started_at,
            deadline: started_at.after(within),
            was_bad: false,
            all_since: None,
        }
    }

    /// Returns what the new version gets now.
    pub fn stage(&mut self, evidence: &Evidence, now: MonoTime) -> Stage {
        self.was_bad |= evidence.is_bad();
        if self.was_bad {
            return Stage::Nothing;
        }
        let passed = self.passed(now);
        let has_proof = evidence.new_good >= MIN_GOOD;
        let stage = STAGES.iter().rev().find(|(from, _)| passed >= *from);
        match stage {
            Some((_, share)) if has_proof => {
                if *share >= 1.0 {
                    self.all_since = self.all_since.or(Some(now));
                }
                Stage::Share(*share)
            }
            _ => Stage::Share(TRIAL_SHARE),
        }
    }

    /// Judges the move.
    #[must_use]
    pub fn judge(&self, now: MonoTime) -> Judgement {
        if self.was_bad {
            return Judgement::TakeBack;
        }
        let passed = self.passed(now);
        match self.all_since {
            Some(_) if passed >= COMPLETE_AT => Judgement::Complete,
            // What was never proved good is not made final.
            None if passed >= 0.95 => Judgement::TakeBack,
            _ => Judgement::GoOn,
        }
    }

    fn passed(&self, now: MonoTime) -> f64 {
        let all = self
            .deadline
            .since(self.started_at)
            .as_secs_f64()
            .max(0.001);
        now.since(self.started_at).as_secs_f64() / all
    }
}
