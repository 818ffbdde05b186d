//! Limits the number of connections from callers.
//!
//! A caller whose requests are waiting opens a further connection for the next one and keeps it afterwards. One busy caller
//! then holds thousands of idle connections at one gateway and exhausts its memory and file descriptors.

use std::sync::atomic::{AtomicU32, Ordering};

/// Maximum number of connections beyond the limit that are being refused; a refusal takes a file descriptor and a small buffer.
const MAX_REFUSING: u32 = 128;

/// A bounded count of callers' connections.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicU32,
    max: u32,
    /// Connections beyond the limit that are being refused.
    refusing: AtomicU32,
}

impl Connections {
    pub(crate) fn new(max: u32) -> Self {
        Self {
            open: AtomicU32::new(0),
            max,
            refusing: AtomicU32::new(0),
        }
    }

    /// Counts a connection, and returns whether it is within the limit.
    pub(crate) fn try_open(&self) -> bool {
        try_count(&self.open, self.max)
    }

    /// Counts a connection that is to be refused, and returns whether there is room for it.
    pub(crate) fn try_refuse(&self) -> bool {
        try_count(&self.refusing, MAX_REFUSING)
    }

    /// Counts a connection that is to be refused whether or not there is room for it.
    pub(crate) fn refuse(&self) {
        self.refusing.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a counted refusal has ended.
    pub(crate) fn refused(&self) {
        self.refusing.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that a counted connection has closed.
    pub(crate) fn closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether so many are open that callers are asked to close theirs after an answer.
    pub(crate) fn are_nearly_full(&self) -> bool {
        self.open.load(Ordering::Relaxed) >= self.max - self.max / 3
    }
}

/// Increments a count unless it has reached its maximum, and returns whether it did.
fn try_count(count: &AtomicU32, max: u32) -> bool {
    let is_allowed = count.load(Ordering::Relaxed) < max;
    if is_allowed {
        count.fetch_add(1, Ordering::Relaxed);
    }
    is_allowed
}
