//! Decides how often a gateway hears of the loads of engines.
//!
//! The load pattern: every gateway chooses among all engines of a service, and each of them tells its load whenever it
//! changes. With a few dozen of both, these messages cost a small gateway more than its requests, and more bytes between
//! data centres than these. So a gateway takes a fixed number of messages a second, over however many engines; what it
//! sends there itself it counts, and each verdict of an admission brings the load as well.

use std::time::Duration;

/// Messages of load that a gateway takes in a second. Each costs some 40 µs, so these are 6 ms a second, a fifteenth of
/// the smallest gateway of today.
const MESSAGES_PER_S: u32 = 150;

/// Shortest time between two messages of one engine: several requests come in it at the worst times.
const SHORTEST: Duration = Duration::from_millis(40);

/// Longest time between two messages of one engine, a third of the age up to which a load is used.
const LONGEST: Duration = Duration::from_millis(500);

/// How many times as long the time is for an engine in another data centre: its messages cross the links that are dear,
/// and it is the choice for fewer requests.
const FAR_TIMES: u32 = 2;

/// Returns the shortest time between two messages of the load of each of some engines, to a gateway that is near or not.
#[must_use]
pub fn load_interval(engines: usize, is_near: bool) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let even = Duration::from_secs(1).saturating_mul(engines) / MESSAGES_PER_S;
    let times = if is_near { 1 } else { FAR_TIMES };
    (even * times).clamp(SHORTEST, LONGEST)
}
