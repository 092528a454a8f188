//! Guard of one instance: cuts a faulty version's share without waiting for the leader or peers.

use std::time::Duration;

use apricotlug_model::MonoTime;

use super::{Detector, Evidence, Fault, Report};

/// Time for which an alarm limits the share, so that both versions can be compared.
const COMPARISON_PERIOD: Duration = Duration::from_secs(15);

/// Largest share during such a comparison, in thousandths.
const COMPARISON_SHARE_PERMILLE: u16 = 500;

/// Number of alarms that make a fault if each cleared at the lower share while the old version was
/// healthy: the new version then fails only under the load of a large share.
const MAX_ALARMS: u8 = 2;

/// Guard of one instance over one move. A cut lasts for the rest of the move.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    own: Detector,
    fleet: Detector,
    fault: Option<Fault>,
    has_cut: bool,
    alarms: u8,
    comparison_until: MonoTime,
}

impl Guard {
    /// Evaluates this instance's own report. Returns whether the share is cut.
    pub fn observe_own(&mut self, report: &Report, now: MonoTime) -> bool {
        let fault = self.own.observe([report], now);
        let (has_alarm, is_old_degraded) = (self.own.has_alarm(), self.own.is_old_degraded());
        self.update(fault, has_alarm, is_old_degraded, now)
    }

    /// Evaluates the reports of all instances, including this one. A cut by any of them applies
    /// here too. Returns whether the share is cut.
    pub fn observe_fleet(&mut self, evidence: &Evidence, now: MonoTime) -> bool {
        let fault = self.fleet.observe(evidence.reports(), now);
        self.has_cut |= evidence.has_cut();
        let is_old_degraded = self.fleet.is_old_degraded();
        self.update(fault, self.fleet.has_alarm(), is_old_degraded, now)
    }

    /// Returns whether the share is cut, so that this instance sends no request to the new version.
    #[must_use]
    pub fn has_cut(&self) -> bool {
        self.has_cut
    }

    /// Returns the largest share that the guard allows, in thousandths: 1000 unless the share is
    /// cut or limited for a comparison.
    #[must_use]
    pub fn limit(&self, now: MonoTime) -> u16 {
        if self.has_cut {
            return 0;
        }
        if self.is_comparing(now) {
            return COMPARISON_SHARE_PERMILLE;
        }
        1000
    }

    /// Returns the first fault that this instance detected in its own counts or in the reports of
    /// all instances. `None` without a cut, and for a cut that follows from repeated alarms or was
    /// adopted from another instance.
    #[must_use]
    pub fn fault(&self) -> Option<&Fault> {
        self.fault.as_ref()
    }

    /// Returns whether the evidence of all instances points against the new version, or the share
    /// is limited for a comparison.
    #[must_use]
    pub fn is_suspect(&self, now: MonoTime) -> bool {
        self.fleet.is_suspect() || self.is_comparing(now)
    }

    fn is_comparing(&self, now: MonoTime) -> bool {
        !self.comparison_until.is_past(now)
    }

    fn update(
        &mut self,
        fault: Option<Fault>,
        has_alarm: bool,
        is_old_degraded: bool,
        now: MonoTime,
    ) -> bool {
        if has_alarm && !self.is_comparing(now) {
            self.alarms += 1;
            self.comparison_until = now.after(COMPARISON_PERIOD);
        }
        if is_old_degraded && self.is_comparing(now) {
            // The cause of the alarm affects both versions.
            self.alarms = 0;
        }
        self.has_cut |= fault.is_some() || self.alarms >= MAX_ALARMS;
        self.fault = self.fault.take().or(fault);
        self.has_cut
    }
}
