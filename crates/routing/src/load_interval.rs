//! Limits how often a gateway receives the loads of engines.
//!
//! Every gateway chooses among all engines of a service, and each engine reports its load whenever it
//! changes. With a few dozen of both, these messages cost a small gateway more than its requests do, and more
//! bytes between data centres. A gateway therefore receives a fixed number of messages a second, from however
//! many engines. In between, it counts the requests that it sends itself, and each verdict of an admission
//! carries the load as well.

use std::time::Duration;

/// Load messages that a gateway receives in a second. At some 40 µs each they take 6 ms, a fifteenth of the
/// processor time of the smallest gateway.
const MESSAGES_PER_S: u32 = 150;

/// Shortest time between two messages of one engine; at peak load, several requests arrive within it.
const MIN_INTERVAL: Duration = Duration::from_millis(40);

/// Longest time between two messages of one engine, a third of the age up to which a load is used.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// Factor of the interval for an engine in another data centre: its messages cross expensive links, and it is
/// chosen for fewer requests.
const REMOTE_FACTOR: u32 = 2;

/// Returns the shortest time between two load messages of one engine, by the number of engines.
///
/// `is_local` tells whether the engine is in the gateway's data centre.
#[must_use]
pub fn load_interval(engines: usize, is_local: bool) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1).saturating_mul(engines) / MESSAGES_PER_S;
    let factor = if is_local { 1 } else { REMOTE_FACTOR };
    (interval * factor).clamp(MIN_INTERVAL, MAX_INTERVAL)
}
