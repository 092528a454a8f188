//! Moves of services to other versions, as this instance sees them.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime, MoveOrder, MoveState, MoveStatus, StoreVersion};
use apricotlug_policy::steer::{Evidence, MoveDecision, Rollout, Stage};
use rand::RngExt;

use crate::{steering::name_hash, wire::MoveEvidence};

/// Pseudo-run that collects the evidence of departed runs for which this instance reports.
pub const DEPARTED_REPORTED: u64 = 0;

/// Pseudo-run that collects the evidence of departed runs for which this instance does not report.
const DEPARTED_UNREPORTED: u64 = 1;

/// Odd factor by which the era of an order enters its number, which a wrong match of two eras' orders
/// needs to be unlikely.
const ERA_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// Move of one service.
#[derive(Clone, Debug)]
struct ServiceMove {
    order: MoveOrder,
    order_version: StoreVersion,
    rollout: Rollout,
    /// State that was decided; `None` before the first.
    state: Option<MoveState>,
    /// Whether the store holds that state for this order. A copy to which it went back may not.
    is_stored: bool,
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
    /// Version in the store of the status that this one replaces; revision 0 if there is none.
    pub replaced: StoreVersion,
    /// Responses on which the decision is based.
    pub evidence: Evidence,
}

/// All moves that operators ordered, by service.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    moves: HashMap<String, ServiceMove>,
    /// Statuses that the store holds.
    statuses: HashMap<String, (MoveStatus, StoreVersion)>,
    /// Last finished move of each service whose order was removed: a copy may have the order still.
    finished: HashMap<String, ServiceMove>,
    era: u64,
    /// Time until which an order that is read may be one that is known, of an earlier era, and until
    /// which nothing new is decided.
    settles_at: MonoTime,
}

impl Moves {
    /// Records the first read of an era, before its orders and statuses: the store may have gone
    /// back to a copy, and gives revisions out again. Until `settles_at`, an order that says the same
    /// as one that is known is taken for that one, and a finished move stays finished.
    pub fn on_era(&mut self, era: u64, settles_at: MonoTime) {
        self.era = era;
        self.settles_at = settles_at;
        let moves = self.moves.values_mut();
        moves.for_each(|service_move| service_move.order_version.era = era);
        let statuses = self.statuses.values_mut();
        statuses.for_each(|(_, version)| version.era = era);
    }

    /// Returns the order of a service that moves.
    #[must_use]
    pub fn order(&self, service: &str) -> Option<&MoveOrder> {
        self.moves
            .get(service)
            .map(|service_move| &service_move.order)
    }

    /// Records an order. `version` is its version in the store, which distinguishes two orders
    /// for the same version of the service.
    pub fn on_order(&mut self, order: MoveOrder, version: StoreVersion, now: MonoTime) {
        let service = order.service.clone();
        let known = self.moves.get(&service);
        // Another era may have given the same revision to another order.
        if known.is_some_and(|known| known.order_version == version && known.order == order) {
            return;
        }
        let status = self.statuses.get(&service);
        // A status written before this order belongs to an earlier move.
        let status = status.filter(|(status, at)| status.target == order.target && *at > version);
        let state = status.map(|(status, _)| status.state);
        if self.is_settling(now)
            && let Some(mut same) = self.take_same(&order)
        {
            same.order_version = version;
            same.is_stored = state == same.state;
            self.moves.insert(service, same);
            return;
        }
        let within = Duration::from_millis(order.within_ms.into());
        let service_move = ServiceMove {
            state,
            is_stored: state.is_some(),
            rollout: Rollout::new(now, within),
            order,
            order_version: version,
            own_evidence: Evidence::default(),
            reported_evidence: HashMap::default(),
        };
        self.moves.insert(service, service_move);
    }

