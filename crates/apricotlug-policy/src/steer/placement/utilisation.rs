//! Utilisation of a service's slots in a region, as far as this instance knows it.

use apricotlug_model::MonoTime;

use super::{entry::MAX_LOAD_FACTOR, fleet::Fleet};

impl Fleet {
    /// Returns the requests that run or wait at a service's backend servers in a region as a share of
    /// their slots, of those that have capacity and whose data centre is not evacuated; 1 if there is
    /// none.
    ///
    /// Where no other instance reports requests, only backend servers that reported their load
    /// themselves are counted, if there is any.
    #[must_use]
    pub fn utilisation(
        &self,
        service: &str,
        region: &str,
        evacuated: &[String],
        now: MonoTime,
    ) -> f64 {
        let (mut load, mut slots) = (0.0, 0.0);
        let (mut reported_load, mut reported_slots) = (0.0, 0.0);
        let mut has_reports = false;
        for (_, entry) in self.of_service(service) {
            let is_open = !evacuated.contains(&entry.backend.data_centre);
            if entry.region != region || !is_open || !entry.has_capacity(now) {
                continue;
            }
            let of_slots = f64::from(entry.backend.slots);
            // One that defers requests is full.
            let least = if entry.takes_requests(now) {
                0.0
            } else {
                of_slots
            };
            let of_entry = f64::from(entry.load(now)).clamp(least, of_slots * MAX_LOAD_FACTOR);
            load += of_entry;
            slots += of_slots;
            if entry.has_reported_load(now) {
                reported_load += of_entry;
                reported_slots += of_slots;
            }
            has_reports |= entry.other_requests > 0;
        }
        match (has_reports, reported_slots > 0.0) {
            _ if slots <= 0.0 => 1.0,
            (true, _) => load / slots,
            (false, true) => reported_load / reported_slots,
            (false, false) => load / slots,
        }
    }
}
