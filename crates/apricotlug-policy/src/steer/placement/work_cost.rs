//! What a request is likely to cost beside its route: factors learned by client account and object.

use apricotlug_model::HashMap;

use super::skill::Skill;

/// Maximum number of accounts and of objects, each with their route, whose factors are kept.
const MAX_FACTORS: usize = 2_048;

/// Share of the variance of service times that accounts or objects must explain to be used. Below,
/// they may only stand for the backend servers that they happen to go to.
const MIN_EXPLAINED: f64 = 0.1;

/// Smallest weight of a new observation in a factor.
const FACTOR_GAIN: f64 = 0.1;

/// Number of observations at which half of a factor's deviation counts.
const PRIOR_OBSERVATIONS: f64 = 2.0;

/// Range of the ratio of an observed to an expected service time that counts.
const RATIO_RANGE: [f64; 2] = [0.1, 10.0];

/// Weight of a new observation in the moving spread of service times.
const SPREAD_GAIN: f64 = 0.02;

/// Weight of a new observation in a route's mean error.
const BIAS_GAIN: f64 = 0.02;

/// Number of answers of a route from which its error is known well enough to tell others apart.
const MIN_ROUTE_ANSWERS: u32 = 50;

/// Relative spread of service times before any is observed.
pub(super) const FIRST_SPREAD: f64 = 0.5;

/// Ratio between the service times of some requests and of their route.
#[derive(Clone, Copy, Debug)]
struct Factor {
    ratio: f64,
    /// Number of uses, halved as often as room for others is made.
    uses: u32,
    observations: u32,
}

/// Mean ratio between the service times of a route and the expected ones: the error that all its
/// requests share, which says nothing about accounts and objects.
#[derive(Clone, Copy, Debug, Default)]
struct RouteBias {
    ratio: f64,
    answers: u32,
}

impl RouteBias {
    /// Records a ratio and returns it without the error; `None` while that is not known.
    fn correct(&mut self, ratio: f64) -> Option<f64> {
        self.answers = self.answers.saturating_add(1);
        let gain = BIAS_GAIN.max(1.0 / f64::from(self.answers));
        self.ratio += (ratio - self.ratio) * gain;
        (self.answers >= MIN_ROUTE_ANSWERS).then_some(ratio / self.ratio)
    }
}

/// Factors of the most used keys, and how well they have predicted.
#[derive(Clone, Debug, Default)]
struct FactorTable {
    factors: HashMap<(u64, u64), Factor>,
    skill: Skill,
}

impl FactorTable {
    /// Returns the expected deviation from the ratio 1.
    fn deviation(&self, key: (u64, u64)) -> f64 {
        let weight = self.skill.weight(MIN_EXPLAINED);
        if weight == 0.0 {
            return 0.0;
        }
        self.learned(key) * weight
    }

    fn learned(&self, key: (u64, u64)) -> f64 {
        let Some(factor) = self.factors.get(&key) else {
            return 0.0;
        };
        let observations = f64::from(factor.observations);
        (factor.ratio - 1.0) * observations / (observations + PRIOR_OBSERVATIONS)
    }

    fn observe(&mut self, key: (u64, u64), ratio: f64) {
        if self.factors.contains_key(&key) {
            self.skill.observe(self.learned(key), ratio - 1.0);
        } else if self.factors.len() >= MAX_FACTORS {
            self.make_room();
        }
        let factor = self.factors.entry(key).or_insert(Factor {
            ratio: 1.0,
            uses: 0,
            observations: 0,
        });
        factor.uses = factor.uses.saturating_add(1);
        factor.observations = factor.observations.saturating_add(1);
        let gain = FACTOR_GAIN.max(1.0 / f64::from(factor.observations));
        factor.ratio += (ratio - factor.ratio) * gain;
    }

    /// Removes the least used quarter and halves the uses of the others, so that old ones lapse.
    fn make_room(&mut self) {
        let mut excess = self.factors.len() / 4;
        let mut uses: Vec<u32> = self.factors.values().map(|factor| factor.uses).collect();
        let (_, limit, _) = uses.select_nth_unstable(excess);
        let limit = *limit;
        self.factors.retain(|_, factor| {
            let is_removed = factor.uses <= limit && excess > 0;
            excess -= usize::from(is_removed);
            factor.uses = factor.uses.div_ceil(2);
            !is_removed
        });
    }
}

/// Keys under which the cost of a request is learned, as hashes. `None` where it has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CostKeys {
    /// Route.
    pub route: u64,
    /// Client account.
    pub account: Option<u64>,
    /// Object.
    pub object: Option<u64>,
}

/// Cost factors of the requests of one service.
#[derive(Clone, Debug)]
pub struct WorkCosts {
    accounts: FactorTable,
    objects: FactorTable,
    routes: HashMap<u64, RouteBias>,
    /// Moving mean of the squared relative error of expected service times.
    error_square: f64,
}

impl Default for WorkCosts {
    fn default() -> Self {
        Self {
            accounts: FactorTable::default(),
            objects: FactorTable::default(),
            routes: HashMap::default(),
            error_square: FIRST_SPREAD * FIRST_SPREAD,
        }
    }
}

impl WorkCosts {
    /// Returns the service time of a request in multiples of that of its route; 1 where accounts
    /// and objects are not known to differ.
    #[must_use]
    pub fn factor(&self, keys: CostKeys) -> f64 {
        let account = keys.account.map(|account| (keys.route, account));
        let object = keys.object.map(|object| (keys.route, object));
        let account = account.map_or(0.0, |key| self.accounts.deviation(key));
        let object = object.map_or(0.0, |key| self.objects.deviation(key));
        ((1.0 + account) * (1.0 + object)).clamp(RATIO_RANGE[0], RATIO_RANGE[1])
    }

    /// Returns the number of factors that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.factors.len() + self.objects.factors.len()
    }

    /// Returns whether no factor is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether accounts or objects are known to differ.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.accounts.skill.weight(MIN_EXPLAINED) > 0.0
            || self.objects.skill.weight(MIN_EXPLAINED) > 0.0
    }

    /// Returns the standard deviation of service times from the expected ones, in multiples of
    /// these.
    #[must_use]
    pub fn spread(&self) -> f64 {
        self.error_square.sqrt()
    }

    /// Records a service time, in multiples of the one expected of its route at that backend
    /// server. Returns it without the error that all requests of the route share; `None` while that
    /// is not known, or if the number is not finite.
    pub fn observe(&mut self, keys: CostKeys, ratio: f64) -> Option<f64> {
        if !ratio.is_finite() {
            return None;
        }
        let ratio = ratio.clamp(RATIO_RANGE[0], RATIO_RANGE[1]);
        let ratio = self.routes.entry(keys.route).or_default().correct(ratio)?;
        let error = ratio / self.factor(keys) - 1.0;
        self.error_square += (error * error - self.error_square) * SPREAD_GAIN;
        let mut rest = ratio;
        if let Some(account) = keys.account {
            let key = (keys.route, account);
            rest /= 1.0 + self.accounts.deviation(key);
            self.accounts.observe(key, ratio);
        }
        if let Some(object) = keys.object {
            self.objects.observe((keys.route, object), rest);
        }
        Some(ratio)
    }
}
