//! Moves of services to other versions, as this instance sees them.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime, MoveOrder, MoveState, MoveStatus};
use apricotlug_policy::steer::{Evidence, MoveDecision, Rollout, Stage};
use rand::RngExt;

use crate::{steering::name_hash, wire::MoveEvidence};

/// Pseudo-run that collects the evidence of departed runs for which this instance reports.
pub const DEPARTED_REPORTED: u64 = 0;

/// Pseudo-run that collects the evidence of departed runs for which this instance does not report.
const DEPARTED_UNREPORTED: u64 = 1;

/// Move of one service.
#[derive(Clone, Debug)]
struct ServiceMove {
    order: MoveOrder,
    order_revision: u64,
    rollout: Rollout,
    status: Option<(MoveStatus, u64)>,
    own_evidence: Evidence,
    reported_evidence: HashMap<u64, Evidence>,
}

/// Versions that may serve a request: the target version, or all others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionChoice {
    /// Version that the service moves to.
    pub target: String,
    /// Whether the target version serves the request; otherwise the other versions do.
    pub is_target: bool,
    /// Whether the other choice may be used if no backend server of this one has capacity.
    pub may_fall_back: bool,
}

/// Status that is due to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueStatus {
    /// Service that moves.
    pub service: String,
    /// New status of the move.
    pub status: MoveStatus,
    /// Revision in the store of the status that this one replaces; 0 if there is none.
    pub replaced_revision: u64,
    /// Responses on which the decision is based.
    pub evidence: Evidence,
}

/// All moves that operators ordered, by service.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    moves: HashMap<String, ServiceMove>,
    statuses: HashMap<String, (MoveStatus, u64)>,
}

impl Moves {
    /// Records an order. `revision` is its revision in the store, which distinguishes two orders
    /// for the same version.
    pub fn on_order(&mut self, order: MoveOrder, revision: u64, now: MonoTime) {
        let known = self.moves.get(&order.service);
        if known.is_some_and(|service_move| service_move.order_revision == revision) {
            return;
        }
        let service = order.service.clone();
        let status = self.statuses.get(&service);
        // A status written before this order belongs to an earlier move.
        let status = status.filter(|(status, at)| status.target == order.target && *at > revision);
        let within = Duration::from_millis(order.within_ms.into());
        let service_move = ServiceMove {
            status: status.cloned(),
            rollout: Rollout::new(now, within),
            order,
            order_revision: revision,
            own_evidence: Evidence::default(),
            reported_evidence: HashMap::default(),
        };
        self.moves.insert(service, service_move);
    }

    /// Ends the move whose order was removed from the store.
    pub fn on_order_removed(&mut self, service: &str) {
        self.moves.remove(service);
    }

    /// Records the status that the store holds for a service.
    pub fn on_status(&mut self, service: &str, status: MoveStatus, revision: u64) {
        if let Some(service_move) = self.moves.get_mut(service)
            && service_move.order.target == status.target
            && revision > service_move.order_revision
        {
            service_move.status = Some((status.clone(), revision));
        }
        self.statuses.insert(service.to_owned(), (status, revision));
    }

    /// Returns which versions may serve a request, or `None` if the service does not move. While
    /// the move is in progress, the choice is drawn at random by the target version's traffic
    /// share.
    pub fn choose_versions(
        &mut self,
        service: &str,
        rng: &mut impl rand::Rng,
        now: MonoTime,
    ) -> Option<VersionChoice> {
        let service_move = self.moves.get_mut(service)?;
        let state = service_move.status.as_ref().map(|(status, _)| status.state);
        let evidence = service_move.evidence();
        let (is_target, may_fall_back) = match state {
            Some(MoveState::Completed) => (true, false),
            Some(MoveState::RolledBack) => (false, false),
            None | Some(MoveState::Running) => match service_move.rollout.advance(&evidence, now) {
                Stage::Stopped => (false, false),
                Stage::Share(share) => {
                    let is_target = rng.random::<f64>() < share;
                    (is_target, is_target)
                }
            },
        };
        Some(VersionChoice {
            target: service_move.order.target.clone(),
            is_target,
            may_fall_back,
        })
    }

