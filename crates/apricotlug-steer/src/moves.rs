//! Moves of services to other versions, as this instance sees them.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime, MoveOrder, MoveState, MoveStatus};
use apricotlug_policy::steer::{Evidence, Judgement, Rollout, Stage};
use rand::RngExt;

use crate::{steering::name_hash, wire::Proof};

/// Pseudo-run that collects the evidence of departed runs for which this instance reports.
pub const KEPT: u64 = 0;

/// Pseudo-run that collects the evidence of departed runs for which this instance does not report.
const KEPT_UNTOLD: u64 = 1;

/// Move of one service.
#[derive(Clone, Debug)]
struct Moving {
    order: MoveOrder,
    order_revision: u64,
    rollout: Rollout,
    status: Option<(MoveStatus, u64)>,
    own: Evidence,
    others: HashMap<u64, Evidence>,
}

/// Versions that may serve a request: the target version, or all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versions {
    /// Version that the service moves to.
    pub target: String,
    /// Whether the target version serves the request; otherwise the other versions do.
    pub is_target: bool,
    /// Whether the other choice may be used if no backend server of this one has capacity.
    pub may_fall_back: bool,
}

/// Status that is due to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    /// Service that moves.
    pub service: String,
    /// New status of the move.
    pub status: MoveStatus,
    /// Revision in the store of the status that this one replaces; 0 if there is none.
    pub replaces: u64,
    /// Answers on which the decision is based.
    pub evidence: Evidence,
}

/// All moves that operators ordered, by service.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    moves: HashMap<String, Moving>,
    statuses: HashMap<String, (MoveStatus, u64)>,
}

impl Moves {
    /// Records an order. `revision` is its revision in the store, which distinguishes two orders
    /// for the same version.
    pub fn on_order(&mut self, order: MoveOrder, revision: u64, now: MonoTime) {
        let known = self.moves.get(&order.service);
        if known.is_some_and(|moving| moving.order_revision == revision) {
            return;
        }
        let service = order.service.clone();
        let status = self.statuses.get(&service);
        // A status written before this order belongs to an earlier move.
        let status = status.filter(|(status, at)| status.target == order.target && *at > revision);
        let within = Duration::from_millis(order.within_ms.into());
        let moving = Moving {
            status: status.cloned(),
            rollout: Rollout::new(now, within),
            order,
            order_revision: revision,
            own: Evidence::default(),
            others: HashMap::default(),
        };
        self.moves.insert(service, moving);
    }

    /// Ends the move whose order was removed from the store.
    pub fn on_order_gone(&mut self, service: &str) {
        self.moves.remove(service);
    }

    /// Records the status that the store holds for a service.
    pub fn on_status(&mut self, service: &str, status: MoveStatus, revision: u64) {
        if let Some(moving) = self.moves.get_mut(service)
            && moving.order.target == status.target
            && revision > moving.order_revision
        {
            moving.status = Some((status.clone(), revision));
        }
        self.statuses.insert(service.to_owned(), (status, revision));
    }

    /// Returns which versions may serve a request, or `None` if the service does not move. While
    /// the move is in progress, the choice is drawn at random by the target version's traffic
    /// share.
    pub fn draw(
        &mut self,
        service: &str,
        rng: &mut impl rand::Rng,
        now: MonoTime,
    ) -> Option<Versions> {
        let moving = self.moves.get_mut(service)?;
        let state = moving.status.as_ref().map(|(status, _)| status.state);
        let evidence = moving.evidence();
        let (is_target, may_fall_back) = match state {
            Some(MoveState::Completed) => (true, false),
            Some(MoveState::RolledBack) => (false, false),
            None | Some(MoveState::Running) => match moving.rollout.stage(&evidence, now) {
                Stage::Nothing => (false, false),
                Stage::Share(share) => {
                    let is_target = rng.random::<f64>() < share;
                    (is_target, is_target)
                }
            },
        };
        Some(Versions {
            target: moving.order.target.clone(),
            is_target,
            may_fall_back,
        })
    }

