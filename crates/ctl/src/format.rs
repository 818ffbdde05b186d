//! Formatting of tables, times and lists for people.

use std::fmt::Write;
use std::time::SystemTime;

pub(crate) use hinge_burn::text::{span, table, time};

/// Most names listed in one line; the others are only counted.
const MAX_NAMES: usize = 8;

/// Returns the first names, followed by the number of the others.
pub(crate) fn join_names<T: AsRef<str>>(join_names: &[T]) -> String {
    let first: Vec<_> = join_names
        .iter()
        .take(MAX_NAMES)
        .map(AsRef::as_ref)
        .collect();
    let mut text = first.join(", ");
    if let Some(more) = join_names
        .len()
        .checked_sub(MAX_NAMES)
        .filter(|more| *more > 0)
    {
        let _always_ok = write!(text, " and {more} more");
    }
    text
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
