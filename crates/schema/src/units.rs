//! Units of settings that are stored in another unit than the file uses.

/// Milliseconds since 1970 in UTC; a file may contain an RFC 3339 time instead.
pub type EpochMs = u64;

/// Milliseconds since midnight in UTC; a file contains a time of day such as `02:30`.
pub type DayMs = u32;

/// Parts per million; a file contains a percentage.
pub type PartsPerMillion = u32;
