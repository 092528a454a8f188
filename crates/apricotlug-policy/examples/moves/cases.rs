//! Workloads and faults of the move measurement.

/// Traffic of one service at one user's size.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Name in tables.
    pub name: &'static str,
    /// Entry instances.
    pub instances: usize,
    /// Requests a second by route, over all instances.
    pub rates: [f64; 2],
    /// Median latency, in milliseconds.
    pub median_ms: f64,
    /// Time from the start to the deadline, in seconds.
    pub window_s: u64,
}

/// Services of both users, a large and a small one each.
pub const WORKLOADS: [Workload; 4] = [
    Workload {
        name: "Armor lookups",
        instances: 9,
        rates: [300.0, 100.0],
        median_ms: 25.0,
        window_s: 1800,
    },
    Workload {
        name: "Armor bookings",
        instances: 9,
        rates: [30.0, 10.0],
        median_ms: 60.0,
        window_s: 1800,
    },
    Workload {
        name: "Novák catalogue",
        instances: 8,
        rates: [600.0, 200.0],
        median_ms: 15.0,
        window_s: 1800,
    },
    Workload {
        name: "Novák orders",
        instances: 8,
        rates: [40.0, 20.0],
        median_ms: 40.0,
        window_s: 1800,
    },
];

/// Shares by stage, in thousandths.
pub const STAGES: [u16; 6] = [5, 10, 50, 250, 500, 1000];

/// What the new version does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Case {
    /// As good as the old one.
    Good,
    /// Good, while something that both versions need fails for 3 s every 2 min.
    GoodBlips,
    /// Good, with cold endpoints for the first 20 s of each stage.
    GoodCold,
    /// Good and a tenth slower than the old one.
    GoodTenthSlower,
    /// Half of the requests fail from the start.
    ErrorsAtOnce,
    /// 3% of the requests fail from the start.
    FewErrors,
    /// Three times the latency from the start.
    SlowAtOnce,
    /// Half of the requests fail from a random point on.
    ErrorsLater,
    /// Three times the latency from a random point on.
    SlowLater,
    /// 40% of the requests fail while the share is 250 or more.
    ErrorsUnderLoad,
    /// Three times the latency while the share is 250 or more.
    SlowUnderLoad,
    /// 40% of the requests fail while the share is above 500.
    ErrorsUnderFullLoad,
    /// Half of the requests fail on the smaller route.
    ErrorsOneRoute,
    /// Three times the latency on the smaller route.
    SlowOneRoute,
}

/// Every case.
pub const CASES: [Case; 14] = [
    Case::Good,
    Case::GoodBlips,
    Case::GoodCold,
    Case::GoodTenthSlower,
    Case::ErrorsAtOnce,
    Case::FewErrors,
    Case::SlowAtOnce,
    Case::ErrorsLater,
    Case::SlowLater,
    Case::ErrorsUnderLoad,
    Case::SlowUnderLoad,
    Case::ErrorsUnderFullLoad,
    Case::ErrorsOneRoute,
    Case::SlowOneRoute,
];

/// Effect of a fault on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effect {
    /// Probability that the request fails.
    pub errors: f64,
    /// Factor on its latency.
    pub slowdown: f64,
}

impl Case {
    /// Tells whether the move should finish.
    pub fn is_good(self) -> bool {
        use Case::{Good, GoodBlips, GoodCold, GoodTenthSlower};
        matches!(self, Good | GoodBlips | GoodCold | GoodTenthSlower)
    }

    /// Returns the fault's effect on a request to the new version, or `None` where it has none.
    pub fn effect(self, route: usize, share: u16, is_late: bool) -> Option<Effect> {
        let errors = |errors| Effect {
            errors,
            slowdown: 1.0,
        };
        let slow = Effect {
            errors: 0.0,
            slowdown: 3.0,
        };
        let is_loaded = share >= 250;
        match self {
            Self::Good | Self::GoodBlips | Self::GoodCold | Self::GoodTenthSlower => None,
            Self::ErrorsAtOnce => Some(errors(0.5)),
            Self::FewErrors => Some(errors(0.03)),
            Self::SlowAtOnce => Some(slow),
            Self::ErrorsLater => is_late.then_some(errors(0.5)),
            Self::SlowLater => is_late.then_some(slow),
            Self::ErrorsUnderLoad => is_loaded.then_some(errors(0.4)),
            Self::SlowUnderLoad => is_loaded.then_some(slow),
            Self::ErrorsUnderFullLoad => (share > 500).then_some(errors(0.4)),
            Self::ErrorsOneRoute => (route == 1).then_some(errors(0.5)),
            Self::SlowOneRoute => (route == 1).then_some(slow),
        }
    }
}
