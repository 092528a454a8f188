//! Guard of one instance: cuts a faulty version's share without asking anybody.

use std::time::Duration;

use apricotlug_model::MonoTime;

use super::{Detector, Evidence, Fault, Report};

/// Time for which a doubt lowers the share, so that the versions can be compared.
const DOUBT: Duration = Duration::from_secs(15);

/// Largest share while in doubt, in thousandths.
const DOUBTFUL_SHARE: u16 = 200;

/// Guard of one instance over one move. A cut stands as long as the move.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    own: Detector,
    fleet: Detector,
    fault: Option<Fault>,
    has_cut: bool,
    doubt_until: MonoTime,
}

impl Guard {
    /// Judges what this instance has counted itself. Returns whether the share is cut.
    pub fn observe_own(&mut self, report: &Report, now: MonoTime) -> bool {
        let fault = self.own.observe([report], now);
        self.note(fault, self.own.is_doubtful(), now)
    }

    /// Judges the reports of all instances, this one's included. A cut by any of them is followed.
    /// Returns whether the share is cut.
    pub fn observe_fleet(&mut self, evidence: &Evidence, now: MonoTime) -> bool {
        let fault = self.fleet.observe(evidence.reports(), now);
        self.has_cut |= evidence.has_cut();
        self.note(fault, self.fleet.is_doubtful(), now)
    }

    /// Tells whether the new version gets no request from this instance.
    #[must_use]
    pub fn has_cut(&self) -> bool {
        self.has_cut
    }

    /// Returns the largest share that the guard allows, in thousandths.
    #[must_use]
    pub fn limit(&self, now: MonoTime) -> u16 {
        if self.has_cut {
            return 0;
        }
        if self.is_in_doubt(now) {
            return DOUBTFUL_SHARE;
        }
        1000
    }

    /// Returns the fault that this instance found itself.
    #[must_use]
    pub fn fault(&self) -> Option<&Fault> {
        self.fault.as_ref()
    }

    /// Tells whether the evidence of all instances leans against the new version.
    #[must_use]
    pub fn is_suspect(&self, now: MonoTime) -> bool {
        self.fleet.is_suspect() || self.is_in_doubt(now)
    }

    fn is_in_doubt(&self, now: MonoTime) -> bool {
        !self.doubt_until.is_past(now)
    }

    fn note(&mut self, fault: Option<Fault>, is_doubtful: bool, now: MonoTime) -> bool {
        if is_doubtful {
            self.doubt_until = now.after(DOUBT);
        }
        self.has_cut |= fault.is_some();
        self.fault = self.fault.take().or(fault);
        self.has_cut
    }
}
