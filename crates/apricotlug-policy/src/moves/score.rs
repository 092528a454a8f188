//! Cumulative sums of log-likelihood ratios with a lower bound of zero (CUSUM, Page's test).

/// Sum at which the evidence is conclusive: odds of 1 to 5·10^8 in one step.
const CONCLUSIVE_THRESHOLD: f64 = 20.0;

/// Sum from which the evidence points against the new version without being conclusive.
const SUSPECT_THRESHOLD: f64 = 6.0;

/// Sum that is conclusive together with a conclusive sum against the old version's baseline: odds
/// of 1 to 3000 in one step.
const SUPPORTING_THRESHOLD: f64 = 8.0;

/// Alternative hypotheses of the concurrent comparison: risk of a bad answer, as a multiple of the
/// tolerated risk.
const RELATIVE_RISKS: [f64; 3] = [3.0, 10.0, 50.0];

/// Alternative hypotheses of the comparison with the baseline: fraction of the good answers that
/// turn bad.
const DEGRADED_FRACTIONS: [f64; 3] = [0.05, 0.2, 0.5];

/// Cumulative sums, one for each alternative hypothesis.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Score([f64; 3]);

impl Score {
    /// Adds the bad answers of both versions, given that each request was assigned to the new
    /// version at random with probability `share`, independently of its outcome.
    ///
    /// While the new version's risk is at most `tolerated` times the old version's at the same
    /// time, the probability that a bad answer came from the new version has a known upper bound;
    /// nothing else is assumed. A fault that affects both versions does not raise the sums.
    pub(super) fn add_randomised(&mut self, new: u64, old: u64, share: f64, tolerated: f64) {
        if new + old == 0 || share <= 0.0 || share >= 1.0 {
            return;
        }
        let new_probability = |risk: f64| risk * share / (risk * share + 1.0 - share);
        let null = new_probability(tolerated);
        for (sum, risk) in self.0.iter_mut().zip(RELATIVE_RISKS) {
            let alternative = new_probability(tolerated * risk);
            let ratio = new as f64 * (alternative / null).ln()
                + old as f64 * ((1.0 - alternative) / (1.0 - null)).ln();
            *sum = (*sum + ratio).max(0.0);
        }
    }

    /// Adds answers of the new version alone, given the upper bound of the old version's earlier
    /// rate of bad answers. The sums are capped at the threshold, so that they fall soon after a
    /// temporary fault.
    pub(super) fn add_historical(&mut self, bad: u64, good: u64, rate: f64) {
        for (sum, fraction) in self.0.iter_mut().zip(DEGRADED_FRACTIONS) {
            let alternative = rate + (1.0 - rate) * fraction;
            let ratio = bad as f64 * (alternative / rate).ln()
                + good as f64 * ((1.0 - alternative) / (1.0 - rate)).ln();
            *sum = (*sum + ratio).clamp(0.0, CONCLUSIVE_THRESHOLD);
        }
    }

    pub(super) fn is_conclusive(&self) -> bool {
        self.highest() >= CONCLUSIVE_THRESHOLD
    }

    pub(super) fn is_supporting(&self) -> bool {
        self.highest() >= SUPPORTING_THRESHOLD
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.highest() >= SUSPECT_THRESHOLD
    }

    fn highest(&self) -> f64 {
        self.0.iter().copied().fold(0.0, f64::max)
    }
}
