//! Call budget and backoff in virtual time.

use std::time::Duration;

use apricotlug_model::MonoTime;
use apricotlug_platform::{Backoff, Pacer};
use rand::{RngExt, SeedableRng, rngs::StdRng};

#[test]
fn no_window_holds_more_calls_than_burst_and_rate_allow() {
    for (calls_per_s, burst) in [(1, 1), (20, 40), (1000, 3)] {
        let mut rng = StdRng::seed_from_u64(1);
        let mut pacer = Pacer::new(calls_per_s, burst);
        let mut now = MonoTime(0);
        let mut starts = Vec::new();
        for _ in 0..2000 {
            now = now.after(Duration::from_micros(rng.random_range(0..50_000)));
            starts.push(pacer.reserve(now));
        }
        for (i, first) in starts.iter().enumerate() {
            for (j, last) in starts.iter().enumerate().skip(i) {
                let span = last.since(*first).as_micros() as u64;
                let allowed = u64::from(burst) + span * u64::from(calls_per_s) / 1_000_000 + 1;
                assert!((j - i) as u64 <= allowed, "{calls_per_s}/s, burst {burst}");
            }
        }
    }
}

#[test]
fn backoff_doubles_its_bound_up_to_the_cap_and_starts_again_after_a_success() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(50, 5000);
    let mut spans = |backoff: &mut Backoff| {
        let mut largest = Vec::new();
        for _ in 0..10 {
            let next = backoff.next_attempt(MonoTime(0), &mut rng);
            largest.push(next.0 / 1000);
        }
        largest
    };
    let bounds = [50, 100, 200, 400, 800, 1600, 3200, 5000, 5000, 5000];
    for _ in 0..50 {
        let spans = spans(&mut backoff);
        assert!(spans.iter().zip(bounds).all(|(span, bound)| *span <= bound));
        backoff.reset();
    }
    let mut far = Backoff::new(50, 5000);
    for _ in 0..100 {
        assert!(far.next_attempt(MonoTime(0), &mut rng).0 <= 5_000_000);
    }
}
