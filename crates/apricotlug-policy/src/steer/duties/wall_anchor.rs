//! Wall-clock time that does not follow short jumps of the machine's wall clock.

use std::{collections::VecDeque, time::Duration};

use apricotlug_model::{BootTime, UnixTime};

/// Shortest span between two readings of the wall clock that count.
const READING_INTERVAL: Duration = Duration::from_millis(500);

/// Readings that are kept. A step of the wall clock takes effect once more than half of them show it.
const MAX_READINGS: usize = 31;

/// Wall-clock time derived from the steady clock and the median of recent distances between the two.
///
/// A jump that is taken back within 7 s has no effect. A lasting one takes effect after 8 s at the
/// latest.
#[derive(Clone, Debug, Default)]
pub struct WallAnchor {
    /// Distances of the wall clock from the steady clock, in microseconds, the oldest first.
    distances: VecDeque<u64>,
    last_reading_at: BootTime,
    distance: u64,
}

impl WallAnchor {
    /// Records a reading of both clocks at the same moment. One that follows the last too soon is
    /// ignored.
    pub fn on_reading(&mut self, boot: BootTime, wall: UnixTime) {
        let is_first = self.distances.is_empty();
        if !is_first && boot.since(self.last_reading_at) < READING_INTERVAL {
            return;
        }
        self.last_reading_at = boot;
        if self.distances.len() == MAX_READINGS {
            self.distances.pop_front();
        }
        self.distances.push_back(wall.0.saturating_sub(boot.0));
        let mut sorted: Vec<_> = self.distances.iter().copied().collect();
        sorted.sort_unstable();
        self.distance = sorted[(sorted.len() - 1) / 2];
    }

    /// Returns the wall-clock time of a point on the steady clock.
    #[must_use]
    pub fn unix(&self, at: BootTime) -> UnixTime {
        UnixTime(at.0.saturating_add(self.distance))
    }
}
