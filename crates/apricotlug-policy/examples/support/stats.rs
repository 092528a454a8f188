//! Measurements of a run.

/// Counters and latencies of a run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub requests: u64,
    pub attempts: u64,
    pub answered: u64,
    /// Requests that got an error or no response after all attempts.
    pub failed: u64,
    pub refused: u64,
    /// Refused requests that were within their client account's rate.
    pub refused_in_rate: u64,
    /// Refused requests whose client got no instance from the look-up.
    pub refused_at_lookup: u64,
    /// Requests that arrived at a backend server with all slots occupied.
    pub overloads: u64,
    /// Largest excess over a region's shift cap of requests from other regions.
    pub cap_excess: u32,
    /// Requests placed on an endpoint that was draining.
    pub drain_violations: u64,
    /// Smallest fraction of a region's slots that was free, averaged over spans of 1 s.
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

    /// Returns a latency percentile of answered requests in milliseconds; zero if there are none.
    pub fn latency_ms(&self, percent: f64) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * percent / 100.0) as usize;
        let micros = sorted.get(rank.min(sorted.len().saturating_sub(1)));
        micros.copied().unwrap_or(0) as f64 / 1000.0
    }
}
