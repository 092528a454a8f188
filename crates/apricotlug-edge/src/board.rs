//! Version moves as one instance follows them: which version a request gets, and what its answer
//! says about the version.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use apricotlug_model::{
    Bundle, EndpointKey, HashMap, InstanceId, MonoTime, Move, ServiceKey, UnixTime, VersionKey,
};
use apricotlug_policy::moves::{
    ActiveMove, Guard, MoveId, MoveRecord, Report, Sample, Side, Totals, pick_version, share,
};
use rand::Rng;

/// Answers of an endpoint during which it counts as cold.
const COLD_ANSWERS: u32 = 20;

/// Version drawn for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// Version that the request goes to; `None` where the service has no move.
    pub version: Option<VersionKey>,
    /// Version that serves while the drawn one has no place, and further attempts.
    pub fallback: Option<VersionKey>,
    /// Side of the move and its share, in thousandths, by which the version was drawn.
    drawn: Option<(Side, u16)>,
    service: ServiceKey,
}

impl Draw {
    /// Returns the draw of a request that goes to the fallback and says nothing about a version.
    #[must_use]
    pub fn fall_back(self) -> Self {
        Self {
            version: self.fallback,
            drawn: None,
            ..self
        }
    }
}

/// How a request that went to its drawn version ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Whether it failed, or its answer reports a fault of the server.
    pub is_error: bool,
    /// Time until the answer began, or until it failed.
    pub latency: Duration,
}

/// State of one move, for operators.
#[derive(Clone, Debug)]
pub struct MoveView {
    /// Identity.
    pub id: MoveId,
    /// Id of the version that the traffic leaves.
    pub from: String,
    /// Move as the bundle has it.
    pub cfg: Move,
    /// Latest record.
    pub record: Option<MoveRecord>,
    /// Share here, in thousandths.
    pub share: u16,
    /// Whether this instance has cut the share itself.
    pub has_cut: bool,
}

#[derive(Debug)]
struct Followed {
    id: MoveId,
    service: ServiceKey,
    to: VersionKey,
    cfg: Move,
    record: Option<MoveRecord>,
    guard: Guard,
    totals: Totals,
    sequence: u64,
}

impl Followed {
    fn share(&self, now: MonoTime, unix: UnixTime) -> u16 {
        share(&self.cfg, self.record.as_ref(), self.guard.limit(now), unix)
    }

