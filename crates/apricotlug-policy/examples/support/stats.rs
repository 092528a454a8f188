//! What a run measured.

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub requests: u64,
    pub attempts: u64,
    pub answered: u64,
    /// Requests that got an error or no answer after all attempts.
    pub failed: u64,
    pub refused: u64,
    /// Refused requests that were inside their client account's rate.
    pub refused_in_rate: u64,
    /// Refused requests whose caller got no instance from the look-up.
    pub refused_at_lookup: u64,
    /// Requests that reached a backend server with all slots taken.
    pub overloads: u64,
    /// Largest number of requests of other regions in a region, beyond its shift cap.
    pub cap_excess: u32,
    /// Requests placed on an endpoint that was draining.
    pub drain_breaches: u64,
    /// Smallest free part of a region's slots, over spans of 1 s.
    pub headroom: f64,
    latencies_us: Vec<u64>,
}

impl Stats {
    pub fn new() -> Self {
        Self {
            headroom: 1.0,
            ..Self::default()
        }
    }

    pub fn record_latency(&mut self, micros: u64) {
        self.latencies_us.push(micros);
    }

    /// Returns a percentile of the answered requests' latency, in milliseconds.
    pub fn latency_ms(&self, percent: f64) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * percent / 100.0) as usize;
        let micros = sorted.get(rank.min(sorted.len().saturating_sub(1)));
        micros.copied().unwrap_or(0) as f64 / 1000.0
    }
}
