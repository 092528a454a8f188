//! Results of a simulated load.

use super::RANKS;

/// Worth of a late answer, relative to one in the target latency.
const LATE_WORTH: f64 = 0.2;

/// Results of one rank or client account.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub arrived: f64,
    pub served: f64,
    pub in_time: f64,
}

impl Tally {
    pub fn served_share(self) -> f64 {
        self.served / self.arrived.max(1.0)
    }

    pub fn in_time_share(self) -> f64 {
        self.in_time / self.arrived.max(1.0)
    }

    pub fn payoff(self) -> f64 {
        (self.in_time + (self.served - self.in_time) * LATE_WORTH) / self.arrived.max(1.0)
    }

    fn add(&mut self, other: Self) {
        self.arrived += other.arrived;
        self.served += other.served;
        self.in_time += other.in_time;
    }
}

#[derive(Clone, Debug, Default)]
pub struct Results {
    pub ranks: [Tally; RANKS],
    pub accounts: Vec<Tally>,
}

impl Results {
    pub fn all(&self) -> Tally {
        let mut all = Tally::default();
        self.ranks.iter().for_each(|tally| all.add(*tally));
        all
    }
}
