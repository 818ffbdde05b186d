//! Checks and normalises values in the formats that the schemas name.

use std::net::SocketAddr;

use toml::value::{Date, Datetime, Offset, Time};

use crate::tree::TomlValue;

/// Length of the longest name of a team, pool, instance and the like; names are sent in every offer.
const MAX_NAME_BYTES: usize = 64;

/// Length of the longest free text, such as a model's name.
const MAX_TEXT_BYTES: usize = 256;

/// Parts per million in one percent.
const PPM_PER_PERCENT: f64 = 10_000.0;

const MS_PER_DAY: i64 = 86_400_000;

/// Converts a value to the representation in the generated type, or returns what is allowed.
pub(crate) fn normalise(format: &str, value: TomlValue) -> Result<TomlValue, &'static str> {
    match (format, value) {
        ("address", TomlValue::Text(text)) => address(text),
        ("name", TomlValue::Text(text)) => name(text),
        ("path", TomlValue::Text(text)) => path(text),
        ("text", TomlValue::Text(text)) => plain_text(text),
        ("sha256", TomlValue::Text(text)) => sha256(&text),
        ("epoch-ms", value) => epoch_ms(&value).ok_or(EPOCH_ALLOWED),
        ("day-ms", value) => day_ms(&value).ok_or(DAY_ALLOWED),
        ("percent", value) => percent(&value).ok_or(PERCENT_ALLOWED),
        (_, value) => Ok(value),
    }
}

const EPOCH_ALLOWED: &str =
    "allowed is a time with its offset, such as 2030-01-31T02:00:00Z, or milliseconds since 1970";
const DAY_ALLOWED: &str = "allowed is a time of day in UTC, such as 02:30";
const PERCENT_ALLOWED: &str = "allowed is a percentage from 0 to 100";

/// The part of an error message that tells what a name may contain.
pub(crate) const NAME_ALLOWED: &str = "allowed are 1 to 64 letters of a to z, digits, - and _";

/// Returns whether the text is a valid name.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

fn name(text: Box<str>) -> Result<TomlValue, &'static str> {
    if is_name(&text) {
        Ok(TomlValue::Text(text))
    } else {
        Err(NAME_ALLOWED)
    }
}

fn address(text: Box<str>) -> Result<TomlValue, &'static str> {
    if text.parse::<SocketAddr>().is_ok() {
        Ok(TomlValue::Text(text))
    } else {
        Err("allowed is an IP number with a port, such as 10.0.0.1:7070 or [fd00::1]:7070")
    }
}

fn path(text: Box<str>) -> Result<TomlValue, &'static str> {
    if text.is_empty() || text.contains('\0') {
        Err("allowed is the path of a file or folder")
    } else {
        Ok(TomlValue::Text(text))
    }
}

fn plain_text(text: Box<str>) -> Result<TomlValue, &'static str> {
    if text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control) {
        Ok(TomlValue::Text(text))
    } else {
        Err("allowed are up to 256 bytes without control characters")
    }
}

fn sha256(text: &str) -> Result<TomlValue, &'static str> {
    if text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        Ok(TomlValue::Text(text.to_ascii_lowercase().into()))
    } else {
        Err("allowed is a SHA-256 as 64 hexadecimal digits")
    }
}

fn percent(value: &TomlValue) -> Option<TomlValue> {
    #[expect(
        clippy::cast_precision_loss,
        reason = "an integer too large for a float is far above 100 and refused"
    )]
    let percent = match value {
        TomlValue::Integer(integer) => *integer as f64,
        TomlValue::Float(float) => *float,
        _ => return None,
    };
    if !(0.0..=100.0).contains(&percent) {
        return None;
    }
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the range was checked just above"
    )]
    let ppm = (percent * PPM_PER_PERCENT).round() as i128;
    Some(TomlValue::Integer(ppm))
}

fn epoch_ms(value: &TomlValue) -> Option<TomlValue> {
    let ms = match value {
        TomlValue::Integer(ms) => return (*ms >= 0).then_some(TomlValue::Integer(*ms)),
        TomlValue::Time(time) => ms_since_1970(time)?,
        TomlValue::Text(text) => ms_since_1970(&text.parse().ok()?)?,
        _ => return None,
    };
    (ms >= 0).then_some(TomlValue::Integer(ms.into()))
}

fn day_ms(value: &TomlValue) -> Option<TomlValue> {
    let time = match value {
        TomlValue::Integer(integer) => {
            let is_of_day = (0..i128::from(MS_PER_DAY)).contains(integer);
            return is_of_day.then_some(TomlValue::Integer(*integer));
        }
        TomlValue::Time(time) => *time,
        TomlValue::Text(text) => text.parse::<Datetime>().ok()?,
        _ => return None,
    };
    match (time.date, time.time, time.offset) {
        (None, Some(time), None) => Some(TomlValue::Integer(ms_since_midnight(time).into())),
        _ => None,
    }
}

fn ms_since_1970(time: &Datetime) -> Option<i64> {
    let offset_minutes = match time.offset? {
        Offset::Z => 0,
        Offset::Custom { minutes } => i64::from(minutes),
    };
    let days = days_since_1970(time.date?);
    Some(days * MS_PER_DAY + ms_since_midnight(time.time?) - offset_minutes * 60_000)
}

fn ms_since_midnight(time: Time) -> i64 {
    let seconds = i64::from(time.hour) * 3_600
        + i64::from(time.minute) * 60
        + i64::from(time.second.unwrap_or(0));
    seconds * 1_000 + i64::from(time.nanosecond.unwrap_or(0)) / 1_000_000
}

// Years are counted from 1 March, so that a leap day is the last day of a year; 400 years have 146,097 days.
fn days_since_1970(date: Date) -> i64 {
    let month = i64::from(date.month);
    let year = i64::from(date.year) - i64::from(month <= 2);
    let (era, year_of_era) = (year.div_euclid(400), year.rem_euclid(400));
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + i64::from(date.day) - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}
