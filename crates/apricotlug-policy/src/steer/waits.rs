//! Callers that come back: how much of their time is spent already.

use apricotlug_model::HashMap;

/// Weight with which the usual time of a route falls towards shorter ones, so that one caller with
/// much time does not make all others look as if they came back.
const FALL: f64 = 0.002;

/// Usual time that callers of a route wait from their first try on.
#[derive(Clone, Debug, Default)]
pub struct Waits(HashMap<String, f64>);

impl Waits {
    /// Takes up a request whose caller goes on waiting for so long, and returns how many
    /// milliseconds it has probably waited before.
    pub fn spent_ms(&mut self, route: &str, wait_ms: Option<u64>) -> u64 {
        let Some(wait_ms) = wait_ms.map(|ms| ms as f64) else {
            return 0;
        };
        if let Some(usual) = self.0.get_mut(route) {
            *usual = if wait_ms > *usual {
                wait_ms
            } else {
                *usual + (wait_ms - *usual) * FALL
            };
            return (*usual - wait_ms).max(0.0) as u64;
        }
        self.0.insert(route.to_owned(), wait_ms);
        0
    }
}
