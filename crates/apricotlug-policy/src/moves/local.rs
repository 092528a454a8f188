//! One move as one instance sees it: its record, its guard and all evidence that has arrived.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{
    Bundle, HashMap, InstanceId, MonoTime, Move, RouteKey, UnixTime, VersionKey,
};

use super::{
    ActiveMove, Evidence, Guard, MoveId, MoveRecord, MoveState, Pair, Report, Sample, Side,
    Summary, share,
};

/// Time after which an instance without a new report counts as not reporting.
const REPORT_AGE: Duration = Duration::from_secs(5);

/// State of one move in one instance.
#[derive(Clone, Debug)]
pub struct LocalMove {
    id: MoveId,
    to: VersionKey,
    cfg: Move,
    instance: InstanceId,
    record: Option<MoveRecord>,
    guard: Guard,
    pairs: HashMap<RouteKey, Pair>,
    evidence: Evidence,
    heard_at: BTreeMap<InstanceId, MonoTime>,
    sequence: u64,
}

impl LocalMove {
    /// Returns the state of the move that brings a version in, or `None` where no move does.
    #[must_use]
    pub fn new(bundle: &Bundle, to: VersionKey, instance: InstanceId) -> Option<Self> {
        let version = &bundle.versions[to];
        let cfg = version.incoming.clone()?;
        let id = MoveId {
            service: bundle.services[version.service].id.clone(),
            version: version.id.clone(),
            deadline: cfg.deadline,
        };
        Some(Self {
            id,
            to,
            cfg,
            instance,
            record: None,
            guard: Guard::default(),
            pairs: HashMap::default(),
            evidence: Evidence::default(),
            heard_at: BTreeMap::new(),
            sequence: 0,
        })
    }

    /// Returns the identity of the move.
    #[must_use]
    pub fn id(&self) -> &MoveId {
        &self.id
    }

    /// Returns the move as the bundle describes it.
    #[must_use]
    pub fn cfg(&self) -> &Move {
        &self.cfg
    }

    /// Returns the latest record that has arrived.
    #[must_use]
    pub fn record(&self) -> Option<&MoveRecord> {
        self.record.as_ref()
    }

    /// Returns the guard.
    #[must_use]
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Takes a record in, from the platform or a peer, unless it is of another move or older than
    /// the one here. Returns whether it was news, to be passed on.
    pub fn hear_record(&mut self, record: MoveRecord) -> bool {
        let is_news = record.id == self.id
            && self
                .record
                .as_ref()
                .is_none_or(|own| own.is_replaced_by(&record));
        if is_news {
            self.record = Some(record);
        }
        is_news
    }

    /// Takes a report of another instance in. Returns whether it was news.
    pub fn hear_report(&mut self, report: Report, now: MonoTime) -> bool {
        let instance = report.instance.clone();
        let is_news = self.evidence.merge(report);
        if is_news {
            self.heard_at.insert(instance, now);
        }
        is_news
    }

    /// Counts what became of a request whose version was drawn by a share in thousandths.
    pub fn count(&mut self, route: RouteKey, side: Side, share: u16, sample: Sample) {
        let pair = self.pairs.entry(route).or_default();
        pair.record(side, share, sample);
    }

    /// Judges what this instance has counted, and returns its report for the others. Several
    /// times a second.
    pub fn look_at_own(&mut self, bundle: &Bundle, now: MonoTime) -> Report {
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
        self.hear_report(report.clone(), now);
        report
    }

    /// Judges the reports of all instances. About once a second.
    pub fn look_at_all(&mut self, now: MonoTime) {
        self.guard.observe_fleet(&self.evidence, now);
    }

    /// Returns what [`super::advance`] asks, given the number of instances that are alive.
    #[must_use]
    pub fn summary(&self, alive: u16, now: MonoTime) -> Summary {
        let is_recent = |at: &&MonoTime| now.since(**at) <= REPORT_AGE;
        let reporting = self.heard_at.values().filter(is_recent).count();
        Summary {
            is_faulty: self.guard.has_cut(),
            is_suspect: self.guard.is_suspect(now),
            reporting: u16::try_from(reporting).unwrap_or(u16::MAX),
            alive,
        }
    }

    /// Returns the move with the share that this instance gives it now.
    #[must_use]
    pub fn active(&self, now: MonoTime, wall: UnixTime) -> ActiveMove {
        let limit = self.guard.limit(now);
        ActiveMove {
            from: self.cfg.from,
            to: self.to,
            share: share(&self.cfg, self.record.as_ref(), limit, wall),
        }
    }

    /// Tells whether the record is final.
    #[must_use]
    pub fn is_over(&self) -> bool {
        let state = self.record.as_ref().map(|record| record.state);
        state.is_some_and(MoveState::is_final)
    }
}