    /// Takes the move in progress, or the finished one, that an order says again.
    fn take_same(&mut self, order: &MoveOrder) -> Option<ServiceMove> {
        let is_same = |known: &mut ServiceMove| known.order == *order;
        let in_force = self.moves.get_mut(&order.service);
        if in_force.is_some_and(is_same) {
            return self.moves.remove(&order.service);
        }
        let finished = self.finished.get_mut(&order.service);
        if finished.is_some_and(is_same) {
            return self.finished.remove(&order.service);
        }
        None
    }

    fn is_settling(&self, now: MonoTime) -> bool {
        !self.settles_at.is_past(now)
    }

    /// Ends the move whose order was removed from the store.
    pub fn on_order_removed(&mut self, service: &str) {
        let removed = self.moves.remove(service);
        if let Some(finished) = removed.filter(ServiceMove::is_final) {
            self.finished.insert(service.to_owned(), finished);
        }
    }

    /// Records the status that the store holds for a service.
    pub fn on_status(
        &mut self,
        service: &str,
        status: MoveStatus,
        version: StoreVersion,
        now: MonoTime,
    ) {
        let is_settling = self.is_settling(now);
        if let Some(service_move) = self.moves.get_mut(service) {
            let is_of_order =
                service_move.order.target == status.target && version > service_move.order_version;
            let takes_back = is_settling && service_move.is_final() && !is_final(status.state);
            if is_of_order && !takes_back {
                service_move.state = Some(status.state);
                service_move.is_stored = true;
            } else if is_settling {
                service_move.is_stored = false;
            }
        }
        self.statuses.insert(service.to_owned(), (status, version));
    }

    /// Records that the store holds no status for a service any more.
    pub fn on_status_removed(&mut self, service: &str, now: MonoTime) {
        self.statuses.remove(service);
        let is_settling = self.is_settling(now);
        if let Some(service_move) = self.moves.get_mut(service).filter(|_| is_settling) {
            service_move.is_stored = false;
        }
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
        let evidence = service_move.evidence();
        let (is_target, may_fall_back) = match service_move.state {
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
        let is_settling = self.is_settling(now);
        let due = self.moves.iter_mut().filter_map(|(service, service_move)| {
            let state = service_move.due_state(is_settling, now)?;
            let held = self.statuses.get(service);
            Some(DueStatus {
                service: service.clone(),
                status: MoveStatus {
                    target: service_move.order.target.clone(),
                    state,
                },
                replaced: held.map_or(StoreVersion::new(self.era, 0), |(_, version)| *version),
                evidence: service_move.evidence(),
            })
        });
        due.collect()
    }
}

fn is_final(state: MoveState) -> bool {
    matches!(state, MoveState::Completed | MoveState::RolledBack)
}

impl ServiceMove {
    /// Returns the number that identifies this order on all instances.
    fn id(&self, service: &str) -> u64 {
        let StoreVersion { era, revision } = self.order_version;
        name_hash(service) ^ revision.rotate_left(32) ^ era.wrapping_mul(ERA_FACTOR)
    }

    fn evidence(&self) -> Evidence {
        self.reported_evidence
            .values()
            .fold(self.own_evidence, |total, reported| total.merge(*reported))
    }

    fn is_final(&self) -> bool {
        self.state.is_some_and(is_final)
    }

    /// Returns the state that is due to be written. While a new era settles, that is only one that
    /// was decided before: others may know of a decision that this instance has not read.
    fn due_state(&mut self, is_settling: bool, now: MonoTime) -> Option<MoveState> {
        if self.is_final() {
            return self.state.filter(|_| !self.is_stored);
        }
        if is_settling {
            return None;
        }
        let evidence = self.evidence();
        self.rollout.advance(&evidence, now);
        match self.rollout.decide(now) {
            MoveDecision::Complete => Some(MoveState::Completed),
            MoveDecision::TakeBack => Some(MoveState::RolledBack),
            MoveDecision::Continue if !self.is_stored => Some(MoveState::Running),
            MoveDecision::Continue => None,
        }
    }
}
