//! Divides a machine's memory and descriptors among what callers can make a gateway hold.
//!
//! Everything follows from the number of callers' connections. `docs/CAPACITY.md` has the sums.

use hinge_link::{Buffers, FREE_BODY_BYTES, InboundLimits, Limits, SHORT_BODY_BYTES};

use crate::connection::MAX_HEADER_BYTES;
use crate::connections::MAX_REFUSING;
use crate::pool::ENDPOINT_BUFFERS;

#[cfg(test)]
mod tests;

/// Memory that a gateway takes without callers, with the largest tables measured, in bytes.
pub const BASE_BYTES: u64 = 24 << 20;

/// Memory of the one body that may grow whatever the others hold: the longest that route tables allow, in bytes.
pub const TURN_BYTES: u64 = 4 << 20;

/// Memory of short and of long bodies for each connection, in bytes.
const SHORT_BODY_BYTES_PER_CONNECTION: u64 = 12 << 10;
const LONG_BODY_BYTES_PER_CONNECTION: u64 = 8 << 10;

/// Parts of the number of callers' connections: `1 / REQUEST_DIVISOR` of them have a request in progress, and so on.
const REQUEST_DIVISOR: u32 = 2;
const UNREAD_DIVISOR: u32 = 16;
const WAITING_DIVISOR: u32 = 16;
const HANDOFF_DIVISOR: u32 = 4;
const READY_DIVISOR: u32 = 4;

/// Maximum size of the headers of a readiness check or of a question of another gateway, in bytes.
const READY_HEADER_BYTES: usize = 8 << 10;

/// Memory of the admin server, in bytes.
const ADMIN_BYTES: u64 = 1 << 20;

/// Descriptors for each four of callers' connections: their own, those of other gateways and of the readiness check, and those of
/// endpoints for requests of both.
const DESCRIPTORS_PER_FOUR: u32 =
    4 + 4 / REQUEST_DIVISOR + 2 * (4 / HANDOFF_DIVISOR) + 4 / READY_DIVISOR;

/// Chunks of an answer in memory whose caller does not read: one read, two buffered, and two that the HTTP library has taken.
const UNREAD_CHUNKS: u64 = 5;

/// Descriptors for files, timers and the connections to control.
const OTHER_DESCRIPTORS: u32 = 128;

/// Returns the limits of callers for a machine, with at most so many connections.
#[must_use]
pub fn caller_limits(max_connections: u32, memory_bytes: u64, descriptors: u32) -> InboundLimits {
    let fixed_bytes = BASE_BYTES + TURN_BYTES + ADMIN_BYTES;
    let by_memory = memory_bytes.saturating_sub(fixed_bytes) / connection_bytes();
    let by_memory = u32::try_from(by_memory).unwrap_or(u32::MAX);
    let for_callers = descriptors.saturating_sub(OTHER_DESCRIPTORS + MAX_REFUSING);
    let by_descriptors = for_callers / DESCRIPTORS_PER_FOUR * 4;
    let connections = max_connections.min(by_memory).min(by_descriptors).max(16);
    let per_connection = |bytes: u64| usize::try_from(u64::from(connections) * bytes);
    InboundLimits {
        connections,
        requests: connections / REQUEST_DIVISOR,
        unread: connections / UNREAD_DIVISOR,
        short_body_bytes: per_connection(SHORT_BODY_BYTES_PER_CONNECTION).unwrap_or(usize::MAX),
        long_body_bytes: per_connection(LONG_BODY_BYTES_PER_CONNECTION).unwrap_or(usize::MAX),
        waiting_bodies: connections / WAITING_DIVISOR,
    }
}

/// Returns the limits of requests that other gateways hand off, whose bodies share the memory of callers' bodies.
pub(crate) fn handoff_limits(callers: InboundLimits) -> InboundLimits {
    InboundLimits {
        connections: (callers.connections / HANDOFF_DIVISOR).max(1),
        requests: u32::MAX,
        ..callers
    }
}

/// Returns the limits of the readiness check, at whose address other gateways ask questions as well.
pub(crate) fn ready_limits(callers: InboundLimits) -> Limits {
    Limits {
        connections: (callers.connections / READY_DIVISOR).max(1),
        header_bytes: READY_HEADER_BYTES,
        ..Limits::default()
    }
}

/// Returns the most memory that one connection of a caller takes on average, in user space and in the system, in bytes.
fn connection_bytes() -> u64 {
    let received = Buffers::CALLERS.max_received_bytes();
    // The system holds up to twice what a small send buffer is set to.
    let sent = u64::from(Buffers::CALLERS.sent_bytes) * 2;
    let answered = ENDPOINT_BUFFERS.max_received_bytes();
    let head = MAX_HEADER_BYTES as u64;
    let request = FREE_BODY_BYTES as u64 + received + answered;
    let unread = sent + UNREAD_CHUNKS * answered;
    let waiting = SHORT_BODY_BYTES as u64;
    head + request / u64::from(REQUEST_DIVISOR)
        + unread / u64::from(UNREAD_DIVISOR)
        + waiting / u64::from(WAITING_DIVISOR)
        + request / u64::from(HANDOFF_DIVISOR)
        + Limits::bytes_without_calls(READY_HEADER_BYTES) / u64::from(READY_DIVISOR)
        + SHORT_BODY_BYTES_PER_CONNECTION
        + LONG_BODY_BYTES_PER_CONNECTION
}
