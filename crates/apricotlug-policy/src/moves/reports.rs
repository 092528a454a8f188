//! Reports of all instances for one move, as received by one instance.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{InstanceId, MonoTime};

use super::{Evidence, Guard, Report, Summary};

/// Age of its latest report above which an instance counts as not reporting.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Latest report of each instance for one move, with the time of its arrival.
#[derive(Clone, Debug, Default)]
pub struct MoveReports {
    evidence: Evidence,
    received_at: BTreeMap<InstanceId, MonoTime>,
}

impl MoveReports {
    /// Adds a report of this or another instance. Returns whether it contained anything new.
    pub fn add_report(&mut self, report: Report, now: MonoTime) -> bool {
        let instance = report.instance.clone();
        let is_new = self.evidence.merge(report);
        if is_new {
            self.received_at.insert(instance, now);
        }
        is_new
    }

    /// Returns the reports, as input for [`Guard::observe_fleet`].
    #[must_use]
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the input for [`super::advance`]; `alive` is the number of live instances.
    #[must_use]
    pub fn summary(&self, guard: &Guard, alive: u16, now: MonoTime) -> Summary {
        let is_recent = |at: &&MonoTime| now.since(**at) <= MAX_REPORT_AGE;
        let reporting = self.received_at.values().filter(is_recent).count();
        Summary {
            is_faulty: guard.has_cut() || self.evidence.has_cut(),
            is_suspect: guard.is_suspect(now),
            reporting: u16::try_from(reporting).unwrap_or(u16::MAX),
            alive,
        }
    }
}
