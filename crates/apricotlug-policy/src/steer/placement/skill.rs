//! Measures how much of what a figure predicts comes true, so that it is used only that far.

/// Weight of a new pair in the moving sums, once there are enough pairs.
const GAIN: f64 = 0.001;

/// Number of pairs below which a figure is not used.
const MIN_PAIRS: u32 = 100;

/// Number of standard errors by which the slope must exceed zero.
const MIN_STANDARD_ERRORS: f64 = 4.0;

/// Regression of observed deviations on predicted ones, through the origin.
///
/// A figure that predicts nothing, or the opposite of what is observed, gets the weight 0.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Skill {
    product: f64,
    predicted_square: f64,
    observed_square: f64,
    pairs: u32,
}

impl Skill {
    /// Records a predicted deviation and the observed one. Ignores numbers that are not finite.
    pub fn observe(&mut self, predicted: f64, observed: f64) {
        if !predicted.is_finite() || !observed.is_finite() {
            return;
        }
        self.pairs = self.pairs.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.pairs));
        self.product += (predicted * observed - self.product) * gain;
        self.predicted_square += (predicted * predicted - self.predicted_square) * gain;
        self.observed_square += (observed * observed - self.observed_square) * gain;
    }

    /// Returns the share of a predicted deviation that is to be expected, 0 to 1; 0 while it is not
    /// shown that the figure predicts anything, or while it explains less than `min_explained` of
    /// the variance.
    #[must_use]
    pub fn weight(&self, min_explained: f64) -> f64 {
        if self.pairs < MIN_PAIRS || self.product <= 0.0 {
            return 0.0;
        }
        let pairs = f64::from(self.pairs).min(1.0 / GAIN);
        let explained = self.product * self.product
            / (self.predicted_square * self.observed_square).max(f64::MIN_POSITIVE);
        let by_chance = MIN_STANDARD_ERRORS * MIN_STANDARD_ERRORS / pairs;
        if explained < min_explained.max(by_chance) {
            return 0.0;
        }
        (self.product / self.predicted_square).clamp(0.0, 1.0)
    }
}
