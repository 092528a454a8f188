//! Conversion between datetimes (RFC 3339) and points in time.

use apricotlug_model::UnixTime;
use toml::value::{Date, Datetime, Offset, Time};

const SECONDS_PER_DAY: i64 = 86_400;
const SECONDS_PER_MINUTE: i64 = 60;

/// Returns the point of a datetime with offset, or `None` for a local one or one before 1970.
#[must_use]
pub fn unix_time(datetime: &Datetime) -> Option<UnixTime> {
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

/// Returns a point as RFC 3339 text in UTC, to the second.
#[must_use]
pub fn rfc3339(point: UnixTime) -> String {
    let seconds = point.0 / 1_000_000;
    let (days, second) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = civil_date(days);
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Returns year, month and day of a day counted from 1970, with years that begin in March.
fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_PER_ERA: u64 = 146_097;
    let days = days + 719_468;
    let (era, day) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leap_days = day / 1_460 + day / (DAYS_PER_ERA - 1);
    let year = (day + day / 36_524 - leap_days) / 365;
    let day_of_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * month + 2) / 5 + 1;
    let is_next_year = month >= 10;
    let month = if is_next_year { month - 9 } else { month + 3 };
    (
        era * 400 + year + u64::from(is_next_year),
        month,
        day_of_month,
    )
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
