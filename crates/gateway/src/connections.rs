//! Limits the number of connections from callers.
//!
//! A caller whose requests are waiting opens a further connection for the next one and keeps it afterwards. One busy caller
//! then holds thousands of idle connections at one gateway and exhausts its memory and file descriptors.

use std::sync::atomic::{AtomicU32, Ordering};

/// A bounded count of callers' connections.
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

    /// Counts a connection, and returns whether it is within the limit.
    pub(crate) fn try_open(&self) -> bool {
        let may = self.open.load(Ordering::Relaxed) < self.most;
        if may {
            self.open.fetch_add(1, Ordering::Relaxed);
        }
        may
    }

    /// Records that a counted connection has closed.
    pub(crate) fn closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether so many are open that callers are asked to close theirs after an answer.
    pub(crate) fn are_many(&self) -> bool {
        self.open.load(Ordering::Relaxed) >= self.most - self.most / 3
    }
}
