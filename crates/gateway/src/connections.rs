//! Bounds the connections of callers.
//!
//! The load pattern: a caller that waits opens another connection for its next request, and keeps it afterwards. One hot
//! caller then holds thousands of idle connections at one gateway, which costs it its memory and its descriptors.

use std::sync::atomic::{AtomicU32, Ordering};

/// Counts the connections of callers.
#[derive(Debug)]
pub(crate) struct Connections {
    open: AtomicU32,
    most: u32,
}

impl Connections {
    pub(crate) fn new(most: u32) -> Self {
        Self {
            open: AtomicU32::new(0),
            most,
        }
    }

    /// Counts a connection, unless there are as many as may be.
    pub(crate) fn try_open(&self) -> bool {
        let may = self.open.load(Ordering::Relaxed) < self.most;
        if may {
            self.open.fetch_add(1, Ordering::Relaxed);
        }
        may
    }

    /// Notes that a counted connection has closed.
    pub(crate) fn closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether callers are asked to close their connections after an answer.
    pub(crate) fn are_many(&self) -> bool {
        self.open.load(Ordering::Relaxed) >= self.most - self.most / 3
    }
}
