//! How short of room the backend servers of a service are, by region.

use std::time::Duration;

use apricotlug_model::{HashMap, MonoTime};

/// Requests that run or wait, as a share of the slots, from which room counts as short, and from which
/// the order applies in full.
const SHORT_UTILISATION: f64 = 0.9;
const FULL_UTILISATION: f64 = 1.2;

/// Time for which a utilisation is used.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Weight of a new utilisation in its moving average after one such time.
const GAIN: f64 = 0.3;

/// Shortage of room of one service, by region.
#[derive(Clone, Debug, Default)]
pub struct Shortage(HashMap<String, (MonoTime, f64)>);

impl Shortage {
    /// Returns how short of room the backend servers of a region are, 0 to 1. `utilisation` returns
    /// the requests there as a share of their slots, where the last figure is too old.
    pub fn get(&mut self, region: &str, now: MonoTime, utilisation: impl FnOnce() -> f64) -> f64 {
        let mean = match self.0.get_mut(region) {
            Some((at, mean)) => {
                let elapsed = now.since(*at);
                if elapsed >= UPDATE_INTERVAL {
                    *at = now;
                    let intervals = elapsed.as_secs_f64() / UPDATE_INTERVAL.as_secs_f64();
                    let gain = 1.0 - (1.0 - GAIN).powf(intervals);
                    *mean += (utilisation() - *mean) * gain;
                }
                *mean
            }
            None => {
                let first = utilisation();
                self.0.insert(region.to_owned(), (now, first));
                first
            }
        };
        ((mean - SHORT_UTILISATION) / (FULL_UTILISATION - SHORT_UTILISATION)).clamp(0.0, 1.0)
    }
}
