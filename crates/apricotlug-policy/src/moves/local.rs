//! State of one move in one instance: latest record, guard and reports of all instances.

use apricotlug_model::{
    Bundle, HashMap, InstanceId, MonoTime, Move, RouteKey, UnixTime, VersionKey,
};

use super::{
    ActiveMove, Guard, MoveId, MoveRecord, MoveReports, MoveState, Pair, Report, Sample, Side,
    Summary, share,
};

/// State of one move in one instance, for as long as the bundle contains the move.
#[derive(Clone, Debug)]
pub struct LocalMove {
    id: MoveId,
    target_version: VersionKey,
    config: Move,
    instance: InstanceId,
    record: Option<MoveRecord>,
    guard: Guard,
    pairs: HashMap<RouteKey, Pair>,
    reports: MoveReports,
    sequence: u64,
}

impl LocalMove {
    /// Creates the state of the move to `target_version`, or returns `None` if no move leads to it.
    #[must_use]
    pub fn new(bundle: &Bundle, target_version: VersionKey, instance: InstanceId) -> Option<Self> {
        let version = &bundle.versions[target_version];
        let config = version.incoming.clone()?;
        let id = MoveId {
            service: bundle.services[version.service].id.clone(),
            version: version.id.clone(),
            deadline: config.deadline,
        };
        Some(Self {
            id,
            target_version,
            config,
            instance,
            record: None,
            guard: Guard::default(),
            pairs: HashMap::default(),
            reports: MoveReports::default(),
            sequence: 0,
        })
    }

    /// Carries the state over from bundle `old` to bundle `new`, or returns `None` if `new` lacks
    /// the move. Counts of routes that `new` lacks are dropped.
    #[must_use]
    pub fn carry_over(self, old: &Bundle, new: &Bundle) -> Option<Self> {
        let (target_version, version) = new.versions.iter().find(|(_, version)| {
            version.id == self.id.version
                && new.services[version.service].id == self.id.service
                && version
                    .incoming
                    .as_ref()
                    .is_some_and(|config| config.deadline == self.id.deadline)
        })?;
        let config = version.incoming.clone()?;
        let pairs = self.pairs.into_iter().filter_map(|(route, pair)| {
            let id = &old.routes[route].id;
            Some((new.routes.find(|route| route.id == *id)?, pair))
        });
        Some(Self {
            target_version,
            config,
            pairs: pairs.collect(),
            ..self
        })
    }

    /// Returns the identity of the move: service, version and deadline.
    #[must_use]
    pub fn id(&self) -> &MoveId {
        &self.id
    }

    /// Returns the version that the traffic goes to.
    #[must_use]
    pub fn target_version(&self) -> VersionKey {
        self.target_version
    }

    /// Returns the move as configured in the bundle.
    #[must_use]
    pub fn config(&self) -> &Move {
        &self.config
    }

    /// Returns the latest record received, or `None` before the first one.
    #[must_use]
    pub fn record(&self) -> Option<&MoveRecord> {
        self.record.as_ref()
    }

    /// Returns this instance's guard over the move.
    #[must_use]
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Applies a record from the platform or a peer unless it belongs to another move or is not
    /// newer than the current one. Returns whether it was applied.
    pub fn apply_record(&mut self, record: MoveRecord) -> bool {
        let is_new = record.id == self.id
            && self
                .record
                .as_ref()
                .is_none_or(|own| own.is_superseded_by(&record));
        if is_new {
            self.record = Some(record);
        }
        is_new
    }

    /// Adds a report of another instance. Returns whether it was new.
    pub fn add_report(&mut self, report: Report, now: MonoTime) -> bool {
        self.reports.add_report(report, now)
    }

    /// Counts the outcome of a request whose version was drawn by `share`, in thousandths.
    pub fn record_sample(&mut self, route: RouteKey, side: Side, share: u16, sample: Sample) {
        let pair = self.pairs.entry(route).or_default();
        pair.record(side, share, sample);
    }

    /// Evaluates this instance's counts and returns its report for the other instances. To be
    /// called several times a second.
    pub fn evaluate_own(&mut self, bundle: &Bundle, now: MonoTime) -> Report {
        self.sequence += 1;
        let pairs = self.pairs.iter();
        let mut report = Report {
            instance: self.instance.clone(),
            sequence: self.sequence,
            has_cut: false,
            totals: pairs
                .map(|(route, pair)| (bundle.routes[*route].id.clone(), pair.clone()))
                .collect(),
        };
        report.has_cut = self.guard.observe_own(&report, now);
        self.add_report(report.clone(), now);
        report
    }

    /// Evaluates the reports of all instances. To be called about once a second.
    pub fn evaluate_fleet(&mut self, now: MonoTime) {
        self.guard.observe_fleet(self.reports.evidence(), now);
    }

    /// Returns the input for [`super::advance`]; `alive` is the number of live instances.
    #[must_use]
    pub fn summary(&self, alive: u16, now: MonoTime) -> Summary {
        self.reports.summary(&self.guard, alive, now)
    }

    /// Returns the move with the share that this instance currently applies.
    #[must_use]
    pub fn active(&self, now: MonoTime, wall: UnixTime) -> ActiveMove {
        let limit = self.guard.limit(now);
        ActiveMove {
            from: self.config.from,
            to: self.target_version,
            share: share(&self.config, self.record.as_ref(), limit, wall),
        }
    }

    /// Returns whether the latest record is final; false without a record.
    #[must_use]
    pub fn is_over(&self) -> bool {
        let state = self.record.as_ref().map(|record| record.state);
        state.is_some_and(MoveState::is_final)
    }
}
