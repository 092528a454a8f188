//! Datetimes to points in time and back.

use apricotlug_config::datetime::{rfc3339, unix_time};
use apricotlug_model::UnixTime;

#[test]
fn datetimes_come_back_in_utc() {
    let cases = [
        ("1970-01-01T00:00:00Z", Some(0), "1970-01-01T00:00:00Z"),
        (
            "2000-02-29T23:59:59Z",
            Some(951_868_799),
            "2000-02-29T23:59:59Z",
        ),
        (
            "2026-12-04T10:30:00+01:00",
            Some(1_796_376_600),
            "2026-12-04T09:30:00Z",
        ),
        (
            "2024-12-31T23:30:00-01:00",
            Some(1_735_691_400),
            "2025-01-01T00:30:00Z",
        ),
        (
            "2100-03-01T00:00:00Z",
            Some(4_107_542_400),
            "2100-03-01T00:00:00Z",
        ),
        ("1969-12-31T23:59:59Z", None, ""),
        ("2026-12-04T10:30:00", None, ""),
        ("2026-12-04", None, ""),
    ];
    for (text, seconds, utc) in cases {
        let point = unix_time(&text.parse().unwrap());
        assert_eq!(
            point,
            seconds.map(|s: u64| UnixTime(s * 1_000_000)),
            "{text}"
        );
        if let Some(point) = point {
            assert_eq!(rfc3339(point), utc);
        }
    }
}

#[test]
fn every_day_of_two_centuries_comes_back() {
    for day in 0..73_000_u64 {
        let text = rfc3339(UnixTime(day * 86_400_000_000));
        let point = unix_time(&text.parse().unwrap());
        assert_eq!(point, Some(UnixTime(day * 86_400_000_000)), "{text}");
    }
}
