//! Workloads and faults of the simulated moves.

/// Traffic of one service at the size of one user's installation.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Service name in the move's identity.
    pub name: &'static str,
    /// Number of entry instances.
    pub instances: usize,
    /// Requests per second by route, over all instances.
    pub rates: [f64; 2],
    /// Median latency, in milliseconds.
    pub median_ms: f64,
    /// Time from the start to the deadline, in seconds.
    pub window_s: u64,
}

/// A large and a small service of each of the two users.
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

/// Share of the new version in each stage, in thousandths.
pub const STAGES: [u16; 6] = [5, 10, 50, 250, 500, 1000];

/// Behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Case {
    /// Same as the old version.
    Good,
    /// Good, but a shared dependency of both versions fails for 3 s every 2 min.
    GoodBlips,
    /// Good, with cold endpoints for the first 20 s of each stage.
    GoodCold,
    /// Good, but a tenth slower than the old version.
    GoodTenthSlower,
    /// Half of the requests fail from the start.
    ErrorsAtOnce,
    /// 3% of the requests fail from the start.
    FewErrors,
    /// Three times the latency from the start.
    SlowAtOnce,
    /// Half of the requests fail from a random time on.
    ErrorsLater,
    /// Three times the latency from a random time on.
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

/// All cases, in the order of the table.
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
    /// Probability, from 0 to 1, that the request fails because of the fault.
    pub errors: f64,
    /// Factor by which its latency grows; 1 for none.
    pub slowdown: f64,
}

impl Case {
    /// Returns whether the move should finish.
    pub fn is_good(self) -> bool {
        use Case::{Good, GoodBlips, GoodCold, GoodTenthSlower};
        matches!(self, Good | GoodBlips | GoodCold | GoodTenthSlower)
    }

    /// Returns the effect of the fault on a request to the new version, or `None` if unaffected.
    /// `share` is in thousandths; `is_late` is set from the random time of onset on.
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
