//! Utilisation of a service's slots in a region, as far as this instance knows it.

use apricotlug_model::MonoTime;

use super::fleet::Fleet;

impl Fleet {
    /// Returns the requests that run or wait at a service's backend servers in a region as a share of
    /// their slots, of those that take requests; 1 if there is none.
    ///
    /// Where no other instance reports requests, only backend servers that reported their load
    /// themselves are counted, if there is any.
    #[must_use]
    pub fn utilisation(&self, service: &str, region: &str, now: MonoTime) -> f64 {
        let (mut load, mut slots) = (0, 0);
        let (mut reported_load, mut reported_slots) = (0, 0);
        let mut has_reports = false;
        for (_, entry) in self.of_service(service) {
            if entry.region != region || !entry.takes_requests(now) {
                continue;
            }
            let of_entry = entry.load(now);
            load += of_entry;
            slots += entry.backend.slots;
            if entry.has_reported_load(now) {
                reported_load += of_entry;
                reported_slots += entry.backend.slots;
            }
            has_reports |= entry.other_requests > 0;
        }
        match (has_reports, reported_slots, slots) {
            (_, _, 0) => 1.0,
            (true, _, _) | (_, 0, _) => f64::from(load) / f64::from(slots),
            (false, _, _) => f64::from(reported_load) / f64::from(reported_slots),
        }
    }
}
