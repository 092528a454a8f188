//! Conversion of TOML datetimes to points in time.

use apricotlug_model::UnixTime;
use toml::value::{Date, Datetime, Offset, Time};

const SECONDS_PER_DAY: i64 = 86_400;
const SECONDS_PER_MINUTE: i64 = 60;

/// Returns the point of a datetime with offset, or `None` for a local one or one before 1970.
pub(super) fn unix_time(datetime: &Datetime) -> Option<UnixTime> {
    let days = days_since_1970(&datetime.date?);
    let time = datetime.time?;
    let offset_minutes = match datetime.offset? {
        Offset::Z => 0,
        Offset::Custom { minutes } => i64::from(minutes),
    };
    let seconds = days * SECONDS_PER_DAY + seconds(&time) - offset_minutes * SECONDS_PER_MINUTE;
    let micros = u64::from(time.nanosecond.unwrap_or(0)) / 1_000;
    let seconds = u64::try_from(seconds).ok()?;
    Some(UnixTime(seconds * 1_000_000 + micros))
}

fn seconds(time: &Time) -> i64 {
    let minutes = i64::from(time.hour) * 60 + i64::from(time.minute);
    minutes * SECONDS_PER_MINUTE + i64::from(time.second.unwrap_or(0))
}

/// Counts days in the proleptic Gregorian calendar, with years that begin in March.
fn days_since_1970(date: &Date) -> i64 {
    const DAYS_TO_1970: i64 = 719_468;
    let month = (i64::from(date.month) + 9) % 12;
    let year = i64::from(date.year) - i64::from(date.month <= 2);
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    let day_of_year = (153 * month + 2) / 5 + i64::from(date.day) - 1;
    year * 365 + leap_days + day_of_year - DAYS_TO_1970
}
