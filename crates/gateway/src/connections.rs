//! Limits the number of connections from callers.
//!
//! A caller whose requests are waiting opens a further connection for the next one and keeps it afterwards. One busy caller
//! then holds thousands of idle connections at one gateway and exhausts its memory and file descriptors.

use std::sync::atomic::{AtomicU32, Ordering};

/// A bounded count of callers' connections.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicU32,
    max: u32,
}

impl Connections {
    pub(crate) fn new(max: u32) -> Self {
        Self {
            open: AtomicU32::new(0),
            max,
        }
    }

    /// Counts a connection, and returns whether it is within the limit.
    pub(crate) fn try_open(&self) -> bool {
        let is_allowed = self.open.load(Ordering::Relaxed) < self.max;
        if is_allowed {
            self.open.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
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
