//! Moves of a service to another version: how much of its traffic the new one gets, and when it
//! has shown that it is bad.

use std::{collections::VecDeque, time::Duration};

use apricotlug_model::MonoTime;

/// Stages: part of the time allowed after which each may begin, and the share of the traffic that
/// the new version gets. Until the last one it gets about a twentieth of all requests, so that a
/// fault which shows only under full load still stays within a tenth.
const STAGES: [(f64, f64); 4] = [(0.0, 0.03), (0.35, 0.10), (0.5, 0.25), (0.6, 1.0)];

/// Shortest time of a stage: answers of the one before must have come in and gone round.
const MIN_STAGE: Duration = Duration::from_millis(1_300);

/// Span over which answers count: what was good before a fault showed says nothing of it.
const WINDOW: Duration = Duration::from_millis(3_000);

/// Span between two notes of the answers so far.
const NOTE: Duration = Duration::from_millis(200);

/// Part of the time allowed after which a version that serves all traffic well is final.
const COMPLETE_AT: f64 = 0.8;

/// Part of the time allowed after which a version that does not serve all traffic is taken back.
const TAKE_BACK_AT: f64 = 0.95;

/// Bad answers at which a version may be taken back.
const MIN_BAD: f64 = 5.0;

/// Share of bad answers, beyond the old version's, at which it is taken back.
const BAD_SHARE: f64 = 0.1;

/// Good answers in the window without which no later stage begins.
const MIN_GOOD: u64 = 8;

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

    /// Returns what was counted since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            new_good: self.new_good.saturating_sub(earlier.new_good),
            new_bad: self.new_bad.saturating_sub(earlier.new_bad),
            old_good: self.old_good.saturating_sub(earlier.old_good),
            old_bad: self.old_bad.saturating_sub(earlier.old_bad),
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
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// When it began.
    pub started_at: MonoTime,
    /// When it must have ended.
    pub deadline: MonoTime,
    was_bad: bool,
    stage: usize,
    stage_since: MonoTime,
    notes: VecDeque<(MonoTime, Evidence)>,
}

impl Rollout {
    /// Starts a move.
    #[must_use]
    pub fn new(started_at: MonoTime, within: Duration) -> Self {
        Self {
            started_at,
            deadline: started_at.after(within),
            was_bad: false,
            stage: 0,
            stage_since: started_at,
            notes: VecDeque::new(),
        }
    }

    /// Returns what the new version gets now, by all answers since the start.
    pub fn stage(&mut self, evidence: &Evidence, now: MonoTime) -> Stage {
        let recent = self.recent(evidence, now);
        self.was_bad |= recent.is_bad();
        if self.was_bad {
            return Stage::Nothing;
        }
        let next = STAGES.get(self.stage + 1);
        let is_due = next.is_some_and(|(from, _)| self.passed(now) >= *from);
        let is_old = now.since(self.stage_since) >= MIN_STAGE;
        if is_due && is_old && recent.new_good >= MIN_GOOD {
            self.stage += 1;
            self.stage_since = now;
        }
        Stage::Share(STAGES[self.stage].1)
    }

    fn recent(&mut self, evidence: &Evidence, now: MonoTime) -> Evidence {
        let is_due = self
            .notes
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= NOTE);
        if is_due {
            self.notes.push_back((now, *evidence));
        }
        while self.notes.len() > 1 && now.since(self.notes[1].0) >= WINDOW {
            self.notes.pop_front();
        }
        let first = self.notes.front().map(|(_, first)| *first);
        let has_window = self
            .notes
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= WINDOW);
        if has_window {
            evidence.since(first.unwrap_or_default())
        } else {
            *evidence
        }
    }

    /// Judges the move.
    #[must_use]
    pub fn judge(&self, now: MonoTime) -> Judgement {
        if self.was_bad {
            return Judgement::TakeBack;
        }
        let passed = self.passed(now);
        let serves_all = self.stage + 1 == STAGES.len();
        match serves_all {
            true if passed >= COMPLETE_AT && now.since(self.stage_since) >= MIN_STAGE => {
                Judgement::Complete
            }
            // What was never proved good is not made final.
            false if passed >= TAKE_BACK_AT => Judgement::TakeBack,
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
