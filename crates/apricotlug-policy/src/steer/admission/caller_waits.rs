//! Retrying callers: estimate of the time that they have waited in earlier attempts.

use apricotlug_model::HashMap;

/// Weight of a shorter wait limit in the usual one of a route. The usual limit falls, so that a
/// single caller with a long limit does not make all others count as retrying.
const DECREASE_GAIN: f64 = 0.002;

/// Usual wait limits of first attempts, in milliseconds by route.
#[derive(Clone, Debug, Default)]
pub struct CallerWaits(HashMap<String, f64>);

impl CallerWaits {
    /// Records a request whose caller waits for another `wait_ms`, and returns the milliseconds
    /// that it has probably waited in earlier attempts. Returns 0 where the caller states no limit,
    /// or for the first request of a route.
    pub fn waited_ms(&mut self, route: &str, wait_ms: Option<u64>) -> u64 {
        let Some(wait_ms) = wait_ms.map(|ms| ms as f64) else {
            return 0;
        };
        if let Some(usual) = self.0.get_mut(route) {
            *usual = if wait_ms > *usual {
                wait_ms
            } else {
                *usual + (wait_ms - *usual) * DECREASE_GAIN
            };
            return (*usual - wait_ms).max(0.0) as u64;
        }
        self.0.insert(route.to_owned(), wait_ms);
        0
    }
}