    fn report(&self, own: &InstanceId) -> Report {
        Report {
            instance: own.clone(),
            sequence: self.sequence,
            has_cut: self.guard.has_cut(),
            totals: self.totals.clone(),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    moves: Vec<Followed>,
    answers: HashMap<EndpointKey, u32>,
}

/// Moves that this instance follows.
#[derive(Debug, Default)]
pub struct Board(Mutex<State>);

impl Board {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows a change of the bundle. Moves that stay keep their records and their evidence.
    pub fn set_bundle(&self, bundle: &Bundle) {
        let mut state = self.lock();
        state.answers.clear();
        let mut former = std::mem::take(&mut state.moves);
        for (to, version) in bundle.versions.iter() {
            let Some(cfg) = &version.incoming else {
                continue;
            };
            let id = MoveId {
                service: bundle.services[version.service].id.clone(),
                version: version.id.clone(),
                deadline: cfg.deadline,
            };
            let kept = former
                .iter()
                .position(|it| it.id == id)
                .map(|i| former.swap_remove(i));
            let (service, cfg) = (version.service, cfg.clone());
            state.moves.push(match kept {
                Some(kept) => Followed {
                    service,
                    to,
                    cfg,
                    ..kept
                },
                None => Followed {
                    id,
                    service,
                    to,
                    cfg,
                    record: None,
                    guard: Guard::default(),
                    totals: Totals::new(),
                    sequence: 0,
                },
            });
        }
    }

    /// Draws the version of a request for a service.
    pub fn draw(
        &self,
        bundle: &Bundle,
        service: ServiceKey,
        now: MonoTime,
        unix: UnixTime,
        rng: &mut impl Rng,
    ) -> Draw {
        let state = self.lock();
        let moves = state.moves.iter().filter(|it| it.service == service);
        let active: Vec<ActiveMove> = moves
            .map(|it| ActiveMove {
                from: it.cfg.from,
                to: it.to,
                share: it.share(now, unix),
            })
            .collect();
        let none = Draw {
            version: None,
            fallback: None,
            drawn: None,
            service,
        };
        let Some(first) = active.first() else {
            return none;
        };
        let serving = bundle.services[service].versions.iter().copied();
        let mut serving = serving.filter(|key| bundle.versions[*key].incoming.is_none());
        let from = serving.next().unwrap_or(first.from);
        let version = pick_version(from, &active, rng);
        let drawn = match active.as_slice() {
            [only] if version == only.to => Some((Side::New, only.share)),
            [only] if version == only.from => Some((Side::Old, only.share)),
            _ => None,
        };
        let is_moved = active
            .iter()
            .any(|it| it.to == version && it.share >= 1_000);
        let fallback = if is_moved { version } else { from };
        Draw {
            version: Some(version),
            fallback: Some(fallback),
            drawn,
            service,
        }
    }

    /// Takes in how a request ended that went to its drawn version at the first attempt.
    pub fn settle(&self, draw: &Draw, route: &str, ended: Ended, own: &InstanceId, now: MonoTime) {
        let Some((side, share)) = draw.drawn else {
            return;
        };
        let mut state = self.lock();
        let answers = state.answers.entry(ended.endpoint).or_default();
        *answers = answers.saturating_add(1);
        let is_cold = *answers <= COLD_ANSWERS;
        let Some(it) = state.moves.iter_mut().find(|it| it.service == draw.service) else {
            return;
        };
        let sample = Sample {
            is_error: ended.is_error,
            is_cold,
            latency: ended.latency,
        };
        it.totals
            .entry(route.to_owned())
            .or_default()
            .record(side, share, sample);
        it.sequence += 1;
        if side == Side::New {
            let report = it.report(own);
            if it.guard.observe_own(&report, now) {
                tracing::info!(
                    kind = "move_cut",
                    service = it.id.service,
                    version = it.id.version
                );
            }
        }
    }

    /// Takes in a record that arrived from a peer or from the platform. Older ones change nothing.
    pub fn set_record(&self, record: MoveRecord) {
        let mut state = self.lock();
        let Some(it) = state.moves.iter_mut().find(|it| it.id == record.id) else {
            return;
        };
        if it
            .record
            .as_ref()
            .is_none_or(|known| known.is_replaced_by(&record))
        {
            tracing::info!(
                kind = "move",
                service = record.id.service,
                version = record.id.version,
                state = ?record.state,
                stage = record.stage,
                sequence = record.sequence,
            );
            it.record = Some(record);
        }
    }

    /// Judges what was counted here, and returns a report for each move.
    pub fn reports(&self, own: &InstanceId, now: MonoTime) -> Vec<(MoveId, Report)> {
        let mut state = self.lock();
        let moves = state.moves.iter_mut();
        moves
            .map(|it| {
                let report = it.report(own);
                it.guard.observe_own(&report, now);
                (it.id.clone(), it.report(own))
            })
            .collect()
    }

    /// Returns the moves as this instance sees them.
    pub fn views(&self, bundle: &Bundle, now: MonoTime, unix: UnixTime) -> Vec<MoveView> {
        let state = self.lock();
        let moves = state.moves.iter();
        moves
            .map(|it| MoveView {
                id: it.id.clone(),
                from: bundle.versions[it.cfg.from].id.clone(),
                cfg: it.cfg.clone(),
                record: it.record.clone(),
                share: it.share(now, unix),
                has_cut: it.guard.has_cut(),
            })
            .collect()
    }
}
