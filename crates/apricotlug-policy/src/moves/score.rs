//! Cumulative sums of log-likelihood ratios, cut off at zero (Page's test).

/// Sum at which the evidence is conclusive: odds of 1 to 5·10^8 in one step.
const THRESHOLD: f64 = 20.0;

/// Sum from which the evidence leans against the new version.
const SUSPECT: f64 = 6.0;

/// Sum that, together with a conclusive one from the old version's last counts, is conclusive:
/// odds of 1 to 3000 in one step.
const SUPPORTING: f64 = 8.0;

/// Risks of a bad answer, as multiples of the tolerated one, that the sums test for.
const RISKS: [f64; 3] = [3.0, 10.0, 50.0];

/// Rates of bad answers, as fractions of what was good, that the sums test for.
const RATES: [f64; 3] = [0.05, 0.2, 0.5];

/// Cumulative sums, one a grade of worse.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Score([f64; 3]);

impl Score {
    /// Adds bad answers of both versions, where each request went to the new version with
    /// probability `share`, whatever would become of it.
    ///
    /// As long as the new version's risk is at most `tolerated` times the old one's at the same
    /// time, a bad answer is the new version's with at most a known probability; nothing else is
    /// assumed. A fault that strikes both versions leaves the sums where they are.
    pub(super) fn add_randomised(&mut self, new: u64, old: u64, share: f64, tolerated: f64) {
        if new + old == 0 || share <= 0.0 || share >= 1.0 {
            return;
        }
        let part = |risk: f64| risk * share / (risk * share + 1.0 - share);
        let usual = part(tolerated);
        for (sum, risk) in self.0.iter_mut().zip(RISKS) {
            let worse = part(tolerated * risk);
            let ratio = new as f64 * (worse / usual).ln()
                + old as f64 * ((1.0 - worse) / (1.0 - usual)).ln();
            *sum = (*sum + ratio).max(0.0);
        }
    }

    /// Adds answers of the new version alone, given the highest rate of bad ones that the old
    /// version had before. The sums stop at the threshold, so that a passing trouble is soon
    /// forgotten.
    pub(super) fn add_historical(&mut self, bad: u64, good: u64, rate: f64) {
        for (sum, grade) in self.0.iter_mut().zip(RATES) {
            let worse = rate + (1.0 - rate) * grade;
            let ratio = bad as f64 * (worse / rate).ln()
                + good as f64 * ((1.0 - worse) / (1.0 - rate)).ln();
            *sum = (*sum + ratio).clamp(0.0, THRESHOLD);
        }
    }

    pub(super) fn is_conclusive(&self) -> bool {
        self.highest() >= THRESHOLD
    }

    pub(super) fn is_supporting(&self) -> bool {
        self.highest() >= SUPPORTING
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.highest() >= SUSPECT
    }

    fn highest(&self) -> f64 {
        self.0.iter().copied().fold(0.0, f64::max)
    }
}
