//! Reports of all instances for one move, as one instance has heard them.

use std::{collections::BTreeMap, time::Duration};

use apricotlug_model::{InstanceId, MonoTime};

use super::{Evidence, Guard, Report, Summary};

/// Time after which an instance without a new report counts as not reporting.
const REPORT_AGE: Duration = Duration::from_secs(5);

/// Reports of all instances for one move, and when each was last heard of.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    evidence: Evidence,
    heard_at: BTreeMap<InstanceId, MonoTime>,
}

impl FleetView {
    /// Takes a report in, this instance's own ones included. Returns whether it was news, to be
    /// passed on.
    pub fn hear(&mut self, report: Report, now: MonoTime) -> bool {
        let instance = report.instance.clone();
        let is_news = self.evidence.merge(report);
        if is_news {
            self.heard_at.insert(instance, now);
        }
        is_news
    }

    /// Returns what [`Guard::observe_fleet`] judges, about once a second.
    #[must_use]
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns what [`super::advance`] asks, given the number of instances that are alive.
    #[must_use]
    pub fn summary(&self, guard: &Guard, alive: u16, now: MonoTime) -> Summary {
        let is_recent = |at: &&MonoTime| now.since(**at) <= REPORT_AGE;
        let reporting = self.heard_at.values().filter(is_recent).count();
        Summary {
            is_faulty: guard.has_cut() || self.evidence.has_cut(),
            is_suspect: guard.is_suspect(now),
            reporting: u16::try_from(reporting).unwrap_or(u16::MAX),
            alive,
        }
    }
}
