//! Requests of client accounts beyond an instance's credit.

use std::time::Duration;

use apricotlug_model::MonoTime;
use apricotlug_policy::steer::{Quotas, ReportDelay, ReportInterval};

const TICK_MS: u64 = 150;

fn at(ms: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_millis(ms + 60_000))
}

/// Guards against instances that learn of each other after the start and then all admit requests
/// beyond their credit at the same time.
#[test]
fn instances_that_learn_of_each_other_late_take_turns_beyond_their_credit() {
    let instances = 64;
    let mut quotas = vec![Quotas::new(Duration::from_secs(5), 0.1, 20.0, true); instances];
    let mut admitted = Vec::new();
    for tick in 0..40 {
        let now = at(tick * TICK_MS);
        let known = if tick == 0 { 1 } else { instances };
        let mut in_tick = 0;
        for (i, quotas) in quotas.iter_mut().enumerate() {
            if tick == 0 {
                quotas.set("shop", 5.0, 5.0, now);
            }
            let interval = ReportInterval {
                instances: known,
                spenders: known,
                own_index: i.min(known - 1),
                unreported: known - 1,
                has_full_reports: false,
                delay: ReportDelay::Relayed,
            };
            quotas.tick(interval, now);
            if tick > 0 {
                in_tick += u32::from(quotas.admit("shop", now).is_ok());
            }
        }
        admitted.push(in_tick);
    }
    let allowed = (5.0 * 5.0 + 5.0) * 1.1 + 20.0;
    // No report arrives within nine ticks.
    let sums = admitted.windows(9).map(|ticks| ticks.iter().sum::<u32>());
    let max = sums.max().unwrap_or_default();
    assert!(f64::from(max) <= allowed, "{max}: {admitted:?}");
    let all: u32 = admitted.iter().sum();
    assert!(all >= 64, "each has had a turn: {all}");
}
