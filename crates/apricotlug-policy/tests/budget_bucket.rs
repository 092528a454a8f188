//! Token bucket: exact refill, no tokens at the start, nothing granted from the deadline on.

use apricotlug_model::MonoTime;
use apricotlug_policy::budget::{Admission, Bucket, Share};
use proptest::{prelude::*, test_runner::RngSeed};

const SECOND: u64 = 1_000_000;

fn bucket(rate_milli: u64, burst: u64, until: u64) -> Bucket {
    let mut bucket = Bucket::empty(MonoTime(0));
    bucket.set_share(Share { rate_milli, burst }, MonoTime(until));
    bucket
}

fn count_spent(bucket: &mut Bucket, now: u64) -> u64 {
    let mut spent = 0;
    while bucket.spend(MonoTime(now)) == Admission::Granted {
        spent += 1;
    }
    spent
}

#[test]
fn tokens_come_with_time_up_to_burst_and_deadline() {
    // (rate in thousandths, burst, deadline, time, tokens)
    let cases = [
        (10_000, 100, 60 * SECOND, 0, 0),
        (10_000, 100, 60 * SECOND, SECOND, 10),
        (10_000, 100, 60 * SECOND, 20 * SECOND, 100),
        (10_000, 100, SECOND, 5 * SECOND, 10),
        (1, 5, 10_000 * SECOND, 999 * SECOND, 0),
        (1, 5, 10_000 * SECOND, 1_000 * SECOND, 1),
        (1_000, 0, 60 * SECOND, 30 * SECOND, 0),
        (0, 10, 60 * SECOND, 30 * SECOND, 0),
        (
            u64::MAX,
            u64::MAX,
            u64::MAX,
            u64::MAX,
            u64::MAX / 1_000_000_000,
        ),
    ];
    for (rate, burst, until, now, tokens) in cases {
        let mut bucket = bucket(rate, burst, until);
        bucket.refill(MonoTime(now));
        assert_eq!(
            bucket.tokens(),
            tokens,
            "rate {rate} burst {burst} at {now}"
        );
    }
}

#[test]
fn nothing_is_spent_at_or_after_the_deadline() {
    for (now, spent) in [(SECOND - 1, 9), (SECOND, 0), (SECOND + 1, 0)] {
        let mut bucket = bucket(10_000, 100, SECOND);
        assert_eq!(count_spent(&mut bucket, now), spent, "at {now}");
    }
}

#[test]
fn earlier_time_changes_nothing() {
    let mut bucket = bucket(10_000, 100, 60 * SECOND);
    bucket.refill(MonoTime(SECOND));
    bucket.refill(MonoTime(0));
    bucket.refill(MonoTime(SECOND));
    assert_eq!(bucket.tokens(), 10);
}

#[test]
fn smaller_share_loses_tokens_at_once() {
    let mut bucket = bucket(10_000, 100, 60 * SECOND);
    bucket.refill(MonoTime(10 * SECOND));
    let smaller = Share {
        rate_milli: 1_000,
        burst: 7,
    };
    bucket.set_share(smaller, MonoTime(60 * SECOND));
    assert_eq!(bucket.tokens(), 7);
    assert_eq!(bucket.take(100), 7);
    assert_eq!(bucket.tokens(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn many_small_refills_equal_one(
        rate in 1..5_000_000_u64,
        burst in 1..1_000_u64,
        spans in prop::collection::vec(0..100_000_u64, 1..200),
    ) {
        let mut often = bucket(rate, burst, u64::MAX);
        let mut once = often.clone();
        let mut now = 0;
        for span in spans {
            now += span;
            often.refill(MonoTime(now));
        }
        once.refill(MonoTime(now));
        prop_assert_eq!(count_spent(&mut often, now), count_spent(&mut once, now));
    }

    #[test]
    fn retry_point_is_the_first_that_succeeds(
        rate in 1..5_000_000_u64,
        start in 0..1_000_000_u64,
    ) {
        let mut bucket = bucket(rate, 1, u64::MAX);
        let Admission::Refused { retry_at } = bucket.spend(MonoTime(start)) else {
            return Ok(());
        };
        let mut early = bucket.clone();
        prop_assert_ne!(early.spend(MonoTime(retry_at.0 - 1)), Admission::Granted);
        prop_assert_eq!(bucket.spend(retry_at), Admission::Granted);
    }
}
