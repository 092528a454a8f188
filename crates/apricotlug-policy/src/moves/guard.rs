//! Guard of one instance: cuts a faulty version's share without asking anybody.

use std::time::Duration;

use apricotlug_model::MonoTime;

use super::{Detector, Evidence, Fault, Report};

/// Time for which a doubt lowers the share, so that the versions can be compared.
const DOUBT: Duration = Duration::from_secs(15);

/// Largest share while in doubt, in thousandths.
const DOUBTFUL_SHARE: u16 = 500;

/// Doubts, each gone at the lower share while the old version was well, that make a fault: the
/// version fails under the load of a large share only.
const MAX_DOUBTS: u8 = 2;

/// Guard of one instance over one move. A cut stands as long as the move.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    own: Detector,
    fleet: Detector,
    fault: Option<Fault>,
    has_cut: bool,
    doubts: u8,
    doubt_until: MonoTime,
}

impl Guard {
    /// Judges what this instance has counted itself. Returns whether the share is cut.
    pub fn observe_own(&mut self, report: &Report, now: MonoTime) -> bool {
        let fault = self.own.observe([report], now);
        let (is_doubtful, is_old_troubled) = (self.own.is_doubtful(), self.own.is_old_troubled());
        self.note(fault, is_doubtful, is_old_troubled, now)
    }

    /// Judges the reports of all instances, this one's included. A cut by any of them is followed.
    /// Returns whether the share is cut.
    pub fn observe_fleet(&mut self, evidence: &Evidence, now: MonoTime) -> bool {
        let fault = self.fleet.observe(evidence.reports(), now);
        self.has_cut |= evidence.has_cut();
        let is_old_troubled = self.fleet.is_old_troubled();
        self.note(fault, self.fleet.is_doubtful(), is_old_troubled, now)
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

    fn note(
        &mut self,
        fault: Option<Fault>,
        is_doubtful: bool,
        is_old_troubled: bool,
        now: MonoTime,
    ) -> bool {
        if is_doubtful && !self.is_in_doubt(now) {
            self.doubts += 1;
            self.doubt_until = now.after(DOUBT);
        }
        if is_old_troubled && self.is_in_doubt(now) {
            // What raised the doubt strikes both versions.
            self.doubts = 0;
        }
        self.has_cut |= fault.is_some() || self.doubts >= MAX_DOUBTS;
        self.fault = self.fault.take().or(fault);
        self.has_cut
    }
}