    /// Counts an answer of a backend server of the given version.
    pub fn on_answer(&mut self, service: &str, version: &str, is_good: bool) {
        let Some(moving) = self
            .moves
            .get_mut(service)
            .filter(|moving| !moving.is_final())
        else {
            return;
        };
        let own = &mut moving.own;
        let count = match (version == moving.order.target, is_good) {
            (true, true) => &mut own.new_good,
            (true, false) => &mut own.new_bad,
            (false, true) => &mut own.old_good,
            (false, false) => &mut own.old_bad,
        };
        *count += 1;
    }

    /// Returns the evidence of this instance combined with that of the runs it reports for, by move
    /// in progress.
    pub fn proofs(&self, speaks_for: impl Fn(u64) -> bool) -> impl Iterator<Item = Proof> {
        let running = self.moves.iter().filter(|(_, moving)| !moving.is_final());
        running.map(move |(service, moving)| {
            let others = moving.others.iter().filter(|(run, _)| speaks_for(**run));
            let all = others.fold(moving.own, |all, (_, one)| all.and(*one));
            Proof {
                order: moving.id(service),
                counts: [all.new_good, all.new_bad, all.old_good, all.old_bad],
            }
        })
    }

    /// Records the evidence that another run reported. It replaces that run's earlier report.
    pub fn on_proof(&mut self, run: u64, order: u64, counts: [u64; 4]) {
        let mut moves = self.moves.iter_mut();
        let found = moves.find(|(service, moving)| moving.id(service) == order);
        if let Some((_, moving)) = found {
            let [new_good, new_bad, old_good, old_bad] = counts;
            let evidence = Evidence {
                new_good,
                new_bad,
                old_good,
                old_bad,
            };
            moving.others.insert(run, evidence);
        }
    }

    /// Merges a departed run's evidence into a pseudo-run, because its answers still count.
    /// `reports_for` is true if other instances receive that evidence from this instance.
    pub fn forget(&mut self, run: u64, speaks_for: bool) {
        let kept_in = if speaks_for { KEPT } else { KEPT_UNTOLD };
        for moving in self.moves.values_mut() {
            if let Some(evidence) = moving.others.remove(&run) {
                let kept = moving.others.entry(kept_in).or_default();
                *kept = kept.and(evidence);
            }
        }
    }

    /// Discards what a former relay reported for others.
    pub fn drop_run(&mut self, run: u64) {
        for moving in self.moves.values_mut() {
            moving.others.remove(&run);
        }
    }

    /// Returns the statuses that are due to be written.
    pub fn due(&mut self, now: MonoTime) -> Vec<Due> {
        let due = self.moves.iter_mut().filter_map(|(service, moving)| {
            let (state, replaces) = moving.due(now)?;
            Some(Due {
                service: service.clone(),
                status: MoveStatus {
                    target: moving.order.target.clone(),
                    state,
                },
                replaces: replaces
                    .unwrap_or_else(|| self.statuses.get(service).map_or(0, |(_, at)| *at)),
                evidence: moving.evidence(),
            })
        });
        due.collect()
    }
}

impl Moving {
    /// Returns the number that identifies this order on all instances.
    fn id(&self, service: &str) -> u64 {
        name_hash(service) ^ self.order_revision.rotate_left(32)
    }

    fn evidence(&self) -> Evidence {
        self.others
            .values()
            .fold(self.own, |all, one| all.and(*one))
    }

    fn is_final(&self) -> bool {
        let state = self.status.as_ref().map(|(status, _)| status.state);
        matches!(state, Some(MoveState::Completed | MoveState::RolledBack))
    }

    fn due(&mut self, now: MonoTime) -> Option<(MoveState, Option<u64>)> {
        if self.is_final() {
            return None;
        }
        let evidence = self.evidence();
        self.rollout.stage(&evidence, now);
        let replaces = self.status.as_ref().map(|(_, at)| *at);
        match self.rollout.judge(now) {
            Judgement::Complete => Some((MoveState::Completed, replaces)),
            Judgement::TakeBack => Some((MoveState::RolledBack, replaces)),
            Judgement::GoOn if self.status.is_none() => Some((MoveState::Running, None)),
            Judgement::GoOn => None,
        }
    }
}
