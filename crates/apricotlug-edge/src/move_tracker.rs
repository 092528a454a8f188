//! Version moves as one instance follows them: which version a request gets, and what its answer
//! says about the version.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use apricotlug_model::{
    Bundle, EndpointKey, HashMap, InstanceId, MonoTime, Move, RouteKey, ServiceKey, UnixTime,
    VersionKey,
};
use apricotlug_policy::moves::{
    ActiveMove, LocalMove, MoveId, MoveRecord, Report, Sample, Side, Summary, pick_version,
};
use rand::Rng;

/// Share of all traffic, in thousandths.
const WHOLE: u16 = 1_000;

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

#[derive(Debug, Default)]
struct State {
    bundle: Option<Arc<Bundle>>,
    moves: Vec<LocalMove>,
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
    pub fn set_bundle(&self, bundle: &Arc<Bundle>, own: &InstanceId) {
        let mut state = self.lock();
        state.answers.clear();
        let former = std::mem::take(&mut state.moves);
        let old = state.bundle.replace(Arc::clone(bundle));
        if let Some(old) = old {
            let kept = former.into_iter().filter_map(|it| it.follow(&old, bundle));
            state.moves = kept.collect();
        }
        for to in bundle.versions.keys() {
            let is_followed = state.moves.iter().any(|it| it.to() == to);
            if !is_followed {
                state.moves.extend(LocalMove::new(bundle, to, own.clone()));
            }
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
        let moves = state
            .moves
            .iter()
            .filter(|it| service_of(bundle, it) == Some(service));
        let active: Vec<ActiveMove> = moves.map(|it| it.active(now, unix)).collect();
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
            .any(|it| it.to == version && it.share >= WHOLE);
        let fallback = if is_moved { version } else { from };
        Draw {
            version: Some(version),
            fallback: Some(fallback),
            drawn,
            service,
        }
    }

    /// Takes in how a request ended that went to its drawn version at the first attempt.
    pub fn settle(
        &self,
        bundle: &Bundle,
        draw: &Draw,
        route: RouteKey,
        ended: Ended,
        now: MonoTime,
    ) {
        let Some((side, share)) = draw.drawn else {
            return;
        };
        let mut state = self.lock();
        if state
            .bundle
            .as_ref()
            .is_none_or(|known| known.version != bundle.version)
        {
            return;
        }
        let answers = state.answers.entry(ended.endpoint).or_default();
        *answers = answers.saturating_add(1);
        let is_cold = *answers <= COLD_ANSWERS;
        let it = state
            .moves
            .iter_mut()
            .find(|it| service_of(bundle, it) == Some(draw.service));
        let Some(it) = it else { return };
        let sample = Sample {
            is_error: ended.is_error,
            is_cold,
            latency: ended.latency,
        };
        it.count(route, side, share, sample);
        // Errors of the new version are judged at once, all else with the next report.
        if side == Side::New && ended.is_error {
            it.look_at_own(bundle, now);
        }
    }

    /// Takes in a record that arrived from a peer or from the platform. Older ones change nothing.
    pub fn set_record(&self, record: MoveRecord) {
        let mut state = self.lock();
        let line = (
            record.id.clone(),
            record.state,
            record.stage,
            record.sequence,
        );
        if state
            .moves
            .iter_mut()
            .any(|it| it.hear_record(record.clone()))
        {
            let (id, state, stage, sequence) = line;
            let (service, version) = (id.service, id.version);
            // Keeps the log target of earlier releases.
            tracing::info!(
                target: "apricotlug_edge::board",
                kind = "move", service, version, ?state, stage, sequence
            );
        }
    }

    /// Takes in the report of another instance.
    pub fn hear_report(&self, id: &MoveId, report: Report, now: MonoTime) {
        let mut state = self.lock();
        if let Some(it) = state.moves.iter_mut().find(|it| it.id() == id) {
            it.hear_report(report, now);
        }
    }

    /// Judges what was counted here, and returns a report for each move.
    pub fn reports(&self, now: MonoTime) -> Vec<(MoveId, Report)> {
        let mut state = self.lock();
        let Some(bundle) = state.bundle.clone() else {
            return Vec::new();
        };
        let moves = state.moves.iter_mut();
        moves
            .map(|it| (it.id().clone(), it.look_at_own(&bundle, now)))
            .collect()
    }

    /// Judges a move by the reports of all instances.
    pub fn judge_all(&self, id: &MoveId, alive: u16, now: MonoTime) -> Option<Summary> {
        let mut state = self.lock();
        let it = state.moves.iter_mut().find(|it| it.id() == id)?;
        it.look_at_all(now);
        Some(it.summary(alive, now))
    }

    /// Returns the moves as this instance sees them.
    pub fn views(&self, now: MonoTime, unix: UnixTime) -> Vec<MoveView> {
        let state = self.lock();
        let Some(bundle) = &state.bundle else {
            return Vec::new();
        };
        let moves = state.moves.iter();
        moves
            .map(|it| MoveView {
                id: it.id().clone(),
                from: bundle.versions[it.cfg().from].id.clone(),
                cfg: it.cfg().clone(),
                record: it.record().cloned(),
                share: it.active(now, unix).share,
                has_cut: it.guard().has_cut(),
            })
            .collect()
    }
}

fn service_of(bundle: &Bundle, it: &LocalMove) -> Option<ServiceKey> {
    bundle.versions.get(it.to()).map(|version| version.service)
}
