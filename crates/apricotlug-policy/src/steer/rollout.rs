//! Version moves of a service: the share of traffic that the new version gets, and the decision to
//! complete the move or take it back.

use std::{collections::VecDeque, time::Duration};

use apricotlug_model::MonoTime;

/// Stages: the share of the time limit after which each may begin, and the share of the traffic
/// that the new version gets. Before the last stage the new version gets about a twentieth of all
/// requests, so that a fault which occurs only under full load affects at most a tenth.
const STAGES: [(f64, f64); 4] = [(0.0, 0.03), (0.35, 0.10), (0.5, 0.25), (0.6, 1.0)];

/// Minimum duration of a stage: answers of the previous stage must have arrived and been reported
/// to all instances.
const MIN_STAGE_TIME: Duration = Duration::from_millis(1_300);

/// Sliding window over which answers are counted, so that good answers from before a fault do not
/// hide it.
const EVIDENCE_WINDOW: Duration = Duration::from_millis(3_000);

/// Interval between two snapshots of the answer counts.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(200);

/// Share of the time limit after which a move completes if the new version serves all traffic.
const COMPLETE_AT: f64 = 0.8;

/// Share of the time limit after which a move is taken back if the new version does not serve all
/// traffic.
const TAKE_BACK_AT: f64 = 0.95;

/// Minimum number of bad answers in the window for taking a version back.
const MIN_BAD_ANSWERS: f64 = 5.0;

/// Excess of the new version's share of bad answers over the old version's above which it is taken
/// back.
const MAX_EXCESS_BAD_SHARE: f64 = 0.1;

/// Minimum number of the new version's good answers in the window for entering the next stage.
const MIN_GOOD_ANSWERS: u64 = 8;

/// Answer counts of the old and the new version of a service, as totals since the start of the
/// move.
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
    pub fn merge(self, other: Self) -> Self {
        Self {
            new_good: self.new_good + other.new_good,
            new_bad: self.new_bad + other.new_bad,
            old_good: self.old_good + other.old_good,
            old_bad: self.old_bad + other.old_bad,
        }
    }

    /// Returns the counts added since an earlier snapshot.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            new_good: self.new_good.saturating_sub(earlier.new_good),
            new_bad: self.new_bad.saturating_sub(earlier.new_bad),
            old_good: self.old_good.saturating_sub(earlier.old_good),
            old_bad: self.old_bad.saturating_sub(earlier.old_bad),
        }
    }

    /// Returns whether the new version's answers are worse than the old version's by more than the
    /// tolerated share.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let old = bad_share(self.old_bad, self.old_good);
        let new = bad_share(self.new_bad, self.new_good);
        self.new_bad as f64 >= MIN_BAD_ANSWERS && new > old + MAX_EXCESS_BAD_SHARE
    }
}

fn bad_share(bad: u64, good: u64) -> f64 {
    bad as f64 / (bad + good).max(1) as f64
}

/// Traffic that the new version gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// This share of the traffic, 0 to 1.
    Share(f64),
    /// None, since the version was found bad.
    Stopped,
}

/// Decision on the state of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveDecision {
    /// The move continues.
    Continue,
    /// The new version serves all traffic and the move is final.
    Complete,
    /// The new version is taken back.
    TakeBack,
}

/// Progress of the version move of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// Start of the move.
    pub started_at: MonoTime,
    /// Time by which the move must be completed or taken back.
    pub deadline: MonoTime,
    was_bad: bool,
    stage: usize,
    stage_since: MonoTime,
    snapshots: VecDeque<(MonoTime, Evidence)>,
}

impl Rollout {
    /// Starts a move that must end `within` the given time.
    #[must_use]
    pub fn new(started_at: MonoTime, within: Duration) -> Self {
        Self {
            started_at,
            deadline: started_at.after(within),
            was_bad: false,
            stage: 0,
            stage_since: started_at,
            snapshots: VecDeque::new(),
        }
    }

    /// Returns the traffic that the new version gets, given the total answer counts since the
    /// start. Advances to the next stage where it is due.
    pub fn advance(&mut self, evidence: &Evidence, now: MonoTime) -> Stage {
        let recent = self.recent(evidence, now);
        self.was_bad |= recent.is_bad();
        if self.was_bad {
            return Stage::Stopped;
        }
        let next = STAGES.get(self.stage + 1);
        let is_due = next.is_some_and(|(from, _)| self.elapsed_share(now) >= *from);
        let is_min_stage_over = now.since(self.stage_since) >= MIN_STAGE_TIME;
        if is_due && is_min_stage_over && recent.new_good >= MIN_GOOD_ANSWERS {
            self.stage += 1;
            self.stage_since = now;
        }
        Stage::Share(STAGES[self.stage].1)
    }

    fn recent(&mut self, evidence: &Evidence, now: MonoTime) -> Evidence {
        let is_due = self
            .snapshots
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, *evidence));
        }
        while self.snapshots.len() > 1 && now.since(self.snapshots[1].0) >= EVIDENCE_WINDOW {
            self.snapshots.pop_front();
        }
        let first = self.snapshots.front().map(|(_, first)| *first);
        let has_window = self
            .snapshots
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= EVIDENCE_WINDOW);
        if has_window {
            evidence.since(first.unwrap_or_default())
        } else {
            *evidence
        }
    }

    /// Returns whether the move continues, completes or is taken back.
    #[must_use]
    pub fn decide(&self, now: MonoTime) -> MoveDecision {
        if self.was_bad {
            return MoveDecision::TakeBack;
        }
        let elapsed_share = self.elapsed_share(now);
        let serves_all = self.stage + 1 == STAGES.len();
        match serves_all {
            true if elapsed_share >= COMPLETE_AT
                && now.since(self.stage_since) >= MIN_STAGE_TIME =>
            {
                MoveDecision::Complete
            }
            // A version that never served all traffic is not made final.
            false if elapsed_share >= TAKE_BACK_AT => MoveDecision::TakeBack,
            _ => MoveDecision::Continue,
        }
    }

    fn elapsed_share(&self, now: MonoTime) -> f64 {
        let limit_s = self
            .deadline
            .since(self.started_at)
            .as_secs_f64()
            .max(0.001);
        now.since(self.started_at).as_secs_f64() / limit_s
    }
}
