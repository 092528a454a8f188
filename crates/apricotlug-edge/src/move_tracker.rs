//! Version moves as one instance tracks them: draws the version of each request and counts the
//! results of attempts as evidence for or against the version.

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

/// Share at which a move has all traffic, in thousandths.
const FULL_SHARE_PERMILLE: u16 = 1_000;

/// Number of an endpoint's first responses that count as cold.
const COLD_RESPONSES: u32 = 20;

/// Version drawn for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionDraw {
    /// Version that the first attempt goes to; `None` where the service has no move.
    pub version: Option<VersionKey>,
    /// Version for further attempts, and for the first one where no endpoint of the drawn version
    /// can take it; `None` where the service has no move.
    pub fallback: Option<VersionKey>,
    /// Side of the move and its share, in thousandths, by which the version was drawn.
    drawn: Option<(Side, u16)>,
    service: ServiceKey,
}

impl VersionDraw {
    /// Returns a draw for the fallback version whose result is not counted as evidence.
    #[must_use]
    pub fn without_draw(self) -> Self {
        Self {
            version: self.fallback,
            drawn: None,
            ..self
        }
    }
}

/// Result of a request's first attempt, at its drawn version.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Endpoint that the attempt went to.
    pub endpoint: EndpointKey,
    /// Whether the backend server failed or answered with a 5xx status. False where the caller
    /// disconnected or the backend server refused the request as not run.
    pub is_error: bool,
    /// Time until the response head arrived or the attempt failed.
    pub latency: Duration,
}

/// State of one move, for operators' reports.
#[derive(Clone, Debug)]
pub struct MoveView {
    /// Service and target version.
    pub id: MoveId,
    /// Id of the version that traffic moves away from.
    pub from: String,
    /// Move as configured in the bundle.
    pub cfg: Move,
    /// Latest record received; `None` before the first.
    pub record: Option<MoveRecord>,
    /// Share of the target version on this instance, in thousandths.
    pub share: u16,
    /// Whether this instance has cut the share on its own evidence.
    pub has_cut: bool,
}

#[derive(Debug, Default)]
struct State {
    bundle: Option<Arc<Bundle>>,
    moves: Vec<LocalMove>,
    response_counts: HashMap<EndpointKey, u32>,
}

/// Version moves of the bundle in force, with this instance's evidence.
#[derive(Debug, Default)]
pub struct MoveTracker(Mutex<State>);

impl MoveTracker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a new bundle. Moves that it retains keep their records and their evidence.
    pub fn set_bundle(&self, bundle: &Arc<Bundle>, own: &InstanceId) {
        let mut state = self.lock();
        state.response_counts.clear();
        let previous = std::mem::take(&mut state.moves);
        let old = state.bundle.replace(Arc::clone(bundle));
        if let Some(old) = old {
            let carried_over = previous
                .into_iter()
                .filter_map(|local| local.carry_over(&old, bundle));
            state.moves = carried_over.collect();
        }
        for target_version in bundle.versions.keys() {
            let is_carried_over = state
                .moves
                .iter()
                .any(|local| local.target_version() == target_version);
            if !is_carried_over {
                state
                    .moves
                    .extend(LocalMove::new(bundle, target_version, own.clone()));
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
    ) -> VersionDraw {
        let state = self.lock();
        let moves = state
            .moves
            .iter()
            .filter(|local| service_of(bundle, local) == Some(service));
        let active: Vec<ActiveMove> = moves.map(|local| local.active(now, unix)).collect();
        let none = VersionDraw {
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
            .any(|local| local.to == version && local.share >= FULL_SHARE_PERMILLE);
        let fallback = if is_moved { version } else { from };
        VersionDraw {
            version: Some(version),
            fallback: Some(fallback),
            drawn,
            service,
        }
    }

    /// Counts the result of a first attempt at its drawn version. Results under a bundle that is no
    /// longer in force are ignored, as keys differ between bundles.
    pub fn settle(
        &self,
        bundle: &Bundle,
        draw: &VersionDraw,
        route: RouteKey,
        result: AttemptResult,
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
        let response_count = state.response_counts.entry(result.endpoint).or_default();
        *response_count = response_count.saturating_add(1);
        let is_cold = *response_count <= COLD_RESPONSES;
        let local = state
            .moves
            .iter_mut()
            .find(|local| service_of(bundle, local) == Some(draw.service));
        let Some(local) = local else { return };
        let sample = Sample {
            is_error: result.is_error,
            is_cold,
            latency: result.latency,
        };
        local.record_sample(route, side, share, sample);
        // Errors of the new version are evaluated at once, all other results with the next report.
        if side == Side::New && result.is_error {
            local.evaluate_own(bundle, now);
        }
    }

    /// Applies a record from a peer or from the platform, unless a later one is known.
    pub fn set_record(&self, record: MoveRecord) {
        let mut state = self.lock();
        let logged = (
            record.id.clone(),
            record.state,
            record.stage,
            record.sequence,
        );
        if state
            .moves
            .iter_mut()
            .any(|local| local.apply_record(record.clone()))
        {
            let (id, state, stage, sequence) = logged;
            let (service, version) = (id.service, id.version);
            tracing::info!(kind = "move", service, version, ?state, stage, sequence);
        }
    }

    /// Stores another instance's report on a move; ignored where the move is unknown.
    pub fn add_report(&self, id: &MoveId, report: Report, now: MonoTime) {
        let mut state = self.lock();
        if let Some(local) = state.moves.iter_mut().find(|local| local.id() == id) {
            local.add_report(report, now);
        }
    }

    /// Evaluates this instance's evidence, and returns a report for each move.
    pub fn reports(&self, now: MonoTime) -> Vec<(MoveId, Report)> {
        let mut state = self.lock();
        let Some(bundle) = state.bundle.clone() else {
            return Vec::new();
        };
        let moves = state.moves.iter_mut();
        moves
            .map(|local| (local.id().clone(), local.evaluate_own(&bundle, now)))
            .collect()
    }

    /// Evaluates a move by the reports of all instances. `alive` is the number of live instances.
    /// Returns `None` where the move is unknown.
    pub fn evaluate_fleet(&self, id: &MoveId, alive: u16, now: MonoTime) -> Option<Summary> {
        let mut state = self.lock();
        let local = state.moves.iter_mut().find(|local| local.id() == id)?;
        local.evaluate_fleet(now);
        Some(local.summary(alive, now))
    }

    /// Returns the state of all moves on this instance.
    pub fn views(&self, now: MonoTime, unix: UnixTime) -> Vec<MoveView> {
        let state = self.lock();
        let Some(bundle) = &state.bundle else {
            return Vec::new();
        };
        let moves = state.moves.iter();
        moves
            .map(|local| MoveView {
                id: local.id().clone(),
                from: bundle.versions[local.config().from].id.clone(),
                cfg: local.config().clone(),
                record: local.record().cloned(),
                share: local.active(now, unix).share,
                has_cut: local.guard().has_cut(),
            })
            .collect()
    }
}

fn service_of(bundle: &Bundle, local: &LocalMove) -> Option<ServiceKey> {
    bundle
        .versions
        .get(local.target_version())
        .map(|version| version.service)
}