    /// Counts a response of a backend server of the given version.
    pub fn on_response(&mut self, service: &str, version: &str, is_good: bool) {
        let Some(service_move) = self
            .moves
            .get_mut(service)
            .filter(|service_move| !service_move.is_final())
        else {
            return;
        };
        let own_evidence = &mut service_move.own_evidence;
        let count = match (version == service_move.order.target, is_good) {
            (true, true) => &mut own_evidence.new_good,
            (true, false) => &mut own_evidence.new_bad,
            (false, true) => &mut own_evidence.old_good,
            (false, false) => &mut own_evidence.old_bad,
        };
        *count += 1;
    }

    /// Returns the evidence of this instance combined with that of the runs it reports for, by move
    /// in progress.
    pub fn evidence(&self, is_relayed: impl Fn(u64) -> bool) -> impl Iterator<Item = MoveEvidence> {
        let running = self
            .moves
            .iter()
            .filter(|(_, service_move)| !service_move.is_final());
        running.map(move |(service, service_move)| {
            let others = service_move
                .reported_evidence
                .iter()
                .filter(|(run, _)| is_relayed(**run));
            let total = others.fold(service_move.own_evidence, |total, (_, reported)| {
                total.merge(*reported)
            });
            MoveEvidence {
                order: service_move.id(service),
                counts: [total.new_good, total.new_bad, total.old_good, total.old_bad],
            }
        })
    }

    /// Records the evidence that another run reported. It replaces that run's earlier report.
    pub fn on_evidence(&mut self, run: u64, order: u64, counts: [u64; 4]) {
        let mut moves = self.moves.iter_mut();
        let found = moves.find(|(service, service_move)| service_move.id(service) == order);
        if let Some((_, service_move)) = found {
            let [new_good, new_bad, old_good, old_bad] = counts;
            let evidence = Evidence {
                new_good,
                new_bad,
                old_good,
                old_bad,
            };
            service_move.reported_evidence.insert(run, evidence);
        }
    }

    /// Merges a departed run's evidence into a pseudo-run, because its responses still count.
    /// `is_relayed` is true if other instances receive that evidence from this instance.
    pub fn merge_departed(&mut self, run: u64, is_relayed: bool) {
        let pseudo_run = if is_relayed {
            DEPARTED_REPORTED
        } else {
            DEPARTED_UNREPORTED
        };
        for service_move in self.moves.values_mut() {
            if let Some(evidence) = service_move.reported_evidence.remove(&run) {
                let merged = service_move
                    .reported_evidence
                    .entry(pseudo_run)
                    .or_default();
                *merged = merged.merge(evidence);
            }
        }
    }

    /// Discards what a former relay reported for others.
    pub fn discard_run(&mut self, run: u64) {
        for service_move in self.moves.values_mut() {
            service_move.reported_evidence.remove(&run);
        }
    }

    /// Returns the statuses that are due to be written.
    pub fn due_statuses(&mut self, now: MonoTime) -> Vec<DueStatus> {
        let due = self.moves.iter_mut().filter_map(|(service, service_move)| {
            let (state, replaced_revision) = service_move.due_state(now)?;
            Some(DueStatus {
                service: service.clone(),
                status: MoveStatus {
                    target: service_move.order.target.clone(),
                    state,
                },
                replaced_revision: replaced_revision
                    .unwrap_or_else(|| self.statuses.get(service).map_or(0, |(_, at)| *at)),
                evidence: service_move.evidence(),
            })
        });
        due.collect()
    }
}

impl ServiceMove {
    /// Returns the number that identifies this order on all instances.
    fn id(&self, service: &str) -> u64 {
        name_hash(service) ^ self.order_revision.rotate_left(32)
    }

    fn evidence(&self) -> Evidence {
        self.reported_evidence
            .values()
            .fold(self.own_evidence, |total, reported| total.merge(*reported))
    }

    fn is_final(&self) -> bool {
        let state = self.status.as_ref().map(|(status, _)| status.state);
        matches!(state, Some(MoveState::Completed | MoveState::RolledBack))
    }

    fn due_state(&mut self, now: MonoTime) -> Option<(MoveState, Option<u64>)> {
        if self.is_final() {
            return None;
        }
        let evidence = self.evidence();
        self.rollout.advance(&evidence, now);
        let replaced_revision = self.status.as_ref().map(|(_, at)| *at);
        match self.rollout.decide(now) {
            MoveDecision::Complete => Some((MoveState::Completed, replaced_revision)),
            MoveDecision::TakeBack => Some((MoveState::RolledBack, replaced_revision)),
            MoveDecision::Continue if self.status.is_none() => Some((MoveState::Running, None)),
            MoveDecision::Continue => None,
        }
    }
}
